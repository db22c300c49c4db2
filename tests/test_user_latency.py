"""Priority of users' writes: submissions queue neither behind queries nor behind the leader's own writes."""

import asyncio

import cbor2
import pytest

from passrock.io.http_server import Request, Response
from standins import virtual_time
from standins.simulated_cluster import SimulatedCluster

MAX_LATENCY_S = 0.15  # of virtual time: one commit, and the delay of a few writes at the store's rate limit

FOLLOWER_REQUESTS_PER_S = 12.0  # to the key-value store, as for a follower of a small deployment


async def submit(cluster, node, number):
    """Submit a job to one controller; return the status and the latency of the answer."""
    started_at = cluster.now()
    spec = cluster.job(number)
    cluster.specs[spec["ref"]], cluster.run_times[spec["ref"]] = spec, 5.0
    status, _ = await cluster.request("POST", "/v2/runs", cbor2.dumps(spec), 5.0, node=node)
    return status, cluster.now() - started_at


async def query_repeatedly(cluster, node, job, answers):
    """Query a job ten times a second, as one user."""
    while True:
        status, _ = await cluster.request("GET", f"/v2/runs/{job}", node=node)
        answers.append(status)
        await asyncio.sleep(0.1)


@pytest.mark.parametrize("leading", [False, True])
def test_submissions_do_not_queue_behind_queries(leading):
    """Guards against a store read for each query: the reads used up the node's rate limit, and commits waited."""

    async def main():
        cluster = SimulatedCluster(400)
        leader = await cluster.wait_for_leader()
        node = leader if leading else next(name for name in cluster.nodes if name != leader)
        await submit(cluster, node, 1)
        request_bucket = cluster.nodes[node].node.store.request_bucket
        request_bucket.rate = request_bucket.burst = FOLLOWER_REQUESTS_PER_S
        answers = []
        for _ in range(80):
            await asyncio.sleep(0.013)
            cluster.spawn(query_repeatedly(cluster, node, "wk-000001", answers))
        await asyncio.sleep(1.0)
        results = []
        for number in range(2, 12):
            results.append(await submit(cluster, node, number))
            await asyncio.sleep(0.7)
        return results, answers

    results, answers = virtual_time.run(main())
    assert [status for status, _ in results] == [201] * 10
    assert max(latency_s for _, latency_s in results) < MAX_LATENCY_S
    assert answers.count(200) > len(answers) / 2  # most queries are answered


def test_a_full_limit_on_queries_refuses_no_submission():
    async def main():
        cluster = SimulatedCluster(401)
        await cluster.wait_for_leader()
        user_api = cluster.nodes["n0"].node.user_api
        user_api.read_limiter.in_progress = int(user_api.read_limiter.limit)
        answers = []
        for request in (
            Request("GET", "/v2/runs/wk-000001", b""),
            Request("POST", "/v2/runs", cbor2.dumps(cluster.job(1))),
        ):
            answer = user_api.handle(request)
            answers.append(answer if isinstance(answer, Response) else await answer)
        return answers

    query, submission = virtual_time.run(main())
    assert (query.status, submission.status) == (429, 201)
    assert query.retry_after is not None


def test_submissions_do_not_queue_behind_the_writes_of_many_finished_jobs():
    """Guards against transactions of the leader so large that each uses up its write rate for a second ahead."""

    async def main():
        cluster = SimulatedCluster(402, machines=30, capacity=(30, 3), guarantee=50.0, quota=100.0)
        leader = await cluster.wait_for_leader()
        body = {"cores": 0.5, "cards": 0.0, "ramGb": 0.5, "edition": "img-0"}
        for number in range(100, 400):
            spec = cluster.job(number, **body)
            cluster.spawn(cluster.simulate_user(spec, run_s=3.0 + number % 7))
        await asyncio.sleep(12.0)
        results = []
        for number in range(1, 13):
            results.append(await submit(cluster, leader, number))
            await asyncio.sleep(0.5)
        backlog = len(cluster.nodes[leader].node.leader_term.job_table.jobs)
        await asyncio.sleep(60.0)
        return results, backlog, cluster

    results, backlog, cluster = virtual_time.run(main())
    assert backlog > 50  # the leader had a backlog of writes all the time
    assert [status for status, _ in results] == [201] * 12
    assert max(latency_s for _, latency_s in results) < MAX_LATENCY_S
    assert cluster.done_users == 300  # the leader's writes were delayed but completed
    assert cluster.checker.violations == []
