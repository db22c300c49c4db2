"""Jobs of one leader's term: tasks, attempts, what is recorded and what is committed."""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import Any

import msgspec

from passrock.core.fleet import Fleet, Machine
from passrock.core.messages import TaskState
from passrock.core.model import NOTHING, Kind, Resources, Spec
from passrock.core.records import PERMIT_MARK, decode_spec, encode_spec


def new_record(spec: Spec, submitted: float, mark: list[int] | None = None) -> dict[str, Any]:
    """The first record of an accepted job, with the mark of its permit if it needed one."""
    record = {"s": encode_spec(spec), "at": submitted, **Chunk(0, spec.tasks).encode()}
    if mark is not None:
        record[PERMIT_MARK] = mark
    return record


class Live(msgspec.Struct):
    """An attempt of a task that is, or may be, on a machine."""

    job: Job
    index: int
    attempt: int
    machine: str
    session: int
    version: int = 0
    mine: bool = True
    sent_seq: int | None = None
    seen: bool = False
    state: TaskState | None = None
    stop: float | None = None
    running_since: float | None = None
    placed_at: float = 0.0

    @property
    def key(self) -> tuple[str, int]:
        """The task's name."""
        return self.job.spec.id, self.index


class Chunk(msgspec.Struct):
    """The part of a job's tasks that one record holds."""

    first: int
    size: int
    attempt: int = 0
    done: int = 0
    live: dict[int, Live] = msgspec.field(default_factory=dict)
    stamp: int = 0
    version: int = 0
    committed: int = 0

    def encode(self) -> dict[str, Any]:
        """The chunk for its record."""
        return {
            "a": self.attempt,
            "d": f"{self.done:x}",
            "l": {str(i): [one.attempt, one.machine, one.session] for i, one in self.live.items()},
        }


class Job:
    """A job with its tasks."""

    def __init__(self, spec: Spec, submitted: float, chunk_size: int, order: float) -> None:
        self.spec = spec
        self.submitted = submitted
        self.order = order
        self.chunk_size = chunk_size
        self.chunks: dict[int, Chunk] = {}
        self.cancelled = False
        self.cancelled_at = math.inf  # by the steady clock, no later than the user was told
        self.final: str | None = None
        self.done_count = 0
        self.live_count = 0
        self.cursor = 0
        self.requeued: set[int] = set()
        self.not_before = 0.0
        self.errors = 0
        self.avoid: set[str] = set()
        self.waiting_since = order

    def chunk(self, index: int) -> Chunk:
        """The chunk with this task; made when first needed."""
        number = index // self.chunk_size
        chunk = self.chunks.get(number)
        if chunk is None:
            first = number * self.chunk_size
            chunk = Chunk(first, min(self.chunk_size, self.spec.tasks - first))
            self.chunks[number] = chunk
        return chunk

    def is_done(self, index: int) -> bool:
        """Whether this task has completed."""
        chunk = self.chunks.get(index // self.chunk_size)
        return chunk is not None and bool(chunk.done >> (index - chunk.first) & 1)

    @property
    def is_suspect(self) -> bool:
        """Whether the job itself seems faulty: it failed on several machines, and none of its tasks has completed."""
        return len(self.avoid) > 1 and self.done_count == 0

    def lives(self) -> Iterator[Live]:
        """All attempts that are or may be on machines."""
        for chunk in self.chunks.values():
            yield from chunk.live.values()

    def has_live(self, index: int) -> bool:
        """Whether an attempt of this task is or may be on a machine."""
        chunk = self.chunks.get(index // self.chunk_size)
        return chunk is not None and index in chunk.live

    @property
    def waiting(self) -> int:
        """How many tasks are neither done nor placed."""
        return self.spec.tasks - self.done_count - self.live_count

    def next_waiting(self, most: int) -> list[int]:
        """Up to ``most`` tasks to place, without taking them."""
        found: list[int] = []
        for index in sorted(self.requeued):
            if len(found) >= most:
                return found
            found.append(index)
        index = self.cursor
        while index < self.spec.tasks and len(found) < most:
            if not self.is_done(index) and not self.has_live(index) and index not in self.requeued:
                found.append(index)
            index += 1
        return found

    def advance(self) -> None:
        """Move the cursor past tasks that are done or placed."""
        while self.cursor < self.spec.tasks and (
            self.is_done(self.cursor) or self.has_live(self.cursor) or self.cursor in self.requeued
        ):
            self.cursor += 1

    def attempt_for(self, index: int) -> int:
        """The number of the next attempt; one for all tasks of a gang."""
        if self.spec.kind is Kind.GANG:
            return max((chunk.attempt for chunk in self.chunks.values()), default=0) + 1
        return self.chunk(index).attempt + 1

    def zone_counts(self, fleet: Fleet) -> dict[str, int]:
        """How many tasks are or may be in each zone."""
        counts: dict[str, int] = {}
        for live in self.lives():
            machine = fleet.machines.get(live.machine)
            zone = machine.zone if machine is not None else "?"
            counts[zone] = counts.get(zone, 0) + 1
        return counts


def least_need(jobs: list[Job]) -> Resources:
    """The least of each resource that any of the jobs' tasks takes."""
    needs = [job.spec.need for job in jobs]
    return Resources(
        min((need.cpus for need in needs), default=0.0),
        min((need.gpus for need in needs), default=0.0),
        min((need.memory for need in needs), default=0.0),
    )


class Book:
    """All unfinished jobs, which machine holds what, and which records await their commit."""

    def __init__(self, chunk_size: int) -> None:
        self.chunk_size = chunk_size
        self.jobs: dict[str, Job] = {}
        self.held: dict[str, dict[tuple[str, int], Live]] = {}
        self.usage: dict[str, Resources] = {}
        self.demand_version = 0  # counts the changes of what jobs still ask for
        self.dirty: dict[tuple[str, int], None] = {}
        self.finishing: dict[str, None] = {}
        self.cancelled: dict[str, Job] = {}  # those of which tasks may still be somewhere, or that await their end

    # -- reading records ------------------------------------------------------------------

    def load(self, record: dict[str, Any], stamp: int, now: float, today: float) -> Job:
        """Take in a job from its record; ``today`` is the time of day, which tells the job's age.

        Counting the age from when this leader learned of the job would give every waiting job a new
        start at each takeover.
        """
        spec = decode_spec(record["s"])
        job = Job(spec, record["at"], self.chunk_size, now - max(0.0, today - record["at"]))
        self.jobs[spec.id] = job
        self.demand_version += 1
        self.load_chunk(job, 0, record, stamp)
        return job

    def load_chunk(self, job: Job, number: int, record: dict[str, Any], stamp: int) -> None:
        """Take in one chunk of a job from its record."""
        chunk = job.chunk(number * self.chunk_size)
        chunk.attempt = record["a"]
        chunk.done = int(record["d"], 16)
        chunk.stamp = stamp
        job.done_count += chunk.done.bit_count()
        self.demand_version += 1
        for text, (attempt, machine, session) in record["l"].items():
            live = Live(job, int(text), attempt, machine, session, mine=False)
            chunk.live[live.index] = live
            self._hold(live)

    def check_loaded(self, job: Job) -> None:
        """After all chunks are in: a gang that is not whole can't go on."""
        if job.spec.kind is Kind.GANG and 0 < job.live_count < job.spec.tasks - job.done_count:
            self.break_gang(job)
        self._maybe_finish(job)

    # -- changes ----------------------------------------------------------------------------

    def _hold(self, live: Live) -> None:
        live.job.live_count += 1
        self.held.setdefault(live.machine, {})[live.key] = live
        team = live.job.spec.team
        self.usage[team] = self.usage.get(team, NOTHING) + live.job.spec.need

    def _release(self, live: Live) -> None:
        live.job.live_count -= 1
        held = self.held[live.machine]
        del held[live.key]
        if not held:
            del self.held[live.machine]
        team = live.job.spec.team
        self.usage[team] = self.usage[team] - live.job.spec.need

    def _touch(self, job: Job, chunk: Chunk) -> None:
        chunk.version += 1
        self.dirty[(job.spec.id, chunk.first // self.chunk_size)] = None

    def start(self, job: Job, index: int, machine: Machine, attempt: int, now: float) -> Live:
        """Record an attempt; it may be launched once its record is committed."""
        chunk = job.chunk(index)
        chunk.attempt = max(chunk.attempt, attempt)
        self._touch(job, chunk)
        live = Live(job, index, attempt, machine.name, machine.session, version=chunk.version, placed_at=now)
        chunk.live[index] = live
        job.requeued.discard(index)
        self._hold(live)
        machine.used = machine.used + job.spec.need
        machine.idle_since = None
        if job.spec.image not in machine.images:
            machine.fetching.setdefault(job.spec.image, job.spec.image_gb)
        return live

    def committed(self, live: Live) -> bool:
        """Whether the record that names this attempt is committed."""
        return live.job.chunk(live.index).committed >= live.version

    def settled(self, job_id: str, index: int) -> bool:
        """Whether all that is known of this task is committed, so that a worker may forget it."""
        job = self.jobs.get(job_id)
        if job is None:
            return True
        chunk = job.chunks.get(index // self.chunk_size)
        return chunk is None or chunk.committed >= chunk.version

    def gone(self, live: Live, now: float) -> None:
        """There is evidence that the attempt is no longer anywhere; the task waits again."""
        job = live.job
        chunk = job.chunk(live.index)
        if chunk.live.get(live.index) is not live:
            return
        del chunk.live[live.index]
        self._release(live)
        self._touch(job, chunk)
        if not job.is_done(live.index):
            job.requeued.add(live.index)
            job.waiting_since = now
        if job.spec.kind is Kind.GANG and not job.is_done(live.index):
            self.break_gang(job)
        self._maybe_finish(job)

    def unsent(self, live: Live) -> bool:
        """Whether no answer has carried the attempt's launch yet: it can't be anywhere."""
        return live.mine and live.sent_seq is None and not live.seen

    def recount(self, machine: Machine, now: float) -> None:
        """What is used on a machine, and since when it is idle."""
        used = NOTHING
        lives = self.held.get(machine.name, {})
        for live in lives.values():
            used = used + live.job.spec.need
        machine.used = used
        if lives or machine.strays:
            machine.idle_since = None
        elif machine.idle_since is None:
            machine.idle_since = now

    def break_gang(self, job: Job) -> None:
        """A gang lost a task: the others have to end before the next attempt."""
        for live in list(job.lives()):
            if live.stop is None:
                live.stop = 0.0
            if self.unsent(live):
                self.gone(live, job.waiting_since)

    def completed(self, live: Live) -> None:
        """A task has completed; a gang completes as a whole."""
        job = live.job
        ended = list(job.lives()) if job.spec.kind is Kind.GANG else [live]
        for one in ended:
            chunk = job.chunk(one.index)
            del chunk.live[one.index]
            self._release(one)
        indexes = range(job.spec.tasks) if job.spec.kind is Kind.GANG else [live.index]
        for index in indexes:
            chunk = job.chunk(index)
            bit = 1 << (index - chunk.first)
            if not chunk.done & bit:
                chunk.done |= bit
                job.done_count += 1
                self.demand_version += 1
                self._touch(job, chunk)
            job.requeued.discard(index)
        self._maybe_finish(job)

    def cancel(self, job: Job, at: float) -> None:
        """The user has been told that the job is cancelled, at ``at`` or later."""
        job.cancelled = True
        self.demand_version += 1
        self.cancelled[job.spec.id] = job
        job.cancelled_at = min(job.cancelled_at, at)
        for live in list(job.lives()):
            live.stop = 0.0
            if self.unsent(live):
                self.gone(live, job.waiting_since)
        self._maybe_finish(job)

    def _maybe_finish(self, job: Job) -> None:
        over = job.cancelled or job.done_count == job.spec.tasks
        if over and job.live_count == 0 and job.final is None:
            self.finishing[job.spec.id] = None

    def remove(self, job: Job) -> None:
        """The job's final state is committed."""
        self.jobs.pop(job.spec.id, None)
        self.demand_version += 1
        self.cancelled.pop(job.spec.id, None)
        self.finishing.pop(job.spec.id, None)
        for number in job.chunks:
            self.dirty.pop((job.spec.id, number), None)

    def lease_over(self, name: str, now: float) -> int:
        """The machine's worker has lost its lease: its tasks end, at the latest when it wakes from hanging.

        Those of cancelled jobs are held on to until a report or a deletion shows them gone: the time for them
        runs while a machine hangs, also for the next leader, which knows of them by these records alone.
        Returns how many attempts went.
        """
        lives = [live for live in self.held.get(name, {}).values() if not live.job.cancelled]
        for live in lives:
            self.gone(live, now)
        return len(lives)

    def failures_against(self, machine: Machine) -> int:
        """How many unfinished jobs have failed on a machine and don't seem faulty themselves."""
        failed = [self.jobs[job_id] for job_id in machine.failed_jobs if job_id in self.jobs]
        return sum(not job.is_suspect for job in failed)

    def machine_gone(self, name: str, now: float) -> int:
        """Nothing is left on the machine; how many attempts went with it."""
        lives = list(self.held.get(name, {}).values())
        for live in lives:
            self.gone(live, now)
        return len(lives)
