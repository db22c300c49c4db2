"""Workers' heartbeats, commands to workers and the cloud's list of machines, independent of their wire format."""

from __future__ import annotations

from enum import Enum, StrEnum, auto

import msgspec


class TaskState(Enum):
    """The state of a task, as its worker reports it."""

    FETCHING = auto()  # fetching its image
    WAITING = auto()  # waiting for the other tasks of its gang
    RUNNING = auto()
    SAVING = auto()  # saving a checkpoint before it stops
    EXITED = auto()


class ExitReason(StrEnum):
    """Why a task exited; the values appear in log events."""

    UNSPECIFIED = ""  # not exited, or exited for a reason that this version does not support
    COMPLETED = "completed"
    STOPPED = "stopped"
    GANG_MEMBER_LOST = "gang_member_lost"
    GANG_INCOMPLETE = "gang_incomplete"  # its wait for the other tasks of its gang timed out
    FAILED = "failed"
    INSUFFICIENT_CAPACITY = "insufficient_capacity"  # the machine has too little free capacity for it
    ATTEMPT_IN_USE = "attempt_in_use"  # another attempt of the task was still on the machine
    JOB_UNKNOWN = "job_unknown"


class CommandKind(Enum):
    """The kinds of commands to workers."""

    START = auto()
    STOP = auto()
    ACKNOWLEDGE_EXIT = auto()  # a worker lists an exited task until it receives this command


class Command(msgspec.Struct, frozen=True):
    """One command to a worker; a task that is stopped gets ``grace_s`` to save a checkpoint."""

    kind: CommandKind
    job: str
    index: int
    attempt_number: int
    grace_s: float = 0.0


class TaskStatus(msgspec.Struct, frozen=True):
    """One task in a worker's heartbeat; ``checkpoint_saved`` says whether an exited task left a checkpoint."""

    job: str
    index: int
    attempt_number: int
    state: TaskState
    exit_reason: ExitReason
    checkpoint_saved: bool


class WorkerHeartbeat(msgspec.Struct, frozen=True):
    """A worker's heartbeat.

    Attributes:
        incarnation: increases each time the worker's lease expires; a worker starts each incarnation without tasks.
        sequence: increases with every heartbeat, so that delayed heartbeats are detected.
        token: the fencing token (term) of the leader whose answer the worker received last.
        reclaim_in_s: seconds until the cloud reclaims the spot instance; None without a preemption notice.
    """

    machine: str
    type: str
    zone: str
    spot: bool
    incarnation: int
    sequence: int
    token: int
    reclaim_in_s: float | None
    tasks: list[TaskStatus]


class ListedMachine(msgspec.Struct, frozen=True):
    """A machine in the cloud's list; ``age_s`` counts from its creation."""

    name: str
    type: str
    zone: str
    spot: bool
    status: str
    age_s: float
