"""What workers report and are told, and what the cloud lists: typed, whatever it looks like on the wire."""

from __future__ import annotations

from enum import Enum, auto

import msgspec


class TaskState(Enum):
    """What a worker says of a task."""

    FETCHING = auto()
    WAITING = auto()
    RUNNING = auto()
    SAVING = auto()
    EXITED = auto()


class Op(Enum):
    """What a worker can be told about a task."""

    START = auto()
    STOP = auto()
    FORGET = auto()


class Command(msgspec.Struct, frozen=True):
    """One command to a worker."""

    op: Op
    job: str
    index: int
    attempt_number: int
    grace: float = 0.0


class TaskStatus(msgspec.Struct, frozen=True):
    """One task in a worker's report."""

    job: str
    index: int
    attempt_number: int
    state: TaskState
    why: str
    saved: bool


class WorkerHeartbeat(msgspec.Struct, frozen=True):
    """A worker's check-in."""

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
    """A machine in the cloud's list."""

    name: str
    type: str
    zone: str
    spot: bool
    status: str
    age: float
