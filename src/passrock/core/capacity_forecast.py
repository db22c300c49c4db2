"""Estimates of the time until a machine has enough free capacity for a task."""

from __future__ import annotations

from operator import itemgetter

from passrock.core.free_capacity import FreeCapacity
from passrock.core.job import TaskAttempt
from passrock.core.job_table import JobTable
from passrock.core.machine import Machine
from passrock.core.model import JobKind, Resources

# Assumed for services, which end at their user's request, and for orphans, whose run time has no estimate.
OPEN_ENDED_RUN_S = 3600.0


class CapacityForecast:
    """Estimates when capacity becomes free, from the job owners' estimates of run times.

    Results are cached for a scheduling pass, since gangs of the same job class request the same resources of every
    machine.

    Args:
        job_table: the attempts on the machines.
        capacity: the resources that are free now.
        stop_latency_s: seconds until a stopped task without a checkpoint to save has freed its resources.
    """

    def __init__(self, job_table: JobTable, capacity: FreeCapacity, stop_latency_s: float) -> None:
        self.job_table = job_table
        self.capacity = capacity
        self.stop_latency_s = stop_latency_s
        self._seconds: dict[Resources, dict[str, float]] = {}

    def begin_pass(self) -> None:
        """Clear the estimates of the last pass."""
        self._seconds = {}

    def seconds_until_free(self, machine: Machine, resources: Resources, now: float) -> float:
        """Return the estimated seconds until ``resources`` are free on the machine."""
        by_machine = self._seconds.setdefault(resources, {})
        seconds = by_machine.get(machine.name)
        if seconds is None:
            seconds = by_machine[machine.name] = self._estimate(machine, resources, now)
        return seconds

    def _estimate(self, machine: Machine, resources: Resources, now: float) -> float:
        if not machine.heartbeat_received:
            return self._seconds_until_booted(machine, now)
        free = self.capacity.free_on(machine)
        if resources.fits(free):
            return 0.0
        attempts = self.job_table.attempts_on(machine.name)
        releases = [(self._seconds_left(attempt, now), attempt.job.spec.resources) for attempt in attempts]
        for seconds_left, released in sorted(releases, key=itemgetter(0)):
            free = free + released
            if resources.fits(free):
                return seconds_left
        return OPEN_ENDED_RUN_S

    def _seconds_until_booted(self, machine: Machine, now: float) -> float:
        """Return the estimated seconds until a booting machine is schedulable."""
        return max(machine.requested_at + machine.type.boot_s - now, self.stop_latency_s)

    def _seconds_left(self, attempt: TaskAttempt, now: float) -> float:
        """Return the estimated seconds until the attempt ends, which are no fewer than stopping it would take."""
        spec = attempt.job.spec
        if attempt.stop_grace_s is not None:
            return self.stop_latency_s
        if spec.kind is JobKind.SERVICE:
            return max(OPEN_ENDED_RUN_S, self.stop_latency_s)
        run_time = now - (attempt.running_since or now)
        return max(spec.estimated_run_s - run_time, self.stop_latency_s)
