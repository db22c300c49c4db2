"""The zones in which further tasks of a job may be placed, given the zones of its present attempts."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol, TypeVar

from passrock.core.inventory import MachineInventory
from passrock.core.job import UNKNOWN_ZONE, Job
from passrock.core.machine import Machine
from passrock.core.model import JobSpec


class MachineChoice(Protocol):
    """A machine that was considered for one task of a job."""

    @property
    def machine(self) -> Machine:
        """The machine."""


ChoiceT = TypeVar("ChoiceT", bound=MachineChoice)


class ZoneConstraint:
    """The job's tasks by zone, counted only if the job is restricted to a single zone or spread over zones.

    Attributes:
        depends_on_tasks: whether the zones for further tasks depend on where the job's other tasks are.
        counts: the tasks by zone.
    """

    def __init__(self, spec: JobSpec, counts: dict[str, int]) -> None:
        self.spec = spec
        self.depends_on_tasks = spec.single_zone or spec.spread_zones
        self.counts = counts if self.depends_on_tasks else {}

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

    def zones_to_try(self, zones: Iterable[str]) -> Iterable[str | None]:
        """Return the zones, of those given, to try one by one for the job; None stands for all zones together."""
        if self.required_zone is not None:
            return [self.required_zone]
        return dict.fromkeys(zones) if self.spec.single_zone else [None]

    def remaining(self, zone: str) -> int:
        """Return how many further tasks may be placed in the zone; all of the job's if the zone has no limit.

        None may while a task of the job is in an unknown zone, which might be any.
        """
        if self.has_unknown_zone or (self.spec.single_zone and self.counts and zone not in self.counts):
            return 0
        if not self.spec.spread_zones:
            return self.spec.task_count
        return max(0, self.spec.max_tasks_per_zone() - self.counts.get(zone, 0))

    def allows(self, zone: str) -> bool:
        """Whether another task may be placed in the zone."""
        return not self.depends_on_tasks or self.remaining(zone) > 0

    def add(self, zone: str, count: int = 1) -> None:
        """Count further tasks in the zone."""
        if count and self.depends_on_tasks:
            self.counts[zone] = self.counts.get(zone, 0) + count

    def select(self, choices: Iterable[ChoiceT], limit: int) -> list[ChoiceT]:
        """Return the first ``limit`` choices in zones that may take them, fewer if there are too few; count them."""
        selected: list[ChoiceT] = []
        for choice in choices:
            if len(selected) == limit:
                break
            if self.allows(choice.machine.zone):
                self.add(choice.machine.zone)
                selected.append(choice)
        return selected
