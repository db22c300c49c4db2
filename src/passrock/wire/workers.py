"""Check-ins of workers and the answers to them."""

from __future__ import annotations

import msgspec

from passrock.core.messages import Command, CommandKind, ExitReason, TaskState, TaskStatus, WorkerHeartbeat
from passrock.wire import cbor

CHECKIN_PATH = "/checkin"

STATES = {
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


class _Task(
    msgspec.Struct, rename={"name": "volume", "attempt_number": "renewal", "reason": "remark", "saved": "kept"}
):
    name: cbor.Text
    attempt_number: cbor.Count
    status: cbor.Text
    reason: object = None
    saved: object = None


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
        "notice": "recallS",
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
    tasks: list[_Task]
    notice: cbor.Number | None = None


def split_task(name: str) -> tuple[str, int]:
    """A task's name as its job and number."""
    job, slash, index = name.rpartition("/")
    if not slash or not job or not index.isdigit() or len(index) > 6:
        raise cbor.MalformedBodyError(f"no task name: {name[:40]}")
    return job, int(index)


def parse_heartbeat(body: bytes) -> WorkerHeartbeat:
    """A check-in; raises MalformedBodyError on anything unlike one."""
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
        reclaim_in_s=message.notice,
        tasks=[_task_status(task) for task in message.tasks],
    )


def _task_status(task: _Task) -> TaskStatus:
    state = STATES.get(task.status)
    if state is None:
        raise cbor.MalformedBodyError("status: unknown value")
    cbor.check_counts(task.attempt_number)
    job, index = split_task(task.name)
    reason = ExitReason.UNSPECIFIED
    if isinstance(task.reason, str):
        reason = EXIT_REASONS.get(task.reason, ExitReason.UNSPECIFIED)
    return TaskStatus(job, index, task.attempt_number, state, reason, task.saved is True)


def answer(token: int, commands: list[Command]) -> bytes:
    """The body of a 200."""
    slips = []
    for command in commands:
        slip: dict[str, object] = {
            "slipKind": COMMAND_KINDS[command.kind],
            "volume": f"{command.job}/{command.index}",
            "renewal": command.attempt_number,
        }
        if command.kind is CommandKind.STOP:
            slip["graceS"] = command.grace_s
        slips.append(slip)
    return cbor.encode({"warrant": token, "slips": slips})


def redirect(node: str | None) -> bytes:
    """The body of a 421."""
    return cbor.encode({} if node is None else {"returnDesk": node})
