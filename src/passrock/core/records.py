"""Job descriptions as the state service stores them, and how much one record holds."""

from __future__ import annotations

from typing import Any

import msgspec

from passrock.core.model import JobKind, JobSpec, Priority, Resources

ATTEMPT_BYTES = 44  # a recorded attempt at its longest, as JSON
DESCRIPTION_BYTES = 1200  # kept free in a job's own record for its description
DONE = "done"
CANCELLED = "cancelled"
PERMIT_MARK = "ad"  # the field of a job's first record with the mark of its permit


class Permit(msgspec.Struct, frozen=True):
    """What a submission's transaction depends on, and the mark that the job's first record carries of it.

    A job is accepted only while the record under ``key`` has this version.
    """

    key: str
    mod_revision: int
    mark: list[int]


def tasks_per_page(value_bytes: int) -> int:
    """How many tasks one record holds, with room left for the job's own description."""
    return max(8, int((value_bytes - DESCRIPTION_BYTES) / ATTEMPT_BYTES))


def encode_spec(spec: JobSpec) -> dict[str, Any]:
    """A job's description for its record."""
    return {
        "id": spec.id,
        "c": spec.job_class,
        "t": spec.team,
        "k": spec.kind.value,
        "p": int(spec.priority),
        "n": spec.tasks,
        "r": [spec.resources.cpus, spec.resources.gpus, spec.resources.memory],
        "i": spec.image,
        "ig": spec.image_gb,
        "ty": None if spec.types is None else list(spec.types),
        "z": spec.zone,
        "f": [spec.single_zone, spec.spread_zones, spec.allows_spot],
        "e": [spec.estimated_run_s, spec.checkpoint_interval_s, spec.checkpoint_save_s],
        "dl": spec.deadline_s,
    }


def decode_spec(data: dict[str, Any]) -> JobSpec:
    """The reverse of encode_spec."""
    return JobSpec(
        id=data["id"],
        job_class=data["c"],
        team=data["t"],
        kind=JobKind(data["k"]),
        priority=Priority(data["p"]),
        tasks=data["n"],
        resources=Resources(*data["r"]),
        image=data["i"],
        image_gb=data["ig"],
        types=None if data["ty"] is None else tuple(data["ty"]),
        zone=data["z"],
        single_zone=data["f"][0],
        spread_zones=data["f"][1],
        allows_spot=data["f"][2],
        estimated_run_s=data["e"][0],
        checkpoint_interval_s=data["e"][1],
        checkpoint_save_s=data["e"][2],
        deadline_s=data["dl"],
    )


def fits_record(spec: JobSpec) -> bool:
    """Whether the description is short enough for its record."""
    return len(msgspec.json.encode(encode_spec(spec))) <= DESCRIPTION_BYTES - 100
