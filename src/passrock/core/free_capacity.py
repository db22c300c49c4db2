"""Free capacity during a scheduling pass: schedulable machines and the resources left on them."""

from __future__ import annotations

from passrock.core.inventory import MachineInventory
from passrock.core.job import Job, smallest_request
from passrock.core.machine import Machine
from passrock.core.model import JobSpec, MachineType, Resources
from passrock.core.objectives import image_fetch_time_s


class FreeCapacity:
    """Schedulable machines and their free resources, less the allocations of the present pass.

    Attributes:
        schedulable: machines that may take tasks.
        with_capacity: schedulable machines on which the smallest waiting task fits; only a few in a busy cluster.
        zones: zones of the schedulable machines, in the order of the inventory.
        machine_types: types of the schedulable machines, by name.
    """

    def __init__(self, inventory: MachineInventory) -> None:
        self.inventory = inventory
        self.schedulable: list[Machine] = []
        self.with_capacity: list[Machine] = []
        self.zones: dict[str, None] = {}
        self.machine_types: dict[str, MachineType] = {}
        self._free: dict[str, Resources] = {}
        self._booting: list[Machine] | None = None  # determined on first use in a pass

    def begin_pass(self, now: float) -> None:
        """Clear the allocations of the last pass and find the machines that are schedulable now."""
        self._free = {}
        self.schedulable = []
        self._booting = None
        self.with_capacity = []
        self.zones = {}
        self.machine_types = {}
        for machine in self.inventory.machines.values():
            if self.inventory.health.is_schedulable(machine, now):
                self.schedulable.append(machine)
                self.zones[machine.zone] = None
                self.machine_types[machine.type.name] = machine.type

    def update_with_capacity(self, waiting: list[Job]) -> None:
        """Set ``with_capacity`` to the machines on which at least the smallest waiting task fits."""
        least = smallest_request(waiting)
        self.with_capacity = [machine for machine in self.schedulable if machine.has_capacity_for(least)]

    def booting(self, now: float) -> list[Machine]:
        """Return the machines that are expected to be schedulable soon."""
        if self._booting is None:
            health = self.inventory.health
            machines = self.inventory.machines.values()
            self._booting = [machine for machine in machines if health.is_booting(machine, now)]
        return self._booting

    def free_on(self, machine: Machine) -> Resources:
        """Return the resources that are free on the machine."""
        free = self._free.get(machine.name)
        if free is None:
            free = self._free[machine.name] = machine.free_capacity
        return free

    def allocate(self, machine: Machine, resources: Resources) -> None:
        """Allocate resources on the machine until the end of the pass or until they are released."""
        self._free[machine.name] = self.free_on(machine) - resources

    def release(self, machine: Machine, resources: Resources) -> None:
        """Undo a tentative allocation."""
        self._free[machine.name] = self.free_on(machine) + resources

    def longest_image_fetch_s(self, spec: JobSpec) -> float:
        """Return the seconds to fetch the job's image on the slowest type of the schedulable machines."""
        return max(
            (image_fetch_time_s(spec, machine_type) for machine_type in self.machine_types.values()), default=0.0
        )
