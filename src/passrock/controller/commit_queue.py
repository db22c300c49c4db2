"""The leader's queue of changed job records, committed one transaction at a time.

Concurrency control is optimistic: a transaction is a compare-and-swap on the last known revisions of its records and
of the leader key, so that a deposed leader writes nothing. After a conflict or an unknown outcome the revisions are
read again, and the uncommitted records are written again.
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

RETRY_DELAY_S = 0.2
RECORD_OVERHEAD_BYTES = 700  # estimated size of a record without its attempts
MAX_TRANSACTION_BYTES = 40_000  # the store accepts 64 KiB; the margin covers conditions and errors of the estimate
MIN_SLEEP_S = 0.001  # prevents a busy loop on rounding errors
SUBMISSION_WRITE_SHARE = 0.2  # of a full burst, reserved for submissions and cancellations on this node
MIN_SUBMISSION_WRITES = 2.0  # lower limit of that reserve


class CommitQueue:
    """Writes the changed records, on condition that this node still holds the leader key.

    Attributes:
        orphaned_keys: keys of records of finished jobs, which are to be deleted.
        finalized: ids of jobs finalized in this term whose unfinished records the replica may still contain.
        commit_requested: set when there may be something to commit.
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
        self.commit_requested = asyncio.Event()
        self.on_finalized = on_finalized
        self.on_committed = on_committed
        self.on_leadership_lost = on_leadership_lost

    def estimated_delay_s(self) -> float:
        """Return the seconds that the pending writes need at this node's rate."""
        writes = (
            len(self.job_table.uncommitted)
            + WRITES_PER_FINALIZATION * len(self.job_table.finalizing)
            + len(self.orphaned_keys)
        )
        return writes / self.store.write_bucket.rate

    async def run(self) -> None:
        """Commit pending changes until cancelled."""
        while True:
            await self.commit_requested.wait()
            self.commit_requested.clear()
            while self.job_table.uncommitted or self.job_table.finalizing or self.orphaned_keys:
                transaction = self.build_transaction(await self._wait_for_write_tokens())
                if not transaction.writes:
                    break
                if not await self.commit(transaction):
                    await asyncio.sleep(RETRY_DELAY_S)

    async def _wait_for_write_tokens(self) -> int:
        """Wait for write tokens beyond the reserve for submissions, and return the transaction's limit on writes.

        A transaction of full size would spend a whole second's write rate in advance, and delay submissions and
        cancellations by as much. If too few tokens are available for the time in which a full burst accumulates,
        the full size is returned, and the transaction queues behind the requests that are already waiting.
        """
        write_bucket = self.store.write_bucket
        min_writes = WRITES_PER_FINALIZATION if self.job_table.finalizing else 1
        reserve = min(max(MIN_SUBMISSION_WRITES, write_bucket.burst * SUBMISSION_WRITE_SHARE), write_bucket.burst / 2)
        deadline = monotonic_time() + write_bucket.burst / write_bucket.rate
        while True:
            available = write_bucket.available(monotonic_time()) - reserve
            if available >= min_writes:
                return min(self.txn_ops, int(available))
            now = monotonic_time()
            if now >= deadline:
                return self.txn_ops
            await asyncio.sleep(max(MIN_SLEEP_S, min((min_writes - available) / write_bucket.rate, deadline - now)))

    def build_transaction(self, limit: int) -> RecordTransaction:
        """Return the next transaction, with up to ``limit`` writes and within the size limit.

        Finished jobs come first. Orphaned records are deleted only in transactions that finalize no job.
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
        bytes_left = MAX_TRANSACTION_BYTES
        for job_id, number in self.job_table.uncommitted:
            if len(transaction.writes) + 1 > limit or bytes_left < 0:
                break
            if job_id in finalized:
                continue
            job = self.job_table.jobs[job_id]
            transaction.add_page(job, number)
            bytes_left -= RECORD_OVERHEAD_BYTES + MAX_ATTEMPT_BYTES * len(job.pages[number].attempts)

    async def commit(self, transaction: RecordTransaction) -> bool:
        """Commit one transaction; returns whether the queue may continue without a retry delay."""
        try:
            result = await self.store.commit(transaction.conditions, transaction.writes)
        except UnknownOutcomeError:
            self.orphaned_keys += transaction.orphaned_keys
            return await self._refresh_revisions(transaction)
        except StoreError as exc:
            debug("commit_failed", error=exc)
            self.orphaned_keys += transaction.orphaned_keys
            return False
        if isinstance(result, Committed):
            self._record_commit(transaction, result.revision)
            return True
        self.orphaned_keys += transaction.orphaned_keys
        if keys.LEADER in result.conflicting_keys:
            self.on_leadership_lost()
            return False
        return await self._refresh_revisions(transaction)

    def _record_commit(self, transaction: RecordTransaction, revision: int) -> None:
        for write in transaction.page_writes:
            page = write.page
            page.mod_revision = revision
            page.committed_version = max(page.committed_version, write.version)
            if page.version == write.version:  # unchanged since the transaction was built
                self.job_table.uncommitted.pop((write.job.spec.id, write.number), None)
        for finalization in transaction.finalizations:
            self._finalize_job(finalization.job, finalization.status)
        self.on_committed()

    def _finalize_job(self, job: Job, status: str) -> None:
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

        Apart from users' cancellations, only this leader's own writes can have changed these records. Changes that
        are not confirmed stay uncommitted and overwrite whichever revision is stored now.

        Returns:
            Whether the store could be read.
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
        """Check whether the transaction did finalize the job, or whether the job was cancelled before it."""
        final, _ = await self.store.get(keys.final(job.spec.id))
        if final is not None:
            self._finalize_job(job, decode_record(final.value, FinalRecord).status)
            return
        job.page(0).mod_revision = await self._revision(keys.job(job.spec.id))
        cancellation, _ = await self.store.get(keys.cancellation(job.spec.id))
        if cancellation is not None and not job.cancelled:
            record = decode_record(cancellation.value, CancellationRecord)
            self.job_table.cancel(job, monotonic_time() + record.requested_at - time_of_day())

    async def _revision(self, key: str) -> int:
        entry, _ = await self.store.get(key)
        return entry.mod_revision if entry is not None else 0
