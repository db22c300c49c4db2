"""The limit of the time for which a job waits beside machines with capacity: users expect at most 90 s."""

import pytest

from builders import BOX, SchedulerHarness, heartbeat
from passrock.core.deferral import MIN_DEFERRAL_RATIO, SCHEDULABLE_WAIT_LIMIT_S
from passrock.core.model import JobKind, Priority, Resources

WHOLE_MACHINE = Resources(10, 2, 50)
HALF_MACHINE = Resources(5, 1, 20)
LONG_RUN_S = 1000.0
HOLD_S = 3.0
LAUNCH_AND_FETCH_S = 4.0  # the launch in the answer to a heartbeat, and the image of 2 GB at 1 GB/s
WAITING_JOB = {"team": "t1", "resources": WHOLE_MACHINE, "estimated_run_s": LONG_RUN_S}


def on_demand(count):
    return [(f"m{number}", "a", False) for number in range(1, count + 1)]


def never(now):
    """Do nothing in a second."""


def hold_each_second(harness, holder_of, machines=None):
    """Return a function that renews the holds of all or some machines for the job that ``holder_of`` returns."""

    def hold(now):
        for machine in harness.inventory.machines.values():
            if machines is None or machine.name in machines:
                harness.scheduler.holds.hold(machine, holder_of(now), now + HOLD_S)

    return hold


def job_that_holds(harness, number=1):
    """Return a job that never fits, for which machines can be held."""
    return harness.job(number, team="t0", kind=JobKind.GANG, task_count=99, resources=WHOLE_MACHINE)


def last_scheduled_second(harness, job, each_second, until, start=0):
    """Run a pass each second; return the second after which no task of the job waits, or None."""
    for now in range(start, until):
        harness.advance(float(now))
        each_second(float(now))
        harness.run(float(now))
        if not job.waiting_count:
            return now
    return None


# -- what keeps a job waiting: each function returns a harness, the job and what happens in each second --------------


def gang_waits_for_a_task_that_exceeds_its_estimate():
    harness = SchedulerHarness(on_demand(2))
    harness.job(9, team="t0", priority=Priority.PRODUCTION, resources=WHOLE_MACHINE, estimated_run_s=5.0)
    harness.run()
    harness.job(1, team="t0", kind=JobKind.GANG, task_count=2, resources=WHOLE_MACHINE, at=-60.0)
    return harness, harness.job(2, **WAITING_JOB), never


def prioritized_job_waits_for_the_rest_of_a_machine():
    """Fair admission has prioritized a job for which a single machine is held, part of which is occupied."""
    harness = SchedulerHarness(on_demand(1))
    harness.job(9, team="t0", priority=Priority.PRODUCTION, resources=HALF_MACHINE, estimated_run_s=5.0)
    harness.run()
    prioritized = harness.job(1, team="t0", resources=WHOLE_MACHINE)
    harness.scheduler.overrides.prioritized = frozenset({prioritized.spec.id})
    return harness, harness.job(2, **{**WAITING_JOB, "resources": HALF_MACHINE}), never


def victims_of_preemption_do_not_end():
    """The preemption planner holds machines, and again after each hold, for as long as the victims don't end."""
    harness = SchedulerHarness(on_demand(1))
    holder = job_that_holds(harness)
    return harness, harness.job(2, **WAITING_JOB), hold_each_second(harness, lambda now: holder)


def two_jobs_hold_by_turns():
    harness = SchedulerHarness(on_demand(1))
    holders = [job_that_holds(harness, 1), job_that_holds(harness, 3)]
    return harness, harness.job(2, **WAITING_JOB), hold_each_second(harness, lambda now: holders[int(now) // 20 % 2])


def gang_waits_beside_held_machines():
    harness = SchedulerHarness(on_demand(3))
    holder = job_that_holds(harness)
    gang = harness.job(2, kind=JobKind.GANG, task_count=3, **WAITING_JOB)
    return harness, gang, hold_each_second(harness, lambda now: holder, {"m1", "m2"})


def service_is_partly_started():
    harness = SchedulerHarness(on_demand(2))
    holder = job_that_holds(harness)
    service = harness.job(
        2, kind=JobKind.SERVICE, task_count=2, priority=Priority.PRODUCTION, resources=WHOLE_MACHINE, team="t1"
    )
    return harness, service, hold_each_second(harness, lambda now: holder, {"m2"})


def array_is_partly_started_and_waits_for_spot():
    harness = SchedulerHarness([("spot", "a", True), ("m1", "a", False)])
    return harness, harness.job(2, task_count=2, allows_spot=True, **WAITING_JOB), never


def array_waits_for_spot_and_then_beside_a_hold():
    harness = SchedulerHarness(on_demand(1))
    holder = job_that_holds(harness)
    hold = hold_each_second(harness, lambda now: holder)
    array = harness.job(2, allows_spot=True, **WAITING_JOB)
    return harness, array, lambda now: hold(now) if now > 45.0 else None


def heartbeat_of_the_held_machine_is_late():
    """For a moment, the machine isn't schedulable."""
    harness, job, hold = victims_of_preemption_do_not_end()

    def each_second(now):
        hold(now)
        if now == 40.0:
            harness.inventory.machines["m1"].last_heartbeat_at = now - 3.0

    return harness, job, each_second


DEFERRALS = [
    gang_waits_for_a_task_that_exceeds_its_estimate,
    prioritized_job_waits_for_the_rest_of_a_machine,
    victims_of_preemption_do_not_end,
    two_jobs_hold_by_turns,
    gang_waits_beside_held_machines,
    service_is_partly_started,
    array_is_partly_started_and_waits_for_spot,
    array_waits_for_spot_and_then_beside_a_hold,
    heartbeat_of_the_held_machine_is_late,
]


@pytest.mark.parametrize("deferral", DEFERRALS, ids=lambda deferral: deferral.__name__)
def test_no_job_waits_for_long_beside_machines_with_capacity(deferral):
    """Regression: jobs waited without a limit beside machines held for others, or for spot instances for too long."""
    harness, job, each_second = deferral()
    scheduled_at = last_scheduled_second(harness, job, each_second, until=200)
    assert scheduled_at is not None
    assert scheduled_at <= SCHEDULABLE_WAIT_LIMIT_S - LAUNCH_AND_FETCH_S


def test_holds_are_respected_until_the_limit():
    """The other side: a limit that is too short would let small jobs use each machine before a gang finds enough."""
    harness, job, each_second = victims_of_preemption_do_not_end()
    scheduled_at = last_scheduled_second(harness, job, each_second, until=200)
    assert scheduled_at >= SCHEDULABLE_WAIT_LIMIT_S * MIN_DEFERRAL_RATIO


def test_a_wait_without_capacity_does_not_count():
    """Without capacity, the deferral ends and begins anew later: otherwise holds had no effect under overload."""
    harness, job, hold = victims_of_preemption_do_not_end()

    def each_second(now):
        hold(now)
        if 60.0 <= now < 66.0:
            harness.inventory.machines["m1"].used = WHOLE_MACHINE

    scheduled_at = last_scheduled_second(harness, job, each_second, until=200)
    assert scheduled_at >= 66.0 + SCHEDULABLE_WAIT_LIMIT_S * MIN_DEFERRAL_RATIO


def wait_under_a_new_leader(term_began_at):
    """Return when a job that was submitted at 0 and deferred by one leader is scheduled by the next one."""
    harness = SchedulerHarness([], term_began_at=term_began_at)
    holder, job = job_that_holds(harness), harness.job(2, **WAITING_JOB)
    harness.inventory.observe(heartbeat("m1"), BOX, term_began_at + 2.0)
    hold = hold_each_second(harness, lambda now: holder)
    return last_scheduled_second(harness, job, hold, until=400, start=int(term_began_at) + 2)


def test_a_new_leader_counts_the_wait_under_the_one_before():
    """Regression: each leader started to count anew, so that two of them together deferred a job for too long."""
    scheduled_at = wait_under_a_new_leader(60.0)
    assert scheduled_at is not None
    assert scheduled_at <= SCHEDULABLE_WAIT_LIMIT_S - LAUNCH_AND_FETCH_S


def test_a_takeover_does_not_end_all_holds_at_once():
    """Jobs that have waited for long use held machines only once they have been deferred by the new leader, too."""
    lease_s = SchedulerHarness().inventory.health.lease_s
    assert 202.0 + lease_s <= wait_under_a_new_leader(200.0) <= 203.0 + lease_s


def test_jobs_that_end_a_deferral_leave_held_machines_alone_where_they_can():
    """A job that may use every machine uses one that is not held, if it only waited for spot instances."""
    harness = SchedulerHarness(on_demand(2))
    holder = job_that_holds(harness)
    array = harness.job(2, allows_spot=True, **WAITING_JOB)
    hold = hold_each_second(harness, lambda now: holder, {"m1"})
    assert last_scheduled_second(harness, array, hold, until=200) is not None
    assert next(array.attempts()).machine == "m2"
