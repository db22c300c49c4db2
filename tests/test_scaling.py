"""Plans to scale out for waiting jobs, and to scale in idle machines."""

import pytest

from builders import BOX, OBJECTIVES, TEAMS, SchedulerHarness
from passrock.core.machine_catalog import MachineCatalog, MachineOffering
from passrock.core.model import JobKind, Resources, Team
from passrock.core.scale_in import plan_scale_in
from passrock.core.scale_out import plan_scale_out
from passrock.core.zone_loss import worst_zone_loss

# waiting jobs -> machines to provision
SCALE_OUTS = [
    ([{"task_count": 3}], {MachineOffering("box", "a", False): 2}),
    ([{"task_count": 3, "allows_spot": True}], {MachineOffering("box", "a", True): 2}),
    ([{"task_count": 3, "kind": JobKind.GANG, "single_zone": True}], {MachineOffering("box", "a", False): 2}),
    ([{"task_count": 20}], {MachineOffering("box", "a", False): 4}),  # up to the team's limit
    ([{"zone": "b"}], {MachineOffering("box", "b", False): 1}),
]


def scale_out(harness, catalog, queue, now=0.0, teams=TEAMS):
    return plan_scale_out(queue, harness.job_table, harness.inventory, teams, catalog, OBJECTIVES, now)


@pytest.mark.parametrize(("jobs", "machine_counts"), SCALE_OUTS)
def test_scale_out_for_waiting_jobs(jobs, machine_counts):
    harness = SchedulerHarness([])
    for number, fields in enumerate(jobs):
        harness.job(number, **fields)
    queue = harness.scheduler.queue.ready_jobs(0.0)
    catalog = MachineCatalog({"box": BOX})
    assert scale_out(harness, catalog, queue) == machine_counts
    for offering, count in machine_counts.items():  # booting machines have enough capacity
        for i in range(count):
            harness.inventory.add(f"new{i}", BOX, offering.zone, spot=offering.spot, now=0.0)
    assert scale_out(harness, catalog, queue) == {}


@pytest.mark.parametrize(
    ("task_count", "estimate", "machines"),
    [
        (20_000, 4.0, 21),  # the capacity for one task runs fifteen of them within the minimum charge
        (20_000, 0.1, 1),  # but 64 tasks get capacity of their own each
        (100, 4.0, 1),
        (1_000, 300.0, 16),
    ],
)
def test_short_tasks_share_capacity(task_count, estimate, machines):
    harness = SchedulerHarness([])
    harness.job(
        task_count=task_count,
        estimated_run_s=estimate,
        resources=Resources(0.25, 0, 1.0),
        allows_spot=True,
        team="free",
    )
    teams = {"free": Team("free", 0, 0, 0, 0)}
    catalog = MachineCatalog({"box": BOX})
    machine_counts = scale_out(harness, catalog, list(harness.job_table.jobs.values()), teams=teams)
    assert sum(machine_counts.values()) == machines


def test_unavailable_offerings_are_not_requested_and_on_demand_ones_only_when_needed():
    harness = SchedulerHarness([])
    harness.job(1, allows_spot=True, job_class="late")
    catalog = MachineCatalog({"box": BOX})
    for zone in BOX.zones:
        catalog.mark_unavailable(MachineOffering("box", zone, True), 50.0)
    queue = harness.scheduler.queue.ready_jobs(0.0)
    assert scale_out(harness, catalog, queue) == {}
    late = scale_out(harness, catalog, queue, 285.0)
    assert late == {MachineOffering("box", "a", True): 1}  # spot instances are available again by then
    for zone in BOX.zones:
        catalog.mark_unavailable(MachineOffering("box", zone, True), 500.0)
    assert scale_out(harness, catalog, queue, 285.0) == {MachineOffering("box", "a", False): 1}


SPREAD = {"spread_zones": True, "resources": Resources(10, 2, 50)}  # each task needs a whole machine
ONE_ZONE = {"single_zone": True, "resources": Resources(10, 2, 50)}

# job, machines by zone (name, zone, spot), unavailable zones, expected new machines by zone
ZONE_LIMITED = [
    pytest.param({"kind": JobKind.GANG, "task_count": 4, **SPREAD}, "", "", {"a": 2, "b": 2}, id="gang"),
    pytest.param({"kind": JobKind.GANG, "task_count": 5, **SPREAD}, "", "", {"a": 3, "b": 2}, id="gang of five"),
    pytest.param(
        {"kind": JobKind.GANG, "task_count": 4, **SPREAD}, "aaa", "", {"a": 0, "b": 2}, id="gang, room in one zone"
    ),
    pytest.param(
        {"kind": JobKind.GANG, "task_count": 4, **SPREAD}, "", "a", {"b": 2, "c": 2}, id="gang, cheapest zone full"
    ),
    pytest.param({"kind": JobKind.GANG, "task_count": 4, **SPREAD}, "", "ab", {}, id="gang, all zones but one full"),
    pytest.param(
        {"kind": JobKind.GANG, "task_count": 4, **SPREAD}, "bbb", "ab", {"c": 2}, id="gang, room in a full zone"
    ),
    pytest.param({"kind": JobKind.SERVICE, "task_count": 4, **SPREAD}, "", "", {"a": 2, "b": 2}, id="service"),
    pytest.param(
        {"kind": JobKind.SERVICE, "task_count": 4, **SPREAD}, "a", "", {"a": 1, "b": 2}, id="service, partly running"
    ),
    pytest.param(
        {"kind": JobKind.SERVICE, "task_count": 4, **SPREAD}, "aaa", "", {"b": 2}, id="service, its zone used up"
    ),
    pytest.param(
        {"kind": JobKind.SERVICE, "task_count": 4, **SPREAD}, "aaa", "bc", {}, id="service, only its zone available"
    ),
    pytest.param({"task_count": 4, **SPREAD}, "aa", "b", {"c": 2}, id="array, the next zone full"),
    pytest.param({"task_count": 4, **SPREAD}, "", "bc", {"a": 2}, id="array, one zone left: half at a time"),
    pytest.param(
        {"kind": JobKind.SERVICE, "task_count": 3, **ONE_ZONE}, "b", "", {"b": 2}, id="service bound to its zone"
    ),
    pytest.param({"task_count": 3, **ONE_ZONE}, "b", "b", {}, id="array bound to a full zone"),
    pytest.param({"task_count": 3, **ONE_ZONE}, "", "a", {"b": 3}, id="array in any one zone"),
]


@pytest.mark.parametrize(("fields", "machines", "full", "expected"), ZONE_LIMITED)
def test_machines_are_requested_where_the_tasks_may_run(fields, machines, full, expected):
    """Regression (review/3): all were requested in the cheapest zone, also for services, round after round."""
    teams = {"t0": Team("t0", 0, 0, 0, 0)}
    harness = SchedulerHarness([(f"m{i}", zone, False) for i, zone in enumerate(machines)], teams=teams)
    harness.job(**fields)
    catalog = MachineCatalog({"box": BOX})
    for zone in full:
        catalog.mark_unavailable(MachineOffering("box", zone, False), 1000.0)
    harness.run()
    wanted = {MachineOffering("box", zone, False): count for zone, count in expected.items() if count}
    assert scale_out(harness, catalog, harness.scheduler.waiting_jobs, teams=teams) == wanted
    new = [offering.zone for offering, count in wanted.items() for _ in range(count)]
    for number, zone in enumerate(new):  # nothing more is requested while they boot, and then the job runs
        harness.inventory.add(f"new{number}", BOX, zone, spot=False, now=0.0)
    assert scale_out(harness, catalog, harness.scheduler.waiting_jobs, teams=teams) == {}
    for number, zone in enumerate(new):
        harness.add_machine(f"new{number}", zone)
    assert bool(harness.run()) is bool(new)
    assert scale_out(harness, catalog, harness.scheduler.waiting_jobs, teams=teams) == {}


def test_nothing_is_requested_for_a_job_with_a_task_in_an_unknown_zone():
    """Regression: machines were requested that the job does not use until the zone is known."""
    harness = SchedulerHarness([("m1", "a", False)])
    harness.job(kind=JobKind.SERVICE, task_count=2, **SPREAD)
    harness.run()
    machine = harness.inventory.machines.pop("m1")
    catalog = MachineCatalog({"box": BOX})
    assert scale_out(harness, catalog, harness.scheduler.waiting_jobs) == {}
    harness.inventory.machines["m1"] = machine
    assert scale_out(harness, catalog, harness.scheduler.waiting_jobs) == {MachineOffering("box", "b", False): 1}


@pytest.mark.parametrize(
    ("available", "full", "zone"),
    [
        ({"a": 0.0, "b": 1.0, "c": 2.0}, "", "b"),  # the fewest free GPUs of the other zones
        ({"a": 0.0, "b": 1.0, "c": 2.0}, "b", "c"),
        ({"a": 0.0, "b": 0.0, "c": 0.0}, "bc", None),
    ],
)
def test_the_buffer_for_the_loss_of_a_zone_is_in_another_zone(available, full, zone):
    """Regression: it was rented in the zone itself, again in each round, as that never made up for the loss."""
    catalog = MachineCatalog({"box": BOX})
    for name in full:
        catalog.mark_unavailable(MachineOffering("box", name, False), 1000.0)
    worst = worst_zone_loss({"a": 8.0}, available, BOX.zones)
    assert (worst.zone, worst.shortfall) == ("a", 8.0 - available["b"] - available["c"])
    offering = catalog.buffer_offering(available, worst.zone, 0.0)
    assert (offering and offering.zone) == zone


def test_scale_in_of_idle_machines():
    harness = SchedulerHarness([("m1", "a", False), ("m2", "a", True), ("m3", "a", False)])
    harness.job()
    harness.run()
    for machine in harness.inventory.machines.values():
        machine.requested_at = -100.0
    idle_timeout_s = {"box": 10.0}
    surplus = [idle.name for idle in plan_scale_in(harness.inventory, harness.job_table, idle_timeout_s, 12.0)]
    assert len(surplus) == 1
    assert surplus[0] in ("m1", "m3")  # the busy one and the spot instance stay
    assert len(plan_scale_in(harness.inventory, harness.job_table, idle_timeout_s, 40.0)) == 2
