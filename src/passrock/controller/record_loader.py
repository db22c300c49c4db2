"""Loading of the records of earlier terms into a new leader's tables."""

from __future__ import annotations

from passrock.controller import keys
from passrock.controller.binding_rounds import BindingRounds
from passrock.controller.commit_queue import CommitQueue
from passrock.controller.replica import Replica
from passrock.core.cancellations import CancellationLog
from passrock.core.image_hints import decode_image_hints
from passrock.core.inventory import MachineInventory
from passrock.core.job_table import JobTable
from passrock.core.records import CancellationRecord, JobRecord, TaskPageRecord, decode_record
from passrock.io.clock import monotonic_time, time_of_day
from passrock.wire.store import Entry


def load_records(
    replica: Replica,
    cancellations: CancellationLog,
    job_table: JobTable,
    inventory: MachineInventory,
    binding_rounds: BindingRounds,
    commit_queue: CommitQueue,
) -> None:
    """Load the job table, the reservations and the image hints of a new term from this node's replica."""
    _load_jobs(replica, job_table)
    _load_task_pages(replica, job_table, commit_queue)
    _load_cancellations(replica, cancellations, job_table)
    for prefix in (keys.RESERVATION, keys.RESERVATION_PAGE):
        for entry in replica.with_prefix(prefix):
            binding_rounds.load(entry)
    for entry in replica.with_prefix(keys.IMAGE_HINTS):
        inventory.load_image_hints(decode_image_hints(entry.value))


def _load_jobs(replica: Replica, job_table: JobTable) -> None:
    """Load the jobs in the order of submission."""
    now = monotonic_time()
    jobs = [(decode_record(entry.value, JobRecord), entry) for entry in replica.with_prefix(keys.JOB)]
    jobs.sort(key=lambda job: (job[0].submitted_at, job[1].key))
    for record, entry in jobs:
        job_table.load(record, entry.mod_revision, now, time_of_day())


def _load_task_pages(replica: Replica, job_table: JobTable, commit_queue: CommitQueue) -> None:
    """Load the further pages of tasks, and queue the pages of finished jobs for deletion."""
    for entry in replica.with_prefix(keys.TASK_PAGE):
        job_id, _, number = entry.key[len(keys.TASK_PAGE) :].rpartition("/")
        job = job_table.jobs.get(job_id)
        if job is None:
            commit_queue.orphaned_keys.append(entry.key)
        else:
            record = decode_record(entry.value, TaskPageRecord)
            job_table.load_page(job, int(number), record, entry.mod_revision)


def _load_cancellations(replica: Replica, cancellations: CancellationLog, job_table: JobTable) -> None:
    """Cancel the jobs whose cancellation is in the replica, or in the log, which peers may have updated first."""
    for entry in replica.with_prefix(keys.CANCELLATION):
        job = job_table.jobs.get(entry.key[len(keys.CANCELLATION) :])
        if job is not None:
            job_table.cancel(job, earliest_confirmed_at(entry))
    for job in list(job_table.jobs.values()):
        added_at = cancellations.added_at(job.spec.id)
        if added_at is not None:
            job_table.cancel(job, added_at)
        job_table.finish_loading(job)


def earliest_confirmed_at(cancellation: Entry) -> float:
    """Return the earliest monotonic time at which a cancellation may have been confirmed to its user.

    A new leader measures ``cancel_s`` from then, not from the beginning of its own term.
    """
    record = decode_record(cancellation.value, CancellationRecord)
    return monotonic_time() - max(0.0, time_of_day() - record.requested_at)
