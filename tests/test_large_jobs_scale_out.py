"""Scale-out for jobs of hundreds of tasks: no fixed limit on provisioning may delay them."""

import asyncio

import pytest

from standins import virtual_time
from standins.simulated_cluster import SimulatedCluster

SPREAD_S = 30.0  # boot, image fetch, and what provisioning and recording so many takes at the rates of the stand-ins


async def largest_job(fields, machines):
    """One job that needs every machine of the cloud; the seconds until all of its tasks ran at once, or None."""
    cluster = SimulatedCluster(
        7, zones=("a",), machines=2, teams=3, guarantee=0.0, limit=1000.0, capacity=(machines, 0)
    )
    await cluster.wait_for_leader()
    spec = cluster.job(1, cores=14.0, cards=2.0, ramGb=50.0, loanS=300.0, volumes=machines, **fields)
    began = cluster.now()
    cluster.spawn(cluster.user(spec, run_s=300.0))
    while cluster.now() < began + 4 * SPREAD_S:
        await asyncio.sleep(1.0)
        status, answer = await cluster.ask("GET", f"/v2/runs/{spec['ref']}")
        if status == 200 and answer["running"] == machines:
            return cluster, cluster.now() - began
    return cluster, None


@pytest.mark.parametrize(
    "fields",
    [
        {"format": "group"},  # 64 machines were provisioned for a gang of any size: it waited for ever
        {"format": "group", "samePlace": True},
        {"format": "batch"},  # machines were provisioned for 64 tasks at a time, and no more until these were up
    ],
)
def test_the_largest_job_gets_every_machine(fields):
    cluster, took = virtual_time.run(largest_job(fields, 200))
    assert cluster.checker.broken == []
    assert took is not None
    assert took < SPREAD_S
