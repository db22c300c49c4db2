"""What is concluded from a machine's heartbeats and answers: unresponsive, unreachable, lease expired."""

from __future__ import annotations

from passrock.core.machine import MAX_UNACKNOWLEDGED_ANSWERS, Machine

# Two controllers' clocks may differ by 0.05 % each way; leases are waited out with this factor.
CLOCK_DRIFT_FACTOR = 1.002
# Slow machines take several times the usual boot time; a machine that takes longer than this counts as failed.
BOOT_TIMEOUT_FACTOR = 3.0
# For this many leases a new leader doesn't conclude from a machine's age that its boot has failed.
BOOT_TIMEOUT_GRACE_LEASES = 2
# Heartbeats arrive at up to 1.25 times their interval, and an answer may wait for another quarter; beyond that one
# is missing.
HEARTBEAT_OVERDUE_INTERVALS = 1.75
# At least this many heartbeat intervals have to pass without one before a worker counts as unresponsive.
UNRESPONSIVE_INTERVALS = 2.5
# A worker waits this long for an answer before it tries another node.
WORKER_REQUEST_TIMEOUT_S = 4.0


def unresponsive_after(heartbeat_interval_s: float, lease_s: float, lease_ratio: float) -> float:
    """Seconds without a heartbeat after which a worker counts as unresponsive."""
    return max(lease_s * lease_ratio, heartbeat_interval_s * UNRESPONSIVE_INTERVALS)


class MachineHealth:
    """The rules by which one leader term judges its machines.

    Args:
        heartbeat_interval_s: the interval at which workers send heartbeats.
        lease_s: a worker stops its tasks this long after the last answer it received.
        lease_ratio: the part of a lease without heartbeats after which a worker counts as unresponsive.
        observing_since: the time (monotonic) from which missing heartbeats count. Advanced when this process was
            suspended, as it could receive nothing in that time.

    Attributes:
        unresponsive_after_s: the time without a heartbeat after which a worker counts as unresponsive.
        max_lease_s: the time since the last answer after which a worker's lease has ended by any clock.
        discovery_s: how long workers may still wait for an answer of another leader before they find this one.
    """

    def __init__(
        self, heartbeat_interval_s: float, lease_s: float, lease_ratio: float, observing_since: float
    ) -> None:
        self.heartbeat_interval_s = heartbeat_interval_s
        self.lease_s = lease_s
        self.unresponsive_after_s = unresponsive_after(heartbeat_interval_s, lease_s, lease_ratio)
        self.max_lease_s = lease_s * CLOCK_DRIFT_FACTOR + heartbeat_interval_s
        self.observing_since = observing_since
        self.discovery_s = 0.0

    def is_unresponsive(self, machine: Machine, now: float) -> bool:
        """Whether a machine has missed its heartbeats for too long.

        A worker that has not found this leader yet may still wait for an answer of the last one.
        """
        return now - self.last_seen_at(machine) > self.unresponsive_after_s

    def is_heartbeat_overdue(self, machine: Machine, now: float) -> bool:
        """Whether a heartbeat is missing, though not long enough for ``is_unresponsive``."""
        return now - self.last_seen_at(machine) > self.heartbeat_interval_s * HEARTBEAT_OVERDUE_INTERVALS

    def last_seen_at(self, machine: Machine) -> float:
        """The moment from which missing heartbeats count."""
        discovery_s = 0.0 if machine.heartbeat_received else self.discovery_s
        return max(machine.last_heartbeat_at, self.observing_since + discovery_s)

    def may_return(self, machine: Machine, now: float) -> bool:
        """Whether an unresponsive machine is still expected back, so that it needs no replacement."""
        unseen_s = now - self.last_seen_at(machine)
        return (
            machine.heartbeat_received
            and not machine.deleting
            and self.unresponsive_after_s < unseen_s < self.return_timeout_s(machine)
        )

    def return_timeout_s(self, machine: Machine) -> float:
        """After how long an unresponsive machine is not expected back: a new one would have booted by then."""
        return self.lease_s + machine.type.boot_s

    def boot_timed_out(self, machine: Machine, now: float) -> bool:
        """Whether a machine should have sent its first heartbeat by now.

        A new leader learns of older machines from the cloud's list before their workers have found it:
        their age proves nothing until it has led for a while.
        """
        if (
            machine.heartbeat_received
            or machine.deleting
            or now - self.observing_since < BOOT_TIMEOUT_GRACE_LEASES * self.lease_s
        ):
            return False
        return now - machine.requested_at > BOOT_TIMEOUT_FACTOR * machine.type.boot_s + self.lease_s

    def is_unreachable_inbound(self, machine: Machine, now: float) -> bool:
        """Whether heartbeats arrive while no answer gets through: the inbound direction is broken.

        By its heartbeats alone such a machine looks healthy, and so does a lost one of which a delayed heartbeat
        arrives. Nothing is placed before a heartbeat carries this term's fencing token, which only an answer can
        have delivered.
        """
        if not machine.heartbeat_received or machine.deleting:
            return False
        return machine.unacknowledged_answers >= MAX_UNACKNOWLEDGED_ANSWERS or (
            not machine.acknowledged_term and now - machine.first_heartbeat_at > self.lease_s
        )

    def is_schedulable(self, machine: Machine, now: float) -> bool:
        """Whether tasks may be placed on the machine now."""
        return (
            machine.heartbeat_received
            and now - machine.last_heartbeat_at <= self.heartbeat_interval_s * UNRESPONSIVE_INTERVALS
            and machine.is_reachable
            and not machine.deleting
            and machine.reclaim_at is None
            and machine.quarantined_until <= now
        )

    def is_lease_expired(self, machine: Machine, now: float, fenced_at: float | None) -> bool:
        """Whether the worker's lease has ended and nobody can have renewed it.

        ``fenced_at`` is when a majority of controllers had acknowledged this leader's term and the
        last support for an older one had run out; without it an older leader might still be
        answering the worker, so that the lease proves nothing.
        """
        if fenced_at is None:
            return False
        return now - max(machine.last_answer_at, fenced_at) > self.max_lease_s
