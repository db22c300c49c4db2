"""Linearizable lookup of one job's state: an answer to a user is never older than the request."""

from __future__ import annotations

import math

import msgspec

from passrock.controller import keys
from passrock.controller.read_fence import ReadFence
from passrock.controller.replica import Replica
from passrock.core.cancellations import CancellationLog
from passrock.core.records import (
    CANCELLED,
    DONE,
    FinalRecord,
    count_tasks,
    decode_record,
    tasks_per_page,
    total_tasks,
)
from passrock.io.clock import monotonic_time
from passrock.io.store import KeyValueStoreClient
from passrock.settings import Settings
from passrock.wire.store import Entry

MAX_FENCE_ATTEMPTS = 3
DIRECT_READ_TIMEOUT_S = 0.8

# Statuses of a job that has not ended; the status of an ended job is in its final record.
QUEUED = "queued"
RUNNING = "running"


class UnavailableError(Exception):
    """The state of a job can't be proved current at present; the user is asked to retry."""


class JobStatus(msgspec.Struct, frozen=True):
    """A job's status as shown to users; ``completed_count`` and ``running_count`` count its tasks."""

    status: str
    completed_count: int = 0
    running_count: int = 0


class JobLookup:
    """Linearizable reads of jobs: from the replica behind a read fence, or else from the store itself."""

    def __init__(
        self, settings: Settings, store: KeyValueStoreClient, replica: Replica, cancellations: CancellationLog
    ) -> None:
        self.store = store
        self.replica = replica
        self.cancellations = cancellations
        self.page_size = tasks_per_page(settings.value_bytes)
        self.fence = ReadFence(store, replica, 1.0 / settings.state_rps)

    def is_known(self, job_id: str) -> bool:
        """Whether the replica contains the job, unfinished or ended."""
        return job_id in self.replica.final_statuses or self.replica.get(keys.job(job_id)) is not None

    async def find(self, job_id: str) -> JobStatus | None:
        """Return the job's state, not older than this call; None when there is no such job.

        Raises:
            UnavailableError: the store is unavailable, so that no state can be proved current.
            StoreError: a read of the store failed.
        """
        final = self._cached_final(job_id)
        if final is not None:
            return final
        unfinished = await self._find_unfinished(job_id)
        if unfinished is not None:
            return unfinished
        return self._cached_final(job_id) or await self._read_final(job_id)

    async def _find_unfinished(self, job_id: str) -> JobStatus | None:
        """Return the state of a job that has not ended, from the replica if that can be proved current."""
        for _ in range(MAX_FENCE_ATTEMPTS):
            if await self.fence.wait():
                return self._from_replica(job_id)
            if self.store.is_unavailable(monotonic_time(), 0.0):
                raise UnavailableError("the key-value store is unavailable")
        return await self._read_unfinished(job_id)

    def _cached_final(self, job_id: str) -> JobStatus | None:
        status = self.replica.final_statuses.get(job_id)
        return JobStatus(status) if status is not None else None

    def _from_replica(self, job_id: str) -> JobStatus | None:
        entry = self.replica.get(keys.job(job_id))
        if entry is None:
            return None
        if self.replica.get(keys.cancellation(job_id)) is not None:
            return JobStatus(CANCELLED)
        completed_count, running_count = count_tasks(entry.value)
        for number in range(1, math.ceil(total_tasks(entry.value) / self.page_size)):
            page = self.replica.get(keys.task_page(job_id, number))
            if page is not None:
                counts = count_tasks(page.value)
                completed_count += counts.completed
                running_count += counts.placed
        return JobStatus(RUNNING if running_count else QUEUED, completed_count, running_count)

    async def _read_unfinished(self, job_id: str) -> JobStatus | None:
        """Read the store itself, since the replica lags; the cancellation has its own key and is read as well."""
        entry = await self._read(keys.job(job_id))
        if entry is None:
            return None
        if await self._read(keys.cancellation(job_id)) is not None:
            self.cancellations.add(job_id, monotonic_time())
            return JobStatus(CANCELLED)
        # the job may have ended between the two reads, which deletes its cancellation
        if await self._read(keys.final(job_id)) is not None:
            return None
        counts = count_tasks(entry.value)
        return JobStatus(QUEUED, counts.completed, counts.placed)

    async def _read_final(self, job_id: str) -> JobStatus | None:
        entry = await self._read(keys.final(job_id))
        if entry is None:
            return None
        final = decode_record(entry.value, FinalRecord)
        self.replica.cache_final_status(job_id, final.status)
        return JobStatus(final.status, final.task_count if final.status == DONE else 0)

    async def _read(self, key: str) -> Entry | None:
        entry, _ = await self.store.get(key, timeout=DIRECT_READ_TIMEOUT_S)
        return entry
