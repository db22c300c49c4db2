"""How many machines the fleet has: what is rented for waiting jobs, and which idle machines go back."""

from __future__ import annotations

import math

from passrock.controller.provisioner import Provisioner
from passrock.core.inventory import MachineInventory
from passrock.core.job import Job
from passrock.core.job_table import JobTable
from passrock.core.model import JobKind, Priority
from passrock.core.preemption import Preemption
from passrock.core.reservation import zone_gap
from passrock.core.scaling import MachineCatalog, plan_scale_in, plan_scale_out
from passrock.core.scheduler import Scheduler
from passrock.logs import info
from passrock.settings import Settings


class Autoscaler:
    """Plans rentals and returns from what the last placement pass left waiting."""

    def __init__(
        self,
        settings: Settings,
        job_table: JobTable,
        inventory: MachineInventory,
        catalog: MachineCatalog,
        scheduler: Scheduler,
        preemption: Preemption,
        provisioner: Provisioner,
    ) -> None:
        self.settings = settings
        self.job_table = job_table
        self.inventory = inventory
        self.catalog = catalog
        self.scheduler = scheduler
        self.preemption = preemption
        self.provisioner = provisioner

    def adjust(self, queue: list[Job], now: float) -> None:
        """Rent for the waiting jobs and for the buffer; give back what nobody needs."""
        lacking = [
            job for job in queue if job.spec.kind is not JobKind.GANG or not self.preemption.is_stopping_for(job)
        ]
        wanted = plan_scale_out(
            lacking, self.job_table, self.inventory, self.settings.teams, self.catalog, self.scheduler.objectives, now
        )
        production, room = self._zone_rooms()
        gap = zone_gap(production, room, self.settings.zones)
        if gap > 0:
            offer = self.catalog.buffer_offer(room, now)
            if offer is not None and offer not in wanted:
                wanted[offer] = math.ceil(gap / self.catalog.types[offer.type].size.gpus)
        for offer, count in wanted.items():
            self.provisioner.rent(offer, count)
        if not queue and not self._broken_gangs():
            self._give_back(production, room, now)

    def _give_back(self, production: dict[str, float], room: dict[str, float], now: float) -> None:
        """Return idle machines, but for those that the buffer for a lost zone needs."""
        operator = self.settings.operator
        patience = {
            name: max(operator.idle_floor_s, operator.idle_boot_ratio * kind.boot_s)
            for name, kind in self.catalog.types.items()
        }
        for machine in plan_scale_in(self.inventory, self.job_table, patience, now):
            room[machine.zone] -= machine.type.size.gpus
            if not machine.spot and zone_gap(production, room, self.settings.zones) > 0:
                room[machine.zone] += machine.type.size.gpus  # part of the buffer for a lost zone
                continue
            info("machine_scaled_in", machine=machine.name)
            self.provisioner.delete(machine)

    def _broken_gangs(self) -> bool:
        """Whether a gang waits for the last of its old attempt to be gone: it needs the room of its mates again.

        Gangs with tasks on machines that were cut off were in no queue, and the machines of the others went back.
        """
        return any(
            job.spec.kind is JobKind.GANG and job.attempt_count > 0 and job.waiting > 0 and not job.cancelled
            for job in self.job_table.jobs.values()
        )

    def _zone_rooms(self) -> tuple[dict[str, float], dict[str, float]]:
        """GPUs of production work in each zone, and those it could take there: idle ones or lent ones."""
        production = dict.fromkeys(self.settings.zones, 0.0)
        room = dict.fromkeys(self.settings.zones, 0.0)
        for machine in self.inventory.machines.values():
            if machine.deleting or machine.spot or machine.zone not in room:
                continue
            mine = sum(
                attempt.job.spec.resources.gpus
                for attempt in self.job_table.attempts_on(machine.name)
                if attempt.job.spec.priority is Priority.PRODUCTION
            )
            production[machine.zone] += mine * self.settings.operator.buffer_share
            room[machine.zone] += machine.type.size.gpus - mine
        return production, room
