"""Builders of job specifications, heartbeats and a scheduler with its state, for unit tests."""

from passrock.core.inventory import MachineInventory
from passrock.core.job_table import JobTable
from passrock.core.machine_health import MachineHealth
from passrock.core.messages import ExitReason, TaskState, TaskStatus, WorkerHeartbeat
from passrock.core.model import ZERO_RESOURCES, JobKind, JobSpec, MachineType, Priority, Resources, Team
from passrock.core.objectives import Objective, ServiceLevelObjectives
from passrock.core.preemption import Preemption
from passrock.core.records import new_job_record
from passrock.core.scheduler import Scheduler

BOX = MachineType("box", Resources(16, 2, 64), 100.0, 1.0, 5.0, 1.5, 10.0, ("a", "b", "c"))
TEAMS = {name: Team(name, 0, 0, 4, 8) for name in ("t0", "t1")}
OBJECTIVES = ServiceLevelObjectives(
    (
        Objective("wait", "soon", 30.0, 0.9),
        Objective("finished", "soon", 200.0, 0.9),
        Objective("wait", "late", 300, 0.9),
        Objective("wait", "now", 6.0, 0.9),
    ),
    starvation_threshold_s=50.0,
    begin_within_s=170.0,
)
TERM = 5


def spec(number=1, **fields):
    base = {
        "id": f"wk-{number}",
        "job_class": "x",
        "team": "t0",
        "kind": JobKind.ARRAY,
        "priority": Priority.NORMAL,
        "task_count": 1,
        "resources": Resources(5, 1, 20),
        "image": "img",
        "image_gb": 2.0,
        "machine_types": None,
        "zone": None,
        "single_zone": False,
        "spread_zones": False,
        "allows_spot": False,
        "estimated_run_s": 10.0,
        "checkpoint_interval_s": 0.0,
        "checkpoint_save_s": 0.0,
        "deadline_s": None,
    }
    return JobSpec(**{**base, **fields})


class SchedulerHarness:
    """A job table, an inventory and a scheduler, without a controller."""

    def __init__(self, machines=(("m1", "a", False),), page_size=50, teams=TEAMS, term_began_at=0.0):
        self.job_table = JobTable(page_size)
        self.inventory = MachineInventory(MachineHealth(1.0, 10.0, 0.36, term_began_at), TERM)
        self.scheduler = Scheduler(self.job_table, self.inventory, teams, {}, OBJECTIVES)
        self.preemption = Preemption(self.scheduler)
        self.revision = 0
        for name, zone, spot in machines:
            self.add_machine(name, zone, spot)

    def add_machine(self, name, zone="a", spot=False, now=0.0):
        return self.inventory.observe(heartbeat(name, zone=zone, spot=spot), BOX, now)

    def job(self, number=1, at=0.0, **fields):
        self.revision += 1
        return self.job_table.load(new_job_record(spec(number, **fields), at), self.revision, at, at)

    def commit(self):
        """Mark all changes of the job table as committed."""
        for job in self.job_table.jobs.values():
            for page in job.pages.values():
                page.committed_version = page.version
        self.job_table.uncommitted.clear()

    def refresh_heartbeats(self, now):
        """Set the last heartbeat of every machine to ``now``, and the resources in use on it to zero."""
        for machine in self.inventory.machines.values():
            machine.last_heartbeat_at, machine.used = now, ZERO_RESOURCES

    def advance(self, now):
        """Let every machine send a heartbeat at ``now``; tasks are running from their placement on."""
        for machine in self.inventory.machines.values():
            if machine.heartbeat_received:
                machine.last_heartbeat_at = now
            self.job_table.recompute_usage(machine, now)
            for attempt in self.job_table.attempts_on(machine.name):
                attempt.running_since = attempt.placed_at

    def run(self, now=0.0):
        return [(attempt.job.spec.id, attempt.index, attempt.machine) for attempt in self.scheduler.run(now)]


def heartbeat(machine="m1", incarnation=1, sequence=1, token=TERM, tasks=(), zone="a", spot=False, notice=None):
    return WorkerHeartbeat(machine, "box", zone, spot, incarnation, sequence, token, notice, list(tasks))


def task_status(
    job="wk-1",
    index=0,
    attempt_number=1,
    state=TaskState.RUNNING,
    exit_reason=ExitReason.UNSPECIFIED,
    saved=False,
):
    return TaskStatus(job, index, attempt_number, state, exit_reason, saved)
