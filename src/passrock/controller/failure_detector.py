"""The leader's failure detector: silent, unreachable, faulty and late machines, and leases that have ended."""

from __future__ import annotations

from collections import deque

from passrock.controller.leadership import Leadership
from passrock.controller.provisioner import Provisioner
from passrock.core.inventory import MachineInventory
from passrock.core.jobs import JobTable
from passrock.core.machine import Machine
from passrock.core.machine_health import WORKER_WAIT_S
from passrock.core.model import Priority
from passrock.core.preemption import drain
from passrock.logs import info
from passrock.settings import Settings

ABDICATE_PART = 6  # more than a sixth of the fleet at other controllers: this one's own connections have failed
CROWD, CROWD_LEAST = 8, 4  # silent machines above an eighth of the fleet, and four, are a crowd:
CROWD_PATIENCE = 0.9  # of the lease, which by then has all but ended, before one of a crowd with replicas is given up
CLEAR_PART = 0.5  # of cancel_s, before a silent machine with tasks of a cancelled job is deleted
DEATH_SHOWN_S = 30.0  # until the cloud's list shows a machine that died as failed


class FailureDetector:
    """Decides which machines have failed, by the evidence that their reports give."""

    def __init__(
        self,
        settings: Settings,
        job_table: JobTable,
        inventory: MachineInventory,
        leadership: Leadership,
        provisioner: Provisioner,
    ) -> None:
        self.settings = settings
        self.job_table = job_table
        self.inventory = inventory
        self.leadership = leadership
        self.provisioner = provisioner
        self.given_up: deque[float] = deque()  # when machines were given up for silent, over the last lease

    def evaluate(self, now: float) -> None:
        """Take note of silence, deafness and ends of leases; have machines deleted that won't serve again."""
        inventory = self.inventory
        self.clear_cancelled(now)
        inventory.health.discovery_s = WORKER_WAIT_S if self.leadership.peer_hangs() else 0.0
        # a machine that holds tasks of an earlier term counts too, though it may never report in this one
        up = [
            m
            for m in inventory.machines.values()
            if not m.deleting and (m.registered or m.name in self.job_table.attempts_by_machine)
        ]
        if self._silence(up, now):
            return
        self._delete_deaf(up, now)
        for machine in up:
            self._end_lease(machine, now)
            self._release(machine)
        self._delete_late(now)
        if now - inventory.health.observing_since > 2 * inventory.health.unresponsive_s:
            self._resolve_unlisted()

    def _delete_deaf(self, up: list[Machine], now: float) -> None:
        """Machines that no answer reaches go, unless they are so many that the cause lies elsewhere."""
        deaf = [machine for machine in up if self.inventory.health.is_unreachable_inbound(machine, now)]
        if len(deaf) * 2 > len(up) + 2:
            return
        for machine in deaf:
            info(
                "machine_unreachable_inbound",
                machine=machine.name,
                unacknowledged_answers=machine.unacknowledged_answers,
            )
            self.provisioner.delete(machine)

    def _end_lease(self, machine: Machine, now: float) -> None:
        """Free the tasks of a machine whose lease nobody can have renewed."""
        if machine.name not in self.job_table.attempts_by_machine:
            return
        if not self.inventory.health.is_lease_expired(machine, now, self.leadership.fenced_at):
            return
        lost = self.job_table.lease_expired(machine.name, now)
        if lost:
            info("worker_lease_expired", machine=machine.name, tasks=lost)

    def _release(self, machine: Machine) -> None:
        """Give back a machine that is taken soon and is empty; empty a faulty one, and give it back then."""
        if (
            machine.reclaim_at is not None
            and machine.name not in self.job_table.attempts_by_machine
            and not machine.orphans
        ):
            self.provisioner.delete(machine)
        failures = self.job_table.failures_against(machine) if machine.failed_jobs else 0
        if failures <= 1:
            return
        info("machine_cordoned", machine=machine.name, jobs=failures)
        drain(self.job_table, machine.name)
        if machine.name not in self.job_table.attempts_by_machine:
            self.provisioner.delete(machine)

    def _delete_late(self, now: float) -> None:
        """Machines that should have come up long ago are charged for nothing."""
        for machine in list(self.inventory.machines.values()):
            if self.inventory.health.boot_timed_out(machine, now):
                info("machine_boot_timed_out", machine=machine.name, age=round(now - machine.requested_at))
                self.provisioner.delete(machine)

    def _resolve_unlisted(self) -> None:
        """Machines of records that neither the cloud's list nor a report shows: make sure that they are gone."""
        for name in list(self.job_table.attempts_by_machine):
            if name not in self.inventory.machines and name not in self.inventory.deleted:
                self.provisioner.delete_unknown(name)
            elif name in self.inventory.deleted:
                self.provisioner.on_machine_lost(name)

    def clear_cancelled(self, now: float) -> None:
        """Have machines deleted that may hold tasks of cancelled jobs and don't report, before the time is up.

        A hung machine holds its tasks beyond its lease, until it wakes or is gone. Neither a crowd's patience nor
        an outage of the state service changes that.
        """
        due = now - self.settings.cancel_s * CLEAR_PART
        for job in self.job_table.cancelled.values():
            if job.cancelled_at > due:
                continue
            for attempt in list(job.attempts()):
                machine = self.inventory.machines.get(attempt.machine)
                if machine is None or machine.deleting or not self.inventory.health.is_unresponsive(machine, now):
                    continue
                info(
                    "cancelled_task_unreachable",
                    machine=machine.name,
                    job=job.spec.id,
                    after_s=round(now - job.cancelled_at, 1),
                )
                self.provisioner.delete(machine)

    def _silence(self, up: list[Machine], now: float) -> bool:
        """Give up what has been silent for too long; True when the fault lies here and the leader made way."""
        inventory = self.inventory
        silent = [m for m in up if inventory.health.is_unresponsive(m, now)]
        while self.given_up and now - self.given_up[0] > self.settings.lease_s:
            self.given_up.popleft()
        # machines report at different moments: those that are late already, and those just given up, count as well
        missing = sum(inventory.health.is_heartbeat_overdue(m, now) for m in up) + len(self.given_up)
        limit = max(CROWD_LEAST, (len(up) + len(self.given_up)) / CROWD)
        crowd = missing > limit
        if len(silent) > limit and self.leadership.workers_elsewhere() * ABDICATE_PART > len(up):
            # cut off from the workers alone: the state service and the peers don't show it
            self.leadership.abdicate()
            return True
        if len(silent) * 2 <= len(up) + 2:
            for machine in silent:
                quiet = now - inventory.health.last_seen_at(machine)
                machine.in_correlated_outage = machine.in_correlated_outage or crowd
                if machine.in_correlated_outage and now - max(
                    machine.last_heartbeat_at, inventory.health.observing_since
                ) < self._crowd_patience(machine):
                    continue  # one cause for many may pass, or lie here
                if missing > limit / 2 and quiet < inventory.health.unresponsive_s + self.settings.report_s:
                    continue  # may be the first ones of a crowd
                if (
                    machine.name in self.job_table.attempts_by_machine
                    or now - machine.last_heartbeat_at > self.settings.lease_s
                ):
                    info(
                        "machine_heartbeat_missed",
                        machine=machine.name,
                        for_s=round(now - machine.last_heartbeat_at, 1),
                    )
                    self.given_up.append(now)
                    self.provisioner.delete(machine)
        return False

    def _crowd_patience(self, machine: Machine) -> float:
        """How long one of a crowd of silent machines is waited for.

        A lease's end frees its tasks, and those cut off come back warm, sooner than new ones would boot. By the
        end of the time the cloud's list shows which have died. Replicas must be up again before: their machines
        are given up as the leases end, which frees them without waiting for the last doubt.
        """
        attempts = self.job_table.attempts_by_machine.get(machine.name, {}).values()
        if any(attempt.job.spec.priority is Priority.PRODUCTION for attempt in attempts):
            return self.settings.lease_s * CROWD_PATIENCE
        return self.inventory.health.return_timeout_s(machine) + DEATH_SHOWN_S + 2 * self.settings.list_lag_s
