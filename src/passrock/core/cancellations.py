"""What one controller knows of cancellations, and until when that knowledge is whole.

Whoever renews a worker's lease keeps the tasks on it alive. So it must know every cancellation that any
controller has told a user, but for those so young that the lease it gives ends in time all the same.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Sequence
from itertools import islice
from threading import Lock

from passrock.core.machine_health import CLOCK_DRIFT_FACTOR

NEVER = -math.inf


def renewal_horizon(cancel_s: float, lease_s: float, report_s: float) -> float:
    """How old a cancellation may be that a controller doesn't know when it renews a worker's lease.

    The lease ends at the latest ``lease_s`` after the renewal by any clock, and the tasks with it; a report
    interval is left for the worker to notice. All must be over within ``cancel_s`` of the confirmation.
    """
    return (cancel_s - lease_s * CLOCK_DRIFT_FACTOR - report_s) / CLOCK_DRIFT_FACTOR


class Cancellations:
    """The jobs whose cancellation is committed, in the order in which this process learned of them.

    A job is entered before this controller tells its user. Peers take the list over piece by piece. Entries
    that are older than ``keep_s`` are dropped: their tasks are long gone by the rule itself.
    """

    def __init__(self, keep_s: float) -> None:
        self.keep_s = keep_s
        self.learned: Callable[[str], None] = lambda job_id: None  # told of each new entry, whoever brought it
        self.first = 0  # the number of the oldest entry that is kept
        self._order: deque[tuple[str, float]] = deque()
        self._known: dict[str, float] = {}
        self._lock = Lock()

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._known

    def when(self, job_id: str) -> float | None:
        """When the cancellation was learned of, by the steady clock."""
        return self._known.get(job_id)

    @property
    def total(self) -> int:
        """The number of the next entry."""
        return self.first + len(self._order)

    def learn(self, job_id: str, now: float) -> bool:
        """Enter a committed cancellation; whether it is news."""
        with self._lock:
            while self._order and now - self._order[0][1] > self.keep_s:
                old, _ = self._order.popleft()
                self._known.pop(old, None)
                self.first += 1
            if job_id in self._known:
                return False
            self._known[job_id] = now
            self._order.append((job_id, now))
        self.learned(job_id)
        return True

    def piece(self, start: int, most: int) -> tuple[int, list[str]]:
        """Up to ``most`` entries from number ``start`` on, and the number of the first of them."""
        with self._lock:
            start = max(self.first, start)
            offset = start - self.first
            return start, [job_id for job_id, _ in islice(self._order, offset, offset + most)]


class PeerKnowledge:
    """How far one peer's list has been taken in.

    ``until``: every cancellation that this peer has told before then is known here. ``claimed``: this peer knew
    every cancellation told by anyone before then, and all that it knew is known here. A peer that restarts
    begins a new list, and proves nothing by it before it has read the state again: what its former self told
    may be known to nobody.
    """

    def __init__(self) -> None:
        self.run = 0
        self.taken = 0
        self.until = NEVER
        self.claimed = NEVER

    def take(
        self,
        run: int,
        has_read: bool,
        whole_age: float | None,
        first: int,
        total: int,
        entries: Sequence[str],
        asked_at: float,
    ) -> Sequence[str]:
        """Take in an answer to what was asked at ``asked_at``; the entries that are new here.

        The caller enters them before anything else happens.
        """
        if run != self.run:
            self.run, self.taken = run, 0
        fresh = entries[max(0, self.taken - first) :]
        self.taken = max(self.taken, first + len(entries))
        if self.taken >= total:
            if has_read:
                self.until = max(self.until, asked_at)
            if whole_age is not None:
                self.claimed = max(self.claimed, asked_at - whole_age)
        return fresh


def whole_until(read_at: float, peers: Sequence[PeerKnowledge], now: float) -> float:
    """Every cancellation told by any controller before this time is known here.

    ``read_at``: when the last read of the state began that proved this process's copy whole. What this process
    told itself it knows, and what its former selves told it has read if it has read at all.
    """
    own = min((peer.until for peer in peers), default=now) if read_at > NEVER else NEVER
    return max(read_at, own, max((peer.claimed for peer in peers), default=NEVER))
