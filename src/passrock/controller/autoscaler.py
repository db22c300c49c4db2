"""The number of machines: scale-out for waiting jobs and the zone buffer, scale-in of idle machines."""

from __future__ import annotations

import math
from typing import NamedTuple

from passrock.controller.provisioner import Provisioner
from passrock.core.inventory import MachineInventory
from passrock.core.job import Job
from passrock.core.job_table import JobTable
from passrock.core.machine import Machine
from passrock.core.machine_catalog import MachineCatalog
from passrock.core.model import JobKind, Priority
from passrock.core.preemption import Preemption
from passrock.core.scale_in import plan_scale_in
from passrock.core.scale_out import plan_scale_out
from passrock.core.scheduler import Scheduler
from passrock.core.zone_loss import worst_zone_loss, zone_loss_shortfall
from passrock.logs import info
from passrock.settings import Settings


class ZoneGpus(NamedTuple):
    """GPUs of on-demand machines by zone."""

    production: dict[str, float]
    """Used by production tasks, times the share of them that must survive the loss of a zone."""
    available: dict[str, float]
    """Available to production tasks: idle, or used by tasks that can be preempted."""


class Autoscaler:
    """Plans scale-out and scale-in from the jobs that the last scheduling pass left waiting."""

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
        """Scale out for the waiting jobs and for the zone buffer; scale in when no job waits."""
        gpus = self._zone_gpus()
        self._scale_out(queue, gpus, now)
        if not queue and not self._is_any_gang_restarting():
            self._scale_in(gpus, now)

    def _scale_out(self, queue: list[Job], gpus: ZoneGpus, now: float) -> None:
        # a gang for which preempted tasks are still stopping gets their capacity
        unserved = [
            job
            for job in queue
            if job.spec.kind is not JobKind.GANG or not self.preemption.is_stopping_victims_for(job)
        ]
        machine_counts = plan_scale_out(
            unserved,
            self.job_table,
            self.inventory,
            self.settings.teams,
            self.catalog,
            self.scheduler.objectives,
            now,
        )
        worst = worst_zone_loss(gpus.production, gpus.available, self.settings.zones)
        if worst.shortfall > 0:
            offering = self.catalog.buffer_offering(gpus.available, worst.zone, now)
            if offering is not None and offering not in machine_counts:
                gpus_per_machine = self.catalog.types[offering.machine_type].capacity.gpus
                machine_counts[offering] = math.ceil(worst.shortfall / gpus_per_machine)
        for offering, count in machine_counts.items():
            self.provisioner.provision(offering, count)

    def _scale_in(self, gpus: ZoneGpus, now: float) -> None:
        """Delete idle machines, except those that the buffer for a lost zone needs."""
        operator = self.settings.operator
        idle_timeout_s = {
            name: max(operator.idle_floor_s, operator.idle_boot_ratio * machine_type.boot_s)
            for name, machine_type in self.catalog.types.items()
        }
        for machine in plan_scale_in(self.inventory, self.job_table, idle_timeout_s, now):
            shortfall = zone_loss_shortfall(gpus.production, gpus.available, self.settings.zones)
            gpus.available[machine.zone] -= machine.type.capacity.gpus
            remaining = zone_loss_shortfall(gpus.production, gpus.available, self.settings.zones)
            if not machine.spot and remaining > shortfall:
                gpus.available[machine.zone] += machine.type.capacity.gpus  # kept for the buffer
                continue
            info("machine_scaled_in", machine=machine.name)
            self.provisioner.deprovision(machine)

    def _is_any_gang_restarting(self) -> bool:
        """Whether a gang waits for the end of its last attempt, and so needs its machines again.

        A gang with tasks on machines that are cut off is in no queue, so that its other machines would be deleted.
        """
        return any(
            job.spec.kind is JobKind.GANG and job.attempt_count > 0 and job.waiting_count > 0 and not job.cancelled
            for job in self.job_table.jobs.values()
        )

    def _zone_gpus(self) -> ZoneGpus:
        gpus = ZoneGpus(dict.fromkeys(self.settings.zones, 0.0), dict.fromkeys(self.settings.zones, 0.0))
        for machine in self.inventory.machines.values():
            if machine.deleting or machine.spot or machine.zone not in gpus.available:
                continue
            production = self._production_gpus(machine)
            gpus.production[machine.zone] += production * self.settings.operator.buffer_share
            gpus.available[machine.zone] += machine.type.capacity.gpus - production
        return gpus

    def _production_gpus(self, machine: Machine) -> float:
        attempts = self.job_table.attempts_on(machine.name)
        return sum(
            attempt.job.spec.resources.gpus
            for attempt in attempts
            if attempt.job.spec.priority is Priority.PRODUCTION
        )
