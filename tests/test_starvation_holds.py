"""Holds for starving gangs: only with the prospect of a start, and with backfilling until then."""

import pytest

from builders import BOX, SchedulerHarness
from passrock.core.model import JobKind, Priority, Resources

WHOLE_MACHINE = Resources(10, 2, 50)
GANG = {"kind": JobKind.GANG, "task_count": 4, "resources": WHOLE_MACHINE, "priority": Priority.HIGH}
STARVING_AT = 60.0


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
