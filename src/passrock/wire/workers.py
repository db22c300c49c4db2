"""Heartbeats of workers and the answers to them."""

from __future__ import annotations

import msgspec

from passrock.core.messages import Command, CommandKind, ExitReason, TaskState, TaskStatus, WorkerHeartbeat
from passrock.wire import cbor

CHECKIN_PATH = "/checkin"

TASK_STATES = {
    "fetching": TaskState.FETCHING,
    "gathering": TaskState.WAITING,
    "running": TaskState.RUNNING,
    "flushing": TaskState.SAVING,
    "exited": TaskState.EXITED,
}
EXIT_REASONS = {
    "done": ExitReason.COMPLETED,
    "stopped": ExitReason.STOPPED,
    "mates_gone": ExitReason.GANG_MEMBER_LOST,
    "incomplete": ExitReason.GANG_INCOMPLETE,
    "error": ExitReason.FAILED,
    "full": ExitReason.INSUFFICIENT_CAPACITY,
    "in_use": ExitReason.ATTEMPT_IN_USE,
    "unknown": ExitReason.JOB_UNKNOWN,
}
COMMAND_KINDS = {CommandKind.START: "launch", CommandKind.STOP: "halt", CommandKind.ACKNOWLEDGE_EXIT: "clear"}


class _TaskReport(
    msgspec.Struct,
    rename={"name": "volume", "attempt_number": "renewal", "reason": "remark", "checkpoint_saved": "kept"},
):
    name: cbor.Text
    attempt_number: cbor.Count
    status: cbor.Text
    reason: object = None
    checkpoint_saved: object = None


class _Heartbeat(
    msgspec.Struct,
    rename={
        "machine": "stack",
        "type": "binding",
        "zone": "branch",
        "spot": "loaners",
        "incarnation": "shift",
        "sequence": "accession",
        "token": "warrant",
        "reclaim_in_s": "recallS",
        "tasks": "volumes",
    },
):
    machine: cbor.Text
    type: cbor.Text
    zone: cbor.Text
    spot: bool
    incarnation: cbor.Count
    sequence: cbor.Count
    token: cbor.Count
    tasks: list[_TaskReport]
    reclaim_in_s: cbor.Number | None = None


def split_task_name(name: str) -> tuple[str, int]:
    """Split a task's name, ``job/index``, into the job's id and the task's index."""
    job, slash, index = name.rpartition("/")
    if not slash or not job or not index.isdigit() or len(index) > 6:
        raise cbor.MalformedBodyError(f"no task name: {name[:40]}")
    return job, int(index)


def parse_heartbeat(body: bytes) -> WorkerHeartbeat:
    """Decode a heartbeat.

    Raises:
        MalformedBodyError: a field is missing or invalid.
    """
    message = cbor.decode(body, _Heartbeat)
    cbor.check_counts(message.incarnation, message.sequence, message.token)
    return WorkerHeartbeat(
        machine=message.machine,
        type=message.type,
        zone=message.zone,
        spot=message.spot,
        incarnation=message.incarnation,
        sequence=message.sequence,
        token=message.token,
        reclaim_in_s=message.reclaim_in_s,
        tasks=[_task_status(task) for task in message.tasks],
    )


def _task_status(task: _TaskReport) -> TaskStatus:
    state = TASK_STATES.get(task.status)
    if state is None:
        raise cbor.MalformedBodyError("status: unknown value")
    cbor.check_counts(task.attempt_number)
    job, index = split_task_name(task.name)
    reason = ExitReason.UNSPECIFIED
    if isinstance(task.reason, str):
        reason = EXIT_REASONS.get(task.reason, ExitReason.UNSPECIFIED)
    return TaskStatus(job, index, task.attempt_number, state, reason, task.checkpoint_saved is True)


def encode_answer(token: int, commands: list[Command]) -> bytes:
    """Encode the body of an answer with status 200: the fencing token and the commands for the worker."""
    encoded_commands = []
    for command in commands:
        fields: dict[str, object] = {
            "slipKind": COMMAND_KINDS[command.kind],
            "volume": f"{command.job}/{command.index}",
            "renewal": command.attempt_number,
        }
        if command.kind is CommandKind.STOP:
            fields["graceS"] = command.grace_s
        encoded_commands.append(fields)
    return cbor.encode({"warrant": token, "slips": encoded_commands})


def encode_redirect(node: str | None) -> bytes:
    """Encode the body of an answer with status 421: the controller to contact, if there is one."""
    return cbor.encode({} if node is None else {"returnDesk": node})
