"""Workers that come to a follower although they know the present term: they can't reach its leader any more."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Iterable

import msgspec

FEW_WORKERS = 2  # workers that lose their leader one by one have faults of their own


class Visit(msgspec.Struct):
    """When a worker first and last came here instead of to the leader, and the highest term it knew."""

    first_at: float
    last_at: float
    term: int


class LostWorkers:
    """The workers that came to this follower lately, and whether they should avoid the leader.

    A worker that is sent back to a leader it can't reach waits there for most of its lease. So it is first
    sent to another follower, for long enough that the leader can notice, step down and be replaced.

    Attributes:
        leader: the last leader that a worker lost, None for none.
        leader_term: the term of that leader.
    """

    def __init__(self, report_s: float, lease_s: float, silence_limit_s: float) -> None:
        self.retention_s = lease_s / 4  # a worker that has found a leader again is forgotten after this time
        self.few_avoid_s = report_s  # how long one of few workers is kept away from the leader,
        self.many_avoid_s = silence_limit_s + report_s  # and one of many: by then the leader misses their heartbeats
        self.leader: str | None = None
        self.leader_term = 0
        self._visits: OrderedDict[str, Visit] = OrderedDict()  # by machine, the latest visit at the end

    def record_visit(self, machine: str, term: int, leader: str | None, leader_term: int, now: float) -> None:
        """A worker that knows ``term`` came here, while ``leader`` is the last one known, of ``leader_term``."""
        self._expire(now)
        visit = self._visits.setdefault(machine, Visit(now, now, term))
        visit.last_at, visit.term = now, term
        self._visits.move_to_end(machine)
        if leader is not None and term >= leader_term > self.leader_term:
            self.leader, self.leader_term = leader, leader_term

    def count(self, term: int, now: float) -> int:
        """How many different workers that know this term came lately."""
        self._expire(now)
        return sum(visit.term >= term for visit in self._visits.values())

    def should_avoid_leader(self, machine: str, now: float) -> bool:
        """Whether this worker should try another follower before it goes back to the leader."""
        visit = self._visits.get(machine)
        if visit is None or self.leader is None:
            return False  # after a restart of all controllers no leader has been lost
        avoid_s = self.many_avoid_s if len(self._visits) > FEW_WORKERS else self.few_avoid_s
        return now - visit.first_at <= avoid_s

    def next_follower(self, followers: Iterable[str], own: str) -> str | None:
        """The next follower after this node in the order of names, other than the lost leader."""
        return next_in_ring([name for name in followers if name != self.leader], own)

    def _expire(self, now: float) -> None:
        while self._visits:
            machine, visit = next(iter(self._visits.items()))
            if now - visit.last_at <= self.retention_s:
                return
            del self._visits[machine]


def next_in_ring(names: Collection[str], own: str) -> str | None:
    """The name that follows ``own`` in a ring of sorted names; None when there are no names."""
    return min(names, key=lambda name: (name <= own, name), default=None)
