"""The operators' HCL files: settings of the scheduler, and blocks that enable subsystems."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

import msgspec

from passrock.settings.model import FilePath, OperatorSettings

if TYPE_CHECKING:
    from passrock.admission.settings import AdmissionSettings

RANGES: dict[str, tuple[float, float]] = {
    "leader_lease_ratio": (0.1, 0.5),
    "silent_ratio": (0.2, 1.0),
    "round_s": (1.0, 600.0),
    "alpha_extra": (0.0, 1.0),
    "buffer_share": (0.0, 1.0),
    "idle_boot_ratio": (0.0, 20.0),
    "idle_floor_s": (0.0, 3600.0),
    "begin_within_s": (10.0, 86_400.0),
    "keep_room_ratio": (0.02, 1.0),
    "socket_share": (0.2, 0.95),
}
PARSER_METADATA_PREFIX = "__"  # of keys that the HCL parser adds
MAX_PARSER_ERROR_CHARS = 200  # the parser's messages may contain its whole grammar


class OperatorFiles(msgspec.Struct):
    """The settings of all operators' files together."""

    operator: OperatorSettings = msgspec.field(default_factory=OperatorSettings)
    admission: AdmissionSettings | None = None  # None: disabled


def read_operator_files(paths: Sequence[FilePath], faults: list[str]) -> OperatorFiles:
    """Read HCL files; each setting may occur in only one of them. Faults are appended to ``faults``."""
    values: dict[str, float] = {}
    admission: AdmissionSettings | None = None
    for path in paths:
        source = str(path)
        for key, value in _load_hcl(path, faults).items():
            if key == "admission":
                admission = _read_admission(admission, value, source, faults)
            elif not key.startswith(PARSER_METADATA_PREFIX):
                _read_number(values, key, value, source, faults)
    return OperatorFiles(OperatorSettings(**values), admission)


def _load_hcl(path: FilePath, faults: list[str]) -> dict[str, Any]:
    """Return the file's entries, none if it cannot be read."""
    import hcl2  # slow to import, and only needed if there are operators' files

    try:
        with open(path, encoding="utf-8") as file:
            return hcl2.load(file)
    except Exception as exc:  # noqa: BLE001 - the parser raises exceptions of many types for an unreadable file
        faults.append(f"{path}: {' '.join(str(exc).split())[:MAX_PARSER_ERROR_CHARS]}")
        return {}


def _read_number(values: dict[str, float], key: str, value: object, source: str, faults: list[str]) -> None:
    if key not in RANGES:
        faults.append(f"{source}: {key}: unknown setting")
        return
    if key in values:
        faults.append(f"{source}: {key}: stands there twice")
    if isinstance(value, bool) or not isinstance(value, int | float):
        faults.append(f"{source}: {key}: a number is required")
        return
    low, high = RANGES[key]
    if not low <= value <= high:
        faults.append(f"{source}: {key}: {value} is outside {low} to {high}")
    values[key] = float(value)


def _read_admission(
    previous: AdmissionSettings | None, value: object, source: str, faults: list[str]
) -> AdmissionSettings | None:
    from passrock.admission.settings import parse_admission  # not loaded if it is disabled

    blocks = value if isinstance(value, list) else [value]
    if previous is not None or len(blocks) != 1 or not isinstance(blocks[0], dict):
        faults.append(f"{source}: admission: one block is required")
        return previous
    return parse_admission(blocks[0], source, faults)
