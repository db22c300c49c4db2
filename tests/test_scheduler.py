"""Scheduling: queue order, placement and its cost, gangs, image fetches, and machine holds for starving jobs."""

import pytest

from builders import BOX, SchedulerHarness, spec
from passrock.core.capacity_forecast import CapacityForecast
from passrock.core.job_table import JobTable
from passrock.core.model import ZERO_RESOURCES, JobKind, Priority, Resources
from passrock.core.objectives import Objective, ServiceLevelObjectives
from passrock.core.records import encode_record, new_job_record, tasks_per_page
from passrock.core.zone_constraint import ZoneConstraint

# job fields, machines (name, zone, spot), expected number of placed tasks
PLACEMENT_CASES = [
    pytest.param({"task_count": 3}, [("m1", "a", False)], 2, id="as many tasks as fit"),
    pytest.param({"task_count": 3, "kind": JobKind.GANG}, [("m1", "a", False)], 0, id="a gang that does not fit"),
    pytest.param({"zone": "b"}, [("m1", "a", False)], 0, id="another zone"),
    pytest.param({"machine_types": ("other",)}, [("m1", "a", False)], 0, id="another machine type"),
    pytest.param({}, [("m1", "a", True)], 0, id="spot instances not allowed"),
    pytest.param({"allows_spot": True}, [("m1", "a", True)], 1, id="spot instances allowed"),
    pytest.param(
        {"task_count": 2, "kind": JobKind.SERVICE, "spread_zones": True},
        [("m1", "a", False)],
        1,
        id="service replicas spread over zones, of which only one exists",
    ),
    pytest.param(
        {"task_count": 2, "kind": JobKind.SERVICE, "spread_zones": True},
        [("m1", "a", False), ("m2", "b", False)],
        2,
        id="service replicas spread over zones",
    ),
    pytest.param(
        {"task_count": 3, "kind": JobKind.GANG, "single_zone": True},
        [("m1", "a", False), ("m2", "b", False)],
        0,
        id="a single-zone gang for which neither zone has capacity",
    ),
    pytest.param(
        {"task_count": 3, "kind": JobKind.GANG},
        [("m1", "a", False), ("m2", "b", False)],
        3,
        id="a gang over two zones",
    ),
    pytest.param(
        {"task_count": 3, "single_zone": True}, [("m1", "a", False), ("m2", "b", False)], 2, id="a single-zone array"
    ),
    pytest.param(
        {"task_count": 20}, [(f"m{i}", "a", False) for i in range(9)], 8, id="an array beyond the team's quota"
    ),
    pytest.param(
        {"task_count": 9, "kind": JobKind.GANG},
        [(f"m{i}", "a", False) for i in range(9)],
        0,
        id="a gang beyond the team's quota",
    ),
]


@pytest.mark.parametrize(("fields", "machines", "count"), PLACEMENT_CASES)
def test_placement(fields, machines, count):
    harness = SchedulerHarness(machines)
    harness.job(**fields)
    assert len(harness.run()) == count


def test_a_task_with_an_orphan_is_not_placed():
    harness = SchedulerHarness([("m1", "a", False), ("m2", "a", False)])
    harness.job()
    harness.inventory.machines["m2"].orphans = {("wk-1", 0): Resources(5, 1, 20)}
    assert harness.run() == []
    harness.inventory.machines["m2"].orphans = {}
    assert harness.run() == [("wk-1", 0, "m1")]


def test_cached_images_and_bin_packing_decide_the_machine():
    harness = SchedulerHarness([("m1", "a", False), ("m2", "a", False)])
    harness.inventory.machines["m2"].images["img"] = 2.0
    harness.job(1, image_gb=20.0)
    assert harness.run() == [("wk-1", 0, "m2")]
    harness.job(2, image="other", team="t1")
    assert harness.run() == [("wk-2", 0, "m2")]  # the machine in use, for bin packing


@pytest.mark.parametrize(
    ("fields", "now", "machine"),
    [
        ({"job_class": "late"}, 0.0, "spot"),
        ({"job_class": "late"}, 5.0, "spot"),
        ({"job_class": "none"}, 5.0, "spot"),
        ({"job_class": "none"}, 60.0, "on-demand"),  # no objective, but the job is starving
        ({"job_class": "soon"}, 15.0, "on-demand"),
        ({"job_class": "late", "kind": JobKind.GANG}, 5.0, "on-demand"),
    ],
)
def test_arrays_that_can_wait_for_spot_leave_on_demand_machines(fields, now, machine):
    """Arrays that may use spot instances don't occupy on-demand machines for long.

    Otherwise gangs that may not use spot instances waited for minutes although spot instances were free.
    """
    harness = SchedulerHarness([("on-demand", "a", False), ("spot", "a", True)])
    if machine == "on-demand" or now:
        harness.inventory.machines["spot"].reclaim_at = 1.0
    harness.job(1, allows_spot=True, **fields)
    harness.refresh_heartbeats(now)
    placed = [name for _, _, name in harness.run(now)]
    assert placed == ([machine] if machine == "on-demand" or not now else [])


def test_service_replicas_share_machines():
    """Service replicas are packed: spread over empty machines, they left half of each unusable while they ran."""
    harness = SchedulerHarness([(f"m{i}", "a", False) for i in range(4)])
    harness.job(1, kind=JobKind.SERVICE, task_count=4, priority=Priority.PRODUCTION)
    assert len({machine for _, _, machine in harness.run()}) == 2


def test_an_image_fetch_in_progress_is_not_slowed():
    """Two image fetches on a machine share its bandwidth, so that a second fetch would delay the first task."""
    harness = SchedulerHarness([("m1", "a", False), ("m2", "a", False)])
    harness.inventory.machines["m2"].images["old"] = 1.0
    harness.job(1, image="one", image_gb=20.0)
    assert harness.run() == [("wk-1", 0, "m1")]
    harness.job(2, image="two", image_gb=20.0, team="t1")
    assert harness.run() == [("wk-2", 0, "m2")]
    assert harness.inventory.machines["m1"].image_fetch_interference_s(spec(3, image="one")) == 0.0


def test_an_objective_that_the_fetch_would_miss_does_not_count():
    """A job that would miss an objective because of its image fetch doesn't go before jobs that can meet theirs."""
    harness = SchedulerHarness()
    image_gb_of = {1: 1.0, 2: 40.0, 3: 20.0}  # fetched at 1 GB/s; the objective is a start within 30 s
    for number, image_gb in image_gb_of.items():
        harness.job(number, team="t1", task_count=6, job_class="soon", image_gb=image_gb, at=0.1 * number)
    harness.run(0.4)
    harness.scheduler.queue.update_guaranteed_jobs()
    assert [job.spec.id for job in harness.scheduler.queue.ready_jobs(0.5)] == ["wk-3", "wk-1", "wk-2"]


def test_queue_order():
    harness = SchedulerHarness()
    harness.job(1, team="t1", task_count=6, job_class="late", at=0.0)
    harness.job(2, job_class="late", at=1.0)
    harness.job(3, job_class="soon", at=2.0)
    harness.job(4, priority=Priority.PRODUCTION, at=3.0)
    harness.scheduler.queue.update_guaranteed_jobs()
    assert [job.spec.id for job in harness.scheduler.queue.ready_jobs(5.0)] == ["wk-4", "wk-3", "wk-2", "wk-1"]


@pytest.mark.parametrize(
    ("fields", "counts", "allowed", "required"),
    [
        ({}, {"a": 3}, ["a", "b"], None),
        ({"single_zone": True}, {}, ["a", "b"], None),
        ({"single_zone": True}, {"b": 1}, ["b"], "b"),
        ({"spread_zones": True, "task_count": 3}, {"a": 1}, ["a", "b"], None),
        # at most half of the tasks, rounded up, in the same zone
        ({"spread_zones": True, "task_count": 3}, {"a": 2}, ["b"], None),
    ],
)
def test_zones_of_further_tasks(fields, counts, allowed, required):
    zones = ZoneConstraint(spec(**fields), counts)
    assert [zone for zone in ("a", "b") if zones.allows(zone)] == allowed
    assert zones.required_zone == required


@pytest.mark.parametrize(
    ("job_class", "now", "guaranteed", "latest_start"),
    [
        ("soon", 0.0, False, 30.0),
        # the start objective is missed; 200 s to the end, less 1.3 times the estimated run time of 10 s
        ("soon", 31.0, False, 187.0),
        ("soon", 190.0, False, None),
        ("none", 0.0, False, None),
        ("none", 0.0, True, 20.0),
        ("soon", 0.0, True, 20.0),
        ("soon", 25.0, True, 30.0),
    ],
)
def test_latest_start_for_the_next_objective(job_class, now, guaranteed, latest_start):
    objectives = ServiceLevelObjectives(
        (
            Objective("wait", "soon", 30.0, 0.9),
            Objective("finished", "soon", 200.0, 0.9),
            Objective("guarantee", "", 20.0, 0.9),
        ),
        starvation_threshold_s=50.0,
        begin_within_s=170.0,
    )
    job = SchedulerHarness().job(job_class=job_class)
    assert objectives.latest_start(job, now, guaranteed=guaranteed) == latest_start


def test_held_machines_take_their_own_job_until_the_hold_ends():
    harness = SchedulerHarness()
    own, other = harness.job(1), harness.job(2, team="t1")
    machine, holds = harness.inventory.machines["m1"], harness.scheduler.holds
    holds.hold(machine, own, expires_at=5.0)
    assert holds.exist_for(own)
    assert holds.machines_of(own) == {"m1"}
    assert not holds.exist_for(other)
    assert holds.allows(own, machine)
    assert not holds.allows(other, machine)
    holds.expire(5.0)
    assert holds.allows(other, machine)
    assert len(holds) == 0


@pytest.mark.parametrize(
    ("fields", "stopping", "seconds"),
    [
        ({"estimated_run_s": 40.0}, False, 30.0),
        ({"estimated_run_s": 5.0}, False, 1.5),  # the estimate is exceeded: expected to end after the stop latency
        ({"estimated_run_s": 40.0}, True, 1.5),
        ({"kind": JobKind.SERVICE}, False, 3600.0),
    ],
)
def test_capacity_is_expected_when_its_task_ends(fields, stopping, seconds):
    harness = SchedulerHarness()
    job = harness.job(resources=BOX.capacity, **fields)
    harness.run()
    attempt = next(job.attempts())
    attempt.running_since, attempt.stop_grace_s = 10.0, 0.0 if stopping else None
    machine = harness.inventory.machines["m1"]
    forecast = CapacityForecast(harness.job_table, harness.scheduler.capacity, harness.scheduler.stop_latency_s)
    assert forecast.seconds_until_free(machine, Resources(5, 1, 20), 20.0) == seconds


def test_machines_are_held_for_a_starving_gang():
    """Without holds, small tasks take each machine as it becomes free, and a gang never gets two at once."""
    harness = SchedulerHarness([("m1", "a", False), ("m2", "a", False)])
    small = [harness.job(n, team="t1", resources=Resources(10, 2, 50), job_class="soon") for n in (1, 2)]
    assert len(harness.run(0.0)) == 2
    harness.job(9, kind=JobKind.GANG, task_count=2, resources=Resources(10, 2, 50), single_zone=True, at=1.0)
    for turn in range(3, 9):  # each turn a small task ends, and another is submitted
        now = 10.0 * turn
        harness.refresh_heartbeats(now)
        for name, machine in harness.inventory.machines.items():
            machine.used = BOX.capacity if harness.job_table.attempts_by_machine.get(name) else ZERO_RESOURCES
        harness.job_table.record_attempt_completed(next(small.pop(0).attempts()))
        small.append(harness.job(turn, team="t1", resources=Resources(10, 2, 50), job_class="soon", at=now))
        for name, machine in harness.inventory.machines.items():
            machine.used = BOX.capacity if harness.job_table.attempts_by_machine.get(name) else ZERO_RESOURCES
        if {job for job, _, _ in harness.run(now)} == {"wk-9"}:
            break
        small = [job for job in small if job.attempt_count]
    # At 60 s the wait exceeds the starvation threshold and the first free machine is held; at 70 s both are free.
    assert now == 70.0


def test_records_of_a_large_array_stay_below_the_size_limit():
    size = tasks_per_page(4096)
    job_table = JobTable(size)
    job = job_table.load(new_job_record(spec(task_count=100_000), 0.0), 1, 0.0, 0.0)
    harness = SchedulerHarness()
    machine = harness.inventory.machines["m1"]
    for index in job.next_waiting_indexes(3 * size):
        job_table.add_attempt(job, index, machine, job.next_attempt_number(index), 0.0)
    job.advance_first_waiting_index()
    assert job.next_waiting_indexes(1) == [3 * size]
    assert max(len(str(encode_record(page.to_record()))) for page in job.pages.values()) < 4096 - 1000
    assert len(job.pages) == 3 + 1 or len(job.pages) == 3
    for attempt in list(job.attempts()):
        job_table.record_attempt_completed(attempt)
    assert (job.completed_count, job.attempt_count, job.waiting_count) == (3 * size, 0, 100_000 - 3 * size)
