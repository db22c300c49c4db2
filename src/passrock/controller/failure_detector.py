"""The leader's failure detector: unresponsive, unreachable and faulty machines, boot timeouts and expired leases."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from passrock.controller.leadership import Leadership
from passrock.controller.provisioner import Provisioner
from passrock.controller.term_fence import TermFence
from passrock.core.graceful_stop import drain_machine
from passrock.core.interface_times import WORKER_REQUEST_TIMEOUT_S
from passrock.core.inventory import MachineInventory
from passrock.core.job_table import JobTable
from passrock.core.machine import Machine
from passrock.core.model import Priority
from passrock.io.peers import PeerTable
from passrock.logs import info
from passrock.settings import Settings

# If more than a sixth of the workers have contacted other controllers, this leader's own connections have failed.
CUT_OFF_WORKERS_DIVISOR = 6
# An outage of more than an eighth of the cluster, and of more than four machines, is treated as having one cause.
CORRELATED_OUTAGE_DIVISOR = 8
CORRELATED_OUTAGE_MIN_MACHINES = 4
# Added to the cluster size, so that two failed machines in a small cluster are not a majority.
MAJORITY_MARGIN_MACHINES = 2
# In a correlated outage, machines with production tasks are deleted after this part of the lease, near its end.
PRODUCTION_OUTAGE_LEASE_RATIO = 0.9
# An unresponsive machine with tasks of a cancelled job is deleted after this part of cancel_s.
CANCELLED_TASK_TIMEOUT_RATIO = 0.5
# After this many heartbeat intervals without a peer's answer, workers may be waiting for that peer too.
PEER_UNRESPONSIVE_HEARTBEATS = 0.5
# Delay until the cloud's list shows a machine that died as failed.
FAILURE_LISTING_DELAY_S = 30.0
# If tasks of this many jobs failed on one machine, the machine counts as faulty.
CORDON_MIN_FAILED_JOBS = 2


class OutageAssessment(NamedTuple):
    """The unresponsive machines, and whether they are likely to have one cause.

    Attributes:
        unresponsive: machines that have missed heartbeats for too long.
        missing: the number of machines whose heartbeat is overdue, or that were deleted as unresponsive within the
            last lease. Machines send their heartbeats at different times, so counting unresponsive machines alone
            would detect an outage too late.
        threshold: up to this many missing machines are treated as independent failures.
        monitored: the number of machines that were assessed.
    """

    unresponsive: list[Machine]
    missing: int
    threshold: float
    monitored: int

    @property
    def is_correlated(self) -> bool:
        """Whether so many machines are missing that they have one cause, perhaps temporary or this leader's own."""
        return self.missing > self.threshold

    @property
    def is_emerging(self) -> bool:
        """Whether the missing machines may be the first of a correlated outage."""
        return self.missing > self.threshold / 2

    @property
    def is_majority(self) -> bool:
        """Whether most machines are unresponsive, in which case none is deleted."""
        return _is_majority_of_cluster(len(self.unresponsive), self.monitored)


def _is_majority_of_cluster(count: int, monitored: int) -> bool:
    """Whether ``count`` is a majority, with a margin for small clusters, where two machines can fail together."""
    return count * 2 > monitored + MAJORITY_MARGIN_MACHINES


class FailureDetector:
    """Detects failed machines by their heartbeats and requests their deletion.

    Args:
        settings: the node's settings.
        job_table: the jobs; tasks are released in it when the lease of their machine expires.
        inventory: the machines.
        leadership: resigned when the leader itself is cut off from the workers.
        fence: the time since which no older leader can have renewed a worker's lease.
        peers: their heartbeats show whether only this leader is cut off from the workers.
        provisioner: deletes failed machines.
        on_machine_lost: called with the name of a deleted machine that still has attempts in the job table.
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
        self._deleted_unresponsive_at: deque[float] = deque()  # monotonic times, within the last lease

    def evaluate(self, now: float) -> None:
        """Assess all machines: release tasks whose lease has expired, and request the deletion of failed machines."""
        self.delete_machines_with_cancelled_tasks(now)
        peer_unresponsive = self.peers.any_unresponsive(now, self.settings.report_s * PEER_UNRESPONSIVE_HEARTBEATS)
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

    def delete_machines_with_cancelled_tasks(self, now: float) -> None:
        """Delete unresponsive machines that may hold tasks of cancelled jobs, before ``cancel_s`` has passed.

        A hung machine keeps its tasks beyond its lease, until it resumes or is deleted. So these machines are
        deleted even during a correlated outage or an outage of the key-value store.
        """
        cancelled_before = now - self.settings.cancel_s * CANCELLED_TASK_TIMEOUT_RATIO
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
        """Return the machines that are expected to send heartbeats.

        They include machines with tasks of an earlier term, which may never send a heartbeat in this term.
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
        """Whether only this leader is cut off from the workers, even if it still reaches the store and its peers."""
        return (
            len(outage.unresponsive) > outage.threshold
            and self.peers.redirected_workers(now) * CUT_OFF_WORKERS_DIVISOR > outage.monitored
        )

    def _delete_unresponsive(self, outage: OutageAssessment, now: float) -> None:
        for machine in outage.unresponsive:
            machine.in_correlated_outage = machine.in_correlated_outage or outage.is_correlated
            if self._may_recover(machine, outage, now):
                continue
            since_heartbeat_s = now - machine.last_heartbeat_at
            if machine.name in self.job_table.attempts_by_machine or since_heartbeat_s > self.settings.lease_s:
                info("machine_heartbeat_missed", machine=machine.name, for_s=round(since_heartbeat_s, 1))
                self._deleted_unresponsive_at.append(now)
                self.provisioner.deprovision(machine)

    def _may_recover(self, machine: Machine, outage: OutageAssessment, now: float) -> bool:
        """Whether to wait for an unresponsive machine, as a part of an outage or possibly as the first of one."""
        if machine.in_correlated_outage:
            outage_s = now - max(machine.last_heartbeat_at, self.health.observing_since)
            if outage_s < self._outage_timeout_s(machine):
                return True
        since_seen_s = now - self.health.last_seen_at(machine)
        return outage.is_emerging and since_seen_s < self.health.unresponsive_after_s + self.settings.report_s

    def _outage_timeout_s(self, machine: Machine) -> float:
        """Return how long to wait for a machine in a correlated outage.

        Tasks are released when the lease expires, and machines that were cut off return with their images cached,
        sooner than new ones would boot. By the end of the time-out the cloud's list shows which machines have died.
        Production tasks must run again sooner: their machines are deleted just before the lease ends, since a
        confirmed deletion releases the tasks without the lease's safety margins.
        """
        attempts = self.job_table.attempts_on(machine.name)
        if any(attempt.job.spec.priority is Priority.PRODUCTION for attempt in attempts):
            return self.settings.lease_s * PRODUCTION_OUTAGE_LEASE_RATIO
        return self.health.return_timeout_s(machine) + FAILURE_LISTING_DELAY_S + 2 * self.settings.list_lag_s

    # -- other failures -----------------------------------------------------------------------------

    def _delete_unreachable_inbound(self, monitored: list[Machine], now: float) -> None:
        """Delete machines that answers do not reach, unless they are a majority: then the cause is elsewhere."""
        unreachable = [machine for machine in monitored if self.health.is_unreachable_inbound(machine, now)]
        if _is_majority_of_cluster(len(unreachable), len(monitored)):
            return
        for machine in unreachable:
            info(
                "machine_unreachable_inbound",
                machine=machine.name,
                unacknowledged_answers=machine.unacknowledged_answers,
            )
            self.provisioner.deprovision(machine)

    def _expire_lease(self, machine: Machine, now: float) -> None:
        """Release the tasks of a machine whose lease has expired and cannot have been renewed by anyone."""
        if machine.name not in self.job_table.attempts_by_machine:
            return
        if not self.health.is_lease_expired(machine, now, self.fence.effective_at):
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
        """Delete machines that are long overdue with their first heartbeat: they cost money and run nothing."""
        for machine in list(self.inventory.machines.values()):
            if self.health.boot_timed_out(machine, now):
                info("machine_boot_timed_out", machine=machine.name, age=round(now - machine.requested_at))
                self.provisioner.deprovision(machine)

    def _resolve_unlisted(self) -> None:
        """Resolve machines that have attempts in the job table but are not in the inventory.

        A machine that neither the cloud's list nor a heartbeat has shown is deleted; a deleted one is reported lost.
        """
        for name in list(self.job_table.attempts_by_machine):
            if name not in self.inventory.machines and name not in self.inventory.deleted:
                self.provisioner.deprovision_by_name(name)
            elif name in self.inventory.deleted:
                self.on_machine_lost(name)
