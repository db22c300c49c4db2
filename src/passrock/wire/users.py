"""Requests of users and the answers to them: paths and bodies."""

from __future__ import annotations

import re
from typing import Annotated

import msgspec

from passrock.core.model import JobKind, JobSpec, Priority, Resources
from passrock.wire import cbor

RUNS_PATH = "/v2/runs"
WITHDRAW_SUFFIX = "/withdraw"
HEALTH_PATH = "/up"
JOB_ID_PATTERN = re.compile(r"wk-[0-9]{1,18}\Z")
MAX_TASKS_PER_JOB = 100_000

JOB_KINDS = {"batch": JobKind.ARRAY, "group": JobKind.GANG, "service": JobKind.SERVICE}
PRIORITIES = {
    "prod": Priority.PRODUCTION,
    "high": Priority.HIGH,
    "standard": Priority.NORMAL,
    "low": Priority.LOW,
}


def is_job_id(value: str) -> bool:
    """Whether a string has the form of a job id."""
    return JOB_ID_PATTERN.match(value) is not None


class _Submission(
    msgspec.Struct,
    rename={
        "job": "ref",
        "job_class": "shelfmark",
        "team": "desk",
        "kind": "format",
        "priority": "precedence",
        "task_count": "volumes",
        "cpus": "cores",
        "gpus": "cards",
        "memory_gb": "ramGb",
        "image": "edition",
        "image_gb": "imageGb",
        "single_zone": "samePlace",
        "spread_zones": "spread",
        "allows_spot": "loaners",
        "estimated_run_s": "loanS",
        "checkpoint_interval_s": "bookmarkS",
        "checkpoint_save_s": "shelveS",
        "machine_types": "bindings",
        "zone": "branch",
        "deadline_s": "dueS",
    },
):
    job: cbor.Text
    job_class: cbor.Text
    team: cbor.Text
    kind: cbor.Text
    priority: cbor.Text
    task_count: Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS_PER_JOB)]
    cpus: cbor.Number
    gpus: cbor.Number
    memory_gb: cbor.Number
    image: cbor.Text
    image_gb: cbor.Number
    single_zone: bool
    spread_zones: bool
    allows_spot: bool
    estimated_run_s: cbor.Number
    checkpoint_interval_s: cbor.Number
    checkpoint_save_s: cbor.Number
    machine_types: tuple[cbor.TextOrEmpty, ...] | None = None
    zone: cbor.Text | None = None
    deadline_s: cbor.Number | None = None


def parse_submission(body: bytes) -> JobSpec:
    """Decode a submission.

    Raises:
        MalformedBodyError: a field is missing or invalid.
    """
    message = cbor.decode(body, _Submission)
    if not is_job_id(message.job):
        raise cbor.MalformedBodyError("ref: not a job id")
    kind = JOB_KINDS.get(message.kind)
    priority = PRIORITIES.get(message.priority)
    if kind is None or priority is None:
        raise cbor.MalformedBodyError("format or precedence: unknown value")
    return JobSpec(
        id=message.job,
        job_class=message.job_class,
        team=message.team,
        kind=kind,
        priority=priority,
        task_count=message.task_count,
        resources=Resources(message.cpus, message.gpus, message.memory_gb),
        image=message.image,
        image_gb=message.image_gb,
        machine_types=message.machine_types,
        zone=message.zone,
        single_zone=message.single_zone,
        spread_zones=message.spread_zones,
        allows_spot=message.allows_spot,
        estimated_run_s=message.estimated_run_s,
        checkpoint_interval_s=message.checkpoint_interval_s,
        checkpoint_save_s=message.checkpoint_save_s,
        deadline_s=message.deadline_s,
    )


def encode_brief_answer(job_id: str, status: str) -> bytes:
    """Encode the answer to a submission or cancellation."""
    return cbor.encode({"ref": job_id, "status": status})


def encode_full_answer(job_id: str, status: str, completed_count: int, running_count: int) -> bytes:
    """Encode the answer to a query of a job, with its numbers of completed and running tasks."""
    return cbor.encode({"ref": job_id, "status": status, "done": completed_count, "running": running_count})


def encode_error_answer(reason: str) -> bytes:
    """Encode the body of an error answer."""
    return cbor.encode({"error": reason})
