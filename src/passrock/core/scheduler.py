"""The scheduling pass: takes the waiting jobs in the order of the queue and starts the tasks that fit."""

from __future__ import annotations

from passrock.core.capacity_forecast import CapacityForecast
from passrock.core.deferral import DeferralTracker
from passrock.core.free_capacity import FreeCapacity
from passrock.core.gang_placement import GangPlacement
from passrock.core.inventory import MachineInventory
from passrock.core.job import Job, TaskAttempt
from passrock.core.job_queue import DispatchOverrides, JobQueue
from passrock.core.job_table import JobTable
from passrock.core.machine_holds import MachineHolds
from passrock.core.machine_scoring import MachineScorer
from passrock.core.model import JobKind, Team
from passrock.core.objectives import ServiceLevelObjectives
from passrock.core.quota import TeamQuotas
from passrock.core.starvation_holds import StarvationHolds
from passrock.core.task_placement import MAX_TASKS_PER_PASS, TaskPlacement

STOP_LATENCY_HEARTBEATS = 1.5  # heartbeat intervals until a stopped task without a checkpoint has freed its resources


class Scheduler:
    """Places waiting tasks, one pass at a time.

    Between passes ``capacity``, ``quotas``, ``queue``, ``holds`` and ``deferrals`` keep the state of the last pass,
    which preemption, fair admission and the log read.

    Attributes:
        assignments: the team by machine name, as assigned in the last binding round.
        overrides: the jobs to which fair admission gives precedence in the next pass.
        waiting_jobs: the jobs that still had waiting tasks after the last pass, most urgent first.
        stop_latency_s: seconds until a stopped task without a checkpoint to save has freed its resources.
    """

    def __init__(
        self,
        job_table: JobTable,
        inventory: MachineInventory,
        teams: dict[str, Team],
        assignments: dict[str, str],
        objectives: ServiceLevelObjectives,
    ) -> None:
        self.job_table = job_table
        self.inventory = inventory
        self.teams = teams
        self.assignments = assignments
        self.objectives = objectives
        self.stop_latency_s = inventory.health.heartbeat_interval_s * STOP_LATENCY_HEARTBEATS
        self.waiting_jobs: list[Job] = []
        self.overrides = DispatchOverrides()
        self.capacity = FreeCapacity(inventory)
        self.quotas = TeamQuotas(job_table, inventory, teams)
        self.queue = JobQueue(job_table, teams, objectives, self.capacity, self.overrides)
        self.holds = MachineHolds()
        self._forecast = CapacityForecast(job_table, self.capacity, self.stop_latency_s)
        self.deferrals = DeferralTracker(self.capacity, self.quotas, self.holds)
        self._starvation_holds = StarvationHolds(
            self.queue,
            objectives,
            self.quotas,
            self.capacity,
            self.holds,
            self._forecast,
            self.stop_latency_s,
        )
        scorer = MachineScorer(job_table, assignments, objectives, self.capacity, self.holds, self.deferrals)
        self._tasks = TaskPlacement(job_table, self.quotas, self.capacity, self.holds, scorer)
        self._gangs = GangPlacement(job_table, self.quotas, self.capacity, self.holds, scorer, self._starvation_holds)

    @property
    def truncated(self) -> bool:
        """Whether the last pass reached the limit of tasks for a job, so that another pass should follow at once."""
        return self._tasks.truncated

    def run(self, now: float) -> list[TaskAttempt]:
        """Start the tasks that fit and return their attempts; ``waiting_jobs`` lists the jobs that still wait."""
        self._begin_pass(now)
        self.waiting_jobs = self.queue.ready_jobs(now)
        if not self.waiting_jobs:
            self.deferrals.clear()
            return []
        self.capacity.update_with_capacity(self.waiting_jobs)
        started: list[TaskAttempt] = []
        if self.capacity.schedulable:
            for job in self.waiting_jobs:
                started += self._place(job, now)
        self.waiting_jobs = [job for job in self.waiting_jobs if job.waiting_count > 0]
        self.deferrals.update(self.waiting_jobs, now)
        return started

    def _begin_pass(self, now: float) -> None:
        self._forecast.begin_pass()
        self._tasks.begin_pass()
        self._gangs.begin_pass()
        self.queue.update_guaranteed_jobs()
        self.holds.expire(now)
        self.quotas.count_orphans()
        self.capacity.begin_pass(now)

    def _place(self, job: Job, now: float) -> list[TaskAttempt]:
        if job.spec.kind is JobKind.GANG:
            return self._gangs.place(job, now)
        if self.queue.is_prioritized(job):
            # Its class needs a single start only; the other tasks of the job wait for their turn.
            self._starvation_holds.hold_machines(job, now)
            return self._tasks.place(job, now, max_tasks=1)
        return self._tasks.place(job, now, max_tasks=MAX_TASKS_PER_PASS)
