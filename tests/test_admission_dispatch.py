"""Dispatch: a low-priority class has a start in every window, under an endless flood of higher ones."""

import asyncio

import cbor2
import msgspec
import pytest

from passrock.admission.core.starvation import StartWatch
from passrock.admission.settings import AdmissionSettings
from standins import virtual_time
from standins.admission_load import ClassWaits, SubmissionLoad, overloaded_cluster, submit

WINDOW_S = 240.0
ADMISSION = AdmissionSettings(window_s=WINDOW_S)
HIGH, LOW, LARGE = 100_000, 500_000, 600_000


async def saturated_cluster(seed, for_s, admission=ADMISSION, **options):
    """Two machines without scale-out, and endless production work for three times as many."""
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
    """Production work fills the machines without end; one gang needs all of them, beside many tiny jobs."""
    for_s = 3600.0
    cluster, waits, begin = virtual_time.run(rare_starts(for_s, node_count=1))
    assert cluster.checker.violations == []
    # of 0.2 that the machines could run: little is prioritized before it
    assert len(waits.starts["high"]) > 0.1 * for_s
    assert all(waits.longest[name] <= WINDOW_S for name in ("high", "low", "tiny", "large"))
    assert waits.starts["large"][0] - begin <= WINDOW_S  # all machines have to be free for it at once


def test_without_dispatch_a_low_class_starves(monkeypatch):
    """The check above fails where no class is prioritized."""
    monkeypatch.setattr(StartWatch, "prioritized", lambda self, waits, now, limit: [])
    _, waits, _ = virtual_time.run(rare_starts(700.0, node_count=1))
    assert waits.longest["low"] > WINDOW_S
    assert waits.longest["tiny"] > WINDOW_S


def test_a_new_leader_does_not_restart_the_waiting_time():
    """Leaders that change more often than a class may wait."""

    async def main():
        cluster, _, waits = await saturated_cluster(2, 1000.0)
        for _ in range(20):
            await asyncio.sleep(35.0)
            await cluster.crash([await cluster.wait_for_leader()], 2.0)
        return cluster, waits

    cluster, waits = virtual_time.run(main())
    assert cluster.checker.violations == []
    assert len(waits.starts["low"]) > 5
    assert waits.longest["low"] <= WINDOW_S


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
        outcomes = leader.admission._deciding is not None
        waits = {wait.flow.job_class: wait for wait in leader.admission.dispatch.waits}
        return outcomes, waits["kept"].obstacle.value, leader.leader_term.scheduler.overrides.prioritized

    outcomes, found, prioritized = virtual_time.run(main())
    assert outcomes
    assert found == obstacle
    assert "wk-600000" not in prioritized


def test_removal_of_a_team_whose_jobs_wait():
    """Its jobs stay known and nothing more is started for them; the leader goes on with the others."""

    async def main():
        cluster, checker, waits = await saturated_cluster(4, 120.0)
        starts = waits.starts
        kept = cluster.job(LARGE, shelfmark="kept", desk="t2", precedence="low")
        assert await submit(cluster, checker, kept, run_s=5.0)
        cluster.teams = 2  # in the settings of processes that start from now on
        await cluster.crash(list(cluster.nodes), 1.0)
        await asyncio.sleep(60.0)
        before = len(starts["high"])
        await asyncio.sleep(30.0)
        status, answer = await cluster.request("GET", f"/v2/runs/{kept['ref']}")
        refused = cluster.job(LARGE + 1, shelfmark="kept", desk="t2")
        cluster.specs[refused["ref"]] = refused
        fresh, _ = await cluster.request("POST", "/v2/runs", cbor2.dumps(refused))
        return len(starts["high"]) - before, (status, answer["status"], fresh), starts.get("kept")

    served, answers, kept = virtual_time.run(main())
    assert served > 0
    assert kept is None
    assert answers == (200, "queued", 422)


async def inject_controller_faults(cluster, for_s):
    """Crashes, pauses, cuts and outages of a few seconds, one after the other."""
    until = cluster.now() + for_s
    while cluster.now() < until:
        await asyncio.sleep(cluster.rng.uniform(15.0, 45.0))
        name, spell = cluster.rng.choice(list(cluster.nodes)), cluster.rng.uniform(2.0, 10.0)
        kind = cluster.rng.choice(["crash", "freeze", "refuse", "peers", "outage"])
        if kind == "crash":
            await cluster.crash([name], spell)
        elif kind == "freeze":
            cluster.nodes[name].frozen_until = cluster.now() + spell
        elif kind == "refuse":
            await cluster.refuse_store_access(name, spell)
        elif kind == "peers":
            cluster.network_faults.append(("peers", name, cluster.now() + spell))
        else:
            await cluster.store_outage(spell)


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
    assert waits.longest["low"] <= WINDOW_S
