"""The leader's queue of changed job records, committed one transaction at a time.

Concurrency is optimistic: a transaction is a compare-and-swap on the versions that this node knows, and on the
leader's key, so that a deposed leader writes nothing. After a conflict or an unknown outcome the versions are read
again, and what is uncommitted is written anew.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from passrock.controller import keys
from passrock.controller.record_transaction import WRITES_PER_FINALIZATION, RecordTransaction
from passrock.core.job import Job
from passrock.core.job_table import JobTable
from passrock.core.records import MAX_ATTEMPT_BYTES, CancellationRecord, FinalRecord, decode_record
from passrock.io.clock import monotonic_time, time_of_day
from passrock.io.errors import StoreError, UnknownOutcomeError
from passrock.io.store import Committed, KeyValueStoreClient
from passrock.logs import debug, info

RETRY_S = 0.2
RECORD_BYTES = 700  # a record beside its attempts
TRANSACTION_BYTES = 40_000  # of the 64 KiB that a transaction may have; conditions and estimates need the rest
SHORTEST_SLEEP_S = 0.001  # a rounding error left over must not make a busy loop
SUBMISSION_SHARE = 0.2  # of a second's writes, left for submissions and cancellations on this node
MIN_SUBMISSION_WRITES = 2.0  # left for them at the least


class CommitQueue:
    """Writes the changed records, under the condition that this node still leads.

    Attributes:
        orphaned_keys: records of finished jobs that have to be deleted.
        finalized: ids of jobs that this term has ended, as long as the replica may still show them unfinished.
        wake: set when there may be something to commit.
    """

    def __init__(
        self,
        store: KeyValueStoreClient,
        job_table: JobTable,
        leader_revision: int,
        txn_ops: int,
        on_finalized: Callable[[str, str], None],
        on_committed: Callable[[], None],
        on_leadership_lost: Callable[[], None],
    ) -> None:
        """``txn_ops`` limits the writes of a transaction; ``on_finalized`` gets a job's id and its final status."""
        self.store = store
        self.job_table = job_table
        self.leader_revision = leader_revision
        self.txn_ops = txn_ops
        self.orphaned_keys: list[str] = []
        self.finalized: set[str] = set()
        self.wake = asyncio.Event()
        self.on_finalized = on_finalized
        self.on_committed = on_committed
        self.on_leadership_lost = on_leadership_lost

    def estimated_delay_s(self) -> float:
        """Seconds that the writes which wait now take at this node's rate."""
        writes = (
            len(self.job_table.uncommitted)
            + WRITES_PER_FINALIZATION * len(self.job_table.finalizing)
            + len(self.orphaned_keys)
        )
        return writes / self.store.writes.rate

    async def run(self) -> None:
        """Commit for ever."""
        while True:
            await self.wake.wait()
            self.wake.clear()
            while self.job_table.uncommitted or self.job_table.finalizing or self.orphaned_keys:
                transaction = self.build(await self._writes_left())
                if not transaction.writes:
                    break
                if not await self.commit(transaction):
                    await asyncio.sleep(RETRY_S)

    async def _writes_left(self) -> int:
        """How many writes the next transaction may have, so that submissions find a part of the rate left.

        A transaction of full size spent the rate for a second ahead, and what users sent meanwhile waited as
        long. After a second without enough left, it takes its turn behind them.
        """
        budget = self.store.writes
        least = WRITES_PER_FINALIZATION if self.job_table.finalizing else 1
        reserve = min(max(MIN_SUBMISSION_WRITES, budget.burst * SUBMISSION_SHARE), budget.burst / 2)
        turn = monotonic_time() + budget.burst / budget.rate
        while True:
            left = budget.available(monotonic_time()) - reserve
            if left >= least:
                return min(self.txn_ops, int(left))
            now = monotonic_time()
            if now >= turn:
                return self.txn_ops
            await asyncio.sleep(max(SHORTEST_SLEEP_S, min((least - left) / budget.rate, turn - now)))

    def build(self, limit: int) -> RecordTransaction:
        """The next transaction of up to ``limit`` writes, inside the limit on its size.

        Jobs that have ended go first; orphaned records are deleted when nothing more urgent is left.
        """
        transaction = RecordTransaction({keys.LEADER: self.leader_revision})
        self._add_finalizations(transaction, limit)
        self._add_pages(transaction, limit)
        while self.orphaned_keys and len(transaction.writes) < limit and not transaction.finalizations:
            transaction.add_orphan_deletion(self.orphaned_keys.pop())
        return transaction

    def _add_finalizations(self, transaction: RecordTransaction, limit: int) -> None:
        for job_id in self.job_table.finalizing:
            if len(transaction.writes) + WRITES_PER_FINALIZATION > limit:
                break
            transaction.add_finalization(self.job_table.jobs[job_id])

    def _add_pages(self, transaction: RecordTransaction, limit: int) -> None:
        finalized = {finalization.job.spec.id for finalization in transaction.finalizations}
        bytes_left = TRANSACTION_BYTES
        for job_id, number in self.job_table.uncommitted:
            if len(transaction.writes) + 1 > limit or bytes_left < 0:
                break
            if job_id in finalized:
                continue
            job = self.job_table.jobs[job_id]
            transaction.add_page(job, number)
            bytes_left -= RECORD_BYTES + MAX_ATTEMPT_BYTES * len(job.pages[number].attempts)

    async def commit(self, transaction: RecordTransaction) -> bool:
        """Carry out one transaction; False when it has to be tried again later."""
        try:
            result = await self.store.commit(transaction.conditions, transaction.writes)
        except UnknownOutcomeError:
            self.orphaned_keys += transaction.orphaned_keys
            return await self._refresh_revisions(transaction)
        except StoreError as problem:
            debug("commit_failed", error=problem)
            self.orphaned_keys += transaction.orphaned_keys
            return False
        if isinstance(result, Committed):
            self._committed(transaction, result.revision)
            return True
        self.orphaned_keys += transaction.orphaned_keys
        if keys.LEADER in result.conflicting_keys:
            self.on_leadership_lost()
            return False
        return await self._refresh_revisions(transaction)

    def _committed(self, transaction: RecordTransaction, revision: int) -> None:
        for write in transaction.page_writes:
            page = write.page
            page.mod_revision = revision
            page.committed_version = max(page.committed_version, write.version)
            if page.version == write.version:  # it has not changed meanwhile
                self.job_table.uncommitted.pop((write.job.spec.id, write.number), None)
        for finalization in transaction.finalizations:
            self._job_finalized(finalization.job, finalization.status)
        self.on_committed()

    def _job_finalized(self, job: Job, status: str) -> None:
        info("job_finalized", job=job.spec.id, status=status)
        job.final_status = status
        self.finalized.add(job.spec.id)
        self.orphaned_keys += [
            keys.task_page(job.spec.id, number) for number, page in job.pages.items() if number and page.mod_revision
        ]
        self.job_table.remove(job)
        self.on_finalized(job.spec.id, status)

    async def _refresh_revisions(self, transaction: RecordTransaction) -> bool:
        """Read the revisions again after a conflict or an unknown outcome.

        Only our own writes can have come between. What was not confirmed stays uncommitted and is written again
        over whichever version is there now.

        Returns:
            False when the store couldn't be read.
        """
        try:
            for write in transaction.page_writes:
                write.page.mod_revision = await self._revision(keys.task_page(write.job.spec.id, write.number))
            for finalization in transaction.finalizations:
                await self._refresh_finalization(finalization.job)
        except StoreError:
            return False
        return True

    async def _refresh_finalization(self, job: Job) -> None:
        """A job may have been finalized by the transaction of unknown outcome, or cancelled before it."""
        final, _ = await self.store.get(keys.final(job.spec.id))
        if final is not None:
            self._job_finalized(job, decode_record(final.value, FinalRecord).status)
            return
        job.page(0).mod_revision = await self._revision(keys.job(job.spec.id))
        cancellation, _ = await self.store.get(keys.cancellation(job.spec.id))
        if cancellation is not None and not job.cancelled:
            record = decode_record(cancellation.value, CancellationRecord)
            self.job_table.cancel(job, monotonic_time() + record.requested_at - time_of_day())

    async def _revision(self, key: str) -> int:
        entry, _ = await self.store.get(key)
        return entry.mod_revision if entry is not None else 0
