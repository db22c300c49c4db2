"""Acceptance of submitted jobs: commits their first records, several in one transaction when many arrive at once.

A transaction is a compare-and-swap on the condition that no record of the job exists, not even its final one, so
that a repeated submission is recognized (idempotent request).
"""

from __future__ import annotations

import asyncio

import msgspec

from passrock.controller import keys
from passrock.core.model import JobSpec
from passrock.core.records import AdmissionToken, encode_record, new_job_record
from passrock.io.clock import time_of_day
from passrock.io.errors import StoreError
from passrock.io.store import Committed, KeyValueStoreClient, TransactionConflict
from passrock.wire.store import Put, Write


class AdmissionTokenExpiredError(StoreError):
    """The allocation that admitted the submission is no longer valid; nothing was accepted."""


class PendingSubmission(msgspec.Struct):
    """A submission that awaits its transaction, with a future for each request that waits for the answer."""

    spec: JobSpec
    admission_token: AdmissionToken | None
    futures: list[asyncio.Future[bool]]

    @property
    def is_abandoned(self) -> bool:
        """Whether no request waits for the answer any longer."""
        return all(future.done() for future in self.futures)

    def answer(self, *, accepted: bool) -> None:
        """Answer every request: True when the job is newly accepted, False when it was already known."""
        for future in self.futures:
            if not future.done():
                future.set_result(accepted)

    def fail(self, exc: StoreError) -> None:
        """Raise ``exc`` in every request: the job was not accepted, or the outcome is unknown."""
        for future in self.futures:
            if not future.done():
                future.set_exception(exc)


def _retrieve_exception(task: asyncio.Task[None]) -> None:
    """Keep asyncio from logging the exception of the task: every request has received it."""
    if not task.cancelled():
        task.exception()


class Submitter:
    """Accepts jobs, several in one transaction when many arrive at once."""

    def __init__(self, store: KeyValueStoreClient, txn_ops: int) -> None:
        """``txn_ops`` is the store's limit on the writes of one transaction."""
        self.store = store
        self.batch_limit = max(1, txn_ops - 1)
        self.queue: list[PendingSubmission] = []
        self.draining = False
        self._drain_task: asyncio.Task[None] | None = None  # the event loop keeps no strong reference to a task

    async def submit(self, spec: JobSpec, admission_token: AdmissionToken | None = None) -> bool:
        """Accept a job; return True when it is newly accepted, False when it was already known.

        Raises:
            AdmissionTokenExpiredError: the allocation that admitted it is no longer valid; nothing was accepted.
            UnknownOutcomeError: the job may have been accepted.
            StoreError: nothing was accepted.
        """
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.queue.append(PendingSubmission(spec, admission_token, [future]))
        if not self.draining:
            self.draining = True
            self._drain_task = asyncio.create_task(self._drain())
            self._drain_task.add_done_callback(_retrieve_exception)
        return await future

    async def _drain(self) -> None:
        """Commit until the queue is empty."""
        try:
            while self.queue:
                batch = self._next_batch()
                if batch:
                    await self._commit(batch)
        finally:
            self.draining = False

    def _next_batch(self) -> list[PendingSubmission]:
        """Remove from the queue what fits into one transaction, each job once."""
        batch: dict[str, PendingSubmission] = {}
        remaining: list[PendingSubmission] = []
        for pending in self.queue:
            if pending.is_abandoned:
                continue
            same_job = batch.get(pending.spec.id)
            if same_job is not None:
                same_job.futures += pending.futures
            elif len(batch) < self.batch_limit:
                batch[pending.spec.id] = pending
            else:
                remaining.append(pending)
        self.queue = remaining
        return list(batch.values())

    async def _commit(self, batch: list[PendingSubmission]) -> None:
        conditions: dict[str, int] = {}
        writes: list[Write] = []
        for pending in batch:
            job_id, admission_token = pending.spec.id, pending.admission_token
            conditions[keys.job(job_id)] = 0
            conditions[keys.final(job_id)] = 0
            if admission_token is not None:
                conditions[admission_token.key] = admission_token.mod_revision
            grant_reference = admission_token.grant_reference if admission_token is not None else None
            record = new_job_record(pending.spec, time_of_day(), grant_reference)
            writes.append(Put(keys.job(job_id), encode_record(record)))
        try:
            result = await self.store.commit(conditions, writes)
        except StoreError as exc:
            for pending in batch:
                pending.fail(exc)
            return
        if isinstance(result, Committed):
            for pending in batch:
                pending.answer(accepted=True)
        else:
            self._handle_conflict(batch, result)

    def _handle_conflict(self, batch: list[PendingSubmission], result: TransactionConflict) -> None:
        """Answer the submissions whose conditions failed and queue the others again; nothing was written."""
        failed = set(result.conflicting_keys)
        for pending in batch:
            job_id, admission_token = pending.spec.id, pending.admission_token
            if keys.job(job_id) in failed or keys.final(job_id) in failed:
                pending.answer(accepted=False)
            elif admission_token is not None and admission_token.key in failed:
                pending.fail(AdmissionTokenExpiredError(f"{admission_token.key} changed after the admission"))
            else:
                self.queue.append(pending)
