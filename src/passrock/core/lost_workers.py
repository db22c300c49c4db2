"""Lost workers: they have the current term's fencing token, but contact a follower as they can't reach the leader."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Iterable

import msgspec

# Up to this many lost workers are taken to have individual faults; with more, the leader is taken to be at fault.
MAX_INDIVIDUAL_FAULTS = 2
# A worker is no longer counted as lost this long after its last contact: it has reached a leader again.
RETENTION_LEASES = 0.25


class WorkerContact(msgspec.Struct):
    """A lost worker's contacts with this follower.

    Attributes:
        first_at: the time of the first contact, monotonic.
        last_at: the time of the last contact, monotonic.
        term: the fencing token in the last contact.
    """

    first_at: float
    last_at: float
    term: int


class LostWorkers:
    """The workers that recently contacted this follower, and whether they should avoid the leader.

    A worker that is redirected to a leader that it can't reach waits there for most of its lease. Hence it is first
    redirected to another follower, for long enough that the leader can detect the fault, step down and be replaced.

    Args:
        heartbeat_interval_s: the interval at which workers send heartbeats.
        lease_s: the length of a worker's lease.
        unresponsive_after_s: the time without a heartbeat after which the leader considers a worker unresponsive.

    Attributes:
        leader: the last leader that a worker could no longer reach; None when there was none.
        leader_term: the term of that leader.
    """

    def __init__(self, heartbeat_interval_s: float, lease_s: float, unresponsive_after_s: float) -> None:
        self.retention_s = lease_s * RETENTION_LEASES
        # how long a lost worker avoids the leader when the fault is taken to be its own
        self.individual_fault_avoid_s = heartbeat_interval_s
        # the same when the fault is taken to be the leader's: by then the leader counts these workers as unresponsive
        self.leader_fault_avoid_s = unresponsive_after_s + heartbeat_interval_s
        self.leader: str | None = None
        self.leader_term = 0
        self._contacts: OrderedDict[str, WorkerContact] = OrderedDict()  # by machine, the latest contact at the end

    def record_contact(self, machine: str, term: int, leader: str | None, leader_term: int, now: float) -> None:
        """Record that a worker with fencing token ``term`` contacted this follower.

        ``leader`` and ``leader_term`` are the last known leader and its term.
        """
        self._expire(now)
        contact = self._contacts.setdefault(machine, WorkerContact(now, now, term))
        contact.last_at, contact.term = now, term
        self._contacts.move_to_end(machine)
        if leader is not None and term >= leader_term > self.leader_term:
            self.leader, self.leader_term = leader, leader_term

    def count(self, term: int, now: float) -> int:
        """Return how many workers whose fencing token is ``term`` or higher have recently contacted this follower."""
        self._expire(now)
        return sum(contact.term >= term for contact in self._contacts.values())

    def should_avoid_leader(self, machine: str, now: float) -> bool:
        """Whether this worker should contact another follower before it returns to the leader."""
        contact = self._contacts.get(machine)
        if contact is None or self.leader is None:
            return False  # no leader has been lost, for example when all controllers have just restarted
        avoid_s = (
            self.leader_fault_avoid_s
            if len(self._contacts) > MAX_INDIVIDUAL_FAULTS
            else self.individual_fault_avoid_s
        )
        return now - contact.first_at <= avoid_s

    def next_follower(self, followers: Iterable[str], own_name: str) -> str | None:
        """Return the next follower after this node in the order of names, other than the lost leader."""
        return next_in_ring([name for name in followers if name != self.leader], own_name)

    def _expire(self, now: float) -> None:
        while self._contacts:
            machine, contact = next(iter(self._contacts.items()))
            if now - contact.last_at <= self.retention_s:
                return
            del self._contacts[machine]


def next_in_ring(names: Collection[str], own_name: str) -> str | None:
    """Return the name that follows ``own_name`` in the ring of sorted names; None when there are no names."""
    return min(names, key=lambda name: (name <= own_name, name), default=None)
