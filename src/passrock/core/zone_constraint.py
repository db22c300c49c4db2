"""Zones that further tasks of a job may use, given where its tasks are already."""

from __future__ import annotations

from passrock.core.inventory import MachineInventory
from passrock.core.job import UNKNOWN_ZONE, Job
from passrock.core.model import JobSpec


class ZoneConstraint:
    """Counts a job's tasks by zone, as far as the job is bound to one zone or spread over several."""

    def __init__(self, spec: JobSpec, counts: dict[str, int]) -> None:
        self.spec = spec
        self.counts = counts if spec.single_zone or spec.spread_zones else {}

    @classmethod
    def of(cls, job: Job, inventory: MachineInventory) -> ZoneConstraint:
        """The constraint by the tasks that are or may be on machines."""
        return cls(job.spec, job.zone_counts(inventory) if job.spec.single_zone or job.spec.spread_zones else {})

    def copy(self) -> ZoneConstraint:
        """A copy on which a placement can be tried."""
        return ZoneConstraint(self.spec, dict(self.counts))

    @property
    def has_unknown_zone(self) -> bool:
        """Whether a task is on a machine whose zone is not known yet."""
        return UNKNOWN_ZONE in self.counts

    @property
    def required_zone(self) -> str | None:
        """The zone where all further tasks must go, when the job is bound to one and has tasks there."""
        return next(iter(self.counts)) if self.spec.single_zone and self.counts else None

    def allows(self, zone: str) -> bool:
        """Whether one more task may go to the zone."""
        if self.spec.spread_zones and self.counts.get(zone, 0) >= self.spec.max_tasks_per_zone():
            return False
        return not (self.spec.single_zone and self.counts and zone not in self.counts)

    def add(self, zone: str) -> None:
        """Count one more task in the zone."""
        if self.spec.single_zone or self.spec.spread_zones:
            self.counts[zone] = self.counts.get(zone, 0) + 1
