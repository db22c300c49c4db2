"""A job with its tasks: which have completed, which have an attempt on a machine, and which wait for one."""

from __future__ import annotations

import math
from collections.abc import Iterator

import msgspec

from passrock.core.inventory import MachineInventory
from passrock.core.messages import TaskState
from passrock.core.model import JobKind, JobSpec, Resources
from passrock.core.records import AttemptRecord, TaskPageRecord

TaskKey = tuple[str, int]  # a job's id and the index of a task in it
UNKNOWN_ZONE = "?"  # stands for the zone of a machine that the inventory doesn't list (yet)


class TaskAttempt(msgspec.Struct):
    """An attempt of a task that is, or may be, on a machine.

    Attributes:
        index: of the task in its job.
        number: counts the attempts of the task, and of a gang as a whole.
        machine: the name of the machine.
        incarnation: that of the machine's worker when the attempt was placed.
        page_version: the version of the page from which on its record names this attempt.
        placed_this_term: False when the attempt was loaded from a record of an earlier leader.
        launch_sequence: the sequence number of the heartbeat whose answer last carried the launch, if any did.
        reported: whether a heartbeat has listed the attempt since it was last launched.
        state: as of the last heartbeat that listed it.
        stop_grace_s: set once the attempt has to stop: the seconds that it gets to save its work.
        running_since: monotonic; when a heartbeat of this term first listed it as running.
        placed_at: monotonic.
    """

    job: Job
    index: int
    number: int
    machine: str
    incarnation: int
    page_version: int = 0
    placed_this_term: bool = True
    launch_sequence: int | None = None
    reported: bool = False
    state: TaskState | None = None
    stop_grace_s: float | None = None
    running_since: float | None = None
    placed_at: float = 0.0

    @property
    def key(self) -> TaskKey:
        """Which task this is an attempt of."""
        return self.job.spec.id, self.index

    @property
    def is_unlaunched(self) -> bool:
        """Whether no answer has carried the attempt's launch yet: it can't be anywhere."""
        return self.placed_this_term and self.launch_sequence is None and not self.reported

    @property
    def is_committed(self) -> bool:
        """Whether the record that names this attempt is committed; only then it may be launched."""
        return self.job.page(self.index).committed_version >= self.page_version

    @property
    def can_save_checkpoint(self) -> bool:
        """Whether the task has work that it can save in a checkpoint when it stops."""
        return self.job.spec.checkpoint_interval_s > 0 and self.state is TaskState.RUNNING

    def gang_attempts(self) -> list[TaskAttempt]:
        """The attempts that stop and complete together with this one: its whole gang, or itself."""
        return list(self.job.attempts()) if self.job.spec.kind is JobKind.GANG else [self]


class TaskPage(msgspec.Struct):
    """The tasks of a job that one record holds.

    Attributes:
        first: the index of the page's first task in the job.
        size: how many tasks it holds.
        attempt_number: the highest number of any attempt on this page.
        completed: a bitmap of the tasks that have completed.
        attempts: by the index of their task in the job.
        mod_revision: the store's revision of the record, for compare-and-swap; 0 while there is none.
        version: counts the changes in memory.
        committed_version: the version that the committed record holds.
    """

    first: int
    size: int
    attempt_number: int = 0
    completed: int = 0
    attempts: dict[int, TaskAttempt] = msgspec.field(default_factory=dict)
    mod_revision: int = 0
    version: int = 0
    committed_version: int = 0

    def to_record(self) -> TaskPageRecord:
        """The stored form."""
        attempts = {
            index: AttemptRecord(attempt.number, attempt.machine, attempt.incarnation)
            for index, attempt in self.attempts.items()
        }
        return TaskPageRecord(self.attempt_number, f"{self.completed:x}", attempts)


class Job:
    """An unfinished job as the leader knows it; times are monotonic, in seconds, unless stated otherwise."""

    def __init__(self, spec: JobSpec, submitted_at: float, page_size: int, submitted_at_monotonic: float) -> None:
        """``submitted_at`` is the time of day, in seconds since the epoch."""
        self.spec = spec
        self.submitted_at = submitted_at
        self.submitted_at_monotonic = submitted_at_monotonic
        self.page_size = page_size
        self.pages: dict[int, TaskPage] = {}
        self.cancelled = False
        self.cancelled_at = math.inf  # no later than the cancellation was confirmed to the user
        self.final_status: str | None = None  # once committed
        self.done_count = 0
        self.attempt_count = 0
        self.first_waiting_index = 0  # no task with a lower index waits, apart from the requeued ones
        self.requeued: set[int] = set()  # tasks that wait again after their attempt was lost
        self.retry_not_before = 0.0
        self.consecutive_failures = 0
        self.avoided_machines: set[str] = set()  # names of those on which a task of the job has failed
        self.waiting_since = submitted_at_monotonic

    def page(self, index: int) -> TaskPage:
        """The page with this task; created on first access."""
        number = index // self.page_size
        page = self.pages.get(number)
        if page is None:
            first = number * self.page_size
            page = TaskPage(first, min(self.page_size, self.spec.tasks - first))
            self.pages[number] = page
        return page

    def is_done(self, index: int) -> bool:
        """Whether this task has completed."""
        page = self.pages.get(index // self.page_size)
        return page is not None and bool(page.completed >> (index - page.first) & 1)

    @property
    def is_suspect(self) -> bool:
        """Whether the job itself seems faulty: it failed on several machines, and none of its tasks has completed."""
        return len(self.avoided_machines) > 1 and self.done_count == 0

    def attempts(self) -> Iterator[TaskAttempt]:
        """All attempts that are or may be on machines."""
        for page in self.pages.values():
            yield from page.attempts.values()

    def has_attempt(self, index: int) -> bool:
        """Whether an attempt of this task is or may be on a machine."""
        page = self.pages.get(index // self.page_size)
        return page is not None and index in page.attempts

    @property
    def waiting_count(self) -> int:
        """How many tasks are neither done nor placed."""
        return self.spec.tasks - self.done_count - self.attempt_count

    def next_waiting_indexes(self, limit: int) -> list[int]:
        """Up to ``limit`` tasks to place, requeued ones first; the job is not changed."""
        waiting = sorted(self.requeued)[:limit]
        index = self.first_waiting_index
        while index < self.spec.tasks and len(waiting) < limit:
            if not self.is_done(index) and not self.has_attempt(index) and index not in self.requeued:
                waiting.append(index)
            index += 1
        return waiting

    def advance_first_waiting_index(self) -> None:
        """Skip tasks that are done or placed, so that a large array isn't searched from its start each time."""
        while self.first_waiting_index < self.spec.tasks and (
            self.is_done(self.first_waiting_index)
            or self.has_attempt(self.first_waiting_index)
            or self.first_waiting_index in self.requeued
        ):
            self.first_waiting_index += 1

    def next_attempt_number(self, index: int) -> int:
        """The number of the next attempt; one for all tasks of a gang."""
        if self.spec.kind is JobKind.GANG:
            return max((page.attempt_number for page in self.pages.values()), default=0) + 1
        return self.page(index).attempt_number + 1

    def zone_counts(self, inventory: MachineInventory) -> dict[str, int]:
        """How many tasks are or may be in each zone."""
        counts: dict[str, int] = {}
        for attempt in self.attempts():
            machine = inventory.machines.get(attempt.machine)
            zone = machine.zone if machine is not None else UNKNOWN_ZONE
            counts[zone] = counts.get(zone, 0) + 1
        return counts


def smallest_request(jobs: list[Job]) -> Resources:
    """The least of each resource that a task of any of the jobs requests."""
    requests = [job.spec.resources for job in jobs]
    return Resources(
        min((request.cpus for request in requests), default=0.0),
        min((request.gpus for request in requests), default=0.0),
        min((request.memory for request in requests), default=0.0),
    )
