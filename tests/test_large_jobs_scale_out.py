"""Scale-out for jobs of hundreds of tasks: no fixed limit on the machines provisioned at a time delays them."""

import asyncio

import pytest

from standins import virtual_time
from standins.simulated_cluster import SimulatedCluster

# Boot, image fetch, and the time to provision and record 200 machines at the request rates of the stand-ins.
MAX_START_S = 30.0


async def run_largest_job(fields, machines):
    """Run a job that needs every machine of the cloud.

    Returns the cluster and the seconds until all tasks of the job run at the same time, or None if they don't.
    """
    cluster = SimulatedCluster(
        7, zones=("a",), machines=2, teams=3, guarantee=0.0, quota=1000.0, capacity=(machines, 0)
    )
    await cluster.wait_for_leader()
    spec = cluster.job(1, cores=14.0, cards=2.0, ramGb=50.0, loanS=300.0, volumes=machines, **fields)
    submitted_at = cluster.now()
    cluster.spawn(cluster.simulate_user(spec, run_s=300.0))
    while cluster.now() < submitted_at + 4 * MAX_START_S:
        await asyncio.sleep(1.0)
        status, answer = await cluster.request("GET", f"/v2/runs/{spec['ref']}")
        if status == 200 and answer["running"] == machines:
            return cluster, cluster.now() - submitted_at
    return cluster, None


@pytest.mark.parametrize(
    "fields",
    [
        # guards against a limit of 64 machines for a gang of any size, which then waited for ever
        {"format": "group"},
        {"format": "group", "samePlace": True},
        # guards against provisioning for 64 tasks at a time, with a wait until these machines were up
        {"format": "batch"},
    ],
)
def test_the_largest_job_gets_every_machine(fields):
    cluster, time_to_start_s = virtual_time.run(run_largest_job(fields, 200))
    assert cluster.checker.violations == []
    assert time_to_start_s is not None
    assert time_to_start_s < MAX_START_S
