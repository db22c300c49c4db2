"""Two coinciding faults, injected for certain: each case asserts that they coincided, then that no rule broke."""

import asyncio

import cbor2
import msgspec
import pytest

from passrock.core.model import ZERO_RESOURCES
from standins import virtual_time
from standins.scenarios import SCENARIOS, on_machines, others, run_scenario, settled_cluster


@pytest.mark.parametrize("zones", [("a", "b", "c"), ("a",)], ids=["three", "one"])
@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.__name__)
def test_coinciding_failures(scenario, zones):
    cluster, coincided = virtual_time.run(run_scenario(scenario, 300, zones))
    assert coincided
    assert cluster.checker.broken == []
    for job in cluster.checker.accepted - cluster.checker.cancel_asked:
        spec = cluster.specs[job]
        tasks = [(job, index) for index in range(spec["volumes"])]
        alive = cluster.checker.present if spec["format"] == "service" else cluster.completed
        assert all(key in alive and (alive is cluster.completed or alive[key]) for key in tasks), job
    for job in cluster.checker.confirmed_cancelled:
        assert not on_machines(cluster, job)


def test_a_lookup_by_single_reads_while_the_job_is_cancelled():
    """Between reads the cancellation was confirmed and the record deleted: ``queued`` would be an older answer."""

    async def main():
        cluster, leader = await settled_cluster(310)
        slow, third = others(cluster, leader)
        lookup, read = cluster.nodes[slow].node.user_api.lookup, cluster.nodes[slow].node.store.get

        async def no_fence():
            return False

        async def get(key, timeout=1.5):
            answer = await read(key, timeout=timeout)
            if key == "p/j/wk-000000":
                assert answer[0] is not None
                assert await cluster.cancel("wk-000000", third)
                while "p/f/wk-000000" not in cluster.state.data:
                    await asyncio.sleep(0.1)
            return answer

        lookup.fence.wait, lookup.store.get = no_fence, get
        asked = cluster.now()
        status, answer = await cluster.ask("GET", "/v2/runs/wk-000000", timeout=30.0, node=slow)
        confirmed_at, confirmed_status = cluster.checker.confirmed["wk-000000"]
        return status, answer["status"], confirmed_status, asked < confirmed_at

    assert virtual_time.run(main()) == (200, "cancelled", "cancelled", True)


def test_a_repeated_submission_is_not_checked_against_the_current_catalog():
    async def main():
        cluster, _ = await settled_cluster(311)
        answers = []
        for sim in cluster.nodes.values():
            sim.node.catalog.types = {
                "tiny": msgspec.structs.replace(sim.node.catalog.types["box"], capacity=ZERO_RESOURCES)
            }
        for number in (0, 99):
            spec = cluster.job(number, format="service", precedence="prod", loanS=0.0)
            answers.append((await cluster.ask("POST", "/v2/runs", cbor2.dumps(spec), 5.0))[0])
        return answers

    assert virtual_time.run(main()) == [200, 422]
