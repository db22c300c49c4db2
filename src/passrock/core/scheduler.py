"""Tasks to machines: order, fit, zones, limits, gangs, images."""

from __future__ import annotations

from heapq import heapify, heappop, heappush, nsmallest
from typing import Any

import msgspec

from passrock.core.inventory import MachineInventory
from passrock.core.job import Job, TaskAttempt, smallest_request
from passrock.core.job_table import JobTable
from passrock.core.machine import Machine
from passrock.core.model import ZERO_RESOURCES, JobKind, MachineType, Priority, Resources, Team
from passrock.core.objectives import ServiceLevelObjectives, fetch_time

# Costs are in seconds, so that they weigh against the wait for an image.
PACK_COST = 15.0
FOREIGN_COST = 4.0
DEAR_COST = 40.0
STRAND_COST = 40.0
AVOID_COST = 1000.0
ARRAY_BATCH = 64  # tasks of one job in a pass, so that no pass takes long; the next pass follows at once
MANY = 1 << 30
LONG_S = 3600.0  # for what ends when its user says so


class Hold(msgspec.Struct):
    """A machine kept free for a job whose victims are on their way out."""

    job: str
    until: float


class FreeResources(msgspec.Struct):
    """Room per machine during one pass, with tentative use taken off."""

    room: dict[str, Resources] = msgspec.field(default_factory=dict)

    def of(self, machine: Machine) -> Resources:
        """What is left on the machine."""
        room = self.room.get(machine.name)
        if room is None:
            room = self.room[machine.name] = machine.free_capacity
        return room

    def take(self, machine: Machine, resources: Resources) -> None:
        """Use some of it."""
        self.room[machine.name] = self.of(machine) - resources

    def give(self, machine: Machine, resources: Resources) -> None:
        """Undo a tentative use."""
        self.room[machine.name] = self.of(machine) + resources


class Scheduler:
    """Places waiting tasks; one pass at a time."""

    def __init__(
        self,
        job_table: JobTable,
        inventory: MachineInventory,
        teams: dict[str, Team],
        assignments: dict[str, str],
        objectives: ServiceLevelObjectives,
    ) -> None:
        self.job_table = job_table
        self.inventory = inventory
        self.teams = teams
        self.assignments = assignments
        self.holds: dict[str, Hold] = {}
        self.rooms = FreeResources()
        self.usable: list[Machine] = []
        self.zones: dict[str, None] = {}  # of usable machines
        self.kinds: dict[str, MachineType] = {}
        self.open: list[Machine] = []  # usable ones with room
        self.cut_short = False  # whether the last pass left tasks of an array that it would have placed
        self.waiting: list[Job] = []  # what the last pass left, most urgent first
        self.waits: dict[Resources, dict[str, float]] = {}  # room_in of each machine, as far as this pass has asked
        self.hopeless: dict[Any, int] = {}  # kinds of tasks with the least number that found no room
        self.orphans: set[tuple[str, int]] = set()
        self.orphan_usage: dict[str, Resources] = {}
        self.guaranteed: set[str] = set()
        self.favoured: frozenset[str] = frozenset()  # jobs that go before all others, as fair admission decides
        self.protected: frozenset[str] = frozenset()  # jobs that are not displaced, for the same reason
        self._ranks: dict[str, tuple[bool, bool, int]] = {}  # by job, as of the same version
        self._guaranteed_as_of = -1
        self.objectives = objectives
        self.patience = (
            inventory.health.heartbeat_interval_s * 1.5
        )  # until a task without anything to save has made room

    # -- order ---------------------------------------------------------------------------

    def demand(self, team: str, least: Priority = Priority.LOW) -> Resources:
        """What all unfinished jobs of a team ask for, from some priority up."""
        total = ZERO_RESOURCES
        for job in self.job_table.jobs.values():
            if job.spec.team == team and job.spec.priority >= least and not job.cancelled:
                total = total + job.spec.resources.scaled(job.spec.tasks - job.done_count)
        return total

    def find_guaranteed(self) -> None:
        """Which jobs fit into their team's guarantee along with all its earlier unfinished jobs."""
        if self._guaranteed_as_of == self.job_table.demand_version:
            return
        self._guaranteed_as_of = self.job_table.demand_version
        self.guaranteed = set()
        self._ranks = {}
        asked: dict[str, Resources] = {}
        for job in sorted(self.job_table.jobs.values(), key=lambda job: (job.submitted_at, job.spec.id)):
            team = self.teams.get(job.spec.team)
            if team is None or job.cancelled:
                continue
            total = asked.get(team.name, ZERO_RESOURCES) + job.spec.resources.scaled(job.spec.tasks - job.done_count)
            asked[team.name] = total
            if team.within_guarantee(total):
                self.guaranteed.add(job.spec.id)

    def rank(self, job: Job) -> tuple[bool, bool, int]:
        """A job's standing, higher is more: production, then what is guaranteed, then priority.

        Only a job of strictly higher standing displaces another. Judging guarantees by what runs at
        the moment instead let teams take the same machines from each other again and again.
        """
        spec = job.spec
        rank = self._ranks.get(spec.id)
        if rank is None:
            rank = spec.priority is Priority.PRODUCTION, spec.id in self.guaranteed, int(spec.priority)
            self._ranks[spec.id] = rank
        return rank

    def queue(self, now: float) -> list[Job]:
        """Jobs with tasks that may be placed now, most urgent first."""
        ready = [
            job
            for job in self.job_table.jobs.values()
            if job.waiting > 0
            and not job.cancelled
            and job.retry_not_before <= now
            and job.final_status is None
            and not (job.spec.kind is JobKind.GANG and job.attempt_count > 0)
        ]

        def order(job: Job) -> tuple[bool, bool, bool, bool, float, float]:
            production, guaranteed, _ = self.rank(job)
            behind = job.spec.id not in self.favoured
            if self.objectives.overdue(job, now):  # oldest first; otherwise those past all aims would wait for ever
                return behind, not production, False, False, job.waiting_since, job.submitted_at_monotonic
            due = self.objectives.due(job, now, guaranteed, self.longest_fetch(job))
            return behind, not production, True, not guaranteed, due, job.submitted_at_monotonic

        return sorted(ready, key=order)

    # -- one pass --------------------------------------------------------------------------

    def run(self, now: float) -> list[TaskAttempt]:
        """Start what fits; returns the new attempts. What still waits afterwards is in ``waiting``."""
        self.waits = {}
        self.rooms = FreeResources()
        self.cut_short = False
        self.find_guaranteed()
        self.holds = {name: hold for name, hold in self.holds.items() if hold.until > now}
        self.orphans = set()
        self.orphan_usage = {}
        self.usable = []
        self.zones = {}
        self.kinds = {}
        started: list[TaskAttempt] = []
        for machine in self.inventory.machines.values():
            if machine.orphans:
                self._count_orphans(machine)
            if self.inventory.health.is_schedulable(machine, now):
                self.usable.append(machine)
                self.zones[machine.zone] = None
                self.kinds[machine.type.name] = machine.type
        self.waiting = self.queue(now)
        if not self.usable or not self.waiting:
            return started
        self._find_open()
        self.hopeless = {}
        for job in self.waiting:
            if job.spec.kind is JobKind.GANG:
                started += self.place_gang(job, now)
            else:
                if job.spec.id in self.favoured:
                    self.keep_room(job, now)
                started += self.place_each(job, now)
        self.waiting = [job for job in self.waiting if job.waiting > 0]
        return started

    def _count_orphans(self, machine: Machine) -> None:
        for (job_id, index), resources in machine.orphans.items():
            self.orphans.add((job_id, index))
            job = self.job_table.jobs.get(job_id)
            if job is not None:
                team = job.spec.team
                self.orphan_usage[team] = self.orphan_usage.get(team, ZERO_RESOURCES) + resources

    def _find_open(self) -> None:
        """The machines with room for the smallest waiting task; on a full fleet that is a handful."""
        least = smallest_request(self.waiting)
        self.open = [machine for machine in self.usable if machine.has_capacity_for(least)]

    def allowed_now(self, job: Job, count: int) -> bool:
        """Whether the team's limit has room for ``count`` more tasks, possibly-there ones counted."""
        team = self.teams.get(job.spec.team)
        if team is None:
            return False  # its limit isn't known since the team was taken out of the settings; the job stays known
        used = self.job_table.usage.get(team.name, ZERO_RESOURCES) + self.orphan_usage.get(team.name, ZERO_RESOURCES)
        return team.within_quota(used + job.spec.resources.scaled(count))

    def cost(self, job: Job, machine: Machine) -> float:
        """How dear this machine is for a task of the job."""
        spec = job.spec
        left = (self.rooms.of(machine) - spec.resources).dominant_share(machine.type.size)
        harm = machine.image_fetch_interference(spec)
        cost = machine.image_fetch_time(spec) + harm + PACK_COST * left
        owner = self.assignments.get(machine.name)
        if owner is not None and owner != spec.team:
            cost += FOREIGN_COST
        if spec.allows_spot and not machine.spot:
            cost += DEAR_COST
        if machine.name in job.avoided_machines:
            cost += AVOID_COST
        if spec.kind is JobKind.SERVICE:
            # replicas stay for long: spread over empty machines they strand the rest of each, which then
            # serves no gang of whole machines, and is paid for until the last replica ends; but where one
            # is still fetching another image, both would be late
            cost += harm if self.job_table.attempts_by_machine.get(machine.name) else STRAND_COST * left
        return cost

    def candidates(self, job: Job, zone: str | None, now: float) -> list[Machine]:
        """Usable machines with room that the job may use.

        An array that may use cheap machines leaves the dear ones to jobs that may not, as long as its
        aims leave it time: it took them for minutes, and gangs waited beside cheap room.
        """
        spec = job.spec
        patient = spec.allows_spot and spec.kind is JobKind.ARRAY
        waits = {name: patient and not self.objectives.presses(job, kind, now) for name, kind in self.kinds.items()}
        return [
            machine
            for machine in self.open
            if spec.resources.fits(self.rooms.of(machine))
            and spec.allows(machine.type.name, machine.zone, machine.spot)
            and (zone is None or machine.zone == zone)
            and (machine.spot or not waits[machine.type.name])
            and self.free_for(job, machine)
        ]

    def free_for(self, job: Job, machine: Machine) -> bool:
        """Whether the machine isn't held for another job."""
        hold = self.holds.get(machine.name)
        return hold is None or hold.job == job.spec.id

    def by_cost(self, job: Job, zone: str | None, now: float) -> list[tuple[float, str, Machine]]:
        """Candidates as a heap; only the machine taken from it changes its cost by that."""
        heap = [(self.cost(job, machine), machine.name, machine) for machine in self.candidates(job, zone, now)]
        heapify(heap)
        return heap

    def again(self, job: Job, machine: Machine, heap: list[tuple[float, str, Machine]]) -> None:
        """Put a machine back after a task was placed on it, if one more fits."""
        if job.spec.resources.fits(self.rooms.of(machine)):
            heappush(heap, (self.cost(job, machine), machine.name, machine))

    def fixed_zone(self, job: Job, counts: dict[str, int]) -> str | None:
        """The zone where further tasks must go, when others are there already."""
        return next(iter(counts)) if job.spec.single_zone and counts else None

    def place_each(self, job: Job, now: float) -> list[TaskAttempt]:
        """Tasks of an array or replicas, one by one."""
        spec = job.spec
        kind = (spec.resources, spec.types, spec.zone, spec.allows_spot, spec.kind)
        if kind in self.hopeless and not self.has_hold(job):
            return []
        counts = job.zone_counts(self.inventory) if spec.single_zone or spec.spread_zones else {}
        if "?" in counts:
            return []  # a task is somewhere that is not known yet
        started: list[TaskAttempt] = []
        if not self.allowed_now(job, 1):
            return started
        heap = self.by_cost(job, self.fixed_zone(job, counts), now)
        may_differ = bool(counts) or (
            spec.allows_spot and spec.kind is JobKind.ARRAY
        )  # what stops this job may not stop its kind
        if not heap:
            if not may_differ:
                self.hopeless[kind] = 1
            return started
        cap = spec.zone_cap()
        for index in job.next_waiting(1 if spec.id in self.favoured else ARRAY_BATCH):
            if (spec.id, index) in self.orphans:
                continue
            if not self.allowed_now(job, 1):
                break
            while heap and (
                (spec.spread_zones and counts.get(heap[0][2].zone, 0) >= cap)
                or (spec.single_zone and counts and heap[0][2].zone not in counts)
            ):
                heappop(heap)
            if not heap:
                if not counts and not may_differ:
                    self.hopeless[kind] = 1
                break
            machine = heappop(heap)[2]
            self.rooms.take(machine, spec.resources)
            if spec.single_zone or spec.spread_zones:
                counts[machine.zone] = counts.get(machine.zone, 0) + 1
            started.append(self.job_table.start(job, index, machine, job.next_attempt_number(index), now))
            self.again(job, machine, heap)
        self.cut_short = self.cut_short or len(started) == ARRAY_BATCH
        job.advance_first_waiting()
        return started

    def has_hold(self, job: Job) -> bool:
        """Whether machines are held for the job."""
        return any(hold.job == job.spec.id for hold in self.holds.values())

    def gang_zones(self, job: Job) -> list[str | None]:
        """The zones to try for a gang; None stands for all together."""
        if not job.spec.single_zone:
            return [None]
        return list(self.zones)

    def place_gang(self, job: Job, now: float) -> list[TaskAttempt]:
        """All tasks of a gang or none."""
        spec = job.spec
        kind = (spec.resources, spec.types, spec.zone, spec.allows_spot, spec.single_zone)
        if spec.tasks >= self.hopeless.get(kind, MANY) and not self.has_hold(job):
            return self.keep_room(job, now)
        if any(key[0] == spec.id for key in self.orphans) or not self.allowed_now(job, spec.tasks):
            return []
        best: tuple[float, list[Machine]] | None = None
        for zone in self.gang_zones(job):
            chosen: list[Machine] = []
            worst = total = 0.0
            heap = self.by_cost(job, zone, now)
            while heap and len(chosen) < spec.tasks:
                price, _, machine = heappop(heap)
                worst = max(worst, machine.image_fetch_time(spec))
                total += price
                self.rooms.take(machine, spec.resources)
                chosen.append(machine)
                self.again(job, machine, heap)
            for machine in chosen:
                self.rooms.give(machine, spec.resources)
            if len(chosen) == spec.tasks:
                price = worst + total / spec.tasks
                if best is None or price < best[0]:
                    best = (price, chosen)
        if best is None:
            self.hopeless[kind] = min(spec.tasks, self.hopeless.get(kind, MANY))
            return self.keep_room(job, now)
        attempt_number = job.next_attempt_number(0)
        started = []
        for index, machine in enumerate(best[1]):
            self.rooms.take(machine, spec.resources)
            self.holds.pop(machine.name, None)
            started.append(self.job_table.start(job, index, machine, attempt_number, now))
        job.advance_first_waiting()
        return started

    # -- room kept for what has waited long ------------------------------------------------

    def keep_room(self, job: Job, now: float) -> list[TaskAttempt]:
        """Hold machines for a gang that has waited long, or one for a favoured job, until they are free at once.

        Smaller jobs took each machine as it came free or up, so that a large gang never saw all it
        needs at one time. What runs on the machines ends by itself or is displaced where the rules of
        displacement allow it; what boots is filled in as it comes up. The result is always empty:
        nothing has been placed.
        """
        spec = job.spec
        wanted = spec.tasks if spec.kind is JobKind.GANG else 1
        goes_first = spec.id in self.favoured or self.objectives.overdue(job, now)
        if not goes_first or not self.allowed_now(job, wanted):
            return []
        mine = {name for name, hold in self.holds.items() if hold.job == spec.id}
        if 2 * (len(self.holds) - len(mine) + wanted) > len(self.usable) and len(self.holds) > len(mine):
            return []  # others' kept room already is a large part of the fleet: one after the other
        best: tuple[float, list[Machine]] | None = None
        for zone in self.gang_zones(job):
            slots: list[tuple[float, bool, str, Machine]] = []
            for machine in self.usable:
                if (zone is not None and machine.zone != zone) or not self.free_for(job, machine):
                    continue
                if spec.allows(machine.type.name, machine.zone, machine.spot) and spec.resources.fits(
                    machine.type.size
                ):
                    wait = self.wait_for(machine, spec.resources, now)
                    slots.append((wait, machine.name not in mine, machine.name, machine))
            chosen = nsmallest(wanted, slots, key=lambda slot: slot[:3])
            if chosen:
                price = (len(chosen) < wanted, chosen[-1][0] - 5 * self.patience * sum(not s[1] for s in chosen))
                rank = price[0] * 1e6 + price[1]
                if best is None or rank < best[0]:
                    best = (rank, [slot[3] for slot in chosen])
        for name in mine:
            del self.holds[name]
        if best is not None:
            for machine in best[1]:
                self.holds[machine.name] = Hold(spec.id, now + 2 * self.patience)
        return []

    def wait_for(self, machine: Machine, resources: Resources, now: float) -> float:
        """``room_in``, reckoned once a pass: gangs of one class ask for the same of every machine."""
        waits = self.waits.setdefault(resources, {})
        wait = waits.get(machine.name)
        if wait is None:
            wait = waits[machine.name] = self.room_in(machine, resources, now)
        return wait

    def room_in(self, machine: Machine, resources: Resources, now: float) -> float:
        """Seconds until the machine is likely to have this room, by the owners' estimates."""
        room = self.rooms.of(machine)
        if resources.fits(room):
            return 0.0
        ends = []
        for attempt in self.job_table.attempts_on(machine.name):
            left = attempt.job.spec.estimated_run_s - (now - (attempt.running_since or now))
            if attempt.stop_grace_s is not None:
                left = self.patience
            elif attempt.job.spec.kind is JobKind.SERVICE:
                left = LONG_S
            ends.append((max(left, self.patience), attempt.job.spec.resources))
        for wait, amount in sorted(ends, key=lambda end: end[0]):
            room = room + amount
            if resources.fits(room):
                return wait
        return LONG_S

    def longest_fetch(self, job: Job) -> float:
        """Seconds for the job's image on the slowest type of machine in use."""
        return max((fetch_time(job.spec, kind) for kind in self.kinds.values()), default=0.0)
