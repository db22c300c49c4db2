"""The binding round: which machine belongs to which team's reservation."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class Unit:
    """A machine as the round sees it; ``size`` in relative resource units."""

    name: str
    zone: str
    size: float
    idle: bool
    teams: frozenset[str] = frozenset()


@dataclass(slots=True, frozen=True)
class Claim:
    """What a team asks for: desired capacity, the guaranteed part of it, and the buffered part."""

    team: str
    desired: float
    guaranteed: float
    buffered: float = 0.0


@dataclass(slots=True)
class Binding:
    """The outcome of a round."""

    owner: dict[str, str] = field(default_factory=dict)
    short: dict[str, float] = field(default_factory=dict)
    thin: dict[str, list[str]] = field(default_factory=dict)


def parts(units: Iterable[Unit], zones: tuple[str, ...]) -> dict[str, float]:
    """The size of a reservation's part in each zone."""
    sums = dict.fromkeys(zones, 0.0)
    for unit in units:
        sums[unit.zone] = sums.get(unit.zone, 0.0) + unit.size
    return sums


def goal(claim: Claim, held: dict[str, float], zones: int) -> float:
    """The total at which a reservation is whole: losing its largest zone leaves the buffered part."""
    if zones < 2 or claim.buffered <= 0:
        return claim.desired
    return max(claim.desired, claim.buffered + max(held.values()))


def bind(
    units: list[Unit], claims: list[Claim], current: dict[str, str], zones: tuple[str, ...], alpha_extra: float
) -> Binding:
    """Keep what serves, shed the surplus idle first, then give free machines to whoever lacks most."""
    result = Binding()
    by_name = {unit.name: unit for unit in units}
    wanted = {claim.team: claim for claim in claims}
    held: dict[str, list[Unit]] = {claim.team: [] for claim in claims}
    free: dict[str, Unit] = dict(by_name)
    for name, team in current.items():
        unit = by_name.get(name)
        if unit is not None and team in held:
            held[team].append(unit)
            del free[name]
    for team, mine in held.items():
        claim = wanted[team]
        # idle machines go first, and of those the ones in the fullest zone; a machine that runs the
        # team's own work is never moved for balance alone
        while mine:
            total = sum(unit.size for unit in mine)
            sizes = parts(mine, zones)
            spare = [u for u in mine if team not in u.teams and total - u.size >= goal(claim, sizes, len(zones))]
            if not spare:
                break
            unit = max(spare, key=lambda u: (u.idle, sizes[u.zone], u.name))
            mine.remove(unit)
            free[unit.name] = unit
    alpha = 1.0 / (len(zones) - 1) + alpha_extra if len(zones) > 1 else None

    def lacking(claim: Claim, guaranteed_only: bool) -> float:
        mine = held[claim.team]
        total = sum(unit.size for unit in mine)
        if guaranteed_only:
            return min(claim.guaranteed, claim.desired) - total
        return goal(claim, parts(mine, zones), len(zones)) - total

    for guaranteed_only in (True, False):
        while free:
            team_lack, team = max(
                ((lacking(claim, guaranteed_only), claim.team) for claim in claims), default=(0.0, "")
            )
            if team_lack <= 1e-6:
                break
            sizes = parts(held[team], zones)
            limit = None if alpha is None else alpha * max(wanted[team].desired, 1.0)

            def fit(
                unit: Unit, team: str = team, sizes: dict[str, float] = sizes, limit: float | None = limit
            ) -> tuple[bool, bool, float, bool, str]:
                over = limit is not None and sizes[unit.zone] + unit.size > limit
                return (over, team not in unit.teams, sizes[unit.zone], not unit.idle, unit.name)

            unit = min(free.values(), key=fit)
            held[team].append(unit)
            del free[unit.name]
    for claim in claims:
        mine = held[claim.team]
        for unit in mine:
            result.owner[unit.name] = claim.team
        lack = lacking(claim, False)
        if lack > 1e-6:
            result.short[claim.team] = lack
        sizes = parts(mine, zones)
        result.thin[claim.team] = sorted(zones, key=lambda zone: (sizes[zone], zone))
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
