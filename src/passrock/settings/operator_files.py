"""The operators' HCL files: their own settings, and the blocks of subsystems that they switch on."""

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
PARSER_NOTE_PREFIX = "__"  # of keys that the HCL parser adds by itself
PARSER_ERROR_LIMIT = 200  # characters; the parser quotes its whole grammar otherwise


class OperatorFiles(msgspec.Struct):
    """What all operators' files together hold."""

    operator: OperatorSettings = msgspec.field(default_factory=OperatorSettings)
    admission: AdmissionSettings | None = None  # None: switched off


def read_operator_files(paths: Sequence[FilePath], faults: list[str]) -> OperatorFiles:
    """Read HCL files, each setting from one of them; unknown and out-of-range entries are faults by name."""
    values: dict[str, float] = {}
    admission: AdmissionSettings | None = None
    for path in paths:
        where = str(path)
        for key, value in _load_hcl(path, faults).items():
            if key == "admission":
                admission = _read_admission(admission, value, where, faults)
            elif not key.startswith(PARSER_NOTE_PREFIX):
                _read_ratio(values, key, value, where, faults)
    return OperatorFiles(OperatorSettings(**values), admission)


def _load_hcl(path: FilePath, faults: list[str]) -> dict[str, Any]:
    """The file's entries; none where it can't be read."""
    import hcl2  # a slow import, and only needed where operators have such a file

    try:
        with open(path, encoding="utf-8") as file:
            return hcl2.load(file)
    except Exception as error:  # noqa: BLE001 - the parser raises many kinds, all of which mean an unreadable file
        faults.append(f"{path}: {' '.join(str(error).split())[:PARSER_ERROR_LIMIT]}")
        return {}


def _read_ratio(values: dict[str, float], key: str, value: object, where: str, faults: list[str]) -> None:
    if key not in RANGES:
        faults.append(f"{where}: {key}: unknown setting")
        return
    if key in values:
        faults.append(f"{where}: {key}: stands there twice")
    if isinstance(value, bool) or not isinstance(value, int | float):
        faults.append(f"{where}: {key}: a number is required")
        return
    low, high = RANGES[key]
    if not low <= value <= high:
        faults.append(f"{where}: {key}: {value} is outside {low} to {high}")
    values[key] = float(value)


def _read_admission(
    earlier: AdmissionSettings | None, value: object, where: str, faults: list[str]
) -> AdmissionSettings | None:
    from passrock.admission.settings import parse_admission  # not loaded where it is switched off

    blocks = value if isinstance(value, list) else [value]
    if earlier is not None or len(blocks) != 1 or not isinstance(blocks[0], dict):
        faults.append(f"{where}: admission: one block is required")
        return earlier
    return parse_admission(blocks[0], where, faults)
