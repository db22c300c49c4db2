"""Checks of submissions: whether the job can ever run."""

from __future__ import annotations

from passrock.core.model import JobKind, JobSpec, MachineType, Team


def rejection_reason(spec: JobSpec, teams: dict[str, Team], machine_types: dict[str, MachineType]) -> str | None:
    """Return the reason for which a job can never run, or None if it can."""
    team = teams.get(spec.team)
    if team is None:
        return "unknown team"
    if not any(
        spec.resources.fits(machine_type.capacity)
        and any(spec.allows(machine_type.name, zone, spot=False) for zone in machine_type.zones)
        for machine_type in machine_types.values()
    ):
        return "a task fits no allowed machine type"
    concurrent_tasks = 1 if spec.kind is JobKind.ARRAY else spec.task_count
    if not team.within_quota(spec.resources.scaled(concurrent_tasks)):
        return "more than the team's limit"
    if spec.single_zone and spec.spread_zones and spec.task_count > 1 and spec.kind is not JobKind.ARRAY:
        return "one zone and spread exclude each other"
    return None
