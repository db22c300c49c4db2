"""An unfinished job and the state of its tasks: completed, with an attempt on a machine, or waiting for one."""

from __future__ import annotations

import math
from collections.abc import Iterator

import msgspec

from passrock.core.instants import NEVER
from passrock.core.inventory import MachineInventory
from passrock.core.messages import TaskState
from passrock.core.model import JobKind, JobSpec, Resources
from passrock.core.records import AttemptRecord, TaskPageRecord

TaskKey = tuple[str, int]  # job id and the index of the task in the job
UNKNOWN_ZONE = "?"  # the zone of a machine that the inventory doesn't contain (yet)


class TaskAttempt(msgspec.Struct):
    """An attempt of a task that is, or may be, on a machine.

    Attributes:
        job: the job of the task.
        index: the index of the task in the job.
        number: increases with each attempt of the task; the same for all tasks of a gang.
        machine: the name of the machine.
        incarnation: the incarnation of the machine's worker when the attempt was placed.
        page_version: the first version of the task's page whose record names this attempt.
        placed_this_term: False when the attempt was loaded from a record of an earlier leader.
        launch_sequence: the sequence number of the heartbeat whose answer last carried the launch; None if no
            answer has carried it in this term, or since the exit that precedes a restart in place.
        launch_not_before: the monotonic time before which no answer may carry the launch.
        reported: whether a heartbeat has listed the attempt since it was last launched.
        state: the task's state in the last heartbeat that listed the attempt.
        stop_grace_s: the seconds that the attempt gets to save its work; None unless it has to stop.
        running_since: the monotonic time at which a heartbeat of this term first listed the attempt as running.
        placed_at: the monotonic time of the placement.
    """

    job: Job
    index: int
    number: int
    machine: str
    incarnation: int
    page_version: int = 0
    placed_this_term: bool = True
    launch_sequence: int | None = None
    launch_not_before: float = NEVER
    reported: bool = False
    state: TaskState | None = None
    stop_grace_s: float | None = None
    running_since: float | None = None
    placed_at: float = 0.0

    @property
    def key(self) -> TaskKey:
        """The job id and index of the task."""
        return self.job.spec.id, self.index

    @property
    def is_unlaunched(self) -> bool:
        """Whether no answer has carried the attempt's launch yet, so that no worker can have started it."""
        return self.placed_this_term and self.launch_sequence is None and not self.reported

    @property
    def is_committed(self) -> bool:
        """Whether the record that names this attempt is committed; it may not be launched before."""
        return self.job.page(self.index).committed_version >= self.page_version

    @property
    def can_save_checkpoint(self) -> bool:
        """Whether the task has work that it can save in a checkpoint when it stops."""
        return self.job.spec.checkpoint_interval_s > 0 and self.state is TaskState.RUNNING

    def gang_attempts(self) -> list[TaskAttempt]:
        """Return the attempts that stop and complete together with this one: those of its gang, or only itself."""
        return list(self.job.attempts()) if self.job.spec.kind is JobKind.GANG else [self]


class TaskPage(msgspec.Struct):
    """The part of a job's tasks that is stored in one record.

    Attributes:
        first: the index of the page's first task in the job.
        size: the number of tasks on the page.
        attempt_number: the highest number of any attempt on this page.
        completed: a bitmap of the completed tasks; bit 0 stands for the page's first task.
        attempts: the attempts by the index of their task in the job.
        mod_revision: the store's revision of the record, for compare-and-swap; 0 while there is no record.
        version: the number of changes in memory.
        committed_version: the version that the committed record contains.
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
        """Return the record in which the page is stored."""
        attempts = {
            index: AttemptRecord(attempt.number, attempt.machine, attempt.incarnation)
            for index, attempt in self.attempts.items()
        }
        return TaskPageRecord(self.attempt_number, f"{self.completed:x}", attempts)


class Job:
    """The leader's state of an unfinished job; times are monotonic, in seconds, unless stated otherwise.

    Attributes:
        submitted_at: wall-clock time in seconds since the epoch.
        page_size: the number of tasks on a page; the last page may have fewer.
        cancelled_at: a lower bound of the time at which the cancellation was confirmed to the user; infinite while
            the job is not cancelled.
        final_status: the status in the final record; None until this record is committed.
        completed_count: the number of completed tasks.
        attempt_count: the number of attempts that are or may be on machines.
        first_waiting_index: no task with a lower index waits, apart from the requeued tasks.
        requeued: indexes of the tasks that wait again because their attempt was lost.
        retry_not_before: no task is placed before this time, after a failure or a refused start.
        avoided_machines: names of the machines on which a task of the job has failed.
        waiting_since: the time of the submission, or of the last loss of an attempt.
    """

    def __init__(self, spec: JobSpec, submitted_at: float, page_size: int, submitted_at_monotonic: float) -> None:
        self.spec = spec
        self.submitted_at = submitted_at
        self.submitted_at_monotonic = submitted_at_monotonic
        self.page_size = page_size
        self.pages: dict[int, TaskPage] = {}
        self.cancelled = False
        self.cancelled_at = math.inf
        self.final_status: str | None = None
        self.completed_count = 0
        self.attempt_count = 0
        self.first_waiting_index = 0
        self.requeued: set[int] = set()
        self.retry_not_before = 0.0
        self.consecutive_failures = 0
        self.avoided_machines: set[str] = set()
        self.waiting_since = submitted_at_monotonic

    def page(self, index: int) -> TaskPage:
        """Return the page with this task; it is created on first access."""
        number = index // self.page_size
        page = self.pages.get(number)
        if page is None:
            first = number * self.page_size
            page = TaskPage(first, min(self.page_size, self.spec.task_count - first))
            self.pages[number] = page
        return page

    def is_completed(self, index: int) -> bool:
        """Whether this task has completed."""
        page = self.pages.get(index // self.page_size)
        return page is not None and bool(page.completed >> (index - page.first) & 1)

    @property
    def is_presumed_faulty(self) -> bool:
        """Whether the job itself seems faulty: tasks failed on several machines and none has completed."""
        return len(self.avoided_machines) > 1 and self.completed_count == 0

    def attempts(self) -> Iterator[TaskAttempt]:
        """Iterate over all attempts that are or may be on machines."""
        for page in self.pages.values():
            yield from page.attempts.values()

    def has_attempt(self, index: int) -> bool:
        """Whether an attempt of this task is or may be on a machine."""
        page = self.pages.get(index // self.page_size)
        return page is not None and index in page.attempts

    @property
    def waiting_count(self) -> int:
        """The number of tasks that have neither completed nor an attempt."""
        return self.spec.task_count - self.completed_count - self.attempt_count

    def next_waiting_indexes(self, limit: int) -> list[int]:
        """Return the indexes of up to ``limit`` tasks to place, requeued tasks first; the job is not changed."""
        waiting = sorted(self.requeued)[:limit]
        index = self.first_waiting_index
        while index < self.spec.task_count and len(waiting) < limit:
            if not self.is_completed(index) and not self.has_attempt(index) and index not in self.requeued:
                waiting.append(index)
            index += 1
        return waiting

    def advance_first_waiting_index(self) -> None:
        """Advance past tasks that don't wait, so that a large array isn't searched from its start each time."""
        while self.first_waiting_index < self.spec.task_count and (
            self.is_completed(self.first_waiting_index)
            or self.has_attempt(self.first_waiting_index)
            or self.first_waiting_index in self.requeued
        ):
            self.first_waiting_index += 1

    def next_attempt_number(self, index: int) -> int:
        """Return the number of the task's next attempt; all tasks of a gang have the same."""
        if self.spec.kind is JobKind.GANG:
            return max((page.attempt_number for page in self.pages.values()), default=0) + 1
        return self.page(index).attempt_number + 1

    def zone_counts(self, inventory: MachineInventory) -> dict[str, int]:
        """Return the number of attempts by zone of their machine."""
        counts: dict[str, int] = {}
        for attempt in self.attempts():
            machine = inventory.machines.get(attempt.machine)
            zone = machine.zone if machine is not None else UNKNOWN_ZONE
            counts[zone] = counts.get(zone, 0) + 1
        return counts


def smallest_request(jobs: list[Job]) -> Resources:
    """Return, for each resource by itself, the least amount that a task of any of the jobs requests."""
    requests = [job.spec.resources for job in jobs]
    return Resources(
        min((request.cpus for request in requests), default=0.0),
        min((request.gpus for request in requests), default=0.0),
        min((request.memory_gb for request in requests), default=0.0),
    )
