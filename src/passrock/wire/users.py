"""What users send and get."""

from __future__ import annotations

import re
from typing import Annotated

import msgspec

from passrock.core.model import JobKind, JobSpec, Priority, Resources
from passrock.wire import cbor

RUNS_PATH = "/v2/runs"
WITHDRAW_END = "/withdraw"
HEALTH_PATH = "/up"
JOB_ID = re.compile(r"wk-[0-9]{1,18}\Z")
TASK_LIMIT = 100_000

KINDS = {"batch": JobKind.ARRAY, "group": JobKind.GANG, "service": JobKind.SERVICE}
PRIORITIES = {
    "prod": Priority.PRODUCTION,
    "high": Priority.HIGH,
    "standard": Priority.NORMAL,
    "low": Priority.LOW,
}


def is_job_id(value: str) -> bool:
    """Whether a text has the form of a job id."""
    return JOB_ID.match(value) is not None


class _Submission(
    msgspec.Struct,
    rename={
        "job": "ref",
        "job_class": "shelfmark",
        "team": "desk",
        "kind": "format",
        "priority": "precedence",
        "tasks": "volumes",
        "cpus": "cores",
        "gpus": "cards",
        "memory": "ramGb",
        "image": "edition",
        "image_gb": "imageGb",
        "single_zone": "samePlace",
        "spread_zones": "spread",
        "allows_spot": "loaners",
        "estimated_run_s": "loanS",
        "checkpoint_interval_s": "bookmarkS",
        "checkpoint_save_s": "shelveS",
        "types": "bindings",
        "zone": "branch",
        "deadline_s": "dueS",
    },
):
    job: cbor.Text
    job_class: cbor.Text
    team: cbor.Text
    kind: cbor.Text
    priority: cbor.Text
    tasks: Annotated[int, msgspec.Meta(ge=1, le=TASK_LIMIT)]
    cpus: cbor.Number
    gpus: cbor.Number
    memory: cbor.Number
    image: cbor.Text
    image_gb: cbor.Number
    single_zone: bool
    spread_zones: bool
    allows_spot: bool
    estimated_run_s: cbor.Number
    checkpoint_interval_s: cbor.Number
    checkpoint_save_s: cbor.Number
    types: tuple[cbor.TextOrEmpty, ...] | None = None
    zone: cbor.Text | None = None
    deadline_s: cbor.Number | None = None


def parse_submission(body: bytes) -> JobSpec:
    """A submission; raises MalformedBodyError when anything in it is missing or wrong."""
    message = cbor.decode(body, _Submission)
    if not is_job_id(message.job):
        raise cbor.MalformedBodyError("ref: not a job id")
    kind = KINDS.get(message.kind)
    priority = PRIORITIES.get(message.priority)
    if kind is None or priority is None:
        raise cbor.MalformedBodyError("format or precedence: unknown value")
    return JobSpec(
        id=message.job,
        job_class=message.job_class,
        team=message.team,
        kind=kind,
        priority=priority,
        tasks=message.tasks,
        resources=Resources(message.cpus, message.gpus, message.memory),
        image=message.image,
        image_gb=message.image_gb,
        machine_types=message.types,
        zone=message.zone,
        single_zone=message.single_zone,
        spread_zones=message.spread_zones,
        allows_spot=message.allows_spot,
        estimated_run_s=message.estimated_run_s,
        checkpoint_interval_s=message.checkpoint_interval_s,
        checkpoint_save_s=message.checkpoint_save_s,
        deadline_s=message.deadline_s,
    )


def brief_answer(job_id: str, status: str) -> bytes:
    """The answer to a submission or cancellation."""
    return cbor.encode({"ref": job_id, "status": status})


def full_answer(job_id: str, status: str, done: int, running: int) -> bytes:
    """The answer to a query."""
    return cbor.encode({"ref": job_id, "status": status, "done": done, "running": running})


def error_answer(reason: str) -> bytes:
    """The body of a refusal."""
    return cbor.encode({"error": reason})
