"""Placement of gangs: either all tasks of a gang start together, or none of them."""

from __future__ import annotations

from typing import NamedTuple

from passrock.core.free_capacity import FreeCapacity
from passrock.core.job import Job, TaskAttempt
from passrock.core.job_table import JobTable
from passrock.core.machine import Machine
from passrock.core.machine_holds import MachineHolds
from passrock.core.machine_scoring import MachineScorer, pop_cheapest_allowed
from passrock.core.placement_shapes import GangShape
from passrock.core.quota import TeamQuotas
from passrock.core.starvation_holds import StarvationHolds
from passrock.core.zone_constraint import ZoneConstraint


class GangOption(NamedTuple):
    """Machines for all tasks of a gang, in the order of its tasks, and the cost of placing it there."""

    cost_s: float
    machines: list[Machine]


class GangPlacement:
    """Places gangs, and has machines held for starving gangs."""

    def __init__(
        self,
        job_table: JobTable,
        quotas: TeamQuotas,
        capacity: FreeCapacity,
        holds: MachineHolds,
        scorer: MachineScorer,
        starvation_holds: StarvationHolds,
    ) -> None:
        self.job_table = job_table
        self.quotas = quotas
        self.capacity = capacity
        self.holds = holds
        self.scorer = scorer
        self.starvation_holds = starvation_holds
        self._unschedulable_shapes: dict[GangShape, int] = {}  # by shape, the least number of tasks that didn't fit

    def begin_pass(self) -> None:
        """Clear the results of the last pass."""
        self._unschedulable_shapes = {}

    def place(self, job: Job, now: float) -> list[TaskAttempt]:
        """Start all tasks of the gang and return their attempts; none when the gang doesn't fit."""
        spec = job.spec
        shape = GangShape.of(spec)
        unschedulable_size = self._unschedulable_shapes.get(shape)
        is_unschedulable = unschedulable_size is not None and spec.task_count >= unschedulable_size
        if is_unschedulable and not self.scorer.has_more_options(job):
            self.starvation_holds.hold_machines(job, now)
            return []
        if self.quotas.has_orphans(job) or not self.quotas.allows(job, spec.task_count):
            return []
        option = self._cheapest_option(job, now)
        if option is None:
            smallest = spec.task_count if unschedulable_size is None else min(spec.task_count, unschedulable_size)
            self._unschedulable_shapes[shape] = smallest
            self.starvation_holds.hold_machines(job, now)
            return []
        return self._start(job, option.machines, now)

    def _cheapest_option(self, job: Job, now: float) -> GangOption | None:
        best: GangOption | None = None
        zones = ZoneConstraint.of(job, self.capacity.inventory)
        for zone in zones.zones_to_try(self.capacity.zones):
            option = self._option_in(zone, zones.copy(), job, now)
            if option is not None and (best is None or option.cost_s < best.cost_s):
                best = option
        return best

    def _option_in(self, zone: str | None, zones: ZoneConstraint, job: Job, now: float) -> GangOption | None:
        """Return the cheapest machines in a zone; the gang starts once the slowest of them has the image."""
        spec = job.spec
        machines: list[Machine] = []
        longest_fetch = total_cost = 0.0
        heap = self.scorer.candidate_heap(job, zone, now)
        while len(machines) < spec.task_count:
            candidate = pop_cheapest_allowed(heap, zones)
            if candidate is None:
                break
            cost, _, machine = candidate
            zones.add(machine.zone)
            longest_fetch = max(longest_fetch, machine.image_fetch_time_s(spec))
            total_cost += cost
            self.capacity.allocate(machine, spec.resources)
            machines.append(machine)
            self.scorer.push_back(heap, job, machine)
        for machine in machines:
            self.capacity.release(machine, spec.resources)
        if len(machines) < spec.task_count:
            return None
        return GangOption(longest_fetch + total_cost / spec.task_count, machines)

    def _start(self, job: Job, machines: list[Machine], now: float) -> list[TaskAttempt]:
        attempt_number = job.next_attempt_number(0)
        started: list[TaskAttempt] = []
        for index, machine in enumerate(machines):
            self.capacity.allocate(machine, job.spec.resources)
            self.holds.release(machine.name)
            started.append(self.job_table.add_attempt(job, index, machine, attempt_number, now))
        job.advance_first_waiting_index()
        return started
