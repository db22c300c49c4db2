"""Holds for starving jobs: machines are kept free until as many as a job needs are free at the same time."""

from __future__ import annotations

from heapq import nsmallest

import msgspec

from passrock.core.capacity_forecast import CapacityForecast
from passrock.core.free_capacity import FreeCapacity
from passrock.core.job import Job
from passrock.core.job_queue import JobQueue
from passrock.core.machine import Machine
from passrock.core.machine_holds import MachineHolds
from passrock.core.model import JobKind
from passrock.core.objectives import ServiceLevelObjectives
from passrock.core.quota import TeamQuotas

HOLD_STOP_LATENCIES = 2  # a hold expires after this many stop latencies, unless it is renewed
HELD_BONUS_STOP_LATENCIES = 5  # deducted from the wait in a zone for each of its machines that is already held
MAX_HELD_SHARE = 0.5  # of the schedulable machines; beyond it, jobs get their holds one after the other
INCOMPLETE_PENALTY_S = 1e6  # added to the wait in zones with too few machines, which come after all other zones


class HoldCandidate(msgspec.Struct, frozen=True):
    """A machine that may be held, and the estimated seconds until it has enough free capacity for a task."""

    machine: Machine
    wait_s: float
    held_already: bool

    def sort_key(self) -> tuple[float, bool, str]:
        """Return the key that sorts by wait, then held machines before others, then by name."""
        return self.wait_s, not self.held_already, self.machine.name


class StarvationHolds:
    """Holds machines for starving gangs, and a single machine for a job that fair admission has prioritized."""

    def __init__(
        self,
        queue: JobQueue,
        objectives: ServiceLevelObjectives,
        quotas: TeamQuotas,
        capacity: FreeCapacity,
        holds: MachineHolds,
        forecast: CapacityForecast,
        stop_latency_s: float,
    ) -> None:
        self.queue = queue
        self.objectives = objectives
        self.quotas = quotas
        self.capacity = capacity
        self.holds = holds
        self.forecast = forecast
        self.stop_latency_s = stop_latency_s

    def hold_machines(self, job: Job, now: float) -> None:
        """Hold the machines that are likely to be free first, if the job is starving or prioritized.

        Earlier holds for the job are renewed or released. Without holds, smaller jobs used each machine as soon as it
        was free or had booted, so that a large gang never found as many machines as it needs free at the same time.
        Tasks on the held machines end by themselves or are preempted where the rules of preemption allow it; booting
        machines are added once they are schedulable.
        """
        wanted = job.spec.task_count if job.spec.kind is JobKind.GANG else 1
        has_precedence = self.queue.is_prioritized(job) or self.objectives.is_starving(job, now)
        if not has_precedence or not self.quotas.allows(job, wanted):
            return
        held_already = self.holds.machines_of(job)
        held_for_others = len(self.holds) - len(held_already)
        if held_for_others > 0 and held_for_others + wanted > MAX_HELD_SHARE * len(self.capacity.schedulable):
            return
        chosen = self._choose(job, wanted, held_already, now)
        for name in held_already:
            self.holds.release(name)
        for machine in chosen:
            self.holds.hold(machine, job, now + HOLD_STOP_LATENCIES * self.stop_latency_s)

    def _choose(self, job: Job, wanted: int, held_already: set[str], now: float) -> list[Machine]:
        """Return the machines to hold: those that are likely to be free first, in the best of the zones to try."""
        best_score: float | None = None
        best: list[HoldCandidate] = []
        for zone in self.capacity.zones_to_try(job.spec):
            candidates = self._candidates(job, zone, held_already, now)
            chosen = nsmallest(wanted, candidates, key=HoldCandidate.sort_key)
            if not chosen:
                continue
            held_count = sum(candidate.held_already for candidate in chosen)
            wait = chosen[-1].wait_s - HELD_BONUS_STOP_LATENCIES * self.stop_latency_s * held_count
            score = INCOMPLETE_PENALTY_S * (len(chosen) < wanted) + wait
            if best_score is None or score < best_score:
                best_score, best = score, chosen
        return [candidate.machine for candidate in best]

    def _candidates(self, job: Job, zone: str | None, held_already: set[str], now: float) -> list[HoldCandidate]:
        spec = job.spec
        candidates = []
        for machine in self.capacity.schedulable:
            if (zone is not None and machine.zone != zone) or not self.holds.allows(job, machine):
                continue
            if not spec.allows(machine.type.name, machine.zone, spot=machine.spot):
                continue
            if not spec.resources.fits(machine.type.capacity):
                continue
            wait_s = self.forecast.seconds_until_free(machine, spec.resources, now)
            candidates.append(HoldCandidate(machine, wait_s, machine.name in held_already))
        return candidates
