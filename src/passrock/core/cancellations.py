"""One controller's log of cancellations, its replication, and the time until which it is complete.

A controller that renews a worker's lease keeps the worker's tasks running. Hence its log must contain every
cancellation that any controller has confirmed to a user, except those so recent that even the renewed lease expires
in time.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from itertools import islice
from threading import Lock
from typing import NamedTuple

import msgspec

from passrock.core.instants import NEVER
from passrock.core.interface_times import CLOCK_DRIFT_RATIO


def renewal_horizon(cancel_s: float, lease_s: float, heartbeat_interval_s: float) -> float:
    """Return the greatest age, in seconds, of a cancellation that the log may lack when a lease is renewed.

    By any clock, the lease expires at most ``lease_s`` after the renewal, and the tasks end with it; a heartbeat
    interval is left for the worker to detect the expiry. All tasks must have ended within ``cancel_s`` of the
    confirmation.
    """
    return (cancel_s - lease_s * CLOCK_DRIFT_RATIO - heartbeat_interval_s) / CLOCK_DRIFT_RATIO


class LogSlice(NamedTuple):
    """Consecutive entries of a cancellation log, and the index of the first of them."""

    first: int
    job_ids: list[str]


class CancellationLog:
    """The jobs whose cancellation is committed, in the order in which this process added them.

    A job is added before this controller answers its user. Peers replicate the log slice by slice. Entries older
    than ``retention_s`` are dropped: by the renewal rule, their tasks ended long before.

    Args:
        retention_s: seconds for which an entry is kept.
        on_added: called with each new job id, whether it came from a user, a peer or the replica.
    """

    def __init__(self, retention_s: float, on_added: Callable[[str], None] | None = None) -> None:
        self.retention_s = retention_s
        self.first = 0  # index of the oldest entry that is kept
        self._on_added = on_added
        self._order: deque[tuple[str, float]] = deque()
        self._added_at: dict[str, float] = {}
        self._lock = Lock()

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._added_at

    def added_at(self, job_id: str) -> float | None:
        """Return when the job was added, by the monotonic clock; None for a job that isn't in the log."""
        return self._added_at.get(job_id)

    @property
    def total(self) -> int:
        """The number of entries so far, dropped ones included: the index of the next entry."""
        return self.first + len(self._order)

    def add(self, job_id: str, now: float) -> bool:
        """Add a committed cancellation, unless the log contains it; returns whether it was added."""
        with self._lock:
            while self._order and now - self._order[0][1] > self.retention_s:
                expired_id, _ = self._order.popleft()
                self._added_at.pop(expired_id, None)
                self.first += 1
            if job_id in self._added_at:
                return False
            self._added_at[job_id] = now
            self._order.append((job_id, now))
        if self._on_added is not None:
            self._on_added(job_id)
        return True

    def entries_since(self, index: int, limit: int) -> LogSlice:
        """Return up to ``limit`` entries from ``index`` on, or from the oldest entry that is kept."""
        with self._lock:
            first = max(self.first, index)
            offset = first - self.first
            return LogSlice(first, [job_id for job_id, _ in islice(self._order, offset, offset + limit)])


class PeerLogAnswer(msgspec.Struct, frozen=True):
    """The state and a slice of a peer's log of cancellations, from one answer of the peer.

    Attributes:
        incarnation: which process of the peer's node answered; each has its own log.
        replica_loaded: whether that process has read the key-value store since its start.
        staleness_s: the log contains every cancellation that any controller confirmed at least this many seconds
            before the request was sent; None when that time is unknown.
        first: the index of the first entry in ``job_ids``.
        total: the number of entries in the log so far, dropped ones included.
        job_ids: a slice of the log.
    """

    incarnation: int
    replica_loaded: bool
    staleness_s: float | None
    first: int
    total: int
    job_ids: Sequence[str]


class PeerLogProgress:
    """How far one peer's log of cancellations has been applied to the local log.

    A peer that restarts begins a new log, which proves nothing before the peer has read the key-value store again:
    until then, cancellations that the peer's former incarnation confirmed may be missing from the logs of all running
    processes.

    Attributes:
        incarnation: the peer's process whose log is being applied, 0 for none.
        applied: the number of entries of that log, from its beginning, that have been applied.
        confirmed_by_peer_until: the local log contains every cancellation that this peer confirmed before this time.
        confirmed_by_any_until: the peer's log contained every cancellation that any controller confirmed before this
            time, and all its entries have been applied.
    """

    def __init__(self) -> None:
        self.incarnation = 0
        self.applied = 0
        self.confirmed_by_peer_until = NEVER
        self.confirmed_by_any_until = NEVER

    def apply(self, answer: PeerLogAnswer, requested_at: float) -> Sequence[str]:
        """Apply the answer to a request sent at ``requested_at``; returns the entries that are new to this process.

        The caller must add them to the local log before it uses this progress or the answer in any other way.
        """
        if answer.incarnation != self.incarnation:
            self.incarnation, self.applied = answer.incarnation, 0
        new_job_ids = answer.job_ids[max(0, self.applied - answer.first) :]
        self.applied = max(self.applied, answer.first + len(answer.job_ids))
        if self.applied >= answer.total:
            if answer.replica_loaded:
                self.confirmed_by_peer_until = max(self.confirmed_by_peer_until, requested_at)
            if answer.staleness_s is not None:
                self.confirmed_by_any_until = max(self.confirmed_by_any_until, requested_at - answer.staleness_s)
        return new_job_ids


def complete_until(read_at: float, peers: Sequence[PeerLogProgress], now: float) -> float:
    """Return the time until which the local log is complete: every earlier confirmed cancellation is in it.

    ``read_at`` is when the last read of the key-value store that proved this process's replica complete began. The
    log contains what this process confirmed itself, and, once the process has read the store at all, what this
    node's former incarnations confirmed.
    """
    confirmed_by_all = (
        min((peer.confirmed_by_peer_until for peer in peers), default=now) if read_at > NEVER else NEVER
    )
    return max(read_at, confirmed_by_all, max((peer.confirmed_by_any_until for peer in peers), default=NEVER))
