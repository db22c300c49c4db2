"""What to rent for waiting work, and which idle machines to give back."""

from __future__ import annotations

import math
from bisect import bisect_left

import msgspec

from passrock.core.inventory import MachineInventory
from passrock.core.jobs import Job, JobTable, smallest_request
from passrock.core.machine import Machine
from passrock.core.model import NOTHING, JobKind, MachineType, Resources, Team
from passrock.core.objectives import ServiceLevelObjectives

LEAST_CHARGED_S = 60.0  # the cloud charges a deleted machine for at least this long
SMALL_ARRAY = 64  # so many tasks are given a place each, however short they are
MOST_PER_RENTAL = 50  # machines that one request can rent


class Offer(msgspec.Struct, frozen=True):
    """A kind of machine that can be rented."""

    type: str
    zone: str
    spot: bool


class Bin(msgspec.Struct):
    """A machine that is on its way, or would be rented."""

    offer: Offer
    room: Resources


class MachineCatalog(msgspec.Struct):
    """What is known of the cloud: types with prices, and what was refused until when."""

    types: dict[str, MachineType] = msgspec.field(default_factory=dict)
    refused: dict[Offer, float] = msgspec.field(default_factory=dict)

    def price(self, offer: Offer) -> float:
        """The current price an hour."""
        kind = self.types[offer.type]
        return kind.spot_price if offer.spot else kind.price

    def offers(self, job: Job, objectives: ServiceLevelObjectives, now: float) -> list[Offer]:
        """What the job may use and the cloud has not refused lately, cheapest first.

        A job that may use cheap machines gets a dear one only when it would be late otherwise: most
        of its time it can wait for room that is paid for already.
        """
        found = [
            Offer(kind.name, zone, spot)
            for kind in self.types.values()
            if job.spec.resources.fits(kind.size)
            for zone in kind.zones
            for spot in (True, False)
            if job.spec.allows(kind.name, zone, spot)
        ]
        open_ones = [
            offer
            for offer in found
            if self.refused.get(offer, 0.0) <= now
            and (offer.spot or not job.spec.spot or objectives.presses(job, self.types[offer.type], now))
        ]
        return sorted(open_ones, key=lambda offer: (self.price(offer), offer.zone))

    def buffer_offer(self, room: dict[str, float], now: float) -> Offer | None:
        """The cheapest ordinary machine for the buffer, in the zone with the least room."""
        offers = [
            Offer(kind.name, zone, False)
            for kind in self.types.values()
            for zone in kind.zones
            if kind.size.gpus > 0 and self.refused.get(Offer(kind.name, zone, False), 0.0) <= now
        ]
        return min(offers, key=lambda offer: (room.get(offer.zone, 0.0), self.price(offer), offer.zone), default=None)

    def refuse(self, offer: Offer, until: float) -> None:
        """None to be had for a while."""
        self.refused[offer] = until


def in_reach(job: Job, teams: dict[str, Team], used: dict[str, Resources]) -> int:
    """How many of the job's waiting tasks the team's limit would let run, given planned use."""
    team = teams.get(job.spec.team)
    if team is None:
        return 0  # taken out of the settings: nothing is started for it
    planned = used.get(team.name, NOTHING)

    def is_over(count: int) -> bool:
        return not team.within_limit(planned + job.spec.resources.times(count))

    if job.spec.kind is JobKind.GANG:
        return 0 if is_over(job.waiting) else job.waiting
    return bisect_left(range(1, _at_once(job) + 1), True, key=is_over)


def _at_once(job: Job) -> int:
    """How many of a job's waiting tasks are worth a place of their own.

    A machine is charged for a least time, in which one place runs several short tasks one after the other. A huge
    array of tasks of four seconds had all spot machines rented at once otherwise.
    """
    if job.spec.kind is JobKind.SERVICE:
        return job.waiting
    worth = math.ceil(job.waiting * min(1.0, job.spec.estimate / LEAST_CHARGED_S))
    return max(worth, min(job.waiting, SMALL_ARRAY))


def plan_scale_out(
    queue: list[Job],
    job_table: JobTable,
    inventory: MachineInventory,
    teams: dict[str, Team],
    catalog: MachineCatalog,
    objectives: ServiceLevelObjectives,
    now: float,
) -> dict[Offer, int]:
    """How many machines of which kind to rent so that the queue's tasks find room.

    Machines on their way are filled first. A gang that must stay in one zone counts the room that
    the zone has already.
    """
    bins = [
        Bin(Offer(m.type.name, m.zone, m.spot), m.type.size)
        for m in inventory.machines.values()
        if (not m.registered and not m.deleting)
        or (m.name not in job_table.attempts_by_machine and inventory.health.may_return(m, now))
    ]
    # whatever has no room for the smallest waiting task is left out: on a full fleet that is nearly all of it
    least = smallest_request(queue)
    rooms = [
        Bin(Offer(m.type.name, m.zone, m.spot), m.free_capacity)
        for m in inventory.machines.values()
        if m.has_capacity_for(least) and inventory.health.is_schedulable(m, now)
    ]
    used = dict(job_table.usage)
    wanted: dict[Offer, int] = {}
    for job in queue:
        count = in_reach(job, teams, used)
        if count == 0:
            continue
        used[job.spec.team] = used.get(job.spec.team, NOTHING) + job.spec.resources.times(count)
        if job.spec.kind is JobKind.GANG:
            added = _gang_bins(job, count, bins, rooms, catalog, objectives, now)
        else:
            added = _each_bins(job, count, bins, catalog, objectives, now)
        for new in added:
            wanted[new.offer] = wanted.get(new.offer, 0) + 1
        bins = [one for one in bins + added if least.fits(one.room)]
        rooms = [one for one in rooms if least.fits(one.room)]
    return wanted


def _suits(job: Job, one: Bin, zone: str | None) -> bool:
    offer = one.offer
    return (
        job.spec.resources.fits(one.room)
        and (zone is None or offer.zone == zone)
        and job.spec.allows(offer.type, offer.zone, offer.spot)
    )


def _each_bins(
    job: Job, count: int, bins: list[Bin], catalog: MachineCatalog, objectives: ServiceLevelObjectives, now: float
) -> list[Bin]:
    resources = job.spec.resources
    added: list[Bin] = []
    for one in sorted((one for one in bins if _suits(job, one, None)), key=lambda one: one.room.gpus):
        if not count:
            return added
        count -= _fill(one, resources, count)
    offers = catalog.offers(job, objectives, now) if count else []
    while count and offers and len(added) < MOST_PER_RENTAL:
        one = Bin(offers[0], catalog.types[offers[0].type].size)
        count -= _fill(one, resources, count)
        added.append(one)
    return added


def _fill(one: Bin, resources: Resources, most: int) -> int:
    """Use a bin for up to ``most`` tasks; returns how many."""
    count = resources.count_in(one.room, most)
    one.room = one.room - resources.times(count)
    return count


def _gang_bins(
    job: Job,
    count: int,
    bins: list[Bin],
    rooms: list[Bin],
    catalog: MachineCatalog,
    objectives: ServiceLevelObjectives,
    now: float,
) -> list[Bin]:
    resources = job.spec.resources
    offers = catalog.offers(job, objectives, now)
    fitting = [one for one in rooms + bins if _suits(job, one, None)]
    zones: list[str | None] = [None]
    if job.spec.one_zone:
        zones = list(dict.fromkeys([offer.zone for offer in offers] + [one.offer.zone for one in fitting]))
    best: tuple[float, list[tuple[Bin, int]], Offer | None, int] | None = None
    for zone in zones:
        here = [offer for offer in offers if zone is None or offer.zone == zone]
        takes: list[tuple[Bin, int]] = []
        missing = count
        for one in fitting:
            if not missing:
                break
            if zone is None or one.offer.zone == zone:
                slots = resources.count_in(one.room, missing)
                takes.append((one, slots))
                missing -= slots
        if missing and not here:
            continue
        price = missing * catalog.price(here[0]) if missing else 0.0
        if best is None or price < best[0]:
            best = (price, takes, here[0] if missing else None, missing)
    if best is None:
        return []
    for one, slots in best[1]:
        one.room = one.room - resources.times(slots)
    added: list[Bin] = []
    offer = best[2]
    if offer is not None:
        size = catalog.types[offer.type].size
        missing = best[3]
        while missing:
            new = Bin(offer, size)
            missing -= _fill(new, resources, missing)
            added.append(new)
    return added


def plan_scale_in(
    inventory: MachineInventory, job_table: JobTable, patience: dict[str, float], now: float
) -> list[Machine]:
    """Idle machines that have waited long enough for work.

    A cheap spot machine may wait longer than a dear one, in the ratio of their prices, and no
    machine goes before the time that is charged anyway.
    """
    going = []
    for machine in inventory.machines.values():
        if not machine.registered or machine.deleting or machine.idle_since is None:
            continue
        if machine.name in job_table.attempts_by_machine:
            continue
        price = machine.type.spot_price if machine.spot else machine.type.price
        wait = patience[machine.type.name] * (machine.type.price / price if price > 0 else 1.0)
        if now - machine.idle_since >= wait and now - machine.requested_at >= LEAST_CHARGED_S:
            going.append(machine)
    return sorted(going, key=lambda m: (m.spot, m.idle_since or 0.0))
