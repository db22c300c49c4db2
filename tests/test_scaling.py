"""Plans to scale out for waiting jobs, and to scale in idle machines."""

import pytest

from builders import BOX, OBJECTIVES, TEAMS, SchedulerHarness
from passrock.core.machine_catalog import MachineCatalog, MachineOffering
from passrock.core.model import JobKind, Resources, Team
from passrock.core.scaling import plan_scale_in, plan_scale_out

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
