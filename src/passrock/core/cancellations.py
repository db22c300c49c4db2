"""The log of cancellations on one controller, how it is replicated, and up to when it is complete.

A controller that renews a worker's lease keeps the worker's tasks running. So it must know every cancellation that
any controller has confirmed to a user, except those so recent that even the renewed lease expires in time.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from itertools import islice
from threading import Lock
from typing import NamedTuple

import msgspec

from passrock.core.instants import NEVER
from passrock.core.machine_health import CLOCK_DRIFT_RATIO


def renewal_horizon(cancel_s: float, lease_s: float, heartbeat_interval_s: float) -> float:
    """The greatest age, in seconds, of a cancellation that a controller may not know when it renews a lease.

    By any clock, the lease expires at most ``lease_s`` after the renewal, and the tasks end with it; a heartbeat
    interval is left for the worker to notice. All tasks must have ended within ``cancel_s`` of the confirmation.
    """
    return (cancel_s - lease_s * CLOCK_DRIFT_RATIO - heartbeat_interval_s) / CLOCK_DRIFT_RATIO


class LogSlice(NamedTuple):
    """Consecutive entries of a cancellation log, and the index of the first of them."""

    first: int
    job_ids: list[str]


class CancellationLog:
    """The jobs whose cancellation is committed, in the order in which this process learned of them.

    A job is appended before this controller answers its user. Peers replicate the log slice by slice. Entries
    older than ``keep_s`` are dropped: by the renewal rule itself their tasks ended long before.

    Args:
        keep_s: seconds for which an entry is kept.
        on_learned: called with each new job id, whether it came from a user, a peer or the replica.
    """

    def __init__(self, keep_s: float, on_learned: Callable[[str], None] | None = None) -> None:
        self.keep_s = keep_s
        self.first = 0  # index of the oldest entry that is kept
        self._on_learned = on_learned
        self._order: deque[tuple[str, float]] = deque()
        self._known: dict[str, float] = {}
        self._lock = Lock()

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._known

    def learned_at(self, job_id: str) -> float | None:
        """When the cancellation was learned of, by the monotonic clock; None for a job that isn't in the log."""
        return self._known.get(job_id)

    @property
    def total(self) -> int:
        """The number of entries so far, dropped ones included: the index of the next one."""
        return self.first + len(self._order)

    def learn(self, job_id: str, now: float) -> bool:
        """Append a committed cancellation, unless it is known; returns whether it is new."""
        with self._lock:
            while self._order and now - self._order[0][1] > self.keep_s:
                expired_id, _ = self._order.popleft()
                self._known.pop(expired_id, None)
                self.first += 1
            if job_id in self._known:
                return False
            self._known[job_id] = now
            self._order.append((job_id, now))
        if self._on_learned is not None:
            self._on_learned(job_id)
        return True

    def entries_since(self, index: int, limit: int) -> LogSlice:
        """Up to ``limit`` entries from ``index`` on, or from the oldest one that is kept."""
        with self._lock:
            first = max(self.first, index)
            offset = first - self.first
            return LogSlice(first, [job_id for job_id, _ in islice(self._order, offset, offset + limit)])


class PeerLogAnswer(msgspec.Struct, frozen=True):
    """What one answer of a peer says about its log of cancellations.

    Attributes:
        incarnation: which process of that node answered; each has a log of its own.
        replica_loaded: whether it has read the key-value store since its start.
        staleness_s: it knows everything that anyone confirmed this many seconds before it was asked, or earlier;
            None when it doesn't know.
        first: index of the first of the entries below.
        total: the number of entries in its log so far.
        job_ids: a slice of its log.
    """

    incarnation: int
    replica_loaded: bool
    staleness_s: float | None
    first: int
    total: int
    job_ids: Sequence[str]


class PeerLogProgress:
    """How far one peer's log of cancellations has been applied here.

    A peer that restarts begins a new log, which proves nothing before the peer has read the key-value store again:
    until then, no running process may know what the peer's former incarnation confirmed.

    Attributes:
        incarnation: the process of the peer whose log is being applied, 0 for none.
        applied: the number of entries of that log that are known here.
        complete_until: every cancellation that this peer confirmed before then is known here.
        claimed_until: this peer knew every cancellation that anyone confirmed before then, and all that it knew is
            known here.
    """

    def __init__(self) -> None:
        self.incarnation = 0
        self.applied = 0
        self.complete_until = NEVER
        self.claimed_until = NEVER

    def apply(self, answer: PeerLogAnswer, asked_at: float) -> Sequence[str]:
        """Advance by an answer to what was asked at ``asked_at``; returns the entries that are new here.

        The caller appends them to its own log before anything else happens.
        """
        if answer.incarnation != self.incarnation:
            self.incarnation, self.applied = answer.incarnation, 0
        new_job_ids = answer.job_ids[max(0, self.applied - answer.first) :]
        self.applied = max(self.applied, answer.first + len(answer.job_ids))
        if self.applied >= answer.total:
            if answer.replica_loaded:
                self.complete_until = max(self.complete_until, asked_at)
            if answer.staleness_s is not None:
                self.claimed_until = max(self.claimed_until, asked_at - answer.staleness_s)
        return new_job_ids


def complete_until(read_at: float, peers: Sequence[PeerLogProgress], now: float) -> float:
    """The time before which every cancellation confirmed by any controller is known here.

    ``read_at`` is when the last read of the key-value store began that proved this process's replica complete.
    This process knows what it confirmed itself; what its former incarnations confirmed, it knows once it has read
    the store at all.
    """
    confirmed_by_all = min((peer.complete_until for peer in peers), default=now) if read_at > NEVER else NEVER
    return max(read_at, confirmed_by_all, max((peer.claimed_until for peer in peers), default=NEVER))
