"""The zones in which further tasks of a job may be placed, given the zones of its present attempts."""

from __future__ import annotations

from passrock.core.inventory import MachineInventory
from passrock.core.job import UNKNOWN_ZONE, Job
from passrock.core.model import JobSpec


class ZoneConstraint:
    """The job's tasks by zone, counted only if the job is restricted to a single zone or spread over zones."""

    def __init__(self, spec: JobSpec, counts: dict[str, int]) -> None:
        self.spec = spec
        self.counts = counts if spec.single_zone or spec.spread_zones else {}

    @classmethod
    def of(cls, job: Job, inventory: MachineInventory) -> ZoneConstraint:
        """Return the constraint given the job's attempts that are or may be on machines."""
        return cls(job.spec, job.zone_counts(inventory) if job.spec.single_zone or job.spec.spread_zones else {})

    def copy(self) -> ZoneConstraint:
        """Return a copy for a tentative placement."""
        return ZoneConstraint(self.spec, dict(self.counts))

    @property
    def has_unknown_zone(self) -> bool:
        """Whether a task is on a machine whose zone is unknown, since the inventory doesn't contain it."""
        return UNKNOWN_ZONE in self.counts

    @property
    def required_zone(self) -> str | None:
        """The zone of the present tasks if the job is restricted to a single zone; None if any zone may be used."""
        return next(iter(self.counts)) if self.spec.single_zone and self.counts else None

    def allows(self, zone: str) -> bool:
        """Whether another task may be placed in the zone."""
        if self.spec.spread_zones and self.counts.get(zone, 0) >= self.spec.max_tasks_per_zone():
            return False
        return not (self.spec.single_zone and self.counts and zone not in self.counts)

    def add(self, zone: str) -> None:
        """Count another task in the zone."""
        if self.spec.single_zone or self.spec.spread_zones:
            self.counts[zone] = self.counts.get(zone, 0) + 1
