"""The binding round: assigns machines to the teams' reservations."""

from __future__ import annotations

from collections.abc import Container, Iterable, Iterator

import msgspec

MIN_SHORTFALL = 1e-6  # in relative resource units; smaller differences are rounding errors
JSON_NAME_OVERHEAD_BYTES = 3  # two quotes and a comma


class MachineView(msgspec.Struct, frozen=True):
    """A machine as input of a binding round.

    Attributes:
        capacity_units: the capacity in relative resource units.
        idle: whether no task runs on the machine.
        teams: the teams whose tasks run on the machine.
    """

    name: str
    zone: str
    capacity_units: float
    idle: bool
    teams: frozenset[str] = frozenset()


class ReservationRequest(msgspec.Struct, frozen=True):
    """The capacity that a team requests, in relative resource units.

    Attributes:
        guaranteed: the part of ``desired`` that takes precedence over demand of other teams beyond their guarantees.
        buffered: the capacity that must remain when the zone with the most of the reservation's capacity is lost.
    """

    team: str
    desired: float
    guaranteed: float
    buffered: float = 0.0


class BindingResult(msgspec.Struct):
    """The result of a round: the team of each assigned machine, and the shortfall of each team that has one."""

    assignments: dict[str, str] = msgspec.field(default_factory=dict)
    shortfalls: dict[str, float] = msgspec.field(default_factory=dict)


def split_into_pages(names: list[str], max_bytes: float) -> list[list[str]]:
    """Split the names of a reservation's machines into pages that each fit a record; returns at least one page."""
    pages: list[list[str]] = [[]]
    page_bytes = 0
    for name in names:
        name_bytes = len(name.encode()) + JSON_NAME_OVERHEAD_BYTES
        if page_bytes + name_bytes > max_bytes and pages[-1]:
            pages.append([])
            page_bytes = 0
        pages[-1].append(name)
        page_bytes += name_bytes
    return pages


class FreeMachinePool:
    """Free machines grouped by zone and capacity, in the order in which they are assigned.

    Machines of one group differ only in that order, so a round compares the groups' first machines instead of all
    machines.
    """

    def __init__(self, machines: Iterable[MachineView]) -> None:
        # by zone and capacity; the next machine to assign is last in its list
        self._groups: dict[tuple[str, float], list[MachineView]] = {}
        for machine in machines:
            group = self._groups.setdefault((machine.zone, machine.capacity_units), [])
            group.append(machine)
        for group in self._groups.values():
            group.sort(key=lambda machine: (not machine.idle, machine.name), reverse=True)

    def candidates(self, assigned: Container[str]) -> Iterator[MachineView]:
        """Yield the first machine of each group that is not in ``assigned``."""
        for group in self._groups.values():
            while group and group[-1].name in assigned:
                group.pop()
            if group:
                yield group[-1]


class ReservationState:
    """A reservation while a round assigns machines to it."""

    def __init__(self, request: ReservationRequest, zones: tuple[str, ...]) -> None:
        self.request = request
        self.machines: dict[str, MachineView] = {}
        self.zone_count = len(zones)
        self.capacity_by_zone = dict.fromkeys(zones, 0.0)
        self.capacity = 0.0

    def assign(self, machine: MachineView) -> None:
        """Assign a machine to this reservation."""
        capacity_units = machine.capacity_units
        self.machines[machine.name] = machine
        self.capacity_by_zone[machine.zone] = self.capacity_by_zone.get(machine.zone, 0.0) + capacity_units
        self.capacity += capacity_units

    def release(self, machine: MachineView) -> None:
        """Release a machine from this reservation."""
        capacity_units = machine.capacity_units
        del self.machines[machine.name]
        self.capacity_by_zone[machine.zone] -= capacity_units
        self.capacity -= capacity_units

    def target_capacity(self) -> float:
        """Return the capacity that satisfies the request, also when the zone with the most capacity is lost."""
        request = self.request
        if self.zone_count < 2 or request.buffered <= 0:
            return request.desired
        return max(request.desired, request.buffered + max(self.capacity_by_zone.values()))

    def shortfall(self, *, guaranteed_only: bool = False) -> float:
        """Return the missing capacity, of the guaranteed part or of the whole request; negative for a surplus."""
        if guaranteed_only:
            return min(self.request.guaranteed, self.request.desired) - self.capacity
        return self.target_capacity() - self.capacity

    def release_surplus(self) -> list[MachineView]:
        """Release machines beyond the target, and return them.

        Idle machines are released first, and of those the ones in the zone with the most capacity. A machine that
        runs the team's own tasks is never released only to balance the zones.
        """
        groups = self._releasable()
        released: list[MachineView] = []
        while True:
            target = self.target_capacity()
            candidates = [
                group[-1] for group in groups.values() if group and self.capacity - group[-1].capacity_units >= target
            ]
            if not candidates:
                return released
            machine = max(
                candidates,
                key=lambda candidate: (candidate.idle, self.capacity_by_zone[candidate.zone], candidate.name),
            )
            groups[(machine.zone, machine.capacity_units)].pop()
            self.release(machine)
            released.append(machine)

    def _releasable(self) -> dict[tuple[str, float], list[MachineView]]:
        """Return machines without the team's tasks by zone and capacity; the last of each group is released first."""
        releasable = [machine for machine in self.machines.values() if self.request.team not in machine.teams]
        groups: dict[tuple[str, float], list[MachineView]] = {}
        for machine in sorted(releasable, key=lambda candidate: (candidate.idle, candidate.name)):
            groups.setdefault((machine.zone, machine.capacity_units), []).append(machine)
        return groups

    def preferred_machine(self, candidates: Iterable[MachineView], zone_share: float | None) -> MachineView:
        """Return the machine to assign next.

        In this order of precedence, the machine keeps its zone within ``zone_share`` of the desired capacity (None:
        no limit), already runs the team's tasks, is in the zone with the least capacity, and is idle.
        """
        limit = None if zone_share is None else zone_share * max(self.request.desired, 1.0)

        def preference(machine: MachineView) -> tuple[bool, bool, float, bool, str]:
            zone_capacity = self.capacity_by_zone.get(machine.zone, 0.0)
            exceeds_limit = limit is not None and zone_capacity + machine.capacity_units > limit
            return (
                exceeds_limit,
                self.request.team not in machine.teams,
                zone_capacity,
                not machine.idle,
                machine.name,
            )

        return min(candidates, key=preference)


def bind(
    machines: list[MachineView],
    requests: list[ReservationRequest],
    current: dict[str, str],
    zones: tuple[str, ...],
    extra_zone_share: float,
) -> BindingResult:
    """Compute one binding round.

    Assignments that are still needed are kept, surplus machines are released, and free machines are assigned one by
    one to the reservation with the largest shortfall: first for the guaranteed capacity of all teams, then for
    the capacity beyond it.

    Args:
        machines: all machines that can be assigned.
        requests: one request for each team.
        current: the team of each assigned machine after the last round.
        zones: all zones of the cluster.
        extra_zone_share: by how much a zone's share of a reservation may exceed an even spread over all zones but
            one.
    """
    reservations = {request.team: ReservationState(request, zones) for request in requests}
    free = _restore_assignments(machines, current, reservations)
    for reservation in reservations.values():
        for machine in reservation.release_surplus():
            free[machine.name] = machine
    zone_share = 1.0 / (len(zones) - 1) + extra_zone_share if len(zones) > 1 else None
    _assign_free_machines(reservations, free, zone_share)
    result = BindingResult()
    for team, reservation in reservations.items():
        result.assignments.update(dict.fromkeys(reservation.machines, team))
        shortfall = reservation.shortfall()
        if shortfall > MIN_SHORTFALL:
            result.shortfalls[team] = shortfall
    return result


def _restore_assignments(
    machines: list[MachineView], current: dict[str, str], reservations: dict[str, ReservationState]
) -> dict[str, MachineView]:
    """Assign the last round's machines to the reservations again; returns the machines that are in none."""
    by_name = {machine.name: machine for machine in machines}
    free = dict(by_name)
    for name, team in current.items():
        machine = by_name.get(name)
        if machine is not None and team in reservations:
            reservations[team].assign(machine)
            del free[name]
    return free


def _assign_free_machines(
    reservations: dict[str, ReservationState], free: dict[str, MachineView], zone_share: float | None
) -> None:
    """Assign free machines one by one, until none is left or no reservation has a shortfall."""
    pool = FreeMachinePool(free.values())
    pool_of_team = {
        team: FreeMachinePool(machine for machine in free.values() if team in machine.teams) for team in reservations
    }
    assigned: set[str] = set()
    for guaranteed_only in (True, False):
        while len(assigned) < len(free):
            shortfall, team = max(
                (
                    (reservation.shortfall(guaranteed_only=guaranteed_only), team)
                    for team, reservation in reservations.items()
                ),
                default=(0.0, ""),
            )
            if shortfall <= MIN_SHORTFALL:
                break
            candidates = (*pool_of_team[team].candidates(assigned), *pool.candidates(assigned))
            machine = reservations[team].preferred_machine(candidates, zone_share)
            reservations[team].assign(machine)
            assigned.add(machine.name)
