"""Operators' settings of admission: the ``admission`` block of their HCL file."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec

MIN_LOG_MB = 0.1


class AdmissionSettings(msgspec.Struct, frozen=True):
    """Ratios and weights of admission. Defaults stand in deploy/admission.hcl."""

    slot_ratio: float = 4.0  # length of a slot, in heartbeat intervals
    intake_share: float = 0.8  # of a follower's part of the store's write rate, for submissions
    leader_intake_share: float = 0.2  # the same of the leader's part
    interactive_share: float = 0.2  # of a controller's capacity, reserved for interactive classes
    burst_share: float = 0.1  # of it, reserved for demand that nobody has reported yet
    interactive_most: float = 0.5  # of what is granted by demand, for interactive classes before all others
    interactive_ratio: float = 1.5  # times the shortest objective on waiting: up to this a class is interactive
    window_s: float = 600.0  # every class with feasible waiting work has a start in each window
    favour_ratio: float = 0.33  # of the window without a start, after which a class is prioritized
    protect_ratio: float = 0.2  # of the window, for which what was started so is not preempted
    log_dir: str = ""  # of the decision log; empty: none is kept
    log_mb: float = 2.0
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
WEIGHTS = (0.001, 1000.0)
MAX_RESERVED_SHARE = 0.8  # of a controller's capacity, for interactive classes and bursts together


def parse_admission(block: Mapping[str, Any], where: str, faults: list[str]) -> AdmissionSettings:
    """Check the entries of the block; unknown and out-of-range ones are faults by name."""
    values: dict[str, Any] = {}
    for key, value in block.items():
        if key.startswith("__"):
            continue  # added by the HCL parser
        path = f"{where}: admission.{key}"
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
        faults.append(f"{where}: admission: interactive_share and burst_share together exceed {MAX_RESERVED_SHARE}")
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
    return value.strip('"')  # the parser keeps the quotes


def _weights(value: object, path: str, faults: list[str]) -> dict[str, float]:
    if not isinstance(value, dict):
        faults.append(f"{path}: a map from names to weights is required")
        return {}
    return {
        name.strip('"'): _number(weight, WEIGHTS, f"{path}.{name}", faults)
        for name, weight in value.items()
        if not name.startswith("__")
    }
