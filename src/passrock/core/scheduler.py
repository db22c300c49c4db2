"""The scheduling pass: goes through the waiting jobs in order and starts what fits."""

from __future__ import annotations

from passrock.core.capacity_forecast import CapacityForecast
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

STOP_LATENCY_HEARTBEATS = 1.5  # heartbeat intervals until a task without anything to save has freed its resources


class Scheduler:
    """Places waiting tasks, one pass at a time.

    Preemption and fair admission read the state in which the last pass left its parts.

    Attributes:
        assignments: team by machine, as the last binding round left it.
        overrides: what fair admission decides for the next pass.
        waiting: what the last pass left, most urgent first.
        stop_latency_s: seconds until a stopped task without anything to save has freed its resources.
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
        self.waiting: list[Job] = []
        self.overrides = DispatchOverrides()
        self.capacity = FreeCapacity(inventory)
        self.quotas = TeamQuotas(job_table, inventory, teams)
        self.queue = JobQueue(job_table, teams, objectives, self.capacity, self.overrides)
        self.holds = MachineHolds()
        self._forecast = CapacityForecast(job_table, self.capacity, self.stop_latency_s)
        self._starvation_holds = StarvationHolds(
            self.queue, objectives, self.quotas, self.capacity, self.holds, self._forecast, self.stop_latency_s
        )
        scorer = MachineScorer(job_table, assignments, objectives, self.capacity, self.holds)
        self._tasks = TaskPlacement(job_table, self.quotas, self.capacity, self.holds, scorer)
        self._gangs = GangPlacement(job_table, self.quotas, self.capacity, self.holds, scorer, self._starvation_holds)

    @property
    def truncated(self) -> bool:
        """Whether the last pass left tasks that it would have placed, so that another pass should follow at once."""
        return self._tasks.truncated

    def run(self, now: float) -> list[TaskAttempt]:
        """Start what fits; returns the new attempts. What still waits afterwards is in ``waiting``."""
        self._begin_pass(now)
        self.waiting = self.queue.ordered(now)
        if not self.capacity.schedulable or not self.waiting:
            return []
        self.capacity.update_with_capacity(self.waiting)
        started: list[TaskAttempt] = []
        for job in self.waiting:
            started += self._place(job, now)
        self.waiting = [job for job in self.waiting if job.waiting_count > 0]
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
            # its class lacks a single start: the rest of the job waits for its turn
            self._starvation_holds.hold_machines(job, now)
            return self._tasks.place(job, now, max_tasks=1)
        return self._tasks.place(job, now, max_tasks=MAX_TASKS_PER_PASS)
