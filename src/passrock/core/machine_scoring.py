"""Candidate machines for a job's tasks, and the cost of placing a task on each of them."""

from __future__ import annotations

from heapq import heapify, heappop, heappush

from passrock.core.deferral import DeferralTracker
from passrock.core.free_capacity import FreeCapacity
from passrock.core.job import Job
from passrock.core.job_table import JobTable
from passrock.core.machine import Machine
from passrock.core.machine_holds import MachineHolds
from passrock.core.model import JobKind
from passrock.core.objectives import RUN_TIME_MARGIN_RATIO, ServiceLevelObjectives
from passrock.core.zone_constraint import ZoneConstraint

# Costs are in seconds, so that they can be compared with the time to fetch an image.
FREE_SHARE_COST_S = 15.0  # times the share of the machine that stays free, for bin packing
OTHER_RESERVATION_COST_S = 4.0  # for a machine that is assigned to another team
ON_DEMAND_COST_S = 40.0  # for an on-demand machine if the job may use spot instances
FRAGMENTATION_COST_S = 40.0  # times the share that a service replica leaves free on an empty machine while it runs
AVOIDED_MACHINE_COST_S = 1000.0  # for a machine on which a task of the job has failed
HELD_MACHINE_COST_S = 1000.0  # for a machine that is held for another job

# Cost in seconds, machine name (the tie-breaker) and machine, in the order in which heapq compares them.
Candidate = tuple[float, str, Machine]


class MachineScorer:
    """Finds the candidate machines of a job and ranks them by cost."""

    def __init__(
        self,
        job_table: JobTable,
        assignments: dict[str, str],
        objectives: ServiceLevelObjectives,
        capacity: FreeCapacity,
        holds: MachineHolds,
        deferrals: DeferralTracker,
    ) -> None:
        self.job_table = job_table
        self.assignments = assignments
        self.objectives = objectives
        self.capacity = capacity
        self.holds = holds
        self.deferrals = deferrals

    def cost(self, job: Job, machine: Machine) -> float:
        """Return the cost, in seconds, of placing a task of the job on the machine."""
        spec = job.spec
        free_share = (self.capacity.free_on(machine) - spec.resources).dominant_share(machine.type.capacity)
        interference = machine.image_fetch_interference_s(spec)
        cost = machine.image_fetch_time_s(spec) + interference + FREE_SHARE_COST_S * free_share
        team = self.assignments.get(machine.name)
        if team is not None and team != spec.team:
            cost += OTHER_RESERVATION_COST_S
        if spec.allows_spot and not machine.spot:
            cost += ON_DEMAND_COST_S
        if machine.name in job.avoided_machines:
            cost += AVOIDED_MACHINE_COST_S
        if not self.holds.allows(job, machine):
            cost += HELD_MACHINE_COST_S
        if spec.kind is JobKind.SERVICE:
            # Service replicas run for long, and spread over empty machines they fragment each of these: the remaining
            # capacity is of no use to gangs that need entire machines, and is paid for until the last of them ends.
            # But if another image is still being fetched on an occupied machine, both tasks would start late.
            occupied = self.job_table.attempts_by_machine.get(machine.name)
            cost += interference if occupied else FRAGMENTATION_COST_S * free_share
        return cost

    def candidates(self, job: Job, zone: str | None, now: float) -> list[Machine]:
        """Return the machines with free capacity that the job may use, in a zone or in all zones (None).

        An array that may use spot instances leaves on-demand machines to other jobs as long as its objectives
        allow it to wait: otherwise arrays occupied on-demand machines for minutes, and gangs that may not use spot
        instances waited although spot instances were free. A job whose deferral is exhausted may use every machine.
        """
        spec = job.spec
        is_deferrable = not self.deferrals.is_exhausted(job)
        prefers_spot = is_deferrable and spec.may_wait_for_spot
        spot_only = {
            name: prefers_spot and not self.objectives.too_urgent_for_spot(job, machine_type, now)
            for name, machine_type in self.capacity.machine_types.items()
        }
        return [
            machine
            for machine in self.capacity.with_capacity
            if spec.resources.fits(self.capacity.free_on(machine))
            and spec.allows(machine.type.name, machine.zone, spot=machine.spot)
            and (zone is None or machine.zone == zone)
            and (machine.spot or not spot_only[machine.type.name])
            and not (is_deferrable and self._is_withheld(job, machine, now))
        ]

    def _is_withheld(self, job: Job, machine: Machine, now: float) -> bool:
        """Whether the machine is held for another job, which is expected to need it before a task would end."""
        if self.holds.allows(job, machine):
            return False
        if job.spec.kind is JobKind.SERVICE:
            return True
        run_s = machine.image_fetch_time_s(job.spec) + job.spec.estimated_run_s * RUN_TIME_MARGIN_RATIO
        return not self.holds.allows_until(now + run_s, job, machine)

    def has_more_options(self, job: Job) -> bool:
        """Whether the job may use machines that other jobs of its shape may not."""
        return self.holds.exist_for(job) or self.deferrals.is_exhausted(job)

    def candidate_heap(self, job: Job, zone: str | None, now: float) -> list[Candidate]:
        """Return the candidates as a heap by cost; placing a task changes only the cost of the task's machine."""
        heap = [(self.cost(job, machine), machine.name, machine) for machine in self.candidates(job, zone, now)]
        heapify(heap)
        return heap

    def push_back(self, heap: list[Candidate], job: Job, machine: Machine) -> None:
        """Put a machine back on the heap after a task was placed on it, if another task of the job fits."""
        if job.spec.resources.fits(self.capacity.free_on(machine)):
            heappush(heap, (self.cost(job, machine), machine.name, machine))


def pop_cheapest_allowed(heap: list[Candidate], zones: ZoneConstraint) -> Candidate | None:
    """Pop and return the cheapest candidate in a zone that may take another task; None if there is none.

    Cheaper candidates in other zones are dropped: a zone that may take no task now won't in this pass.
    """
    while heap:
        candidate = heappop(heap)
        if zones.allows(candidate[2].zone):
            return candidate
    return None
