"""Deferral: the time for which a job waits although the free capacity would suffice for it, and the limit of it.

A job is deferred when machines are held for other jobs, or when its tasks wait for spot instances. Each of these ends
by itself as a rule, but one can follow another without a gap, so the limit applies to all of them together.
"""

from __future__ import annotations

from typing import NamedTuple

from passrock.core.free_capacity import FreeCapacity
from passrock.core.job import Job
from passrock.core.machine import Machine
from passrock.core.machine_holds import MachineHolds
from passrock.core.model import JobKind, JobSpec
from passrock.core.placement_shapes import GangShape, TaskShape
from passrock.core.quota import TeamQuotas
from passrock.core.zone_constraint import ZoneConstraint

# Users expect that no job waits for longer while a suitable machine has capacity and the team's quota allows it.
SCHEDULABLE_WAIT_LIMIT_S = 90.0
# Heartbeat intervals from the pass that places a task to its launch: an evaluation, a commit and a heartbeat.
LAUNCH_LATENCY_HEARTBEATS = 4
# A machine's fetch rate may be a third lower than that of its type.
IMAGE_FETCH_MARGIN_RATIO = 1.5
# Of the limit; jobs with an image that takes long to fetch may be deferred for this long, too.
MIN_DEFERRAL_RATIO = 0.5


class Deferral(NamedTuple):
    """The deferral of one job.

    Attributes:
        since: monotonic time; after a takeover, an estimate of when the previous leader began to defer the job.
        observed_since: the monotonic time of the first pass of this leader in which the job was deferred.
        last_seen_at: the monotonic time of the last such pass.
        is_exhausted: whether the job has been deferred for as long as it may be.
    """

    since: float
    observed_since: float
    last_seen_at: float
    is_exhausted: bool


class DeferralTracker:
    """Tracks the deferral of the waiting jobs from pass to pass.

    Args:
        capacity: the free capacity of the present pass.
        quotas: the quotas of the teams.
        holds: the machine holds.

    Attributes:
        newly_exhausted: the jobs whose deferral was first found exhausted after the last pass.
    """

    def __init__(self, capacity: FreeCapacity, quotas: TeamQuotas, holds: MachineHolds) -> None:
        self.capacity = capacity
        self.quotas = quotas
        self.holds = holds
        self.inventory = capacity.inventory
        self.newly_exhausted: list[Job] = []
        self._deferrals: dict[str, Deferral] = {}
        self._launch_latency_s = LAUNCH_LATENCY_HEARTBEATS * self.inventory.health.heartbeat_interval_s
        self._schedulable_by_shape: dict[TaskShape, bool] = {}  # after this pass
        self._unschedulable_gangs: dict[GangShape, int] = {}  # by shape, the least number of tasks that don't fit
        # Until then, a job may have been deferred by the previous leader already.
        self._takeover_until = self.inventory.health.observing_since + self.inventory.health.lease_s
        # After a takeover every job that has waited for long seems to have been deferred, also those for which there
        # was no capacity: if all of them used held machines at once, gangs lost their machines at each takeover.
        self._least_observed_s = min(self.inventory.health.lease_s, SCHEDULABLE_WAIT_LIMIT_S * MIN_DEFERRAL_RATIO)
        self._deferred_after_takeover: set[str] = set()

    def is_exhausted(self, job: Job) -> bool:
        """Whether the job was deferred for as long as it may be: neither holds nor a preference for spot apply."""
        deferral = self._deferrals.get(job.spec.id)
        return deferral is not None and deferral.is_exhausted

    def clear(self) -> None:
        """Forget all deferrals: no job waits."""
        self._deferrals = {}
        self.newly_exhausted = []

    def update(self, waiting_jobs: list[Job], now: float) -> None:
        """Update the deferral of each job after a pass, from the capacity that the pass has left free."""
        self._schedulable_by_shape = {}
        self._unschedulable_gangs = {}
        self.newly_exhausted = []
        deferrals: dict[str, Deferral] = {}
        for job in waiting_jobs:
            deferral = self._deferral(job, now)
            if deferral is None:
                continue
            deferrals[job.spec.id] = deferral
            if deferral.is_exhausted and not self.is_exhausted(job):
                self.newly_exhausted.append(job)
        self._deferrals = deferrals

    def _limit_s(self, spec: JobSpec) -> float:
        """Return the longest deferral that leaves enough time to start a task before users miss it."""
        image_fetch_s = self.capacity.longest_image_fetch_s(spec) * IMAGE_FETCH_MARGIN_RATIO
        return max(
            SCHEDULABLE_WAIT_LIMIT_S - self._launch_latency_s - image_fetch_s,
            SCHEDULABLE_WAIT_LIMIT_S * MIN_DEFERRAL_RATIO,
        )

    def _deferral(self, job: Job, now: float) -> Deferral | None:
        previous = self._deferrals.get(job.spec.id)
        if self._may_be_deferred(job) and self._has_capacity_for(job):
            since = self._first_deferred_at(job, now) if previous is None else previous.since
            observed_since = now if previous is None else previous.observed_since
            is_exhausted = now - since >= self._limit_s(job.spec) and now - observed_since >= self._least_observed_s
            return Deferral(since, observed_since, now, is_exhausted)
        # To users, a machine has capacity until a task is launched there; and while a single heartbeat is late.
        if previous is not None and now - previous.last_seen_at <= self._launch_latency_s:
            return previous
        return None

    def _first_deferred_at(self, job: Job, now: float) -> float:
        """Return since when a job is deferred that wasn't deferred in the last pass.

        After a takeover the deferral by the previous leader is unknown; the wait of the job is an upper bound.
        """
        if now >= self._takeover_until or job.spec.id in self._deferred_after_takeover:
            return now
        self._deferred_after_takeover.add(job.spec.id)
        return min(job.waiting_since, now)

    def _may_be_deferred(self, job: Job) -> bool:
        """Whether the job may be waiting for another reason than the lack of free capacity and its team's quota."""
        if not self.capacity.with_capacity or job.waiting_count == 0:
            return False
        if not len(self.holds) and not job.spec.may_wait_for_spot:
            return False
        return self.quotas.allows(job, job.spec.task_count if job.spec.kind is JobKind.GANG else 1)

    # -- capacity without regard to holds and preferences ------------------------------------------------

    def _has_capacity_for(self, job: Job) -> bool:
        """Whether the free capacity suffices for one more task of the job, or for the whole of a gang."""
        if job.spec.kind is JobKind.GANG:
            return self._has_capacity_for_gang(job.spec)
        zones = ZoneConstraint.of(job, self.inventory)
        if zones.has_unknown_zone:
            return False
        if zones.counts:
            return self._has_capacity_for_task(job.spec, zones)
        shape = TaskShape.of(job.spec)
        schedulable = self._schedulable_by_shape.get(shape)
        if schedulable is None:
            schedulable = self._schedulable_by_shape[shape] = self._has_capacity_for_task(job.spec, zones)
        return schedulable

    def _has_capacity_for_task(self, spec: JobSpec, zones: ZoneConstraint) -> bool:
        return any(
            self._task_count(spec, machine, limit=1) and zones.allows(machine.zone)
            for machine in self.capacity.with_capacity
        )

    def _has_capacity_for_gang(self, spec: JobSpec) -> bool:
        shape = GangShape.of(spec)
        unschedulable_size = self._unschedulable_gangs.get(shape)
        if unschedulable_size is not None and spec.task_count >= unschedulable_size:
            return False
        zones = ZoneConstraint(spec, {})
        zones_to_try = zones.zones_to_try(self.capacity.zones)
        if any(self._has_capacity_for_gang_in(zone, zones.copy()) for zone in zones_to_try):
            return True
        self._unschedulable_gangs[shape] = spec.task_count
        return False

    def _has_capacity_for_gang_in(self, zone: str | None, zones: ZoneConstraint) -> bool:
        missing = zones.spec.task_count
        for machine in self.capacity.with_capacity:
            if zone in (None, machine.zone):
                limit = min(missing, zones.remaining(machine.zone))
                count = self._task_count(zones.spec, machine, limit=limit)
                zones.add(machine.zone, count)
                missing -= count
        return missing == 0

    def _task_count(self, spec: JobSpec, machine: Machine, *, limit: int) -> int:
        """Return how many tasks fit into the machine's free capacity, up to a limit."""
        if not spec.allows(machine.type.name, machine.zone, spot=machine.spot):
            return 0
        return spec.resources.fit_count(self.capacity.free_on(machine), limit)
