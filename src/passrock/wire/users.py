"""What users send and get."""

from __future__ import annotations

import re

from passrock.core.model import Amount, Kind, Priority, Spec
from passrock.wire import cbor

RUNS_PATH = "/v2/runs"
WITHDRAW_END = "/withdraw"
HEALTH_PATH = "/up"
JOB_ID = re.compile(r"wk-[0-9]{1,18}\Z")
TASK_LIMIT = 100_000

KINDS = {"batch": Kind.ARRAY, "group": Kind.GANG, "service": Kind.SERVICE}
PRIORITIES = {
    "prod": Priority.PRODUCTION,
    "high": Priority.HIGH,
    "standard": Priority.NORMAL,
    "low": Priority.LOW,
}


def is_job_id(value: str) -> bool:
    """Whether a text has the form of a job id."""
    return JOB_ID.match(value) is not None


def parse_submission(body: bytes) -> Spec:
    """A submission; raises MalformedBodyError when anything in it is missing or wrong."""
    data = cbor.decode_map(body)
    job_id = cbor.text(data, "ref")
    if not is_job_id(job_id):
        raise cbor.MalformedBodyError("ref: not a job id")
    kind = KINDS.get(cbor.text(data, "format"))
    priority = PRIORITIES.get(cbor.text(data, "precedence"))
    if kind is None or priority is None:
        raise cbor.MalformedBodyError("format or precedence: unknown value")
    types = None if data.get("bindings") is None else cbor.texts(data, "bindings")
    return Spec(
        id=job_id,
        job_class=cbor.text(data, "shelfmark"),
        team=cbor.text(data, "desk"),
        kind=kind,
        priority=priority,
        tasks=cbor.count(data, "volumes", 1, TASK_LIMIT),
        need=Amount(cbor.number(data, "cores"), cbor.number(data, "cards"), cbor.number(data, "ramGb")),
        image=cbor.text(data, "edition"),
        image_gb=cbor.number(data, "imageGb"),
        types=types,
        zone=cbor.opt_text(data, "branch"),
        one_zone=cbor.flag(data, "samePlace"),
        spread=cbor.flag(data, "spread"),
        spot=cbor.flag(data, "loaners"),
        estimate=cbor.number(data, "loanS"),
        checkpoint=cbor.number(data, "bookmarkS"),
        save=cbor.number(data, "shelveS"),
        deadline=cbor.opt_number(data, "dueS"),
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
