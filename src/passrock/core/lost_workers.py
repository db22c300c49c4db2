"""Workers that contact a follower although they know the present term: they can no longer reach its leader."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Iterable

import msgspec

FEW_WORKERS = 2  # up to this many lost workers are taken to have faults of their own, rather than the leader
RETENTION_LEASES = 0.25  # a worker that has found a leader again is forgotten after this part of a lease


class Visit(msgspec.Struct):
    """When a worker first and last contacted this node instead of the leader (monotonic), and its last known term."""

    first_at: float
    last_at: float
    term: int


class LostWorkers:
    """The workers that contacted this follower lately, and whether they should avoid the leader.

    A worker that is sent back to a leader it can't reach waits there for most of its lease. So it is first
    sent to another follower, for long enough that the leader can notice, step down and be replaced.

    Args:
        heartbeat_interval_s: the interval at which workers send heartbeats.
        lease_s: the length of a worker's lease.
        unresponsive_after_s: the time without a heartbeat after which the leader considers a worker unresponsive.

    Attributes:
        leader: the last leader that a worker lost, None for none.
        leader_term: the term of that leader.
    """

    def __init__(self, heartbeat_interval_s: float, lease_s: float, unresponsive_after_s: float) -> None:
        self.retention_s = lease_s * RETENTION_LEASES
        self.few_avoid_s = heartbeat_interval_s  # how long one of few workers is kept away from the leader
        # the same for one of many: by then the leader has noticed that their heartbeats are missing
        self.many_avoid_s = unresponsive_after_s + heartbeat_interval_s
        self.leader: str | None = None
        self.leader_term = 0
        self._visits: OrderedDict[str, Visit] = OrderedDict()  # by machine, the latest visit at the end

    def record_visit(self, machine: str, term: int, leader: str | None, leader_term: int, now: float) -> None:
        """Record that a worker that knows ``term`` came here; ``leader`` of ``leader_term`` is the last known one."""
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
            return False  # when all controllers have just restarted, no leader has been lost
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
