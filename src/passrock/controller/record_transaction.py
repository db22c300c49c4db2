"""One transaction of the commit queue: its conditions, its writes, and the changes that it commits."""

from __future__ import annotations

import msgspec

from passrock.controller import keys
from passrock.core.job import Job, TaskPage
from passrock.core.records import CANCELLED, DONE, FinalRecord, JobRecord, encode_record
from passrock.wire.store import Delete, Put, Write

WRITES_PER_FINALIZATION = 3  # delete a job's record and its cancellation, put its final record


class PageWrite(msgspec.Struct, frozen=True):
    """A page in a transaction, with the version that the transaction writes."""

    job: Job
    number: int
    page: TaskPage
    version: int


class Finalization(msgspec.Struct, frozen=True):
    """A job that a transaction finalizes, with its final status."""

    job: Job
    status: str


class RecordTransaction(msgspec.Struct):
    """Conditions and writes of one transaction, and the changes that it commits.

    Attributes:
        conditions: the required ``mod_revision`` of each key; 0 if the key must not exist.
        orphaned_keys: keys that the transaction deletes because their job has ended.
    """

    conditions: dict[str, int]
    writes: list[Write] = msgspec.field(default_factory=list)
    page_writes: list[PageWrite] = msgspec.field(default_factory=list)
    finalizations: list[Finalization] = msgspec.field(default_factory=list)
    orphaned_keys: list[str] = msgspec.field(default_factory=list)

    def add_page(self, job: Job, number: int) -> None:
        """Add the write of one page of a job's tasks."""
        page = job.pages[number]
        page_record = page.to_record()
        record = JobRecord.from_spec(job.spec, job.submitted_at, page_record) if number == 0 else page_record
        key = keys.task_page(job.spec.id, number)
        self.conditions[key] = page.mod_revision
        self.writes.append(Put(key, encode_record(record)))
        self.page_writes.append(PageWrite(job, number, page, page.version))

    def add_finalization(self, job: Job) -> None:
        """Add the replacement of a job's record by its final one; ``DONE`` requires that no cancellation exists."""
        job_id = job.spec.id
        status = CANCELLED if job.cancelled else DONE
        self.conditions[keys.job(job_id)] = job.page(0).mod_revision
        self.conditions[keys.final(job_id)] = 0
        final = FinalRecord(status, job.spec.task_count)
        self.writes += [Delete(keys.job(job_id)), Put(keys.final(job_id), encode_record(final))]
        if job.cancelled:
            self.writes.append(Delete(keys.cancellation(job_id)))
        else:
            self.conditions[keys.cancellation(job_id)] = 0
        self.finalizations.append(Finalization(job, status))

    def add_orphan_deletion(self, key: str) -> None:
        """Add the deletion of a finished job's record; it needs no condition, since the key is never reused."""
        self.writes.append(Delete(key))
        self.orphaned_keys.append(key)
