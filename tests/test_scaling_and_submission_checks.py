"""What is rented and given back, and what is taken in."""

import pytest

from builders import AIMS, BOX, TEAMS, SchedulerHarness, spec
from passrock.core.concurrency_limiter import AdaptiveConcurrencyLimiter
from passrock.core.machine_catalog import MachineCatalog, MachineOffering
from passrock.core.messages import TaskState
from passrock.core.model import JobKind, Resources, Team
from passrock.core.scaling import plan_scale_in, plan_scale_out
from passrock.core.submission_checks import fault
from passrock.core.token_bucket import TokenBucket

EXITED = TaskState.EXITED


# waiting jobs -> machines to rent
RENTALS = [
    ([{"tasks": 3}], {MachineOffering("box", "a", False): 2}),
    ([{"tasks": 3, "allows_spot": True}], {MachineOffering("box", "a", True): 2}),
    ([{"tasks": 3, "kind": JobKind.GANG, "single_zone": True}], {MachineOffering("box", "a", False): 2}),
    ([{"tasks": 20}], {MachineOffering("box", "a", False): 4}),  # up to the team's limit
    ([{"zone": "b"}], {MachineOffering("box", "b", False): 1}),
]


@pytest.mark.parametrize(("jobs", "wanted"), RENTALS)
def test_rentals(jobs, wanted):
    harness = SchedulerHarness([])
    for number, fields in enumerate(jobs):
        harness.job(number, **fields)
    queue = harness.scheduler.queue(0.0)
    catalog = MachineCatalog({"box": BOX})
    assert plan_scale_out(queue, harness.job_table, harness.inventory, TEAMS, catalog, AIMS, 0.0) == wanted
    for offer in wanted:  # machines on their way are enough
        for i in range(wanted[offer]):
            harness.inventory.add(f"new{i}", BOX, offer.zone, offer.spot, 0.0)
    assert plan_scale_out(queue, harness.job_table, harness.inventory, TEAMS, catalog, AIMS, 0.0) == {}


@pytest.mark.parametrize(
    ("tasks", "estimate", "machines"),
    [
        (20_000, 4.0, 21),  # a place runs fifteen of them in the time that is charged at the least
        (20_000, 0.1, 1),  # but 64 tasks get a place each
        (100, 4.0, 1),
        (1_000, 300.0, 16),
    ],
)
def test_short_tasks_share_places(tasks, estimate, machines):
    harness = SchedulerHarness([])
    harness.job(
        tasks=tasks, estimated_run_s=estimate, resources=Resources(0.25, 0, 1.0), allows_spot=True, team="free"
    )
    teams = {"free": Team("free", 0, 0, 0, 0)}
    catalog = MachineCatalog({"box": BOX})
    wanted = plan_scale_out(
        list(harness.job_table.jobs.values()), harness.job_table, harness.inventory, teams, catalog, AIMS, 0.0
    )
    assert sum(wanted.values()) == machines


def test_refused_offers_rest_and_dear_ones_wait_until_needed():
    harness = SchedulerHarness([])
    harness.job(1, allows_spot=True, job_class="late")
    catalog = MachineCatalog({"box": BOX})
    for zone in BOX.zones:
        catalog.mark_unavailable(MachineOffering("box", zone, True), 50.0)
    queue = harness.scheduler.queue(0.0)
    assert plan_scale_out(queue, harness.job_table, harness.inventory, TEAMS, catalog, AIMS, 0.0) == {}
    late = plan_scale_out(queue, harness.job_table, harness.inventory, TEAMS, catalog, AIMS, 285.0)
    assert late == {MachineOffering("box", "a", True): 1}  # no longer refused by then
    for zone in BOX.zones:
        catalog.mark_unavailable(MachineOffering("box", zone, True), 500.0)
    assert plan_scale_out(queue, harness.job_table, harness.inventory, TEAMS, catalog, AIMS, 285.0) == {
        MachineOffering("box", "a", False): 1
    }


def test_returns():
    harness = SchedulerHarness([("m1", "a", False), ("m2", "a", True), ("m3", "a", False)])
    harness.job()
    harness.run()
    for machine in harness.inventory.machines.values():
        machine.requested_at = -100.0
    patience = {"box": 10.0}
    going = [m.name for m in plan_scale_in(harness.inventory, harness.job_table, patience, 12.0)]
    assert len(going) == 1 and going[0] in ("m1", "m3")  # the busy one and the cheap one stay
    assert len(plan_scale_in(harness.inventory, harness.job_table, patience, 40.0)) == 2


@pytest.mark.parametrize(
    ("fields", "refused"),
    [
        ({}, False),
        ({"team": "nobody"}, True),
        ({"resources": Resources(17, 1, 1)}, True),
        ({"types": ("other",)}, True),
        ({"zone": "z"}, True),
        ({"tasks": 100}, False),
        ({"tasks": 9, "kind": JobKind.GANG}, True),
        ({"tasks": 9, "kind": JobKind.SERVICE}, True),
        ({"tasks": 8, "kind": JobKind.GANG}, False),
    ],
)
def test_jobs_that_can_never_run(fields, refused):
    assert (fault(spec(**fields), TEAMS, {"box": BOX}) is not None) is refused


def test_limits_of_zero_are_none():
    assert Team("t", 0, 0, 0, 0).within_limit(Resources(1e6, 1e6, 0))
    assert not Team("t", 0, 0, 0, 0).within_guarantee(Resources(1, 0, 0))


def test_limiter_follows_measured_times():
    limiter = AdaptiveConcurrencyLimiter(initial=4, minimum=2, maximum=64, slack_s=0.01)
    assert [limiter.try_acquire() for _ in range(5)] == [True] * 4 + [False]
    for _ in range(4):
        limiter.release(0.01, failed=False)
    for _ in range(400):
        while limiter.try_acquire():
            pass
        while limiter.in_progress:
            limiter.release(0.01, failed=False)
    assert limiter.limit == 64
    for _ in range(200):
        limiter.try_acquire()
        limiter.release(1.0, failed=False)
    assert limiter.limit == 2
    assert 1 <= limiter.retry_after() <= 30


def test_budget_spreads_what_exceeds_the_rate():
    budget = TokenBucket(10.0, 5.0)
    waits = [budget.reserve(0.0, 1) for _ in range(8)]
    assert waits[:5] == [0.0] * 5 and waits[5:] == pytest.approx([0.1, 0.2, 0.3])
    assert budget.reserve(10.0, 1) == 0.0
