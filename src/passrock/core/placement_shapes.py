"""Shapes: the properties of a job that decide where its tasks fit, under which a pass remembers its results."""

from __future__ import annotations

from typing import NamedTuple

from passrock.core.model import JobKind, JobSpec, Resources


class TaskShape(NamedTuple):
    """The properties that decide where a task fits: if a task is unschedulable, so are all tasks of its shape."""

    resources: Resources
    machine_types: tuple[str, ...] | None
    zone: str | None
    allows_spot: bool
    kind: JobKind

    @classmethod
    def of(cls, spec: JobSpec) -> TaskShape:
        """Return the shape of a job's tasks."""
        return cls(spec.resources, spec.machine_types, spec.zone, spec.allows_spot, spec.kind)


class GangShape(NamedTuple):
    """The properties of a gang that decide, together with its number of tasks, where it fits.

    If a gang is unschedulable, so are all larger gangs of its shape, also if they have to be spread over zones: a
    zone may take one more task of a larger gang, but if two zones had the capacity for that, the smaller gang would
    have fit into these two.
    """

    resources: Resources
    machine_types: tuple[str, ...] | None
    zone: str | None
    allows_spot: bool
    single_zone: bool
    spread_zones: bool

    @classmethod
    def of(cls, spec: JobSpec) -> GangShape:
        """Return the shape of a gang."""
        return cls(
            spec.resources, spec.machine_types, spec.zone, spec.allows_spot, spec.single_zone, spec.spread_zones
        )
