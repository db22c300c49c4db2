"""The leader's queue of changed job records, committed one transaction at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from passrock.controller import keys
from passrock.core.jobs import Job, JobTable, TaskPage
from passrock.core.records import ATTEMPT_BYTES, CANCELLED, DONE, encode_spec
from passrock.io.clock import monotonic_time, time_of_day
from passrock.io.state import Committed, StateClient, StateError, UnknownOutcomeError
from passrock.logs import debug, info
from passrock.wire.state import Delete, Put, Write

RETRY_S = 0.2
RECORD_BYTES = 700  # a record beside its attempts
BATCH_BYTES = 40_000  # of the 64 KiB that a transaction may have; conditions and estimates need the rest
SHORTEST_SLEEP_S = 0.001  # a rounding error left over must not make a busy loop
FINAL_WRITES = 3  # changes that end a job: its record and its cancellation go, its final record comes
SUBMISSION_SHARE = 0.2  # of a second's changes, left for submissions and cancellations on this node,
SUBMISSIONS_LEAST = 2.0  # and so many at the least


class Batch:
    """One transaction and what it will have committed."""

    def __init__(self, leader_revision: int) -> None:
        self.conditions: dict[str, int] = {keys.LEADER: leader_revision}
        self.writes: list[Write] = []
        self.pages: list[tuple[Job, int, TaskPage, int]] = []
        self.finals: list[tuple[Job, str]] = []
        self.orphaned_keys: list[str] = []


class CommitQueue:
    """Writes the changed records, under the condition that this node still leads."""

    def __init__(
        self,
        state: StateClient,
        job_table: JobTable,
        leader_revision: int,
        txn_ops: int,
        on_final: Callable[[str, str], None],
        on_commit: Callable[[], None],
        on_lost: Callable[[], None],
    ) -> None:
        """``on_final`` gets a job's id and how it ended; ``on_lost`` is called when this node leads no longer."""
        self.state = state
        self.job_table = job_table
        self.leader_revision = leader_revision
        self.txn_ops = txn_ops
        self.orphaned_keys: list[str] = []
        self.removed: set[str] = set()
        self.wake = asyncio.Event()
        self.on_final = on_final
        self.on_commit = on_commit
        self.on_lost = on_lost

    def delay(self) -> float:
        """Seconds that the changes which wait now take at this node's rate."""
        changes = (
            len(self.job_table.uncommitted) + FINAL_WRITES * len(self.job_table.finalizing) + len(self.orphaned_keys)
        )
        return changes / self.state.writes.rate

    async def run(self) -> None:
        """Commit for ever."""
        while True:
            await self.wake.wait()
            self.wake.clear()
            while self.job_table.uncommitted or self.job_table.finalizing or self.orphaned_keys:
                batch = self.build(await self._writes_left())
                if not batch.writes:
                    break
                if not await self.commit(batch):
                    await asyncio.sleep(RETRY_S)

    async def _writes_left(self) -> int:
        """How many changes the next transaction may make, so that submissions find a part of the rate left.

        A transaction of full size spent the rate for a second ahead, and what users sent meanwhile waited as
        long. After a second without enough left, it takes its turn behind them.
        """
        budget = self.state.writes
        least = FINAL_WRITES if self.job_table.finalizing else 1
        reserve = min(max(SUBMISSIONS_LEAST, budget.burst * SUBMISSION_SHARE), budget.burst / 2)
        turn = monotonic_time() + budget.burst / budget.rate
        while (left := budget.available(monotonic_time()) - reserve) < least:
            now = monotonic_time()
            if now >= turn:
                return self.txn_ops
            await asyncio.sleep(max(SHORTEST_SLEEP_S, min((least - left) / budget.rate, turn - now)))
        return min(self.txn_ops, int(left))

    def build(self, most: int) -> Batch:
        """The next transaction of up to ``most`` changes, inside the limit on its size."""
        batch = Batch(self.leader_revision)
        size_left = BATCH_BYTES
        for job_id in list(self.job_table.finalizing):
            if len(batch.writes) + FINAL_WRITES > most:
                break
            self._finish(batch, self.job_table.jobs[job_id])
        finalizing = {job.spec.id for job, _ in batch.finals}
        for job_id, number in list(self.job_table.uncommitted):
            if len(batch.writes) + 1 > most or size_left < 0:
                break
            if job_id in finalizing:
                continue
            job = self.job_table.jobs[job_id]
            page = job.pages[number]
            value: dict[str, Any] = page.encode()
            if number == 0:
                value = {"s": encode_spec(job.spec), "at": job.submitted, **value}
            size_left -= RECORD_BYTES + ATTEMPT_BYTES * len(page.attempts)
            key = keys.task_page(job_id, number)
            batch.conditions[key] = page.mod_revision
            batch.writes.append(Put(key, value))
            batch.pages.append((job, number, page, page.version))
        while self.orphaned_keys and len(batch.writes) < most and not batch.finals:
            key = self.orphaned_keys.pop()
            batch.writes.append(Delete(key))
            batch.orphaned_keys.append(key)
        return batch

    def _finish(self, batch: Batch, job: Job) -> None:
        job_id = job.spec.id
        status = CANCELLED if job.cancelled else DONE
        batch.conditions[keys.job(job_id)] = job.page(0).mod_revision
        batch.conditions[keys.final(job_id)] = 0
        batch.writes += [Delete(keys.job(job_id)), Put(keys.final(job_id), {"s": status, "n": job.spec.tasks})]
        if job.cancelled:
            batch.writes.append(Delete(keys.cancel(job_id)))
        else:
            batch.conditions[keys.cancel(job_id)] = 0
        batch.finals.append((job, status))

    async def commit(self, batch: Batch) -> bool:
        """Carry out one transaction; False when it has to be tried again later."""
        try:
            result = await self.state.commit(batch.conditions, batch.writes)
        except UnknownOutcomeError:
            self.orphaned_keys += batch.orphaned_keys
            return await self._reread(batch)
        except StateError as problem:
            debug("commit_failed", error=problem)
            self.orphaned_keys += batch.orphaned_keys
            return False
        if isinstance(result, Committed):
            for _, _, page, version in batch.pages:
                page.mod_revision = result.revision
                page.committed_version = max(page.committed_version, version)
            for job, number, page, version in batch.pages:
                if page.version == version:
                    self.job_table.uncommitted.pop((job.spec.id, number), None)
            for job, status in batch.finals:
                self._ended(job, status)
            self.on_commit()
            return True
        self.orphaned_keys += batch.orphaned_keys
        if keys.LEADER in result.failed:
            self.on_lost()
            return False
        return await self._reread(batch)

    def _ended(self, job: Job, status: str) -> None:
        info("job_finalized", job=job.spec.id, status=status)
        job.final = status
        self.removed.add(job.spec.id)
        self.orphaned_keys += [
            keys.task_page(job.spec.id, n) for n, page in job.pages.items() if n and page.mod_revision
        ]
        self.job_table.remove(job)
        self.on_final(job.spec.id, status)

    async def _reread(self, batch: Batch) -> bool:
        """After a conflict or silence: learn the versions, since only our own writes can have come between.

        What was not confirmed stays dirty and is written again over whichever version is there now.
        """
        try:
            for job, number, page, _ in batch.pages:
                entry, _ = await self.state.get(keys.task_page(job.spec.id, number))
                page.mod_revision = entry.mod_revision if entry is not None else 0
            for job, _ in batch.finals:
                ended, _ = await self.state.get(keys.final(job.spec.id))
                if ended is not None:
                    self._ended(job, ended.value["s"])
                    continue
                entry, _ = await self.state.get(keys.job(job.spec.id))
                job.page(0).mod_revision = entry.mod_revision if entry is not None else 0
                mark, _ = await self.state.get(keys.cancel(job.spec.id))
                if mark is not None and not job.cancelled:
                    self.job_table.cancel(job, monotonic_time() + mark.value["at"] - time_of_day())
        except StateError:
            return False
        return True
