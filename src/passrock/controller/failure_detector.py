"""The leader's failure detector: unresponsive, unreachable and faulty machines, boot timeouts and expired leases."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from passrock.controller.leadership import Leadership
from passrock.controller.provisioner import Provisioner
from passrock.controller.term_fence import TermFence
from passrock.core.graceful_stop import drain_machine
from passrock.core.inventory import MachineInventory
from passrock.core.job_table import JobTable
from passrock.core.machine import Machine
from passrock.core.machine_health import WORKER_REQUEST_TIMEOUT_S
from passrock.core.model import Priority
from passrock.io.peers import PeerTable
from passrock.logs import info
from passrock.settings import Settings

# More than a sixth of the cluster at other controllers: this one's own connections have failed.
CUT_OFF_WORKERS_DIVISOR = 6
# An outage of more than an eighth of the cluster, and of more than four machines, is taken to have one cause.
CORRELATED_OUTAGE_DIVISOR = 8
CORRELATED_OUTAGE_MIN_MACHINES = 4
# Added to twice the majority, so that two failures in a small cluster are no majority.
SMALL_CLUSTER_ALLOWANCE = 2
# Part of the lease for which machines with replicas are waited for in such an outage: by then it has all but ended.
REPLICA_OUTAGE_LEASE_RATIO = 0.9
# Part of cancel_s after which an unresponsive machine with tasks of a cancelled job is deleted.
CANCELLED_TASK_RATIO = 0.5
# Heartbeat intervals without an answer of a peer after which workers may be waiting for that peer.
PEER_UNRESPONSIVE_INTERVALS = 0.5
# Until the cloud's list shows a machine that died as failed.
FAILURE_LISTED_S = 30.0
# Jobs whose tasks failed on one machine from which on the machine is at fault.
CORDON_MIN_FAILED_JOBS = 2


class OutageAssessment(NamedTuple):
    """The unresponsive machines, and whether they have one cause.

    Attributes:
        unresponsive: machines that have missed heartbeats for too long.
        missing: how many are overdue, or were deleted as unresponsive within the last lease. Machines send their
            heartbeats at different moments, so that an outage shows only when these are counted too.
        threshold: the most of them that are taken for independent failures.
        monitored: how many machines were looked at.
    """

    unresponsive: list[Machine]
    missing: int
    threshold: float
    monitored: int

    @property
    def is_correlated(self) -> bool:
        """Whether so many are missing that they have one cause, which may pass or lie with this leader."""
        return self.missing > self.threshold

    @property
    def is_emerging(self) -> bool:
        """Whether the missing ones may be the first of a correlated outage."""
        return self.missing > self.threshold / 2

    @property
    def is_majority(self) -> bool:
        """Whether most machines are unresponsive: then none is deleted."""
        return _is_most_of_cluster(len(self.unresponsive), self.monitored)


def _is_most_of_cluster(count: int, monitored: int) -> bool:
    """More than half; a few more in a small cluster, where two machines may well fail at the same time."""
    return count * 2 > monitored + SMALL_CLUSTER_ALLOWANCE


class FailureDetector:
    """Decides from their heartbeats which machines have failed, and has them deleted.

    Args:
        settings: the node's settings.
        job_table: tasks of failed machines are freed here as their leases expire.
        inventory: the machines.
        leadership: given up when the failure is this node's own.
        fence: says since when no older leader can have renewed a worker's lease.
        peers: show whether this leader alone is cut off from the workers.
        provisioner: deletes failed machines.
        on_machine_lost: called with the name of a machine that holds attempts although it was deleted.
    """

    def __init__(
        self,
        settings: Settings,
        job_table: JobTable,
        inventory: MachineInventory,
        leadership: Leadership,
        fence: TermFence,
        peers: PeerTable,
        provisioner: Provisioner,
        on_machine_lost: Callable[[str], None],
    ) -> None:
        self.settings = settings
        self.job_table = job_table
        self.inventory = inventory
        self.health = inventory.health
        self.leadership = leadership
        self.fence = fence
        self.peers = peers
        self.provisioner = provisioner
        self.on_machine_lost = on_machine_lost
        self._deleted_unresponsive_at: deque[float] = deque()  # over the last lease

    def evaluate(self, now: float) -> None:
        """Judge all machines by their heartbeats: free tasks of expired leases, have failed machines deleted."""
        self.delete_with_cancelled_tasks(now)
        peer_unresponsive = self.peers.any_unresponsive(now, self.settings.report_s * PEER_UNRESPONSIVE_INTERVALS)
        self.health.discovery_s = WORKER_REQUEST_TIMEOUT_S if peer_unresponsive else 0.0
        monitored = self._monitored()
        outage = self._assess_outage(monitored, now)
        if self._is_cut_off(outage, now):
            self.leadership.resign()
            return
        if not outage.is_majority:
            self._delete_unresponsive(outage, now)
        self._delete_unreachable_inbound(monitored, now)
        for machine in monitored:
            self._expire_lease(machine, now)
            self._delete_reclaimed(machine)
            self._cordon_faulty(machine)
        self._delete_boot_timed_out(now)
        if now - self.health.observing_since > 2 * self.health.unresponsive_after_s:
            self._resolve_unlisted()

    def delete_with_cancelled_tasks(self, now: float) -> None:
        """Delete unresponsive machines that may hold tasks of cancelled jobs, before ``cancel_s`` is over.

        A hung machine holds its tasks beyond its lease, until it wakes or is deleted. Neither a correlated outage
        nor one of the key-value store changes that.
        """
        cancelled_before = now - self.settings.cancel_s * CANCELLED_TASK_RATIO
        for job in self.job_table.cancelled.values():
            if job.cancelled_at > cancelled_before:
                continue
            for attempt in list(job.attempts()):
                machine = self.inventory.machines.get(attempt.machine)
                if machine is None or machine.deleting or not self.health.is_unresponsive(machine, now):
                    continue
                info(
                    "cancelled_task_unreachable",
                    machine=machine.name,
                    job=job.spec.id,
                    after_s=round(now - job.cancelled_at, 1),
                )
                self.provisioner.deprovision(machine)

    def _monitored(self) -> list[Machine]:
        """Machines that should send heartbeats.

        One that holds tasks of an earlier term counts too, though it may never send any in this one.
        """
        with_attempts = self.job_table.attempts_by_machine
        return [
            machine
            for machine in self.inventory.machines.values()
            if not machine.deleting and (machine.heartbeat_received or machine.name in with_attempts)
        ]

    # -- unresponsive machines ----------------------------------------------------------------------

    def _assess_outage(self, monitored: list[Machine], now: float) -> OutageAssessment:
        deleted_at = self._deleted_unresponsive_at
        while deleted_at and now - deleted_at[0] > self.settings.lease_s:
            deleted_at.popleft()
        overdue = sum(self.health.is_heartbeat_overdue(machine, now) for machine in monitored)
        return OutageAssessment(
            unresponsive=[machine for machine in monitored if self.health.is_unresponsive(machine, now)],
            missing=overdue + len(deleted_at),
            threshold=max(
                CORRELATED_OUTAGE_MIN_MACHINES, (len(monitored) + len(deleted_at)) / CORRELATED_OUTAGE_DIVISOR
            ),
            monitored=len(monitored),
        )

    def _is_cut_off(self, outage: OutageAssessment, now: float) -> bool:
        """Whether this leader alone is cut off from the workers, which the store and the peers don't show."""
        return (
            len(outage.unresponsive) > outage.threshold
            and self.peers.redirected_workers(now) * CUT_OFF_WORKERS_DIVISOR > outage.monitored
        )

    def _delete_unresponsive(self, outage: OutageAssessment, now: float) -> None:
        for machine in outage.unresponsive:
            machine.in_correlated_outage = machine.in_correlated_outage or outage.is_correlated
            if self._may_recover(machine, outage, now):
                continue
            unseen_s = now - machine.last_heartbeat_at
            if machine.name in self.job_table.attempts_by_machine or unseen_s > self.settings.lease_s:
                info("machine_heartbeat_missed", machine=machine.name, for_s=round(unseen_s, 1))
                self._deleted_unresponsive_at.append(now)
                self.provisioner.deprovision(machine)

    def _may_recover(self, machine: Machine, outage: OutageAssessment, now: float) -> bool:
        """Whether an unresponsive machine is waited for, as part of an outage or as the first of one."""
        if machine.in_correlated_outage:
            outage_s = now - max(machine.last_heartbeat_at, self.health.observing_since)
            if outage_s < self._outage_timeout_s(machine):
                return True
        unseen_s = now - self.health.last_seen_at(machine)
        return outage.is_emerging and unseen_s < self.health.unresponsive_after_s + self.settings.report_s

    def _outage_timeout_s(self, machine: Machine) -> float:
        """How long a machine in a correlated outage is waited for.

        The end of a lease frees the tasks, and machines that were cut off come back warm, sooner than new ones
        would boot. By the end of the time the cloud's list shows which have died. Replicas must be up again
        before: their machines are deleted as the leases end, which frees them without waiting for the last doubt.
        """
        attempts = self.job_table.attempts_on(machine.name)
        if any(attempt.job.spec.priority is Priority.PRODUCTION for attempt in attempts):
            return self.settings.lease_s * REPLICA_OUTAGE_LEASE_RATIO
        return self.health.return_timeout_s(machine) + FAILURE_LISTED_S + 2 * self.settings.list_lag_s

    # -- other failures -----------------------------------------------------------------------------

    def _delete_unreachable_inbound(self, monitored: list[Machine], now: float) -> None:
        """Delete machines that no answer reaches, unless they are so many that the cause is elsewhere."""
        unreachable = [machine for machine in monitored if self.health.is_unreachable_inbound(machine, now)]
        if _is_most_of_cluster(len(unreachable), len(monitored)):
            return
        for machine in unreachable:
            info(
                "machine_unreachable_inbound",
                machine=machine.name,
                unacknowledged_answers=machine.unacknowledged_answers,
            )
            self.provisioner.deprovision(machine)

    def _expire_lease(self, machine: Machine, now: float) -> None:
        """Free the tasks of a machine whose lease nobody can have renewed."""
        if machine.name not in self.job_table.attempts_by_machine:
            return
        if not self.health.is_lease_expired(machine, now, self.fence.confirmed_at):
            return
        lost = self.job_table.record_lease_expired(machine.name, now)
        if lost:
            info("worker_lease_expired", machine=machine.name, tasks=lost)

    def _delete_reclaimed(self, machine: Machine) -> None:
        """Delete a spot instance with a preemption notice as soon as it is empty."""
        if (
            machine.reclaim_at is not None
            and machine.name not in self.job_table.attempts_by_machine
            and not machine.orphans
        ):
            self.provisioner.deprovision(machine)

    def _cordon_faulty(self, machine: Machine) -> None:
        """Drain a machine on which tasks of several jobs failed, and delete it when it is empty."""
        failed_jobs = self.job_table.failed_job_count(machine) if machine.failed_jobs else 0
        if failed_jobs < CORDON_MIN_FAILED_JOBS:
            return
        info("machine_cordoned", machine=machine.name, jobs=failed_jobs)
        drain_machine(self.job_table, machine.name)
        if machine.name not in self.job_table.attempts_by_machine:
            self.provisioner.deprovision(machine)

    def _delete_boot_timed_out(self, now: float) -> None:
        """Delete machines that should have sent a heartbeat long ago: they are charged for nothing."""
        for machine in list(self.inventory.machines.values()):
            if self.health.boot_timed_out(machine, now):
                info("machine_boot_timed_out", machine=machine.name, age=round(now - machine.requested_at))
                self.provisioner.deprovision(machine)

    def _resolve_unlisted(self) -> None:
        """Have machines of stored records deleted that neither the cloud's list nor a heartbeat has shown."""
        for name in list(self.job_table.attempts_by_machine):
            if name not in self.inventory.machines and name not in self.inventory.deleted:
                self.provisioner.deprovision_by_name(name)
            elif name in self.inventory.deleted:
                self.on_machine_lost(name)
