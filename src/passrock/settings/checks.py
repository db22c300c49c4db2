"""Checks that involve several settings, and warnings about very small resource limits."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from passrock.core.cancellations import renewal_horizon
from passrock.settings.model import Settings

if TYPE_CHECKING:
    from passrock.admission.settings import AdmissionSettings

MIN_CPU_CORES = 0.05  # starting alone takes a seventh of a second of CPU time
MIN_MEMORY_MB = 40.0  # twice the memory of an idle controller
MIN_HORIZON_HEARTBEATS = 2  # a cancellation takes at least two heartbeat intervals to reach the leader


def cancellation_time_faults(workers: Mapping[str, Any]) -> list[str]:
    """Return a fault if ``cancel_s`` is too short for the lease and the heartbeat interval of the workers.

    A cancellation takes effect once the controllers have passed it on in a few heartbeats and the lease of the worker
    has expired. ``workers`` is the table as read; missing or non-numeric times are reported elsewhere.
    """
    durations = [workers.get(key) for key in ("cancel_s", "lease_s", "report_s")]
    if not all(isinstance(duration, int | float) and not isinstance(duration, bool) for duration in durations):
        return []
    cancel_s, lease_s, report_s = (float(duration) for duration in durations if duration is not None)
    if renewal_horizon(cancel_s, lease_s, report_s) < MIN_HORIZON_HEARTBEATS * report_s:
        return [
            f"deployment.workers.cancel_s: {cancel_s} must be above lease_s ({lease_s}) and "
            f"{MIN_HORIZON_HEARTBEATS + 1} times report_s ({report_s})"
        ]
    return []


def unknown_team_faults(admission: AdmissionSettings, settings: Settings) -> list[str]:
    """Return a fault for each admission weight of a team that the platform's file does not define."""
    unknown = sorted(admission.team_weights.keys() - settings.teams.keys())
    return [f"admission.team_weights.{name}: no such team" for name in unknown]


def resource_warnings(settings: Settings) -> list[str]:
    """Return a warning for each resource limit with which a controller runs, but may be slow or refuse requests."""
    warnings = []
    if settings.cpu < MIN_CPU_CORES:
        warnings.append(
            f"deployment.resources.cpu: {settings.cpu} of a core is less than {MIN_CPU_CORES}: answers will be late"
        )
    if settings.memory_mb < MIN_MEMORY_MB:
        warnings.append(f"deployment.resources.mem_mb: {settings.memory_mb} is less than {MIN_MEMORY_MB}")
    return warnings
