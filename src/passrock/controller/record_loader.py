"""A new leader takes in the records that earlier ones left in the state service."""

from __future__ import annotations

from passrock.controller import keys
from passrock.controller.binding_rounds import BindingRounds
from passrock.controller.commit_queue import CommitQueue
from passrock.controller.replica import Replica
from passrock.core.cancellations import Cancellations
from passrock.core.image_hints import decode_image_hints
from passrock.core.inventory import MachineInventory
from passrock.core.jobs import JobTable
from passrock.io.clock import monotonic_time, time_of_day
from passrock.wire.state import Entry


def load_records(
    replica: Replica,
    cancellations: Cancellations,
    job_table: JobTable,
    inventory: MachineInventory,
    rounds: BindingRounds,
    commit_queue: CommitQueue,
) -> None:
    """Fill the books of a new term from this node's copy of the state."""
    now = monotonic_time()
    jobs = sorted(replica.with_prefix(keys.JOB), key=lambda e: (e.value["at"], e.key))
    for entry in jobs:
        job_table.load(entry.value, entry.mod_revision, now, time_of_day())
    for entry in replica.with_prefix(keys.TASK_PAGE):
        job_id, _, number = entry.key[len(keys.TASK_PAGE) :].rpartition("/")
        job = job_table.jobs.get(job_id)
        if job is None:
            commit_queue.orphaned_keys.append(entry.key)
        else:
            job_table.load_page(job, int(number), entry.value, entry.mod_revision)
    for entry in replica.with_prefix(keys.CANCEL):
        job = job_table.jobs.get(entry.key[len(keys.CANCEL) :])
        if job is not None:
            job_table.cancel(job, confirmed_at(entry))
    for job in list(job_table.jobs.values()):
        heard = cancellations.when(job.spec.id)
        if heard is not None:  # a peer may have told of it before the copy shows the mark
            job_table.cancel(job, heard)
        job_table.check_loaded(job)
    for prefix in (keys.RESERVATION, keys.MORE):
        for entry in replica.with_prefix(prefix):
            rounds.load(entry)
    for entry in replica.with_prefix(keys.HINT):
        inventory.load_image_hints(decode_image_hints(entry.value))


def confirmed_at(mark: Entry) -> float:
    """When a cancellation may have been confirmed at the earliest, by this process's steady clock.

    Whoever takes over counts from then, not from its own beginning.
    """
    return monotonic_time() - max(0.0, time_of_day() - mark.value["at"])
