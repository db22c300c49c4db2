"""Placement of tasks that start independently: those of arrays, and service replicas."""

from __future__ import annotations

import math

from passrock.core.free_capacity import FreeCapacity
from passrock.core.job import Job, TaskAttempt
from passrock.core.job_table import JobTable
from passrock.core.machine import Machine
from passrock.core.machine_holds import MachineHolds
from passrock.core.machine_scoring import MachineScorer, pop_cheapest_allowed
from passrock.core.placement_shapes import TaskShape
from passrock.core.quota import TeamQuotas
from passrock.core.zone_constraint import ZoneConstraint

MAX_TASKS_PER_PASS = 64  # for each job, which limits the duration of a pass; the next pass follows at once


class TaskPlacement:
    """Places as many of a job's waiting tasks as fit.

    Attributes:
        truncated: whether this pass has placed as many tasks of a job as it may, so that further tasks may still fit.
    """

    def __init__(
        self,
        job_table: JobTable,
        quotas: TeamQuotas,
        capacity: FreeCapacity,
        holds: MachineHolds,
        scorer: MachineScorer,
    ) -> None:
        self.job_table = job_table
        self.quotas = quotas
        self.capacity = capacity
        self.holds = holds
        self.scorer = scorer
        self.truncated = False
        # by shape, the shortest estimated run time that didn't fit: held machines take tasks that end in time
        self._unschedulable_shapes: dict[TaskShape, float] = {}

    def begin_pass(self) -> None:
        """Clear the results of the last pass."""
        self.truncated = False
        self._unschedulable_shapes = {}

    def place(self, job: Job, now: float, *, max_tasks: int = MAX_TASKS_PER_PASS) -> list[TaskAttempt]:
        """Start up to ``max_tasks`` of the job's tasks and return their attempts."""
        spec = job.spec
        shape = TaskShape.of(spec)
        is_unschedulable = spec.estimated_run_s >= self._unschedulable_shapes.get(shape, math.inf)
        if is_unschedulable and not self.scorer.has_more_options(job):
            return []
        zones = ZoneConstraint.of(job, self.capacity.inventory)
        if not self._may_start_any(job, zones):
            return []
        # Jobs limited by the zones of their attempts, or waiting for spot instances, may not fit where other jobs of
        # their shape do.
        represents_shape = not zones.counts and not spec.may_wait_for_spot
        heap = self.scorer.candidate_heap(job, zones.required_zone, now)
        if not heap:
            if represents_shape:
                self._unschedulable_shapes[shape] = spec.estimated_run_s
            return []
        started: list[TaskAttempt] = []
        for index in job.next_waiting_indexes(max_tasks):
            if self.quotas.is_orphaned(job, index):
                continue
            if not self.quotas.allows(job, 1):
                break
            candidate = pop_cheapest_allowed(heap, zones)
            if candidate is None:
                if represents_shape and not zones.counts:
                    self._unschedulable_shapes[shape] = spec.estimated_run_s
                break
            _, _, machine = candidate
            zones.add(machine.zone)
            started.append(self._start_on(machine, job, index, now))
            self.scorer.push_back(heap, job, machine)
        self.truncated = self.truncated or len(started) == MAX_TASKS_PER_PASS
        job.advance_first_waiting_index()
        return started

    def _may_start_any(self, job: Job, zones: ZoneConstraint) -> bool:
        """Whether the zones of all the job's tasks are known, as far as they matter, and the quota allows another."""
        if zones.has_unknown_zone or (zones.depends_on_tasks and self.quotas.has_orphans(job)):
            return False
        return self.quotas.allows(job, 1)

    def _start_on(self, machine: Machine, job: Job, index: int, now: float) -> TaskAttempt:
        self.capacity.allocate(machine, job.spec.resources)
        return self.job_table.add_attempt(job, index, machine, job.next_attempt_number(index), now)
