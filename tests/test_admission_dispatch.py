"""Starvation prevention: a low-priority class has a start in every window under endless load of higher priority."""

import asyncio

import cbor2
import msgspec
import pytest

from passrock.admission.core.starvation import StartTracker
from passrock.admission.settings import AdmissionSettings
from standins import virtual_time
from standins.admission_load import ClassWaits, SubmissionLoad, overloaded_cluster, submit

WINDOW_S = 240.0
ADMISSION = AdmissionSettings(window_s=WINDOW_S)
HIGH, LOW, LARGE = 100_000, 500_000, 600_000


async def saturated_cluster(seed, for_s, admission=ADMISSION, **options):
    """Return a cluster of two machines without scale-out, under production load for three times as many machines."""
    cluster, checker = overloaded_cluster(seed, admission, machines=2, capacity=(0, 0), zones=("a",), **options)
    waits = ClassWaits(cluster, checker)
    cluster.spawn(waits.run())
    await asyncio.sleep(14.0)
    high = SubmissionLoad(cluster, checker, HIGH, shelfmark="high", precedence="prod", format="batch")
    cluster.spawn(high.run(0.28, for_s, run_s=20.0))
    await asyncio.sleep(30.0)
    low = SubmissionLoad(cluster, checker, LOW, shelfmark="low", precedence="low")
    cluster.spawn(low.run(0.02, for_s - 30.0, run_s=5.0))
    return cluster, checker, waits


async def rare_starts(for_s, admission=ADMISSION, **options):
    cluster, checker, waits = await saturated_cluster(1, for_s, admission, **options)
    tiny = SubmissionLoad(cluster, checker, 700_000, shelfmark="tiny", precedence="low", desk="t1")
    cluster.spawn(tiny.run(0.1, for_s - 30.0))
    large = cluster.job(LARGE, shelfmark="large", desk="t1", format="group", volumes=2, cards=2.0, precedence="low")
    cluster.spawn(submit(cluster, checker, large, run_s=5.0))
    begin = cluster.now()
    await asyncio.sleep(for_s - 30.0)
    return cluster, waits, begin


def test_every_class_starts_in_every_window_for_an_hour():
    """Production load fills the machines all the time; one gang needs all machines, beside many tiny jobs."""
    for_s = 3600.0
    cluster, waits, begin = virtual_time.run(rare_starts(for_s, node_count=1))
    assert cluster.checker.violations == []
    # the machines can run 0.2 tasks per second; prioritization may cost less than half of that
    assert len(waits.starts["high"]) > 0.1 * for_s
    assert all(waits.longest_s[name] <= WINDOW_S for name in ("high", "low", "tiny", "large"))
    assert waits.starts["large"][0] - begin <= WINDOW_S  # it needs all machines free at once


def test_without_dispatch_a_low_class_starves(monkeypatch):
    """Without prioritization, the check of the test above fails."""
    monkeypatch.setattr(StartTracker, "prioritized", lambda self, waits, wall_clock_now, limit: [])
    _, waits, _ = virtual_time.run(rare_starts(700.0, node_count=1))
    assert waits.longest_s["low"] > WINDOW_S
    assert waits.longest_s["tiny"] > WINDOW_S


def test_a_new_leader_does_not_restart_the_waiting_time():
    """The leader changes several times within a window, which must not reset the waiting times."""

    async def main():
        cluster, _, waits = await saturated_cluster(2, 1000.0)
        for _ in range(20):
            await asyncio.sleep(35.0)
            await cluster.crash([await cluster.wait_for_leader()], 2.0)
        return cluster, waits

    cluster, waits = virtual_time.run(main())
    assert cluster.checker.violations == []
    assert len(waits.starts["low"]) > 5
    assert waits.longest_s["low"] <= WINDOW_S


@pytest.mark.parametrize(
    ("fields", "obstacle"),
    [
        ({"branch": "b"}, "no_machine"),
        ({"desk": "t1", "cards": 2.0, "volumes": 4, "format": "group"}, "team_limit"),
    ],
)
def test_jobs_that_cannot_start_are_not_counted_as_starving(fields, obstacle):
    async def main():
        cluster, checker, _ = await saturated_cluster(3, 200.0, quota=4.0 if obstacle == "team_limit" else 8.0)
        cluster.zones = ("a", "b")
        cluster.cloud.machine_types["box"]["branches"] = ["a", "b"]
        if obstacle == "team_limit":
            filler = cluster.job(LARGE + 1, desk="t1", precedence="prod", format="service", volumes=1)
            cluster.spawn(submit(cluster, checker, filler, run_s=1e6))
            fields.update(volumes=2)
        await asyncio.sleep(20.0)
        for sim in cluster.nodes.values():
            sim.node.catalog.types = {
                name: msgspec.structs.replace(kind, zones=("a", "b")) for name, kind in sim.node.catalog.types.items()
            }
        spec = cluster.job(LARGE, shelfmark="kept", precedence="low", **fields)
        cluster.spawn(submit(cluster, checker, spec))
        await asyncio.sleep(100.0)
        leader = cluster.nodes[await cluster.wait_for_leader()].node
        allocating = leader.admission._allocator_task is not None
        waits = {wait.flow.job_class: wait for wait in leader.admission.dispatch.waits}
        return allocating, waits["kept"].obstacle.value, leader.leader_term.scheduler.overrides.prioritized

    allocating, found, prioritized = virtual_time.run(main())
    assert allocating
    assert found == obstacle
    assert "wk-600000" not in prioritized


def test_removal_of_a_team_whose_jobs_wait():
    """Jobs of a removed team can still be queried but are not started; the leader serves the other teams."""

    async def main():
        cluster, checker, waits = await saturated_cluster(4, 120.0)
        starts = waits.starts
        orphaned = cluster.job(LARGE, shelfmark="kept", desk="t2", precedence="low")
        assert await submit(cluster, checker, orphaned, run_s=5.0)
        cluster.teams = 2  # applies to processes started from now on
        await cluster.crash(list(cluster.nodes), 1.0)
        await asyncio.sleep(60.0)
        before = len(starts["high"])
        await asyncio.sleep(30.0)
        status, answer = await cluster.request("GET", f"/v2/runs/{orphaned['ref']}")
        refused = cluster.job(LARGE + 1, shelfmark="kept", desk="t2")
        cluster.specs[refused["ref"]] = refused
        refused_status, _ = await cluster.request("POST", "/v2/runs", cbor2.dumps(refused))
        return len(starts["high"]) - before, (status, answer["status"], refused_status), starts.get("kept")

    served, answers, removed_team_starts = virtual_time.run(main())
    assert served > 0
    assert removed_team_starts is None
    assert answers == (200, "queued", 422)


async def inject_controller_faults(cluster, for_s):
    """Inject crashes, pauses, partitions and store outages of a few seconds, one after the other."""
    until = cluster.now() + for_s
    while cluster.now() < until:
        await asyncio.sleep(cluster.rng.uniform(15.0, 45.0))
        name, duration_s = cluster.rng.choice(list(cluster.nodes)), cluster.rng.uniform(2.0, 10.0)
        kind = cluster.rng.choice(["crash", "freeze", "refuse", "peers", "outage"])
        if kind == "crash":
            await cluster.crash([name], duration_s)
        elif kind == "freeze":
            cluster.nodes[name].frozen_until = cluster.now() + duration_s
        elif kind == "refuse":
            await cluster.refuse_store_access(name, duration_s)
        elif kind == "peers":
            cluster.network_faults.append(("peers", name, cluster.now() + duration_s))
        else:
            await cluster.store_outage(duration_s)


@pytest.mark.parametrize("seed", range(20, 26))
def test_windows_hold_through_controller_faults(seed):
    async def main():
        cluster, checker, waits = await saturated_cluster(seed, 600.0)
        await inject_controller_faults(cluster, 540.0)
        return cluster, checker, waits

    cluster, checker, waits = virtual_time.run(main())
    assert cluster.checker.violations == []
    assert checker.verify() == []
    assert len(waits.starts["low"]) > 3
    assert waits.longest_s["low"] <= WINDOW_S
