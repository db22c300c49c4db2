"""Checks of submissions: whether the job can ever run."""

from __future__ import annotations

from passrock.core.model import JobKind, JobSpec, MachineType, Team


def rejection_reason(spec: JobSpec, teams: dict[str, Team], machine_types: dict[str, MachineType]) -> str | None:
    """Return the reason for which a job can never run, or None if it can."""
    team = teams.get(spec.team)
    if team is None:
        return "unknown team"
    zones = _zones_offered(spec, machine_types)
    if not zones:
        return "a task fits no allowed machine type"
    concurrent_tasks = 1 if spec.kind is JobKind.ARRAY else spec.task_count
    if not team.within_quota(spec.resources.scaled(concurrent_tasks)):
        return "more than the team's limit"
    # the tasks of an array take turns; at most half of those of other jobs can run in one zone
    needs_two_zones = spec.spread_zones and spec.task_count > 1 and spec.kind is not JobKind.ARRAY
    if needs_two_zones and spec.single_zone:
        return "one zone and spread exclude each other"
    if needs_two_zones and len(zones) < 2:
        return "spread, and only one zone has an allowed machine type that a task fits"
    return None


def _zones_offered(spec: JobSpec, machine_types: dict[str, MachineType]) -> set[str]:
    """Return the zones in which the cloud offers an allowed machine type that a task fits."""
    return {
        zone
        for machine_type in machine_types.values()
        if spec.resources.fits(machine_type.capacity)
        for zone in machine_type.zones
        if spec.allows(machine_type.name, zone, spot=False)
    }
