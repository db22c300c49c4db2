"""The inventory: all machines of one leader term with their heartbeats, and the names of deleted machines."""

from __future__ import annotations

from passrock.core.machine import Machine
from passrock.core.machine_health import MachineHealth
from passrock.core.messages import WorkerHeartbeat
from passrock.core.model import MachineType

# Names of deleted machines that are kept: far more than an outdated list of the cloud can still contain.
MAX_DELETED_NAMES = 10_000
# An incarnation that lasts for this many leases after an unacknowledged answer must have received later answers.
ACKNOWLEDGEMENT_LEASES = 2


class MachineInventory:
    """The machines of one leader term.

    Attributes:
        machines: by name, all machines whose deletion is not confirmed.
        deleted: by name, when the deletion of a machine was confirmed; an outdated list or heartbeat must not add it
            again.
        image_hints: images by machine, from an earlier leader's records, until the machine is added.
    """

    def __init__(self, health: MachineHealth, term: int) -> None:
        self.health = health
        self.term = term
        self.machines: dict[str, Machine] = {}
        self.deleted: dict[str, float] = {}
        self.image_hints: dict[str, dict[str, float]] = {}

    def add(
        self, name: str, machine_type: MachineType, zone: str, *, spot: bool, now: float, age_s: float = 0.0
    ) -> Machine:
        """Return the machine of this name; add one that was created ``age_s`` seconds ago if there is none."""
        machine = self.machines.get(name)
        if machine is None:
            created_at = now - age_s
            machine = Machine(name, machine_type, zone, spot=spot, requested_at=created_at)
            # a machine older than this term could send heartbeats to this leader only since the term began
            machine.last_heartbeat_at = max(self.health.observing_since, created_at)
            machine.last_answer_at = now
            machine.images.update(self.image_hints.pop(name, {}))
            self.machines[name] = machine
        return machine

    def observe(self, heartbeat: WorkerHeartbeat, machine_type: MachineType, now: float) -> Machine | None:
        """Record a heartbeat.

        Returns:
            The machine, or None when the heartbeat is outdated or the machine was deleted.
        """
        if heartbeat.machine in self.deleted:
            return None
        machine = self.add(heartbeat.machine, machine_type, heartbeat.zone, spot=heartbeat.spot, now=now)
        if self._is_outdated(heartbeat, machine, now):
            return None
        # the first heartbeat after missing heartbeats may have been delayed, so that its answer reaches no worker
        machine.on_probation = machine.heartbeat_received and self.health.is_unresponsive(machine, now)
        if not machine.heartbeat_received:
            machine.heartbeat_received = True
            machine.first_heartbeat_at = machine.idle_since = now
        elif heartbeat.incarnation > machine.incarnation and now - machine.last_answer_at < self.health.lease_s:
            # the worker's lease expired although its heartbeats were answered
            machine.record_unacknowledged_answer(now)
        if (
            heartbeat.incarnation == machine.incarnation
            and now - machine.last_unacknowledged_at > ACKNOWLEDGEMENT_LEASES * self.health.max_lease_s
        ):
            # an incarnation lasts longer than a lease only if answers arrive again
            machine.unacknowledged_answers = 0
        machine.acknowledged_term = machine.acknowledged_term or heartbeat.token == self.term
        machine.incarnation, machine.sequence = heartbeat.incarnation, heartbeat.sequence
        machine.last_heartbeat_at = now
        machine.in_correlated_outage = False
        if heartbeat.reclaim_in_s is not None:
            machine.reclaim_at = now + heartbeat.reclaim_in_s
        return machine

    def _is_outdated(self, heartbeat: WorkerHeartbeat, machine: Machine, now: float) -> bool:
        """Whether a newer heartbeat has already been recorded, or this one must have been delayed.

        If the lease of the heartbeat's incarnation has expired, the worker is in a later incarnation by now.
        """
        if (heartbeat.incarnation, heartbeat.sequence) <= (machine.incarnation, machine.sequence):
            return True
        return (
            machine.heartbeat_received
            and heartbeat.incarnation == machine.incarnation
            and now - machine.last_answer_at > self.health.max_lease_s
        )

    def load_image_hints(self, images_by_machine: dict[str, dict[str, float]]) -> None:
        """Keep an earlier leader's hints; a machine gets its images when it is added."""
        self.image_hints.update(images_by_machine)

    def record_deleted(self, name: str, now: float) -> None:
        """Remove a machine whose deletion the cloud has confirmed."""
        self.machines.pop(name, None)
        self.deleted[name] = now
        while len(self.deleted) > MAX_DELETED_NAMES:
            self.deleted.pop(next(iter(self.deleted)))
