"""Health of machines by their heartbeats and answers: unresponsive, unreachable, boot timed out, lease expired."""

from __future__ import annotations

from passrock.core.interface_times import CLOCK_DRIFT_RATIO
from passrock.core.machine import UNACKNOWLEDGED_ANSWERS_LIMIT, Machine

# Of a type's usual boot time. Most machines have booted by then, and nothing is planned with the others.
USUAL_BOOT_RATIO = 1.5
# Of a type's usual boot time. Slow machines take several times as long; beyond this a boot counts as failed.
BOOT_TIMEOUT_RATIO = 3.0
# A new leader doesn't infer a failed boot from a machine's age before it has led for this many leases.
BOOT_TIMEOUT_GRACE_LEASES = 2
# Heartbeats arrive at up to 1.25 times their interval, and an answer may be delayed by another quarter of it. A
# longer gap means that a heartbeat is missing.
OVERDUE_HEARTBEATS = 1.75
# The least number of heartbeat intervals without a heartbeat after which a worker counts as unresponsive.
MIN_UNRESPONSIVE_HEARTBEATS = 2.5


def unresponsive_after(heartbeat_interval_s: float, lease_s: float, lease_ratio: float) -> float:
    """Return the seconds without a heartbeat after which a worker counts as unresponsive."""
    return max(lease_s * lease_ratio, heartbeat_interval_s * MIN_UNRESPONSIVE_HEARTBEATS)


class MachineHealth:
    """The rules by which a leader evaluates the health of its machines during one term.

    Args:
        heartbeat_interval_s: the interval at which workers send heartbeats.
        lease_s: the length of a worker's lease: the worker stops its tasks this long after the last answer that it
            received.
        lease_ratio: the fraction of a lease without heartbeats after which a worker counts as unresponsive.
        observing_since: the monotonic time from which missing heartbeats count. It is advanced when this process was
            suspended, as the process could receive nothing in that time.

    Attributes:
        unresponsive_after_s: the time without a heartbeat after which a worker counts as unresponsive.
        max_lease_s: the time since the last answer after which a worker's lease has expired by any clock.
        discovery_s: how long workers may still wait for an answer of another controller before they contact this
            leader.
    """

    def __init__(
        self, heartbeat_interval_s: float, lease_s: float, lease_ratio: float, observing_since: float
    ) -> None:
        self.heartbeat_interval_s = heartbeat_interval_s
        self.lease_s = lease_s
        self.unresponsive_after_s = unresponsive_after(heartbeat_interval_s, lease_s, lease_ratio)
        self.max_lease_s = lease_s * CLOCK_DRIFT_RATIO + heartbeat_interval_s
        self.observing_since = observing_since
        self.discovery_s = 0.0

    def is_unresponsive(self, machine: Machine, now: float) -> bool:
        """Whether no heartbeat of a machine has arrived for ``unresponsive_after_s``.

        A worker that has not contacted this leader yet may still wait for an answer of the previous leader, for which
        ``discovery_s`` is allowed.
        """
        return now - self.last_seen_at(machine) > self.unresponsive_after_s

    def is_heartbeat_overdue(self, machine: Machine, now: float) -> bool:
        """Whether a heartbeat is missing; this holds earlier than ``is_unresponsive``."""
        return now - self.last_seen_at(machine) > self.heartbeat_interval_s * OVERDUE_HEARTBEATS

    def last_seen_at(self, machine: Machine) -> float:
        """Return the time from which a machine's missing heartbeats count."""
        discovery_s = 0.0 if machine.heartbeat_received else self.discovery_s
        return max(machine.last_heartbeat_at, self.observing_since + discovery_s)

    def is_expected_back(self, machine: Machine, now: float) -> bool:
        """Whether an unresponsive machine is expected to return, so that it needs no replacement."""
        since_last_heartbeat_s = now - self.last_seen_at(machine)
        return (
            machine.heartbeat_received
            and not machine.deleting
            and self.unresponsive_after_s < since_last_heartbeat_s < self.return_timeout_s(machine)
        )

    def return_timeout_s(self, machine: Machine) -> float:
        """Return the seconds without a heartbeat after which a machine is not expected back.

        By then a new machine would have booted.
        """
        return self.lease_s + machine.type.boot_s

    def is_booting(self, machine: Machine, now: float) -> bool:
        """Whether a machine is expected to send its first heartbeat soon; a few machines never do."""
        return (
            not machine.heartbeat_received
            and not machine.deleting
            and now - machine.requested_at <= USUAL_BOOT_RATIO * machine.type.boot_s
        )

    def boot_timed_out(self, machine: Machine, now: float) -> bool:
        """Whether a machine should have sent its first heartbeat by now.

        A new leader reads older machines from the cloud's list before their workers contact it, so their age proves
        nothing until it has led for ``BOOT_TIMEOUT_GRACE_LEASES``.
        """
        if (
            machine.heartbeat_received
            or machine.deleting
            or now - self.observing_since < BOOT_TIMEOUT_GRACE_LEASES * self.lease_s
        ):
            return False
        return now - machine.requested_at > BOOT_TIMEOUT_RATIO * machine.type.boot_s + self.lease_s

    def is_unreachable_inbound(self, machine: Machine, now: float) -> bool:
        """Whether heartbeats arrive while no answer reaches the worker: the machine's inbound direction has failed.

        By its heartbeats alone such a machine looks healthy, and so does a failed one of which a delayed heartbeat
        arrives. Hence no task is placed before a heartbeat carries this term's fencing token, which the worker
        receives only in an answer.
        """
        if not machine.heartbeat_received or machine.deleting:
            return False
        return machine.unacknowledged_answers >= UNACKNOWLEDGED_ANSWERS_LIMIT or (
            not machine.acknowledged_term and now - machine.first_heartbeat_at > self.lease_s
        )

    def is_schedulable(self, machine: Machine, now: float) -> bool:
        """Whether tasks may be placed on the machine now."""
        return (
            machine.heartbeat_received
            and now - machine.last_heartbeat_at <= self.heartbeat_interval_s * MIN_UNRESPONSIVE_HEARTBEATS
            and machine.is_reachable
            and not machine.deleting
            and machine.reclaim_at is None
            and machine.quarantined_until <= now
        )

    def is_lease_expired(self, machine: Machine, now: float, fence_effective_at: float | None) -> bool:
        """Whether the worker's lease has expired and no controller can have renewed it.

        ``fence_effective_at`` is when a majority of controllers had acknowledged this leader's term and the last
        support for an older term had expired. Before that, or while it is None, an older leader may still answer the
        worker and thereby renew its lease.
        """
        if fence_effective_at is None:
            return False
        return now - max(machine.last_answer_at, fence_effective_at) > self.max_lease_s
