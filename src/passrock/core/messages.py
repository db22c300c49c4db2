"""Workers' heartbeats, commands to workers and the cloud's list of machines, independent of names on the wire."""

from __future__ import annotations

from enum import Enum, StrEnum, auto

import msgspec


class TaskState(Enum):
    """The state of a task in its life cycle, as its worker reports it."""

    FETCHING = auto()  # its image
    WAITING = auto()  # for the other tasks of its gang
    RUNNING = auto()
    SAVING = auto()  # a checkpoint, before it stops
    EXITED = auto()


class ExitReason(StrEnum):
    """Why a task exited; the values appear in log events."""

    UNSPECIFIED = ""  # not exited, or for a reason that this version doesn't know
    COMPLETED = "completed"
    STOPPED = "stopped"
    GANG_MEMBER_LOST = "gang_member_lost"
    GANG_INCOMPLETE = "gang_incomplete"  # gave up waiting for the other tasks of its gang
    FAILED = "failed"
    INSUFFICIENT_CAPACITY = "insufficient_capacity"  # the machine has too little left for it
    ATTEMPT_IN_USE = "attempt_in_use"  # another attempt of the task was still on the machine
    JOB_UNKNOWN = "job_unknown"


class CommandKind(Enum):
    """What a worker can be commanded to do with a task."""

    START = auto()
    STOP = auto()
    FORGET = auto()  # an exited task, which a worker lists until then


class Command(msgspec.Struct, frozen=True):
    """One command to a worker; a stopped task gets ``grace_s`` to save its work."""

    kind: CommandKind
    job: str
    index: int
    attempt_number: int
    grace_s: float = 0.0


class TaskStatus(msgspec.Struct, frozen=True):
    """One task in a worker's heartbeat; ``saved`` says whether an exited one has left a checkpoint."""

    job: str
    index: int
    attempt_number: int
    state: TaskState
    exit_reason: ExitReason
    saved: bool


class WorkerHeartbeat(msgspec.Struct, frozen=True):
    """A worker's heartbeat.

    Attributes:
        incarnation: grows each time the worker's lease expires; a later one knows no task of an earlier one.
        sequence: grows with every heartbeat, so that delayed copies are recognised.
        token: the fencing token (term) of the leader whose answer the worker received last.
        notice: seconds until the cloud reclaims the machine; None without such a notice.
    """

    machine: str
    type: str
    zone: str
    spot: bool
    incarnation: int
    sequence: int
    token: int
    notice: float | None
    tasks: list[TaskStatus]


class ListedMachine(msgspec.Struct, frozen=True):
    """A machine in the cloud's list; ``age`` in seconds since it was rented."""

    name: str
    type: str
    zone: str
    spot: bool
    status: str
    age: float
