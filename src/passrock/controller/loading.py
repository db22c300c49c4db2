"""A new leader takes in the records that earlier ones left in the state service."""

from __future__ import annotations

from passrock.controller import keys
from passrock.controller.binding_rounds import BindingRounds
from passrock.controller.commit_queue import CommitQueue
from passrock.controller.replica import Replica
from passrock.core.cancellations import Cancellations
from passrock.core.fleet import Fleet
from passrock.core.jobs import Book
from passrock.io.clock import steady, time_of_day
from passrock.wire.state import Entry


def load_records(
    replica: Replica,
    cancellations: Cancellations,
    book: Book,
    fleet: Fleet,
    rounds: BindingRounds,
    commit_queue: CommitQueue,
) -> None:
    """Fill the books of a new term from this node's copy of the state."""
    now = steady()
    jobs = sorted(replica.with_prefix(keys.JOB), key=lambda e: (e.value["at"], e.key))
    for entry in jobs:
        book.load(entry.value, entry.version, now, time_of_day())
    for entry in replica.with_prefix(keys.CHUNK):
        job_id, _, number = entry.key[len(keys.CHUNK) :].rpartition("/")
        job = book.jobs.get(job_id)
        if job is None:
            commit_queue.orphans.append(entry.key)
        else:
            book.load_chunk(job, int(number), entry.value, entry.version)
    for entry in replica.with_prefix(keys.CANCEL):
        job = book.jobs.get(entry.key[len(keys.CANCEL) :])
        if job is not None:
            book.cancel(job, confirmed_at(entry))
    for job in list(book.jobs.values()):
        heard = cancellations.when(job.spec.id)
        if heard is not None:  # a peer may have told of it before the copy shows the mark
            book.cancel(job, heard)
        book.check_loaded(job)
    for prefix in (keys.RESERVATION, keys.MORE):
        for entry in replica.with_prefix(prefix):
            rounds.load(entry)
    for entry in replica.with_prefix(keys.HINT):
        fleet.load_hints(entry.value)


def confirmed_at(mark: Entry) -> float:
    """When a cancellation may have been confirmed at the earliest, by this process's steady clock.

    Whoever takes over counts from then, not from its own beginning.
    """
    return steady() - max(0.0, time_of_day() - mark.value["at"])
