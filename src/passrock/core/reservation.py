"""The binding round: which machine belongs to which team's reservation."""

from __future__ import annotations

from collections.abc import Container, Iterable, Iterator

import msgspec


class Unit(msgspec.Struct, frozen=True):
    """A machine as the round sees it; ``size`` in relative resource units."""

    name: str
    zone: str
    size: float
    idle: bool
    teams: frozenset[str] = frozenset()


class Claim(msgspec.Struct, frozen=True):
    """What a team asks for: desired capacity, the guaranteed part of it, and the buffered part."""

    team: str
    desired: float
    guaranteed: float
    buffered: float = 0.0


class Binding(msgspec.Struct):
    """The outcome of a round."""

    owner: dict[str, str] = msgspec.field(default_factory=dict)
    short: dict[str, float] = msgspec.field(default_factory=dict)
    thin: dict[str, list[str]] = msgspec.field(default_factory=dict)


def pages(names: list[str], most_bytes: float) -> list[list[str]]:
    """A reservation's machines in parts that fit a record each; at least one part."""
    found: list[list[str]] = [[]]
    size = 0
    for name in names:
        taken = len(name.encode()) + 3  # quotes and a comma
        if size + taken > most_bytes and found[-1]:
            found.append([])
            size = 0
        found[-1].append(name)
        size += taken
    return found


def goal(claim: Claim, largest: float, zones: int) -> float:
    """The total at which a reservation is whole: losing its largest zone leaves the buffered part."""
    if zones < 2 or claim.buffered <= 0:
        return claim.desired
    return max(claim.desired, claim.buffered + largest)


class Shelf:
    """Units by zone and size, each lot in the order of their use; a round looks at the lots, not at every unit."""

    def __init__(self, units: Iterable[Unit]) -> None:
        self._lots: dict[tuple[str, float], list[tuple[bool, str, Unit]]] = {}
        for unit in units:
            self._lots.setdefault((unit.zone, unit.size), []).append((not unit.idle, unit.name, unit))
        for lot in self._lots.values():
            lot.sort(key=lambda row: row[:2], reverse=True)

    def firsts(self, gone: Container[str]) -> Iterator[Unit]:
        """The first unit of each lot that is not among those taken elsewhere."""
        for lot in self._lots.values():
            while lot and lot[-1][1] in gone:
                lot.pop()
            if lot:
                yield lot[-1][2]


class Part:
    """A reservation while a round is at work on it."""

    def __init__(self, claim: Claim, zones: tuple[str, ...]) -> None:
        self.claim = claim
        self.units: dict[str, Unit] = {}
        self.zones = len(zones)
        self.sizes = dict.fromkeys(zones, 0.0)
        self.total = 0.0

    def add(self, unit: Unit) -> None:
        """Bind a unit."""
        self.units[unit.name] = unit
        self.sizes[unit.zone] = self.sizes.get(unit.zone, 0.0) + unit.size
        self.total += unit.size

    def drop(self, unit: Unit) -> None:
        """Release a unit."""
        del self.units[unit.name]
        self.sizes[unit.zone] -= unit.size
        self.total -= unit.size

    def goal(self) -> float:
        """The total at which it is whole."""
        return goal(self.claim, max(self.sizes.values()), self.zones)

    def lacking(self, guaranteed_only: bool = False) -> float:
        """How much it lacks, of the guaranteed part alone or of all."""
        if guaranteed_only:
            return min(self.claim.guaranteed, self.claim.desired) - self.total
        return self.goal() - self.total


def shed(part: Part) -> list[Unit]:
    """Release what a reservation has too much, idle units first and of those the ones in the fullest zone.

    A unit that runs the team's own work is never moved for balance alone.
    """
    team = part.claim.team
    loose = [unit for unit in part.units.values() if team not in unit.teams]
    lots: dict[tuple[str, float], list[Unit]] = {}
    for unit in sorted(loose, key=lambda u: (u.idle, u.name)):
        lots.setdefault((unit.zone, unit.size), []).append(unit)
    released: list[Unit] = []
    while True:
        whole = part.goal()
        spare = [lot[-1] for lot in lots.values() if lot and part.total - lot[-1].size >= whole]
        if not spare:
            return released
        unit = max(spare, key=lambda u: (u.idle, part.sizes[u.zone], u.name))
        lots[(unit.zone, unit.size)].pop()
        part.drop(unit)
        released.append(unit)


def bind(
    units: list[Unit], claims: list[Claim], current: dict[str, str], zones: tuple[str, ...], alpha_extra: float
) -> Binding:
    """Keep what serves, shed the surplus idle first, then give free machines to whoever lacks most."""
    result = Binding()
    by_name = {unit.name: unit for unit in units}
    parts = {claim.team: Part(claim, zones) for claim in claims}
    free: dict[str, Unit] = dict(by_name)
    for name, team in current.items():
        unit = by_name.get(name)
        if unit is not None and team in parts:
            parts[team].add(unit)
            del free[name]
    for part in parts.values():
        for unit in shed(part):
            free[unit.name] = unit
    alpha = 1.0 / (len(zones) - 1) + alpha_extra if len(zones) > 1 else None
    shelf = Shelf(free.values())
    own = {team: Shelf(unit for unit in free.values() if team in unit.teams) for team in parts}
    taken: set[str] = set()
    for guaranteed_only in (True, False):
        while len(taken) < len(free):
            lack, team = max(
                ((part.lacking(guaranteed_only), team) for team, part in parts.items()), default=(0.0, "")
            )
            if lack <= 1e-6:
                break
            part = parts[team]
            limit = None if alpha is None else alpha * max(part.claim.desired, 1.0)

            def fit(
                unit: Unit, team: str = team, part: Part = part, limit: float | None = limit
            ) -> tuple[bool, bool, float, bool, str]:
                size = part.sizes.get(unit.zone, 0.0)
                over = limit is not None and size + unit.size > limit
                return (over, team not in unit.teams, size, not unit.idle, unit.name)

            unit = min((*own[team].firsts(taken), *shelf.firsts(taken)), key=fit)
            part.add(unit)
            taken.add(unit.name)
    for team, part in parts.items():
        for name in part.units:
            result.owner[name] = team
        lack = part.lacking()
        if lack > 1e-6:
            result.short[team] = lack
        result.thin[team] = sorted(zones, key=lambda zone: (part.sizes[zone], zone))
    return result


def zone_gap(production: dict[str, float], room: dict[str, float], zones: tuple[str, ...]) -> float:
    """How much room is lacking for production work, should the worst zone be lost.

    Room counts where it is idle or lent to work that gives way. All teams lose a zone at the same
    time, so this is judged over all reservations together.
    """
    if len(zones) < 2:
        return 0.0
    total = sum(room.values())
    return max(0.0, *(production.get(zone, 0.0) - (total - room.get(zone, 0.0)) for zone in zones))
