"""Checks across several settings, and warnings of ones that are very small."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from passrock.core.cancellations import renewal_horizon
from passrock.settings.model import Settings

if TYPE_CHECKING:
    from passrock.admission.settings import AdmissionSettings

LEAST_CPU = 0.05  # of a core: a start alone takes a seventh of a second of a whole one
LEAST_MEMORY_MB = 40.0  # twice what a controller takes at rest
# heartbeat intervals, the least in which a cancellation can become known to the leader
LEAST_HORIZON_INTERVALS = 2


def cancellation_time_faults(workers: Mapping[str, Any]) -> list[str]:
    """A cancellation takes effect once a worker's lease is over and a few heartbeats have spread the knowledge of it.

    Works on the table as read: times that are missing or no numbers have faults of their own.
    """
    times = [workers.get(key) for key in ("cancel_s", "lease_s", "report_s")]
    if not all(isinstance(time, int | float) and not isinstance(time, bool) for time in times):
        return []
    cancel_s, lease_s, report_s = (float(time) for time in times if time is not None)
    if renewal_horizon(cancel_s, lease_s, report_s) < LEAST_HORIZON_INTERVALS * report_s:
        return [
            f"deployment.workers.cancel_s: {cancel_s} must be above lease_s ({lease_s}) and "
            f"{LEAST_HORIZON_INTERVALS + 1} times report_s ({report_s})"
        ]
    return []


def unknown_team_faults(admission: AdmissionSettings, settings: Settings) -> list[str]:
    """Weights of admission for teams that the platform doesn't name."""
    unknown = sorted(admission.team_weights.keys() - settings.teams.keys())
    return [f"admission.team_weights.{name}: no such team" for name in unknown]


def resource_warnings(settings: Settings) -> list[str]:
    """Limits so small that the service may be slow or refuse requests; it serves all the same."""
    found = []
    if settings.cpu < LEAST_CPU:
        found.append(
            f"deployment.resources.cpu: {settings.cpu} of a core is less than {LEAST_CPU}: answers will be late"
        )
    if settings.memory_mb < LEAST_MEMORY_MB:
        found.append(f"deployment.resources.mem_mb: {settings.memory_mb} is less than {LEAST_MEMORY_MB}")
    return found
