"""Scenarios of two coinciding faults: each test asserts that the faults coincided and that no rule was violated."""

import asyncio

import cbor2
import msgspec
import pytest

from passrock.core.model import ZERO_RESOURCES
from standins import virtual_time
from standins.scenarios import SCENARIOS, cluster_with_running_jobs, followers, machines_of, run_scenario


@pytest.mark.parametrize("zones", [("a", "b", "c"), ("a",)], ids=["three", "one"])
@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.__name__)
def test_coinciding_failures(scenario, zones):
    cluster, coincided = virtual_time.run(run_scenario(scenario, 300, zones))
    assert coincided
    assert cluster.checker.violations == []
    for job in cluster.checker.accepted - cluster.checker.cancel_requested:
        spec = cluster.specs[job]
        tasks = [(job, index) for index in range(spec["volumes"])]
        live = cluster.checker.placements if spec["format"] == "service" else cluster.completed
        assert all(key in live and (live is cluster.completed or live[key]) for key in tasks), job
    for job in cluster.checker.confirmed_cancelled_at:
        assert not machines_of(cluster, job)


def test_lookup_by_single_reads_while_the_job_is_cancelled():
    """The cancellation is confirmed and the record deleted between two reads; ``queued`` would be a stale answer."""

    async def main():
        cluster, leader = await cluster_with_running_jobs(310)
        stale_node, third_node = followers(cluster, leader)
        lookup, read = cluster.nodes[stale_node].node.user_api.lookup, cluster.nodes[stale_node].node.store.get

        async def no_fence():
            return False

        async def get(key, timeout=1.5):
            answer = await read(key, timeout=timeout)
            if key == "p/j/wk-000000":
                assert answer[0] is not None
                assert await cluster.cancel("wk-000000", third_node)
                while "p/f/wk-000000" not in cluster.store.data:
                    await asyncio.sleep(0.1)
            return answer

        lookup.fence.wait, lookup.store.get = no_fence, get
        sent_at = cluster.now()
        status, answer = await cluster.request("GET", "/v2/runs/wk-000000", timeout=30.0, node=stale_node)
        confirmed_at, confirmed_status = cluster.checker.confirmed_states["wk-000000"]
        return status, answer["status"], confirmed_status, sent_at < confirmed_at

    assert virtual_time.run(main()) == (200, "cancelled", "cancelled", True)


def test_repeated_submission_is_not_checked_against_the_current_catalog():
    async def main():
        cluster, _ = await cluster_with_running_jobs(311)
        answers = []
        for controller in cluster.nodes.values():
            controller.node.catalog.types = {
                "tiny": msgspec.structs.replace(controller.node.catalog.types["box"], capacity=ZERO_RESOURCES)
            }
        for number in (0, 99):
            spec = cluster.job(number, format="service", precedence="prod", loanS=0.0)
            answers.append((await cluster.request("POST", "/v2/runs", cbor2.dumps(spec), 5.0))[0])
        return answers

    assert virtual_time.run(main()) == [200, 422]
