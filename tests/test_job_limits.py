"""Simulated days of jobs with all limits that users may set, alone and in pairs, under troubles."""

import asyncio
import math

import pytest

from standins import virtual_time
from standins.deployment import MACHINE_TYPE
from standins.limited_jobs import run_limited_jobs
from standins.scenarios import machines_of
from standins.simulated_cluster import SimulatedCluster

LARGEST_JOB = 8
QUOTA_GPUS = 40.0


def limited_cluster(seed, zones):
    """Return a cluster with two machine types; the larger one is offered in the first zone only."""
    wide = dict(MACHINE_TYPE, sku="wide", cores=32.0, cards=4.0, ramGb=128.0, price=9.0, spotPrice=2.9)
    return SimulatedCluster(
        seed,
        zones=zones,
        machines=2 * len(zones),
        quota=QUOTA_GPUS,
        capacity=(30, 10),
        machine_types={"box": dict(MACHINE_TYPE, branches=list(zones)), "wide": dict(wide, branches=[zones[0]])},
    )


@pytest.mark.parametrize("zones", [("a",), ("a", "b"), ("a", "b", "c")], ids=len)
@pytest.mark.parametrize("seed", range(4))
def test_jobs_with_limits_run_where_they_may(seed, zones):
    """Regression (review/3): gangs with `spread` started in one zone, or found no machine elsewhere."""

    async def main():
        return await run_limited_jobs(limited_cluster(seed, zones), 360.0, jobs=24, largest=LARGEST_JOB)

    checker, unfinished = virtual_time.run(main())
    assert checker.violations == []
    assert unfinished == []
    assert checker.starts > 0


@pytest.mark.parametrize("zones", [("a",), ("a", "b"), ("a", "b", "c")], ids=len)
@pytest.mark.parametrize("seed", range(2))
def test_no_job_with_limits_waits_beside_room_on_a_full_cloud(seed, zones):
    """The scenes of review case 5 with limits: what is held for a gang in vain keeps nothing else waiting."""

    async def main():
        cluster = limited_cluster(seed, zones)
        cluster.cloud.capacity = dict.fromkeys(cluster.cloud.capacity, 0)
        cluster.cloud.add_machine("wide", zones[0], spot=True, boot_s=0.1)
        return await run_limited_jobs(cluster, 420.0, jobs=16, largest=LARGEST_JOB)

    checker, _ = virtual_time.run(main())
    assert checker.violations == []
    assert checker.starts > 0


@pytest.mark.parametrize("kind", ["service", "group"])
def test_a_spread_job_waits_for_a_zone_without_capacity(kind):
    """Regression (review/3): in each round, machines were rented in the zone that may take no more of the job."""

    async def main():
        cluster = SimulatedCluster(3, zones=("a", "b"), machines=0, capacity=(1000, 0))
        cluster.checker.check_waiting = True
        cluster.cloud.capacity["box", "b", False] = 0
        job = cluster.job(0, format=kind, volumes=4, cards=2.0, spread=True, precedence="prod", loanS=0.0)
        cluster.spawn(cluster.simulate_user(job, run_s=1e6, cancel_after_s=math.inf))
        counts = []
        for _ in range(2):
            await asyncio.sleep(60.0)
            counts.append(cluster.cloud.next_number)
        cluster.cloud.capacity["box", "b", False] = 30
        await asyncio.sleep(90.0)
        zones = sorted(cluster.zone_of[name] for name in machines_of(cluster, job["ref"]))
        return cluster.checker, counts, zones

    checker, counts, zones = virtual_time.run(main())
    assert checker.violations == []
    assert counts[0] == counts[1]  # renting has come to an end
    assert zones == ["a", "a", "b", "b"]
