"""Holds for starving jobs: machines are kept free until as many as a job needs are free at the same time."""

from __future__ import annotations

from itertools import chain

import msgspec

from passrock.core.capacity_forecast import CapacityForecast
from passrock.core.free_capacity import FreeCapacity
from passrock.core.job import Job
from passrock.core.job_queue import JobQueue
from passrock.core.machine import Machine
from passrock.core.machine_holds import MachineHolds
from passrock.core.model import JobKind, JobSpec, MachineType, Resources
from passrock.core.objectives import ServiceLevelObjectives
from passrock.core.quota import TeamQuotas
from passrock.core.zone_constraint import ZoneConstraint

HOLD_STOP_LATENCIES = 2  # a hold expires after this many stop latencies, unless it is renewed
HELD_BONUS_STOP_LATENCIES = 5  # deducted from the wait in a zone for each of its machines that is already held
MAX_HELD_SHARE = 0.5  # of the schedulable machines; beyond it, jobs get their holds one after the other


class HoldCandidate(msgspec.Struct, frozen=True):
    """A machine that may be held for one of a job's tasks.

    Attributes:
        machine: the machine; it is a candidate once for each task that it has the capacity for.
        wait_s: the estimated seconds until its free capacity suffices for one more task of the job.
        held_already: whether the machine is held for the job.
    """

    machine: Machine
    wait_s: float
    held_already: bool

    def sort_key(self) -> tuple[float, bool, str]:
        """Return the key that sorts by wait, then held machines before others, then by name."""
        return self.wait_s, not self.held_already, self.machine.name


class StarvationHolds:
    """Holds machines for starving gangs, and a single machine for a job that fair admission has prioritized.

    Args:
        queue: which jobs are prioritized.
        objectives: which jobs are starving.
        quotas: the quotas of the teams.
        capacity: the machines and their free capacity.
        holds: the holds of all jobs.
        forecast: when capacity becomes free.
        stop_latency_s: seconds until a stopped task without a checkpoint to save has freed its resources.
    """

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
        Tasks on the held machines end by themselves or are preempted where the rules of preemption allow it.

        Nothing is held unless as much capacity as the job needs is expected to become free in time: otherwise all
        other jobs waited beside machines that were kept free in vain. Until then, a held machine takes tasks that
        are expected to end before the last of the machines is free (backfilling).
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
        expires_at = now + HOLD_STOP_LATENCIES * self.stop_latency_s
        for candidate in chosen:
            self.holds.hold(candidate.machine, job, expires_at, needed_at=now + chosen[-1].wait_s)

    def _choose(self, job: Job, wanted: int, held_already: set[str], now: float) -> list[HoldCandidate]:
        """Return the machines to hold, by their wait, in the best of the zones to try; none if all have too few."""
        best_score: float | None = None
        best: list[HoldCandidate] = []
        zones = ZoneConstraint.of(job, self.capacity.inventory)
        for zone in zones.zones_to_try(self.capacity.zones):
            candidates = self._candidates(job, wanted, zone, held_already, now)
            chosen = zones.copy().select(sorted(candidates, key=HoldCandidate.sort_key), wanted)
            if len(chosen) < wanted:
                continue
            held_count = len({candidate.machine.name for candidate in chosen if candidate.held_already})
            score = chosen[-1].wait_s - HELD_BONUS_STOP_LATENCIES * self.stop_latency_s * held_count
            if best_score is None or score < best_score:
                best_score, best = score, chosen
        return best

    def _candidates(
        self, job: Job, wanted: int, zone: str | None, held_already: set[str], now: float
    ) -> list[HoldCandidate]:
        spec = job.spec
        requests_by_type: dict[str, list[Resources]] = {}
        candidates: list[HoldCandidate] = []
        for machine in chain(self.capacity.schedulable, self.capacity.booting(now)):
            if (zone is not None and machine.zone != zone) or not self.holds.allows(job, machine):
                continue
            if not spec.allows(machine.type.name, machine.zone, spot=machine.spot):
                continue
            requests = requests_by_type.get(machine.type.name)
            if requests is None:
                requests = requests_by_type[machine.type.name] = _cumulative_requests(spec, machine.type, wanted)
            for request in requests:
                wait_s = self.forecast.seconds_until_free(machine, request, now)
                if wait_s > self.objectives.hold_horizon_s:
                    break  # a service, for example, ends only at its user's request
                candidates.append(HoldCandidate(machine, wait_s, machine.name in held_already))
        return candidates


def _cumulative_requests(spec: JobSpec, machine_type: MachineType, wanted: int) -> list[Resources]:
    """Return the resources of one task, of two tasks and so on, up to as many as fit on a machine of the type."""
    count = spec.resources.fit_count(machine_type.capacity, wanted)
    return [spec.resources.scaled(number) for number in range(1, count + 1)]
