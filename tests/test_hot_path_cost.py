"""Cost of a quiet minute, an unchanged heartbeat and a pass without work: counted, not timed, to be reproducible."""

import asyncio
import sys

from passrock.io.http_server import Request, Response
from standins import virtual_time
from standins.simulated_cluster import SimulatedCluster

MACHINES = 20
SETTLED_S = 90.0  # by then surplus machines have gone back and all records are written
QUIET_S = 60.0
# A minute of three idle controllers: renewals of the leader key four times in its lease, a watch every 4 s, a probe
# of the key-value store by each that has had no answer from it for half of that lease, and a read for what six users
# query in 5 s.
STATE_REQUESTS = 360
# Python functions called for an unchanged heartbeat of two tasks, parsing and answer included
CALLS_PER_HEARTBEAT = 60
CALLS_PER_PASS = 4 * MACHINES  # for a scheduling pass over these machines while no task waits


def calls_of(work, *arguments):
    """The result of a call, and how many Python functions it called."""
    count = 0

    def note(frame, event, argument):
        nonlocal count
        count += event == "call"

    sys.setprofile(note)
    try:
        result = work(*arguments)
    finally:
        sys.setprofile(None)
    return result, count


async def quiet_cluster():
    """Replicas run on twenty machines, and nothing else happens."""
    cluster = SimulatedCluster(3, machines=MACHINES, guarantee=16.0, quota=16.0, capacity=(MACHINES, 0))
    for number in range(6):
        spec = cluster.job(number, format="service", volumes=5, precedence="prod", loanS=0.0)
        cluster.spawn(cluster.simulate_user(spec, cancel_after_s=1e9))
    await asyncio.sleep(SETTLED_S)
    return cluster


async def quiet_minute():
    cluster = await quiet_cluster()
    leader = cluster.nodes[await cluster.wait_for_leader()].node
    scheduler = leader.leader_term.scheduler
    guaranteed, requests = scheduler.queue.guaranteed, []
    handle = cluster.store.handle

    async def counted(method, path, body):
        requests.append((method, path))
        return await handle(method, path, body)

    cluster.store.handle = counted
    evaluations = leader.leader_term.evaluations.finished_count
    await asyncio.sleep(QUIET_S)
    assert leader.leader_term.evaluations.finished_count > evaluations
    assert cluster.checker.starts >= 30  # the minute was one of a leader with work placed
    return requests, guaranteed is scheduler.queue.guaranteed


def test_a_quiet_minute_writes_nothing_and_recomputes_no_guarantees():
    requests, kept = virtual_time.run(quiet_minute())
    assert [path for _, path in requests if path == "/commit"] == []
    assert len(requests) <= STATE_REQUESTS
    assert kept


async def heartbeat_and_pass():
    cluster = await quiet_cluster()
    leader = cluster.nodes[await cluster.wait_for_leader()].node
    worker = next(one for one in cluster.workers.values() if len(one.tasks) == 2)
    body = worker.encode_heartbeat()
    answer, calls = calls_of(leader.handle, Request("POST", "/checkin", body))
    assert isinstance(answer, Response)
    assert answer.status == 200  # answered at once: nothing had changed
    _, pass_calls = calls_of(
        leader.leader_term.scheduler.run, leader.leader_term.inventory.health.observing_since + QUIET_S
    )
    return calls, pass_calls


def test_an_unchanged_heartbeat_and_a_pass_without_work_are_cheap():
    calls, pass_calls = virtual_time.run(heartbeat_and_pass())
    assert calls <= CALLS_PER_HEARTBEAT
    assert pass_calls <= CALLS_PER_PASS
