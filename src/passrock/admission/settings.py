"""Operators' settings of fair admission: the ``admission`` block of their HCL file."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec

MIN_LOG_MB = 0.1


class AdmissionSettings(msgspec.Struct, frozen=True):
    """Settings of fair admission; deploy/admission.hcl lists them with their defaults."""

    slot_ratio: float = 4.0  # length of a slot, in heartbeat intervals
    intake_share: float = 0.8  # of a follower's share of the store's write rate, for submissions
    leader_intake_share: float = 0.2  # of the leader's share of the store's write rate, for submissions
    interactive_share: float = 0.2  # of a controller's capacity, reserved for interactive classes
    burst_share: float = 0.1  # of a controller's capacity, reserved for demand not yet reported
    interactive_most: float = 0.5  # of the capacity granted by demand, for interactive classes before all others
    interactive_ratio: float = 1.5  # interactive classes: waiting objective up to this multiple of the shortest one
    window_s: float = 600.0  # every class with waiting jobs that could run has a start in each window
    favour_ratio: float = 0.33  # of the window; a class without a start for longer is prioritized
    protect_ratio: float = 0.2  # of the window; how long a job that was prioritized is not preempted
    log_dir: str = ""  # directory of the decision log; empty: no log is written
    log_mb: float = 2.0  # approximate limit on the size of the decision log
    team_weights: dict[str, float] = {}
    class_weights: dict[str, float] = {}


RANGES: dict[str, tuple[float, float]] = {
    "slot_ratio": (1.0, 60.0),
    "intake_share": (0.05, 0.95),
    "leader_intake_share": (0.02, 0.8),
    "interactive_share": (0.0, 0.6),
    "burst_share": (0.0, 0.4),
    "interactive_most": (0.0, 0.9),
    "interactive_ratio": (1.0, 100.0),
    "window_s": (60.0, 86_400.0),
    "favour_ratio": (0.05, 0.9),
    "protect_ratio": (0.0, 1.0),
    "log_mb": (MIN_LOG_MB, 1024.0),
}
WEIGHT_RANGE = (0.001, 1000.0)
MAX_RESERVED_SHARE = 0.8  # limit on interactive_share + burst_share


def parse_admission(block: Mapping[str, Any], source: str, faults: list[str]) -> AdmissionSettings:
    """Parse and check the block; faults in its entries are appended to ``faults``, with the path of each entry."""
    values: dict[str, Any] = {}
    for key, value in block.items():
        if key.startswith("__"):
            continue  # added by the HCL parser
        path = f"{source}: admission.{key}"
        if key in RANGES:
            values[key] = _number(value, RANGES[key], path, faults)
        elif key == "log_dir":
            values[key] = _text(value, path, faults)
        elif key in ("team_weights", "class_weights"):
            values[key] = _weights(value, path, faults)
        else:
            faults.append(f"{path}: unknown setting")
    settings = AdmissionSettings(**values)
    if settings.interactive_share + settings.burst_share > MAX_RESERVED_SHARE:
        faults.append(f"{source}: admission: interactive_share and burst_share together exceed {MAX_RESERVED_SHARE}")
    return settings


def _number(value: object, limits: tuple[float, float], path: str, faults: list[str]) -> float:
    low, high = limits
    if isinstance(value, bool) or not isinstance(value, int | float):
        faults.append(f"{path}: a number is required")
        return low
    if not low <= value <= high:
        faults.append(f"{path}: {value} is outside {low} to {high}")
        return low
    return float(value)


def _text(value: object, path: str, faults: list[str]) -> str:
    if not isinstance(value, str):
        faults.append(f"{path}: a text is required")
        return ""
    return value.strip('"')  # the HCL parser keeps the quotes


def _weights(value: object, path: str, faults: list[str]) -> dict[str, float]:
    if not isinstance(value, dict):
        faults.append(f"{path}: a map from names to weights is required")
        return {}
    return {
        name.strip('"'): _number(weight, WEIGHT_RANGE, f"{path}.{name}", faults)
        for name, weight in value.items()
        if not name.startswith("__")
    }
