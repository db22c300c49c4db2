"""How many machines the fleet has: what is rented for waiting jobs, and which idle machines go back."""

from __future__ import annotations

import math

from passrock.controller.rentals import Rentals
from passrock.core.fleet import Fleet
from passrock.core.jobs import Job, JobTable
from passrock.core.model import Kind, Priority
from passrock.core.placement import Placer
from passrock.core.preemption import Preemption
from passrock.core.renting import Market, plan_rentals, plan_returns
from passrock.core.reservation import zone_gap
from passrock.logs import info
from passrock.settings import Settings


class FleetSizing:
    """Plans rentals and returns from what the last placement pass left waiting."""

    def __init__(
        self,
        settings: Settings,
        job_table: JobTable,
        fleet: Fleet,
        market: Market,
        placer: Placer,
        preemption: Preemption,
        rentals: Rentals,
    ) -> None:
        self.settings = settings
        self.job_table = job_table
        self.fleet = fleet
        self.market = market
        self.placer = placer
        self.preemption = preemption
        self.rentals = rentals

    def adjust(self, queue: list[Job], now: float) -> None:
        """Rent for the waiting jobs and for the buffer; give back what nobody needs."""
        lacking = [job for job in queue if job.spec.kind is not Kind.GANG or not self.preemption.stopping_for(job)]
        wanted = plan_rentals(
            lacking, self.job_table, self.fleet, self.settings.teams, self.market, self.placer.aims, now
        )
        production, room = self._zone_rooms()
        gap = zone_gap(production, room, self.settings.zones)
        if gap > 0:
            offer = self.market.buffer_offer(room, now)
            if offer is not None and offer not in wanted:
                wanted[offer] = math.ceil(gap / self.market.types[offer.type].size.gpus)
        for offer, count in wanted.items():
            self.rentals.rent(offer, count)
        if not queue and not self._broken_gangs():
            self._give_back(production, room, now)

    def _give_back(self, production: dict[str, float], room: dict[str, float], now: float) -> None:
        """Return idle machines, but for those that the buffer for a lost zone needs."""
        operator = self.settings.operator
        patience = {
            name: max(operator.idle_floor_s, operator.idle_boot_ratio * kind.boot_s)
            for name, kind in self.market.types.items()
        }
        for machine in plan_returns(self.fleet, self.job_table, patience, now):
            room[machine.zone] -= machine.type.size.gpus
            if not machine.spot and zone_gap(production, room, self.settings.zones) > 0:
                room[machine.zone] += machine.type.size.gpus  # part of the buffer for a lost zone
                continue
            info("machine_return", machine=machine.name)
            self.rentals.delete(machine)

    def _broken_gangs(self) -> bool:
        """Whether a gang waits for the last of its old attempt to be gone: it needs the room of its mates again.

        Gangs with tasks on machines that were cut off were in no queue, and the machines of the others went back.
        """
        return any(
            job.spec.kind is Kind.GANG and job.attempt_count > 0 and job.waiting > 0 and not job.cancelled
            for job in self.job_table.jobs.values()
        )

    def _zone_rooms(self) -> tuple[dict[str, float], dict[str, float]]:
        """GPUs of production work in each zone, and those it could take there: idle ones or lent ones."""
        production = dict.fromkeys(self.settings.zones, 0.0)
        room = dict.fromkeys(self.settings.zones, 0.0)
        for machine in self.fleet.machines.values():
            if machine.deleting or machine.spot or machine.zone not in room:
                continue
            mine = sum(
                attempt.job.spec.need.gpus
                for attempt in self.job_table.attempts_by_machine.get(machine.name, {}).values()
                if attempt.job.spec.priority is Priority.PRODUCTION
            )
            production[machine.zone] += mine * self.settings.operator.buffer_share
            room[machine.zone] += machine.type.size.gpus - mine
        return production, room
