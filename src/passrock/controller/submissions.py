"""Accepting jobs: their first records are committed, several in one transaction when many come at once."""

from __future__ import annotations

import asyncio

import msgspec

from passrock.controller import keys
from passrock.core.jobs import new_record
from passrock.core.model import JobSpec
from passrock.core.records import AdmissionToken
from passrock.io.clock import time_of_day
from passrock.io.errors import StoreError
from passrock.io.state import Committed, KeyValueStoreClient, TransactionConflict
from passrock.wire.state import Put, Write


class AdmissionTokenExpiredError(StoreError):
    """What permitted the submission is no longer in force; nothing was accepted."""


class Pending(msgspec.Struct):
    """A submission that awaits its transaction, with everybody who waits for the answer."""

    spec: JobSpec
    admission_token: AdmissionToken | None
    futures: list[asyncio.Future[bool]]

    def answer(self, accepted: bool) -> None:
        """Tell all: True when accepted now, False when known already."""
        for future in self.futures:
            if not future.done():
                future.set_result(accepted)

    def fail(self, problem: StoreError) -> None:
        """Tell all that it was not accepted, or that nobody knows."""
        for future in self.futures:
            if not future.done():
                future.set_exception(problem)


def _take_notice(task: asyncio.Task[None]) -> None:
    """What ended the task was told to everybody who waits; nothing is left to be logged."""
    if not task.cancelled():
        task.exception()


class Submitter:
    """Accepts jobs, several in one transaction when many come at once."""

    def __init__(self, state: KeyValueStoreClient, txn_ops: int) -> None:
        self.state = state
        self.most = max(1, txn_ops - 1)
        self.queue: list[Pending] = []
        self.busy = False

    async def submit(self, spec: JobSpec, admission_token: AdmissionToken | None = None) -> bool:
        """True when accepted now, False when known already; raises StoreError otherwise."""
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.queue.append(Pending(spec, admission_token, [future]))
        if not self.busy:
            self.busy = True
            task = asyncio.ensure_future(self._drain())
            task.add_done_callback(_take_notice)
        return await future

    async def _drain(self) -> None:
        try:
            while self.queue:
                batch = self._next_batch()
                if batch:
                    await self._commit(batch)
        finally:
            self.busy = False

    def _next_batch(self) -> list[Pending]:
        """Take what fits into one transaction out of the queue, each job once."""
        batch: dict[str, Pending] = {}
        rest: list[Pending] = []
        for pending in self.queue:
            if all(future.done() for future in pending.futures):
                continue  # everybody has given up
            same = batch.get(pending.spec.id)
            if same is not None:
                same.futures += pending.futures
            elif len(batch) < self.most:
                batch[pending.spec.id] = pending
            else:
                rest.append(pending)
        self.queue = rest
        return list(batch.values())

    async def _commit(self, batch: list[Pending]) -> None:
        conditions: dict[str, int] = {}
        writes: list[Write] = []
        for pending in batch:
            job_id, admission_token = pending.spec.id, pending.admission_token
            conditions[keys.job(job_id)] = 0
            conditions[keys.final(job_id)] = 0
            if admission_token is not None:
                conditions[admission_token.key] = admission_token.mod_revision
            mark = admission_token.grant_reference if admission_token is not None else None
            writes.append(Put(keys.job(job_id), new_record(pending.spec, time_of_day(), mark)))
        try:
            result = await self.state.commit(conditions, writes)
        except StoreError as error:
            for pending in batch:
                pending.fail(error)
            return
        if isinstance(result, Committed):
            for pending in batch:
                pending.answer(True)
        else:
            self._refused(batch, result)

    def _refused(self, batch: list[Pending], result: TransactionConflict) -> None:
        """Some condition failed and nothing was written: answer those it was, and try the others again."""
        failed = set(result.conflicting_keys)
        for pending in batch:
            job_id, admission_token = pending.spec.id, pending.admission_token
            if keys.job(job_id) in failed or keys.final(job_id) in failed:
                pending.answer(False)
            elif admission_token is not None and admission_token.key in failed:
                pending.fail(AdmissionTokenExpiredError("the admission token has expired"))
            else:
                self.queue.append(pending)
