"""Scale-out: the machines to provision so that waiting tasks get capacity where they may run."""

from __future__ import annotations

import math
from bisect import bisect_left
from collections.abc import Iterator

import msgspec

from passrock.core.interface_times import MINIMUM_CHARGE_S
from passrock.core.inventory import MachineInventory
from passrock.core.job import Job, smallest_request
from passrock.core.job_table import JobTable
from passrock.core.machine import Machine
from passrock.core.machine_catalog import MachineCatalog, MachineOffering
from passrock.core.model import ZERO_RESOURCES, JobKind, Resources, Team
from passrock.core.objectives import ServiceLevelObjectives
from passrock.core.zone_constraint import ZoneConstraint

SMALL_ARRAY_TASKS = 64  # up to this many tasks of a job each get capacity of their own, however short they are
MAX_MACHINES_PER_REQUEST = 50  # the cloud's limit on machines in one request


class CapacityBin(msgspec.Struct):
    """A running, booting or planned machine, with the capacity that no planned task uses."""

    offering: MachineOffering
    free_capacity: Resources

    def accepts(self, job: Job) -> bool:
        """Whether the job's tasks may run on this machine, and at least one of them fits."""
        offering = self.offering
        return job.spec.resources.fits(self.free_capacity) and job.spec.allows(
            offering.machine_type, offering.zone, spot=offering.spot
        )

    def fill(self, resources: Resources, max_tasks: int) -> int:
        """Subtract the capacity for up to ``max_tasks`` tasks; returns how many fit."""
        count = resources.fit_count(self.free_capacity, max_tasks)
        self.free_capacity = self.free_capacity - resources.scaled(count)
        return count


class _ScaleOutOption(msgspec.Struct):
    """One way to get capacity for a job's waiting tasks: on existing bins, and on new machines.

    Attributes:
        placements: existing bins, each with the number of tasks planned on it.
        added: the new machines, filled with the tasks planned on them.
        cost: the prices per hour of the new machines, each times the number of tasks planned on it.
        unplanned: the number of tasks without a place: for them, there is no capacity where they may run.
    """

    placements: list[tuple[CapacityBin, int]]
    added: list[CapacityBin]
    cost: float
    unplanned: int


def tasks_within_quota(job: Job, teams: dict[str, Team], planned_usage: dict[str, Resources]) -> int:
    """Return how many of the job's waiting tasks fit the team's quota and are worth capacity of their own.

    ``planned_usage`` is by team: the usage of attempts on machines and of tasks planned so far.
    """
    team = teams.get(job.spec.team)
    if team is None:
        return 0  # the team was removed from the settings: none of its tasks is started
    planned = planned_usage.get(team.name, ZERO_RESOURCES)

    def exceeds_quota(count: int) -> bool:
        return not team.within_quota(planned + job.spec.resources.scaled(count))

    if job.spec.kind is JobKind.GANG:
        return 0 if exceeds_quota(job.waiting_count) else job.waiting_count
    # the counts that exceed the quota follow all those that don't: bisection finds the number of the latter
    counts = range(1, _tasks_worth_own_capacity(job) + 1)
    return bisect_left(counts, True, key=exceeds_quota)


def _tasks_worth_own_capacity(job: Job) -> int:
    """Return how many of a job's waiting tasks are worth capacity of their own.

    Within a machine's minimum charge, the capacity for one task runs several short tasks one after the other.
    Without this limit, a huge array of four-second tasks had all spot instances provisioned at once.
    """
    if job.spec.kind is JobKind.SERVICE:
        return job.waiting_count
    concurrent_tasks = math.ceil(job.waiting_count * min(1.0, job.spec.estimated_run_s / MINIMUM_CHARGE_S))
    return max(concurrent_tasks, min(job.waiting_count, SMALL_ARRAY_TASKS))


def plan_scale_out(
    queue: list[Job],
    job_table: JobTable,
    inventory: MachineInventory,
    teams: dict[str, Team],
    catalog: MachineCatalog,
    objectives: ServiceLevelObjectives,
    now: float,
) -> dict[MachineOffering, int]:
    """Return how many machines of each offering to provision so that the queue's tasks get capacity.

    Booting machines are filled first. For a gang, the free capacity of running machines counts too, as the gang may
    have to be in the zone of these machines.
    """
    planner = _ScaleOutPlanner(inventory, catalog, objectives, now)
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
        added = planner.add_for(job, count, free + booting if job.spec.kind is JobKind.GANG else booting)
        for new in added:
            machine_counts[new.offering] = machine_counts.get(new.offering, 0) + 1
        booting = [candidate for candidate in booting + added if smallest.fits(candidate.free_capacity)]
        free = [candidate for candidate in free if smallest.fits(candidate.free_capacity)]
    return machine_counts


def _booting_bins(job_table: JobTable, inventory: MachineInventory, now: float) -> list[CapacityBin]:
    """Return bins for machines that will soon have capacity: booting, or expected back without tasks."""
    return [
        _bin(machine, machine.type.capacity)
        for machine in inventory.machines.values()
        if (not machine.heartbeat_received and not machine.deleting)
        or (machine.name not in job_table.attempts_by_machine and inventory.health.is_expected_back(machine, now))
    ]


def _free_bins(inventory: MachineInventory, smallest: Resources, now: float) -> list[CapacityBin]:
    """Return bins for schedulable machines with capacity for the smallest waiting task.

    In a busy cluster this excludes nearly all machines.
    """
    return [
        _bin(machine, machine.free_capacity)
        for machine in inventory.machines.values()
        if machine.has_capacity_for(smallest) and inventory.health.is_schedulable(machine, now)
    ]


def _bin(machine: Machine, free_capacity: Resources) -> CapacityBin:
    return CapacityBin(MachineOffering(machine.type.name, machine.zone, machine.spot), free_capacity)


class _ScaleOutPlanner:
    """Plans the tasks of one job after another on bins, and adds new machines for tasks that don't fit."""

    def __init__(
        self, inventory: MachineInventory, catalog: MachineCatalog, objectives: ServiceLevelObjectives, now: float
    ) -> None:
        self.inventory = inventory
        self.catalog = catalog
        self.objectives = objectives
        self.now = now
        self._offerings_by_job: dict[str, list[MachineOffering]] = {}

    def add_for(self, job: Job, count: int, bins: list[CapacityBin]) -> list[CapacityBin]:
        """Plan ``count`` waiting tasks of a job where they may run: all of a gang, of other jobs as many as possible.

        Returns:
            The new machines; none for a gang if no option places all tasks.
        """
        candidates = [candidate for candidate in bins if candidate.accepts(job)]
        is_gang = job.spec.kind is JobKind.GANG
        if not is_gang:
            candidates.sort(key=lambda candidate: candidate.free_capacity.gpus)
        zones = ZoneConstraint.of(job, self.inventory)
        options = [
            self._option(job, count, candidates, zone, zones.copy())
            for zone in zones.zones_to_try(self._zones_with_capacity(job, candidates))
        ]
        if is_gang:
            options = [option for option in options if not option.unplanned]
        best = min(options, key=lambda option: (option.unplanned, option.cost), default=None)
        if best is None:
            return []
        for candidate, tasks in best.placements:
            candidate.fill(job.spec.resources, tasks)
        return best.added

    def _zones_with_capacity(self, job: Job, candidates: list[CapacityBin]) -> Iterator[str]:
        """Iterate over the zones of the offerings, cheapest first, and of the existing bins."""
        for offering in self._offerings(job):
            yield offering.zone
        for candidate in candidates:
            yield candidate.offering.zone

    def _offerings(self, job: Job) -> list[MachineOffering]:
        offerings = self._offerings_by_job.get(job.spec.id)
        if offerings is None:
            offerings = self.catalog.offerings_for(job, self.objectives, self.now)
            self._offerings_by_job[job.spec.id] = offerings
        return offerings

    def _option(
        self, job: Job, count: int, candidates: list[CapacityBin], zone: str | None, zones: ZoneConstraint
    ) -> _ScaleOutOption:
        """Return the option in a zone (in all zones for None), in which ``zones`` counts the planned tasks."""
        option = _ScaleOutOption([], [], 0.0, count)
        for candidate in candidates:
            if not option.unplanned:
                return option
            if zone in (None, candidate.offering.zone):
                limit = min(option.unplanned, zones.remaining(candidate.offering.zone))
                tasks = job.spec.resources.fit_count(candidate.free_capacity, limit)
                zones.add(candidate.offering.zone, tasks)
                option.placements.append((candidate, tasks))
                option.unplanned -= tasks
        if option.unplanned:
            self._add_machines(option, job, zone, zones)
        return option

    def _add_machines(self, option: _ScaleOutOption, job: Job, zone: str | None, zones: ZoneConstraint) -> None:
        """Add new machines for the unplanned tasks: of the cheapest offering, then of those in further zones."""
        max_machines = option.unplanned if job.spec.kind is JobKind.GANG else MAX_MACHINES_PER_REQUEST
        for offering in self._offerings(job):
            if zone not in (None, offering.zone):
                continue
            while len(option.added) < max_machines:
                limit = min(option.unplanned, zones.remaining(offering.zone))
                if not limit:
                    break
                new = CapacityBin(offering, self.catalog.types[offering.machine_type].capacity)
                tasks = new.fill(job.spec.resources, limit)
                zones.add(offering.zone, tasks)
                option.added.append(new)
                option.cost += tasks * self.catalog.price(offering)
                option.unplanned -= tasks
