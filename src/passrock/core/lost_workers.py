"""Workers that come to a follower although they know the present leader: they have lost their way to it."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Iterable

import msgspec

FEW = 2  # workers that lose their leader one by one have faults of their own


class Visit(msgspec.Struct):
    """When a worker first and last came here instead of to the leader, and the highest term it knew."""

    first: float
    last: float
    term: int


class LostWorkers:
    """The workers that came to this follower lately, and where to send them.

    A worker that is sent back to a leader it can't reach waits there for most of its lease. So it is first
    sent to another follower, for long enough that the leader can notice, step down and be replaced.
    """

    def __init__(self, report_s: float, lease_s: float, silent_s: float) -> None:
        self.remembered_s = lease_s / 4  # a worker that has found a leader again is forgotten after this time
        self.alone_s = report_s  # how long one of few workers is kept away from the leader,
        self.many_s = silent_s + report_s  # and one of many: by then the leader has noticed that they are missing
        self.leader: str | None = None  # the one they have lost,
        self.leader_term = 0  # and its term
        self._visits: OrderedDict[str, Visit] = OrderedDict()  # the one that came last is at the end

    def note(self, machine: str, term: int, leader: str | None, leader_term: int, now: float) -> None:
        """A worker that knows ``term`` came here, while ``leader`` is the last one known of ``leader_term``."""
        self._forget(now)
        visit = self._visits.setdefault(machine, Visit(now, now, term))
        visit.last, visit.term = now, term
        self._visits.move_to_end(machine)
        if leader is not None and term >= leader_term > self.leader_term:
            self.leader, self.leader_term = leader, leader_term

    def count(self, term: int, now: float) -> int:
        """How many different workers that know this term came lately."""
        self._forget(now)
        return sum(visit.term >= term for visit in self._visits.values())

    def keep_away(self, machine: str, now: float) -> bool:
        """Whether this worker should try another follower before it goes back to the leader."""
        visit = self._visits.get(machine)
        if visit is None or self.leader is None:
            return False  # after a restart of all controllers nobody has been lost
        patience = self.many_s if len(self._visits) > FEW else self.alone_s
        return now - visit.first <= patience

    def alternative(self, followers: Iterable[str], own: str) -> str | None:
        """The next follower after this node in the order of names, other than the lost leader."""
        return next_in_order([name for name in followers if name != self.leader], own)

    def _forget(self, now: float) -> None:
        while self._visits:
            name, visit = next(iter(self._visits.items()))
            if now - visit.last <= self.remembered_s:
                return
            del self._visits[name]


def next_in_order(names: Collection[str], own: str) -> str | None:
    """The name that follows ``own`` in a ring of sorted names."""
    return min(names, key=lambda name: (name <= own, name), default=None)
