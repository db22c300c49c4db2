"""Jobs of hundreds of tasks on a fleet that has to be rented for them: no fixed number may hold them up."""

import asyncio

import pytest

from standins import virtual_time
from standins.simulated_cluster import SimulatedCluster

SPREAD_S = 30.0  # boot, fetch, and what renting and recording so many takes at the rates of the stand-ins


async def largest_job(fields, machines):
    """One job that needs every machine that can be had; how long until all of its tasks ran at once."""
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
        {"format": "group"},  # 64 machines were rented for a gang of any size: it waited for ever
        {"format": "group", "samePlace": True},
        {"format": "batch"},  # 64 tasks at a time had room rented, and no more until it was up
    ],
)
def test_the_largest_job_gets_the_whole_fleet(fields):
    cluster, took = virtual_time.run(largest_job(fields, 200))
    assert cluster.checker.broken == []
    assert took is not None
    assert took < SPREAD_S
