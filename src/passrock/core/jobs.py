"""Jobs of one leader's term: tasks, attempts, what is recorded and what is committed."""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import Any

import msgspec

from passrock.core.inventory import MachineInventory
from passrock.core.machine import Machine
from passrock.core.messages import TaskState
from passrock.core.model import ZERO_RESOURCES, JobKind, JobSpec, Resources
from passrock.core.records import PERMIT_MARK, decode_spec, encode_spec


def new_record(spec: JobSpec, submitted: float, mark: list[int] | None = None) -> dict[str, Any]:
    """The first record of an accepted job, with the mark of its permit if it needed one."""
    record = {"s": encode_spec(spec), "at": submitted, **TaskPage(0, spec.tasks).encode()}
    if mark is not None:
        record[PERMIT_MARK] = mark
    return record


class TaskAttempt(msgspec.Struct):
    """An attempt of a task that is, or may be, on a machine."""

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
    def key(self) -> tuple[str, int]:
        """The task's name."""
        return self.job.spec.id, self.index


class TaskPage(msgspec.Struct):
    """The part of a job's tasks that one record holds."""

    first: int
    size: int
    attempt_number: int = 0
    done: int = 0
    attempts: dict[int, TaskAttempt] = msgspec.field(default_factory=dict)
    mod_revision: int = 0
    version: int = 0
    committed_version: int = 0

    def encode(self) -> dict[str, Any]:
        """The chunk for its record."""
        return {
            "a": self.attempt_number,
            "d": f"{self.done:x}",
            "l": {str(i): [one.number, one.machine, one.incarnation] for i, one in self.attempts.items()},
        }


class Job:
    """A job with its tasks."""

    def __init__(self, spec: JobSpec, submitted: float, page_size: int, order: float) -> None:
        self.spec = spec
        self.submitted = submitted
        self.order = order
        self.page_size = page_size
        self.pages: dict[int, TaskPage] = {}
        self.cancelled = False
        self.cancelled_at = math.inf  # by the steady clock, no later than the user was told
        self.final: str | None = None
        self.done_count = 0
        self.attempt_count = 0
        self.cursor = 0
        self.requeued: set[int] = set()
        self.not_before = 0.0
        self.errors = 0
        self.avoid: set[str] = set()
        self.waiting_since = order

    def page(self, index: int) -> TaskPage:
        """The chunk with this task; made when first needed."""
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
        return page is not None and bool(page.done >> (index - page.first) & 1)

    @property
    def is_suspect(self) -> bool:
        """Whether the job itself seems faulty: it failed on several machines, and none of its tasks has completed."""
        return len(self.avoid) > 1 and self.done_count == 0

    def attempts(self) -> Iterator[TaskAttempt]:
        """All attempts that are or may be on machines."""
        for page in self.pages.values():
            yield from page.attempts.values()

    def has_attempt(self, index: int) -> bool:
        """Whether an attempt of this task is or may be on a machine."""
        page = self.pages.get(index // self.page_size)
        return page is not None and index in page.attempts

    @property
    def waiting(self) -> int:
        """How many tasks are neither done nor placed."""
        return self.spec.tasks - self.done_count - self.attempt_count

    def next_waiting(self, most: int) -> list[int]:
        """Up to ``most`` tasks to place, without taking them."""
        found: list[int] = []
        for index in sorted(self.requeued):
            if len(found) >= most:
                return found
            found.append(index)
        index = self.cursor
        while index < self.spec.tasks and len(found) < most:
            if not self.is_done(index) and not self.has_attempt(index) and index not in self.requeued:
                found.append(index)
            index += 1
        return found

    def advance(self) -> None:
        """Move the cursor past tasks that are done or placed."""
        while self.cursor < self.spec.tasks and (
            self.is_done(self.cursor) or self.has_attempt(self.cursor) or self.cursor in self.requeued
        ):
            self.cursor += 1

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
            zone = machine.zone if machine is not None else "?"
            counts[zone] = counts.get(zone, 0) + 1
        return counts


def smallest_request(jobs: list[Job]) -> Resources:
    """The least of each resource that any of the jobs' tasks takes."""
    needs = [job.spec.resources for job in jobs]
    return Resources(
        min((resources.cpus for resources in needs), default=0.0),
        min((resources.gpus for resources in needs), default=0.0),
        min((resources.memory for resources in needs), default=0.0),
    )


class JobTable:
    """All unfinished jobs, which machine holds what, and which records await their commit."""

    def __init__(self, page_size: int) -> None:
        self.page_size = page_size
        self.jobs: dict[str, Job] = {}
        self.attempts_by_machine: dict[str, dict[tuple[str, int], TaskAttempt]] = {}
        self.usage: dict[str, Resources] = {}
        self.demand_version = 0  # counts the changes of what jobs still ask for
        self.uncommitted: dict[tuple[str, int], None] = {}
        self.finalizing: dict[str, None] = {}
        self.cancelled: dict[str, Job] = {}  # those of which tasks may still be somewhere, or that await their end

    # -- reading records ------------------------------------------------------------------

    def load(self, record: dict[str, Any], mod_revision: int, now: float, today: float) -> Job:
        """Take in a job from its record; ``today`` is the time of day, which tells the job's age.

        Counting the age from when this leader learned of the job would give every waiting job a new
        start at each takeover.
        """
        spec = decode_spec(record["s"])
        job = Job(spec, record["at"], self.page_size, now - max(0.0, today - record["at"]))
        self.jobs[spec.id] = job
        self.demand_version += 1
        self.load_page(job, 0, record, mod_revision)
        return job

    def load_page(self, job: Job, number: int, record: dict[str, Any], mod_revision: int) -> None:
        """Take in one chunk of a job from its record."""
        page = job.page(number * self.page_size)
        page.attempt_number = record["a"]
        page.done = int(record["d"], 16)
        page.mod_revision = mod_revision
        job.done_count += page.done.bit_count()
        self.demand_version += 1
        for text, (attempt_number, machine, incarnation) in record["l"].items():
            attempt = TaskAttempt(job, int(text), attempt_number, machine, incarnation, placed_this_term=False)
            page.attempts[attempt.index] = attempt
            self._track(attempt)

    def check_loaded(self, job: Job) -> None:
        """After all chunks are in: a gang that is not whole can't go on."""
        if job.spec.kind is JobKind.GANG and 0 < job.attempt_count < job.spec.tasks - job.done_count:
            self.break_gang(job)
        self._finalize_if_over(job)

    # -- changes ----------------------------------------------------------------------------

    def _track(self, attempt: TaskAttempt) -> None:
        attempt.job.attempt_count += 1
        self.attempts_by_machine.setdefault(attempt.machine, {})[attempt.key] = attempt
        team = attempt.job.spec.team
        self.usage[team] = self.usage.get(team, ZERO_RESOURCES) + attempt.job.spec.resources

    def _untrack(self, attempt: TaskAttempt) -> None:
        attempt.job.attempt_count -= 1
        held = self.attempts_by_machine[attempt.machine]
        del held[attempt.key]
        if not held:
            del self.attempts_by_machine[attempt.machine]
        team = attempt.job.spec.team
        self.usage[team] = self.usage[team] - attempt.job.spec.resources

    def _mark_uncommitted(self, job: Job, page: TaskPage) -> None:
        page.version += 1
        self.uncommitted[(job.spec.id, page.first // self.page_size)] = None

    def start(self, job: Job, index: int, machine: Machine, attempt_number: int, now: float) -> TaskAttempt:
        """Record an attempt; it may be launched once its record is committed."""
        page = job.page(index)
        page.attempt_number = max(page.attempt_number, attempt_number)
        self._mark_uncommitted(job, page)
        attempt = TaskAttempt(
            job, index, attempt_number, machine.name, machine.incarnation, page_version=page.version, placed_at=now
        )
        page.attempts[index] = attempt
        job.requeued.discard(index)
        self._track(attempt)
        machine.used = machine.used + job.spec.resources
        machine.idle_since = None
        if job.spec.image not in machine.images:
            machine.fetching.setdefault(job.spec.image, job.spec.image_gb)
        return attempt

    def attempt_committed(self, attempt: TaskAttempt) -> bool:
        """Whether the record that names this attempt is committed."""
        return attempt.job.page(attempt.index).committed_version >= attempt.page_version

    def task_committed(self, job_id: str, index: int) -> bool:
        """Whether all that is known of this task is committed, so that a worker may forget it."""
        job = self.jobs.get(job_id)
        if job is None:
            return True
        page = job.pages.get(index // self.page_size)
        return page is None or page.committed_version >= page.version

    def attempt_lost(self, attempt: TaskAttempt, now: float) -> None:
        """There is evidence that the attempt is no longer anywhere; the task waits again."""
        job = attempt.job
        page = job.page(attempt.index)
        if page.attempts.get(attempt.index) is not attempt:
            return
        del page.attempts[attempt.index]
        self._untrack(attempt)
        self._mark_uncommitted(job, page)
        if not job.is_done(attempt.index):
            job.requeued.add(attempt.index)
            job.waiting_since = now
        if job.spec.kind is JobKind.GANG and not job.is_done(attempt.index):
            self.break_gang(job)
        self._finalize_if_over(job)

    def is_unlaunched(self, attempt: TaskAttempt) -> bool:
        """Whether no answer has carried the attempt's launch yet: it can't be anywhere."""
        return attempt.placed_this_term and attempt.launch_sequence is None and not attempt.reported

    def recompute_usage(self, machine: Machine, now: float) -> None:
        """What is used on a machine, and since when it is idle."""
        used = ZERO_RESOURCES
        attempts = self.attempts_by_machine.get(machine.name, {})
        for attempt in attempts.values():
            used = used + attempt.job.spec.resources
        machine.used = used
        if attempts or machine.orphans:
            machine.idle_since = None
        elif machine.idle_since is None:
            machine.idle_since = now

    def break_gang(self, job: Job) -> None:
        """A gang lost a task: the others have to end before the next attempt."""
        for attempt in list(job.attempts()):
            if attempt.stop_grace_s is None:
                attempt.stop_grace_s = 0.0
            if self.is_unlaunched(attempt):
                self.attempt_lost(attempt, job.waiting_since)

    def attempt_completed(self, attempt: TaskAttempt) -> None:
        """A task has completed; a gang completes as a whole."""
        job = attempt.job
        ended = list(job.attempts()) if job.spec.kind is JobKind.GANG else [attempt]
        for one in ended:
            page = job.page(one.index)
            del page.attempts[one.index]
            self._untrack(one)
        indexes = range(job.spec.tasks) if job.spec.kind is JobKind.GANG else [attempt.index]
        for index in indexes:
            page = job.page(index)
            bit = 1 << (index - page.first)
            if not page.done & bit:
                page.done |= bit
                job.done_count += 1
                self.demand_version += 1
                self._mark_uncommitted(job, page)
            job.requeued.discard(index)
        self._finalize_if_over(job)

    def cancel(self, job: Job, at: float) -> None:
        """The user has been told that the job is cancelled, at ``at`` or later."""
        job.cancelled = True
        self.demand_version += 1
        self.cancelled[job.spec.id] = job
        job.cancelled_at = min(job.cancelled_at, at)
        for attempt in list(job.attempts()):
            attempt.stop_grace_s = 0.0
            if self.is_unlaunched(attempt):
                self.attempt_lost(attempt, job.waiting_since)
        self._finalize_if_over(job)

    def _finalize_if_over(self, job: Job) -> None:
        over = job.cancelled or job.done_count == job.spec.tasks
        if over and job.attempt_count == 0 and job.final is None:
            self.finalizing[job.spec.id] = None

    def remove(self, job: Job) -> None:
        """The job's final state is committed."""
        self.jobs.pop(job.spec.id, None)
        self.demand_version += 1
        self.cancelled.pop(job.spec.id, None)
        self.finalizing.pop(job.spec.id, None)
        for number in job.pages:
            self.uncommitted.pop((job.spec.id, number), None)

    def lease_expired(self, name: str, now: float) -> int:
        """The machine's worker has lost its lease: its tasks end, at the latest when it wakes from hanging.

        Those of cancelled jobs are held on to until a report or a deletion shows them gone: the time for them
        runs while a machine hangs, also for the next leader, which knows of them by these records alone.
        Returns how many attempts went.
        """
        attempts = [
            attempt for attempt in self.attempts_by_machine.get(name, {}).values() if not attempt.job.cancelled
        ]
        for attempt in attempts:
            self.attempt_lost(attempt, now)
        return len(attempts)

    def failures_against(self, machine: Machine) -> int:
        """How many unfinished jobs have failed on a machine and don't seem faulty themselves."""
        failed = [self.jobs[job_id] for job_id in machine.failed_jobs if job_id in self.jobs]
        return sum(not job.is_suspect for job in failed)

    def machine_lost(self, name: str, now: float) -> int:
        """Nothing is left on the machine; how many attempts went with it."""
        attempts = list(self.attempts_by_machine.get(name, {}).values())
        for attempt in attempts:
            self.attempt_lost(attempt, now)
        return len(attempts)
