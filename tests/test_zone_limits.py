"""Zone limits of jobs: no zone takes more tasks than a job allows, and the rest of them find room elsewhere."""

import random
from collections import Counter

import pytest

from builders import SchedulerHarness
from passrock.core.model import JobKind, Priority, Resources, Team

UNLIMITED = {name: Team(name, 0, 0, 0, 0) for name in ("t0", "t1")}
ONE_GPU = Resources(5, 1, 20)  # two such tasks fit on a machine
NO_GPU = Resources(8, 0, 20)
WHOLE_MACHINE = Resources(10, 2, 50)


def machines_in(**counts):
    """Return machines by zone: ``a=2`` stands for a1 and a2 in zone a."""
    return [(f"{zone}{number}", zone, False) for zone, count in counts.items() for number in range(1, count + 1)]


def gang(harness, number=1, **fields):
    return harness.job(number, **{"kind": JobKind.GANG, "resources": ONE_GPU, "spread_zones": True, **fields})


def tasks_by_zone(harness, job):
    return Counter(harness.inventory.machines[attempt.machine].zone for attempt in job.attempts())


# tasks, machines, expected tasks by zone
SPREAD_GANGS = [
    pytest.param(4, {"a": 2}, {}, id="room for all in one zone, of which half may be used"),
    pytest.param(4, {"a": 2, "b": 1}, {"a": 2, "b": 2}, id="a machine for half of the tasks in the other zone"),
    pytest.param(4, {"a": 1, "b": 1}, {"a": 2, "b": 2}, id="both zones full"),
    pytest.param(5, {"a": 2, "b": 1}, {"a": 3, "b": 2}, id="an odd number: the larger half in the larger zone"),
    pytest.param(6, {"a": 3, "b": 1}, {}, id="a zone without room for its half"),
    pytest.param(6, {"a": 3, "b": 1, "c": 1}, {"a": 3, "b": 2, "c": 1}, id="three zones"),
    pytest.param(2, {"a": 1}, {}, id="two tasks and one machine"),
    pytest.param(1, {"a": 1}, {"a": 1}, id="a gang of one"),
]


@pytest.mark.parametrize(("task_count", "machines", "expected"), SPREAD_GANGS)
def test_gangs_with_spread_have_at_most_half_of_their_tasks_in_one_zone(task_count, machines, expected):
    """Regression (review/3): gangs took the cheapest machines, in one zone while a machine elsewhere was cut off."""
    harness = SchedulerHarness(machines_in(**machines), teams=UNLIMITED)
    job = gang(harness, task_count=task_count)
    harness.run()
    assert tasks_by_zone(harness, job) == expected


def test_gangs_with_spread_leave_the_zone_whose_machines_are_cheapest():
    """Regression (review/3): cached images drew the whole gang into one zone, though another zone had room."""
    harness = SchedulerHarness(machines_in(a=3, b=2), teams=UNLIMITED)
    for machine in harness.inventory.machines.values():
        if machine.zone == "a":
            machine.images["img"] = 2.0
    job = gang(harness, task_count=4)
    harness.run()
    assert tasks_by_zone(harness, job) == {"a": 2, "b": 2}


@pytest.mark.parametrize("order", [(True, False), (False, True)])
@pytest.mark.parametrize(("first_count", "second_count"), [(4, 4), (2, 4), (4, 2)])
def test_a_gang_that_does_not_fit_keeps_none_waiting_that_has_other_limits(order, first_count, second_count):
    """Results that a pass remembers hold for gangs with the same limits only."""
    harness = SchedulerHarness(machines_in(a=4), teams=UNLIMITED)
    counts = (first_count, second_count)
    jobs = [
        gang(harness, number, task_count=count, spread_zones=spread_zones)
        for number, (count, spread_zones) in enumerate(zip(counts, order, strict=True))
    ]
    harness.run()
    assert [job.attempt_count for job in jobs] == [
        0 if spread_zones else count for count, spread_zones in zip(counts, order, strict=True)
    ]


@pytest.mark.parametrize("limits", [{"spread_zones": True, "task_count": 2}, {"single_zone": True, "task_count": 2}])
def test_a_task_without_a_record_counts_in_its_zone(limits):
    """Regression: an orphan that may still run was not counted, so that another task joined it against the limit."""
    harness = SchedulerHarness(machines_in(a=1, b=1), teams=UNLIMITED)
    service = harness.job(1, kind=JobKind.SERVICE, **limits)
    orphans = {("wk-1", 0): service.spec.resources}
    for name in ("a1", "b1"):
        harness.inventory.machines[name].orphans = orphans
        assert harness.run() == []
        harness.inventory.machines[name].orphans = {}
    assert len(harness.run()) == 2


def room_by_zone(harness, resources):
    """Return how many tasks fit in each zone."""
    room = Counter()
    for machine in harness.inventory.machines.values():
        room[machine.zone] += resources.fit_count(machine.free_capacity, 1000)
    return room


def fits(job, room):
    """Whether the whole gang can be placed: counted from the users' page, not with the code under test."""
    spec = job.spec
    allowed = {zone: count for zone, count in room.items() if spec.zone in (None, zone)}
    if spec.single_zone:
        return any(count >= spec.task_count for count in allowed.values())
    if spec.spread_zones:
        return sum(min(count, (spec.task_count + 1) // 2) for count in allowed.values()) >= spec.task_count
    return sum(allowed.values()) >= spec.task_count


def random_cluster(rng):
    """Return a harness with machines in one to three zones, some of which run other tasks."""
    zones = rng.choice(["a", "ab", "abc"])
    harness = SchedulerHarness(machines_in(**{zone: rng.randint(0, 4) for zone in zones}), teams=UNLIMITED)
    for number in range(90, 90 + rng.randint(0, 4)):
        harness.job(number, resources=rng.choice([ONE_GPU, NO_GPU, WHOLE_MACHINE]), estimated_run_s=1000.0)
    harness.run()
    return harness


def random_gang(harness, rng, number):
    limits = rng.choice([{"spread_zones": True}, {"spread_zones": False}])
    if rng.random() < 0.2:
        limits["single_zone"] = not limits["spread_zones"]
    resources = rng.choice([ONE_GPU, NO_GPU, WHOLE_MACHINE])
    zone = rng.choice([None, None, None, "a", "b"])
    return gang(harness, number, task_count=rng.randint(1, 9), resources=resources, zone=zone, **limits)


def assert_within_limits(harness, job):
    zones = tasks_by_zone(harness, job)
    if job.spec.spread_zones:
        assert max(zones.values(), default=0) <= (job.spec.task_count + 1) // 2
    if job.spec.single_zone:
        assert len(zones) <= 1


@pytest.mark.parametrize("seed", range(200))
def test_a_gang_is_placed_exactly_if_it_can_be(seed):
    """Whatever capacity the zones have, also with the results that a pass remembers of the gangs before."""
    rng = random.Random(seed)
    harness = random_cluster(rng)
    jobs = [random_gang(harness, rng, number) for number in range(6)]
    harness.run(1.0)
    for job in jobs:
        assert job.attempt_count in (0, job.spec.task_count)
        if job.attempt_count:
            assert_within_limits(harness, job)
        else:
            assert not fits(job, room_by_zone(harness, job.spec.resources))
        # what counts as deferred is what could be placed: nothing is held here
        assert not harness.scheduler.deferrals._has_capacity_for(job) or job.attempt_count


@pytest.mark.parametrize("seed", range(100))
def test_a_gang_starts_where_its_preemption_plan_made_room(seed):
    """Work is stopped for a gang exactly if the gang then starts, within its limits."""
    rng = random.Random(seed)
    harness = random_cluster(rng)
    filling = harness.job(50, team="t1", priority=Priority.LOW, resources=ONE_GPU, task_count=30)
    harness.run()
    for attempt in filling.attempts():
        attempt.running_since = -60.0
    job = gang(harness, task_count=rng.randint(2, 6), resources=WHOLE_MACHINE, priority=Priority.PRODUCTION)
    harness.advance(1.0)
    if harness.run(1.0):
        return
    victims = harness.preemption.select_victims(job, 1.0)
    for victim in victims:
        harness.job_table.record_attempt_lost(victim, 2.0)
    harness.advance(2.0)
    harness.run(2.0)
    assert bool(job.attempt_count) is bool(victims)
    assert_within_limits(harness, job)


def test_tasks_that_an_earlier_version_placed_against_the_limit_run_on():
    """They are counted as they are: nothing is stopped, and what is placed next obeys the limit."""
    harness = SchedulerHarness(machines_in(a=4, b=1), teams=UNLIMITED)
    service = harness.job(1, kind=JobKind.SERVICE, task_count=4, resources=WHOLE_MACHINE, spread_zones=True)
    for index in range(4):
        harness.job_table.add_attempt(service, index, harness.inventory.machines[f"a{index + 1}"], 1, 0.0)
    assert harness.run() == []
    assert tasks_by_zone(harness, service) == {"a": 4}
    for index in (0, 1):
        harness.job_table.record_attempt_lost(service.page(index).attempts[index], 1.0)
    harness.advance(1.0)
    assert harness.run(1.0) == [("wk-1", 0, "b1")]
    assert not any(attempt.stop_grace_s is not None for attempt in service.attempts())
