"""Holds for starving gangs: only with the prospect of a start, and with backfilling until then."""

import itertools
import math
import random
from collections import Counter

import pytest

from builders import BOX, SchedulerHarness
from passrock.core.deferral import SCHEDULABLE_WAIT_LIMIT_S
from passrock.core.model import JobKind, Priority, Resources, Team
from passrock.core.starvation_holds import HOLD_STOP_LATENCIES

WHOLE_MACHINE = Resources(10, 2, 50)
GANG = {"kind": JobKind.GANG, "task_count": 4, "resources": WHOLE_MACHINE, "priority": Priority.HIGH}
STARVING_AT = 60.0
BEGIN_WITHIN_S = 240.0  # the limit of users for the largest gangs


def on_demand(count, zone="a"):
    return [(f"{zone}{number}", zone, False) for number in range(1, count + 1)]


def occupy(harness, **fields):
    """Place a job, of the highest priority, on the first machine of the harness."""
    job = harness.job(90, team="t1", priority=Priority.PRODUCTION, **fields)
    assert len(harness.run()) == 1
    return job


def with_service(harness):
    occupy(harness, kind=JobKind.SERVICE, estimated_run_s=0.0)


def with_long_production_work(harness):
    occupy(harness, resources=WHOLE_MACHINE, estimated_run_s=1000.0)


def with_short_production_work(harness):
    occupy(harness, resources=WHOLE_MACHINE, estimated_run_s=STARVING_AT + 40.0)


def with_machine_that_never_boots(harness):
    harness.inventory.add("booting", BOX, "a", spot=False, now=STARVING_AT, age_s=2 * BOX.boot_s)


def with_booting_machine(harness):
    harness.inventory.add("booting", BOX, "a", spot=False, now=STARVING_AT)


def with_nothing_else(harness):
    pass


HOPELESS_GANGS = [
    pytest.param(on_demand(3), with_nothing_else, {}, id="too few machines, and the cloud has no more"),
    pytest.param(on_demand(4), with_service, {}, id="a service never leaves one of four machines"),
    pytest.param(on_demand(4), with_long_production_work, {}, id="production work, which nothing preempts"),
    pytest.param(
        on_demand(3) + on_demand(4, "b"), with_nothing_else, {"zone": "a"}, id="the large zone is ruled out"
    ),
    pytest.param(
        on_demand(3) + on_demand(3, "b"), with_nothing_else, {"single_zone": True}, id="no zone has enough machines"
    ),
    pytest.param(
        [*on_demand(3), ("s1", "a", True), ("s2", "a", True)], with_nothing_else, {}, id="the rest are spot instances"
    ),
    pytest.param(on_demand(3), with_machine_that_never_boots, {}, id="a machine is rented and never reports"),
    # Regression: with `spread`, machines were held that the gang could not use, as its limit was not asked.
    pytest.param(on_demand(4), with_nothing_else, {"spread_zones": True}, id="spread, and one zone has all machines"),
    pytest.param(
        on_demand(3) + on_demand(1, "b"), with_nothing_else, {"spread_zones": True}, id="spread, and a small zone"
    ),
    pytest.param(
        on_demand(2) + on_demand(3, "b"),
        with_long_production_work,
        {"spread_zones": True},
        id="spread, and production work in the small zone",
    ),
]


@pytest.mark.parametrize(("machines", "prepare", "fields"), HOPELESS_GANGS)
def test_nothing_is_held_for_a_gang_that_cannot_be_expected_to_start(machines, prepare, fields):
    """Regression: a gang that never found enough machines had all others kept free, and every other job waited."""
    harness = SchedulerHarness(machines)
    prepare(harness)
    harness.job(1, **GANG, **fields)
    harness.advance(STARVING_AT)
    assert harness.run(STARVING_AT) == []
    harness.job(2, team="t1", at=STARVING_AT, estimated_run_s=1000.0, zone="a")
    assert [job for job, _, _ in harness.run(STARVING_AT)] == ["wk-2"]


EXPECTED_GANGS = [
    pytest.param(on_demand(4), with_short_production_work, {}, id="a task is about to end"),
    pytest.param(on_demand(3), with_booting_machine, {}, id="a machine boots"),
    pytest.param(
        on_demand(2),
        with_short_production_work,
        {"resources": Resources(5, 1, 20)},
        id="two of the gang's tasks fit on each machine",
    ),
    pytest.param(
        on_demand(2) + on_demand(2, "b"),
        with_short_production_work,
        {"spread_zones": True},
        id="spread, and a task is about to end",
    ),
    pytest.param(
        on_demand(2, "b") + on_demand(1), with_booting_machine, {"spread_zones": True}, id="spread, and one boots"
    ),
]


@pytest.mark.parametrize(("machines", "prepare", "fields"), EXPECTED_GANGS)
def test_machines_are_held_for_a_gang_that_will_start(machines, prepare, fields):
    """Other tasks use the held machines only if they are expected to end before the gang can start."""
    harness = SchedulerHarness(machines)
    prepare(harness)
    gang = harness.job(1, **{**GANG, **fields})
    harness.advance(STARVING_AT)
    assert harness.run(STARVING_AT) == []
    assert harness.scheduler.holds.machines_of(gang) == set(harness.inventory.machines)
    long = harness.job(2, team="t1", at=STARVING_AT, estimated_run_s=100.0)
    assert harness.run(STARVING_AT) == []
    harness.job_table.remove(long)
    short = harness.job(3, team="t1", at=STARVING_AT, estimated_run_s=5.0)
    assert [job for job, _, _ in harness.run(STARVING_AT)] == [short.spec.id]


def held_by_zone(harness, job):
    names = harness.scheduler.holds.machines_of(job)
    return Counter(harness.inventory.machines[name].zone for name in names)


def with_tasks_about_to_end(harness, zone, count):
    for number in range(count):
        harness.job(90 + number, team="t1", resources=WHOLE_MACHINE, zone=zone, estimated_run_s=STARVING_AT + 40.0)
    assert len(harness.run()) == count


def test_machines_are_held_in_the_zones_that_a_spread_gang_can_use():
    """Regression: all four machines that were free first were held, in one zone, which may have two of the tasks."""
    harness = SchedulerHarness(on_demand(4) + on_demand(2, "b"))
    with_tasks_about_to_end(harness, "b", 2)
    gang = harness.job(1, **GANG, spread_zones=True)
    harness.advance(STARVING_AT)
    assert harness.run(STARVING_AT) == []
    assert held_by_zone(harness, gang) == {"a": 2, "b": 2}
    harness.job(2, team="t1", at=STARVING_AT, estimated_run_s=1000.0, task_count=3)
    assert [machine[0] for _, _, machine in harness.run(STARVING_AT)] == ["a", "a", "a"]


def test_holds_end_when_a_spread_gang_starts_in_another_zone():
    harness = SchedulerHarness(on_demand(2) + on_demand(2, "b"))
    with_tasks_about_to_end(harness, "b", 2)
    gang = harness.job(1, **GANG, spread_zones=True)
    harness.advance(STARVING_AT)
    harness.run(STARVING_AT)
    assert held_by_zone(harness, gang) == {"a": 2, "b": 2}
    for name in ("c1", "c2"):
        harness.add_machine(name, "c", now=STARVING_AT)
    assert {machine for _, _, machine in harness.run(STARVING_AT)} == {"a1", "a2", "c1", "c2"}
    expired_at = STARVING_AT + HOLD_STOP_LATENCIES * harness.scheduler.stop_latency_s
    harness.run(expired_at)
    assert len(harness.scheduler.holds) == 0


def test_the_machine_held_for_a_prioritized_service_is_one_that_it_can_use():
    """Regression: fair admission had a machine held in the zone that may take no further task of the service."""
    harness = SchedulerHarness(on_demand(2) + on_demand(1, "b"))
    with_tasks_about_to_end(harness, "b", 1)
    service = harness.job(1, kind=JobKind.SERVICE, task_count=2, spread_zones=True, estimated_run_s=0.0)
    assert len(harness.run()) == 1
    harness.advance(STARVING_AT)
    harness.scheduler.overrides.prioritized = {service.spec.id}
    assert harness.run(STARVING_AT) == []
    assert held_by_zone(harness, service) == {"b": 1}


def test_a_task_that_would_not_end_in_time_leaves_its_shape_schedulable():
    """A long task for which a held machine is closed must not end the search for shorter tasks of the same shape."""
    harness = SchedulerHarness(on_demand(4))
    with_short_production_work(harness)
    harness.job(1, **GANG)
    harness.advance(STARVING_AT)
    harness.run(STARVING_AT)
    for number, estimated_run_s in ((2, 100.0), (3, 5.0)):
        harness.job(number, team="t1", at=STARVING_AT, estimated_run_s=estimated_run_s)
    assert [job for job, _, _ in harness.run(STARVING_AT)] == ["wk-3"]


class SteadyLoad:
    """Small jobs that keep a cluster occupied: whenever fewer than ``backlog`` wait, another one is submitted."""

    def __init__(self, seed, machine_count, mean_run_s, backlog):
        self.random = random.Random(seed)
        teams = {name: Team(name, 0, 0, 0, 0) for name in ("t0", "t1")}
        self.harness = SchedulerHarness(on_demand(machine_count), teams=teams)
        self.mean_run_s, self.backlog = mean_run_s, backlog
        self.job_table = self.harness.job_table
        self.run_s = {}  # job -> its true run time
        self.small_jobs = itertools.count(100)
        self.waits_beside_capacity_since = {}
        self.longest_wait_s = 0.0

    def play_second(self, now):
        """End the tasks that are due, submit jobs, run a pass and check the waiting small jobs."""
        for attempt in [attempt for job in self.job_table.jobs.values() for attempt in job.attempts()]:
            if now >= attempt.placed_at + self.run_s.get(attempt.job.spec.id, math.inf):
                self.job_table.record_attempt_completed(attempt)
        for job_id in list(self.job_table.finalizing):
            self.job_table.remove(self.job_table.jobs[job_id])
        self.harness.advance(now)
        while sum(job.waiting_count > 0 for job in self.job_table.jobs.values()) < self.backlog:
            self.submit(now)
        self.harness.run(now)
        self.check_waiting(now)

    def submit(self, now):
        """Submit a small job whose estimated run time is wrong by up to half."""
        run_s = self.mean_run_s * self.random.uniform(0.5, 1.5)
        resources = self.random.choice([WHOLE_MACHINE, WHOLE_MACHINE, Resources(5, 1, 20)])
        estimate_s = run_s * self.random.uniform(0.5, 1.5)
        job = self.harness.job(
            next(self.small_jobs), at=now, team="t1", resources=resources, estimated_run_s=estimate_s, image_gb=0.5
        )
        self.run_s[job.spec.id] = run_s

    def check_waiting(self, now):
        machines = self.harness.inventory.machines.values()
        for job in self.job_table.jobs.values():
            beside_capacity = any(job.spec.resources.fits(machine.free_capacity) for machine in machines)
            if job.waiting_count and job.spec.kind is JobKind.ARRAY and beside_capacity:
                since = self.waits_beside_capacity_since.setdefault(job.spec.id, now)
                self.longest_wait_s = max(self.longest_wait_s, now - since)
            else:
                self.waits_beside_capacity_since.pop(job.spec.id, None)


@pytest.mark.parametrize(
    ("machine_count", "task_count", "mean_run_s"), [(4, 4, 60), (8, 8, 60), (8, 4, 100), (30, 16, 100)]
)
@pytest.mark.parametrize("seed", range(3))
def test_large_gangs_start_while_small_jobs_keep_coming(machine_count, task_count, mean_run_s, seed):
    """Both promises at once: without holds the gang starved; with unlimited holds the small jobs waited too long."""
    load = SteadyLoad(seed, machine_count, mean_run_s, backlog=max(3, machine_count // 2))
    submitted_at = 60.0
    gang = None
    for second in range(int(submitted_at + BEGIN_WITHIN_S)):
        if second == submitted_at:
            gang = load.harness.job(1, **{**GANG, "task_count": task_count}, at=submitted_at, single_zone=True)
        load.play_second(float(second))
        if gang is not None and gang.attempt_count:
            break
    assert gang.attempt_count == task_count
    assert load.longest_wait_s < SCHEDULABLE_WAIT_LIMIT_S
