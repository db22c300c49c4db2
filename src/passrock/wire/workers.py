"""Check-ins of workers and the answers to them."""

from __future__ import annotations

from passrock.core.fleet import Command, Op, Report, TaskReport, TaskState
from passrock.wire import cbor

CHECKIN_PATH = "/checkin"

STATES = {
    "fetching": TaskState.FETCHING,
    "gathering": TaskState.WAITING,
    "running": TaskState.RUNNING,
    "flushing": TaskState.SAVING,
    "exited": TaskState.EXITED,
}
REASONS = {
    "done": "done",
    "stopped": "stopped",
    "mates_gone": "peers",
    "incomplete": "alone",
    "error": "error",
    "full": "no_room",
    "in_use": "busy",
    "unknown": "unknown",
}
OPS = {Op.START: "launch", Op.STOP: "halt", Op.FORGET: "clear"}


def split_task(name: str) -> tuple[str, int]:
    """A task's name as its job and number."""
    job, slash, index = name.rpartition("/")
    if not slash or not job or not index.isdigit() or len(index) > 6:
        raise cbor.MalformedBodyError(f"no task name: {name[:40]}")
    return job, int(index)


def parse_report(body: bytes) -> Report:
    """A check-in; raises MalformedBodyError on anything unlike one."""
    data = cbor.decode_map(body)
    tasks = []
    for row in cbor.maps(data, "volumes"):
        job, index = split_task(cbor.text(row, "volume"))
        state = STATES.get(cbor.text(row, "status"))
        if state is None:
            raise cbor.MalformedBodyError("status: unknown value")
        tasks.append(
            TaskReport(
                job=job,
                index=index,
                attempt=cbor.count(row, "renewal"),
                state=state,
                why=REASONS.get(str(row.get("remark")), ""),
                saved=row.get("kept") is True,
            )
        )
    return Report(
        machine=cbor.text(data, "stack"),
        type=cbor.text(data, "binding"),
        zone=cbor.text(data, "branch"),
        spot=cbor.flag(data, "loaners"),
        session=cbor.count(data, "shift"),
        seq=cbor.count(data, "accession"),
        token=cbor.count(data, "warrant"),
        notice=cbor.opt_number(data, "recallS"),
        tasks=tasks,
    )


def answer(token: int, commands: list[Command]) -> bytes:
    """The body of a 200."""
    slips = []
    for command in commands:
        slip: dict[str, object] = {
            "slipKind": OPS[command.op],
            "volume": f"{command.job}/{command.index}",
            "renewal": command.attempt,
        }
        if command.op is Op.STOP:
            slip["graceS"] = command.grace
        slips.append(slip)
    return cbor.encode({"warrant": token, "slips": slips})


def redirect(node: str | None) -> bytes:
    """The body of a 421."""
    return cbor.encode({} if node is None else {"returnDesk": node})
