"""Tables of cases for the binding round."""

import pytest

from passrock.core.reservation import Claim, Unit, bind, zone_gap

ZONES = ("a", "b", "c")


def units(text):
    """``a1 b1* ...``: machines by zone; a star marks a busy one, ``=t`` the team that runs there."""
    made = []
    for number, word in enumerate(text.split()):
        word, _, team = word.partition("=")
        made.append(
            Unit(f"{word.strip('*')}-{number}", word[0], 1.0, "*" not in word, frozenset([team] if team else []))
        )
    return made


def count(result, team):
    return sum(1 for owner in result.owner.values() if owner == team)


@pytest.mark.parametrize(
    ("machines", "claims", "zones", "expected"),
    [
        ("a b c", [Claim("x", 2, 0)], ZONES, {"x": 2}),
        ("a b c", [Claim("x", 2, 0, 2)], ZONES, {"x": 3}),  # losing any zone leaves two
        ("a a a a", [Claim("x", 2, 0, 2)], ("a",), {"x": 2}),  # one zone: no buffer
        ("a b", [Claim("x", 2, 0), Claim("y", 2, 2)], ZONES, {"x": 0, "y": 2}),  # guarantees first
        ("a b c", [Claim("x", 2, 1), Claim("y", 2, 1)], ZONES, {"x": 2, "y": 1}),
        ("a b c", [Claim("x", 0, 1)], ZONES, {"x": 0}),
    ],
)
def test_capacity_goes_to_whom_it_is_due(machines, claims, zones, expected):
    result = bind(units(machines), claims, {}, zones, 0.1)
    counts = {claim.team: count(result, claim.team) for claim in claims}
    assert sum(counts.values()) == sum(expected.values())
    assert counts == expected or sorted(counts.values()) == sorted(expected.values())


def test_thinnest_zone_first_and_shortage_reported():
    result = bind(units("a a a b c"), [Claim("x", 3, 0)], {}, ZONES, 0.1)
    assert {name[0] for name in result.owner} == {"a", "b", "c"}
    result = bind(units("a"), [Claim("x", 3, 0)], {}, ZONES, 0.1)
    assert result.short == {"x": 2.0}


def test_surplus_is_shed_idle_first_and_busy_machines_stay():
    machines = units("a*=x b c*=x")
    current = {unit.name: "x" for unit in machines}
    result = bind(machines, [Claim("x", 1, 0)], current, ZONES, 0.1)
    assert set(result.owner) == {"a-0", "c-2"}


def test_a_machine_that_runs_the_teams_work_is_preferred():
    result = bind(units("a b*=x"), [Claim("x", 1, 0)], {}, ("a", "b"), 10.0)
    assert set(result.owner) == {"b-1"}


@pytest.mark.parametrize(
    ("production", "room", "zones", "gap"),
    [
        ({"a": 2.0}, {"a": 9.0, "b": 1.0, "c": 0.0}, ZONES, 1.0),
        ({"a": 2.0, "b": 1.0}, {"a": 1.0, "b": 1.0, "c": 1.0}, ZONES, 0.0),
        ({"a": 5.0}, {"a": 0.0}, ("a",), 0.0),
    ],
)
def test_room_for_a_lost_zone(production, room, zones, gap):
    assert zone_gap(production, room, zones) == gap
