"""Which machines to scale out for waiting tasks, and which idle ones to scale in."""

from __future__ import annotations

import math
from bisect import bisect_left
from collections.abc import Iterator

import msgspec

from passrock.core.inventory import MachineInventory
from passrock.core.job import Job, smallest_request
from passrock.core.job_table import JobTable
from passrock.core.machine import Machine
from passrock.core.machine_catalog import MachineCatalog, MachineOffering
from passrock.core.model import ZERO_RESOURCES, JobKind, Resources, Team
from passrock.core.objectives import ServiceLevelObjectives

MINIMUM_CHARGE_S = 60.0  # the cloud charges a deleted machine for at least this long
SMALL_ARRAY_TASKS = 64  # up to this many tasks get capacity of their own each, however short they are
MAX_MACHINES_PER_REQUEST = 50  # machines that one request to the cloud can ask for


class CapacityBin(msgspec.Struct):
    """A machine that exists, is booting or would be provisioned, with the capacity that no planned task uses."""

    offering: MachineOffering
    free_capacity: Resources

    def accepts(self, job: Job) -> bool:
        """Whether at least one of the job's tasks may run here and fits."""
        offering = self.offering
        return job.spec.resources.fits(self.free_capacity) and job.spec.allows(
            offering.machine_type, offering.zone, spot=offering.spot
        )

    def fill(self, resources: Resources, max_tasks: int) -> int:
        """Plan up to ``max_tasks`` tasks here; returns how many fit."""
        count = resources.fit_count(self.free_capacity, max_tasks)
        self.free_capacity = self.free_capacity - resources.scaled(count)
        return count


class _GangOption(msgspec.Struct):
    """One way to place a whole gang: tasks on bins that exist, and new machines for the missing ones."""

    cost: float
    placements: list[tuple[CapacityBin, int]]
    missing: int
    offering: MachineOffering | None
    """For the missing tasks; None when there are none."""


def tasks_within_quota(job: Job, teams: dict[str, Team], planned_usage: dict[str, Resources]) -> int:
    """How many of the job's waiting tasks the team's quota would let run, given the usage planned so far."""
    team = teams.get(job.spec.team)
    if team is None:
        return 0  # removed from the settings: nothing is started for it
    planned = planned_usage.get(team.name, ZERO_RESOURCES)

    def exceeds_quota(count: int) -> bool:
        return not team.within_quota(planned + job.spec.resources.scaled(count))

    if job.spec.kind is JobKind.GANG:
        return 0 if exceeds_quota(job.waiting_count) else job.waiting_count
    # the counts that exceed the quota follow all those that don't: bisection finds how many of these there are
    counts = range(1, _tasks_worth_a_slot(job) + 1)
    return bisect_left(counts, True, key=exceeds_quota)


def _tasks_worth_a_slot(job: Job) -> int:
    """How many of a job's waiting tasks are worth capacity of their own.

    A machine has a minimum charge, in the time of which one slot runs several short tasks one after the other.
    Without this limit, a huge array of four-second tasks had all spot instances provisioned at once.
    """
    if job.spec.kind is JobKind.SERVICE:
        return job.waiting_count
    slots = math.ceil(job.waiting_count * min(1.0, job.spec.estimated_run_s / MINIMUM_CHARGE_S))
    return max(slots, min(job.waiting_count, SMALL_ARRAY_TASKS))


def plan_scale_out(
    queue: list[Job],
    job_table: JobTable,
    inventory: MachineInventory,
    teams: dict[str, Team],
    catalog: MachineCatalog,
    objectives: ServiceLevelObjectives,
    now: float,
) -> dict[MachineOffering, int]:
    """How many machines of each offering to provision so that the queue's tasks find capacity.

    Booting machines are filled first. For a gang the free capacity of running machines counts too, as its tasks may
    have to be in the same zone as these.
    """
    planner = _ScaleOutPlanner(catalog, objectives, now)
    smallest = smallest_request(queue)
    booting = _booting_bins(job_table, inventory, now)
    free = _free_bins(inventory, smallest, now)
    planned_usage = dict(job_table.usage)
    machine_counts: dict[MachineOffering, int] = {}
    for job in queue:
        count = tasks_within_quota(job, teams, planned_usage)
        if count == 0:
            continue
        team_usage = planned_usage.get(job.spec.team, ZERO_RESOURCES)
        planned_usage[job.spec.team] = team_usage + job.spec.resources.scaled(count)
        if job.spec.kind is JobKind.GANG:
            added = planner.add_for_gang(job, count, free + booting)
        else:
            added = planner.add_for_tasks(job, count, booting)
        for new in added:
            machine_counts[new.offering] = machine_counts.get(new.offering, 0) + 1
        booting = [candidate for candidate in booting + added if smallest.fits(candidate.free_capacity)]
        free = [candidate for candidate in free if smallest.fits(candidate.free_capacity)]
    return machine_counts


def _booting_bins(job_table: JobTable, inventory: MachineInventory, now: float) -> list[CapacityBin]:
    """Machines that will have capacity soon: without a heartbeat yet, or expected back without any tasks."""
    return [
        _bin(machine, machine.type.size)
        for machine in inventory.machines.values()
        if (not machine.heartbeat_received and not machine.deleting)
        or (machine.name not in job_table.attempts_by_machine and inventory.health.may_return(machine, now))
    ]


def _free_bins(inventory: MachineInventory, smallest: Resources, now: float) -> list[CapacityBin]:
    """Machines with capacity for the smallest waiting task: in a busy cluster that leaves out nearly all."""
    return [
        _bin(machine, machine.free_capacity)
        for machine in inventory.machines.values()
        if machine.has_capacity_for(smallest) and inventory.health.is_schedulable(machine, now)
    ]


def _bin(machine: Machine, free_capacity: Resources) -> CapacityBin:
    return CapacityBin(MachineOffering(machine.type.name, machine.zone, machine.spot), free_capacity)


class _ScaleOutPlanner:
    """Places the tasks of one job after the other on bins, and adds new machines for those that don't fit."""

    def __init__(self, catalog: MachineCatalog, objectives: ServiceLevelObjectives, now: float) -> None:
        self.catalog = catalog
        self.objectives = objectives
        self.now = now

    def add_for_tasks(self, job: Job, count: int, booting: list[CapacityBin]) -> list[CapacityBin]:
        """Fill booting machines, those with the fewest free GPUs first, and add the cheapest ones for the rest."""
        candidates = [candidate for candidate in booting if candidate.accepts(job)]
        for candidate in sorted(candidates, key=lambda candidate: candidate.free_capacity.gpus):
            if not count:
                return []
            count -= candidate.fill(job.spec.resources, count)
        offerings = self.catalog.offerings_for(job, self.objectives, self.now) if count else []
        added: list[CapacityBin] = []
        while count and offerings and len(added) < MAX_MACHINES_PER_REQUEST:
            new = self._new_machine(offerings[0])
            count -= new.fill(job.spec.resources, count)
            added.append(new)
        return added

    def add_for_gang(self, job: Job, count: int, bins: list[CapacityBin]) -> list[CapacityBin]:
        """Use the cheapest option for all tasks of the gang; nothing is added when no option places all of them."""
        best = min(self._gang_options(job, count, bins), key=lambda option: option.cost, default=None)
        if best is None:
            return []
        resources = job.spec.resources
        for candidate, tasks in best.placements:
            candidate.free_capacity = candidate.free_capacity - resources.scaled(tasks)
        added: list[CapacityBin] = []
        missing = best.missing
        while missing and best.offering is not None:
            new = self._new_machine(best.offering)
            missing -= new.fill(resources, missing)
            added.append(new)
        return added

    def _new_machine(self, offering: MachineOffering) -> CapacityBin:
        return CapacityBin(offering, self.catalog.types[offering.machine_type].size)

    def _gang_options(self, job: Job, count: int, bins: list[CapacityBin]) -> Iterator[_GangOption]:
        """The options for a gang: one for each zone when it has to stay in one, otherwise a single one."""
        offerings = self.catalog.offerings_for(job, self.objectives, self.now)
        candidates = [candidate for candidate in bins if candidate.accepts(job)]
        zones: list[str | None] = [None]
        if job.spec.single_zone:
            offered = [offering.zone for offering in offerings]
            zones = list(dict.fromkeys(offered + [candidate.offering.zone for candidate in candidates]))
        for zone in zones:
            placements, missing = _place_in_zone(job.spec.resources, count, candidates, zone)
            if not missing:
                yield _GangOption(0.0, placements, 0, None)
                continue
            cheapest = next((offering for offering in offerings if zone in (None, offering.zone)), None)
            if cheapest is not None:
                yield _GangOption(missing * self.catalog.price(cheapest), placements, missing, cheapest)


def _place_in_zone(
    resources: Resources, count: int, candidates: list[CapacityBin], zone: str | None
) -> tuple[list[tuple[CapacityBin, int]], int]:
    """How many tasks each candidate of the zone (or of any, for None) would take, and how many are left over."""
    placements: list[tuple[CapacityBin, int]] = []
    missing = count
    for candidate in candidates:
        if not missing:
            break
        if zone in (None, candidate.offering.zone):
            tasks = resources.fit_count(candidate.free_capacity, missing)
            placements.append((candidate, tasks))
            missing -= tasks
    return placements, missing


def plan_scale_in(
    inventory: MachineInventory, job_table: JobTable, idle_timeout_s: dict[str, float], now: float
) -> list[Machine]:
    """Idle machines that have waited long enough for work, on-demand machines first, then the longest idle.

    ``idle_timeout_s`` is by machine type and for on-demand machines; a spot instance may wait longer, in the
    ratio of the prices. No machine is deleted in the time that is charged anyway.
    """
    surplus = []
    for machine in inventory.machines.values():
        if not machine.heartbeat_received or machine.deleting or machine.idle_since is None:
            continue
        if machine.name in job_table.attempts_by_machine:
            continue
        price = machine.type.price_for(spot=machine.spot)
        timeout_s = idle_timeout_s[machine.type.name] * (machine.type.price / price if price > 0 else 1.0)
        if now - machine.idle_since >= timeout_s and now - machine.requested_at >= MINIMUM_CHARGE_S:
            surplus.append(machine)
    return sorted(surplus, key=lambda machine: (machine.spot, machine.idle_since or 0.0))


def zone_loss_shortfall(production: dict[str, float], available: dict[str, float], zones: tuple[str, ...]) -> float:
    """How many GPUs production work would lack if the worst zone were lost.

    ``available`` counts GPUs that are idle or lent to work that can be preempted. All teams lose a zone at the
    same time, so this is judged over all reservations together.
    """
    if len(zones) < 2:
        return 0.0
    total = sum(available.values())
    shortfalls = []
    for lost_zone in zones:
        left = total - available.get(lost_zone, 0.0)
        shortfalls.append(production.get(lost_zone, 0.0) - left)
    return max(0.0, *shortfalls)
