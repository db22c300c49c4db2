"""Tables of cases for the binding round."""

import json

import pytest

from passrock.core.reservation import Claim, Unit, bind, pages, zone_gap

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


@pytest.mark.parametrize("names", [0, 1, 290, 900])
def test_a_reservation_of_any_size_fits_its_records(names):
    """A team's 450 machines once made a record larger than the state service takes, and it was never written."""
    wanted = [f"host-{number:06d}" for number in range(names)]
    found = pages(wanted, 4096 * 0.9)
    assert [name for page in found for name in page] == wanted and found
    assert all(len(json.dumps({"m": page}, separators=(",", ":"))) <= 4096 for page in found)


def test_a_round_over_a_thousand_free_machines_is_short():
    """The first round after a takeover without records; looking at every machine for each one bound took seconds."""
    looked = 0

    class Counted(Unit):
        def __getattribute__(self, name):
            nonlocal looked
            looked += name == "size"
            return super().__getattribute__(name)

    inventory = [Counted(f"m{number:04d}", "abc"[number % 3], 1.0, number % 2 == 0) for number in range(1000)]
    result = bind(inventory, [Claim(f"t{n}", 100.0, 50.0, 60.0) for n in range(10)], {}, ZONES, 0.1)
    assert len(result.owner) == 1000 and looked < 50 * len(inventory)
