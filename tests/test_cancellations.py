"""The log of cancellations: its replication in slices, and the time until which it is complete."""

import math

import msgspec
import pytest

from passrock.core.cancellations import (
    CancellationLog,
    PeerLogAnswer,
    PeerLogProgress,
    complete_until,
    renewal_horizon,
)
from passrock.core.instants import NEVER
from passrock.io.peer_link import PeerConnection
from passrock.io.peer_messages import PeerHeartbeat, decode, frame
from passrock.io.peers import PeerExchange, PeerTable

HEARTBEAT = PeerHeartbeat("n0", 1, False, False, True, incarnation=7)


@pytest.mark.parametrize(
    ("cancel_s", "lease_s", "report_s"),
    [(31.0, 11.0, 1.0), (44.0, 14.0, 1.5), (35.25, 15.25, 2.5), (45.25, 15.25, 2.5)],
)
def test_a_lease_renewed_at_the_horizon_expires_in_time(cancel_s, lease_s, report_s):
    horizon = renewal_horizon(cancel_s, lease_s, report_s)
    assert horizon > 2 * report_s
    assert horizon * 1.0005 + lease_s * 1.0005 + report_s < cancel_s  # with clock drift, and a margin


def test_entries_are_dropped_after_their_retention():
    log = CancellationLog(retention_s=10.0)
    assert [log.add(job, at) for job, at in (("a", 0.0), ("b", 5.0), ("a", 6.0), ("c", 12.0))] == [1, 1, 0, 1]
    assert (log.first, log.total) == (1, 3)
    assert "a" not in log
    assert "b" in log
    slices = [log.entries_since(0, 9), log.entries_since(2, 9), log.entries_since(1, 1)]
    assert slices == [(1, ["b", "c"]), (2, ["c"]), (1, ["b"])]
    assert log.entries_since(3, 9) == (3, [])
    assert log.added_at("c") == 12.0
    assert log.added_at("x") is None


def test_the_listener_is_called_once_for_each_entry():
    added = []
    log = CancellationLog(retention_s=10.0, on_added=added.append)
    for job in ("a", "b", "a"):
        log.add(job, 0.0)
    assert added == ["a", "b"]


# Answers of one peer: (incarnation, replica loaded, staleness, first, total, entries, requested at);
# then the new entries of the last answer, and the two times that all answers prove.
ANSWERS = [
    pytest.param([(1, True, None, 0, 2, "ab", 5.0)], "ab", 5.0, NEVER, id="whole log"),
    pytest.param([(1, True, 0.5, 0, 3, "ab", 5.0)], "ab", NEVER, NEVER, id="first of two slices"),
    pytest.param([(1, True, 0.5, 0, 3, "ab", 5.0), (1, True, 0.5, 2, 3, "c", 6.0)], "c", 6.0, 5.5, id="both slices"),
    pytest.param(
        [(1, True, None, 0, 2, "ab", 5.0), (1, True, None, 0, 2, "ab", 6.0)],
        "",
        6.0,
        NEVER,
        id="same slice twice",
    ),
    pytest.param(
        [(1, True, None, 0, 2, "ab", 5.0), (1, True, None, 1, 3, "bc", 6.0)], "c", 6.0, NEVER, id="overlapping slices"
    ),
    pytest.param(
        [(1, True, None, 0, 1, "a", 5.0), (1, True, None, 4, 5, "e", 6.0)],
        "e",
        6.0,
        NEVER,
        id="peer has dropped older entries",
    ),
    pytest.param(
        [(1, True, None, 0, 1, "a", 5.0), (2, False, None, 0, 0, "", 6.0)],
        "",
        5.0,
        NEVER,
        id="restarted, replica not loaded",
    ),
    pytest.param(
        [(1, True, None, 0, 1, "a", 5.0), (2, True, None, 0, 1, "b", 6.0)],
        "b",
        6.0,
        NEVER,
        id="restarted, replica loaded",
    ),
    pytest.param(
        [(2, False, 1.0, 0, 1, "a", 6.0)],
        "a",
        NEVER,
        5.0,
        id="replica not loaded, but log complete from another peer",
    ),
]


@pytest.mark.parametrize(("answers", "new", "peer_until", "any_until"), ANSWERS)
def test_the_log_of_a_peer_is_complete_until_its_last_fully_applied_answer(answers, new, peer_until, any_until):
    progress = PeerLogProgress()
    for *fields, requested_at in answers:
        new_job_ids = progress.apply(PeerLogAnswer(*fields), requested_at)
    assert "".join(new_job_ids) == new
    assert (progress.confirmed_by_peer_until, progress.confirmed_by_any_until) == (peer_until, any_until)


def peer(peer_until, any_until=NEVER):
    progress = PeerLogProgress()
    progress.confirmed_by_peer_until, progress.confirmed_by_any_until = peer_until, any_until
    return progress


@pytest.mark.parametrize(
    ("read_at", "peers", "expected"),
    [
        (3.0, [peer(8.0), peer(9.0)], 8.0),  # what the peers confirmed, and what this process confirmed itself
        (3.0, [peer(8.0), peer(NEVER)], 3.0),  # one peer does not answer: the read of the store counts
        (NEVER, [peer(8.0), peer(9.0)], NEVER),  # this node's former incarnation may have confirmed more
        (NEVER, [peer(8.0), peer(NEVER, 6.0)], 6.0),  # one peer's log was complete until 6
        (3.0, [], 10.0),  # no other controller
        (NEVER, [], NEVER),
    ],
)
def test_complete_until(read_at, peers, expected):
    assert complete_until(read_at, peers, 10.0) == expected


def test_a_peer_receives_missing_entries_in_bounded_slices():
    log = CancellationLog(1e6)
    for number in range(250):
        log.add(f"wk-{number:018d}", 0.0)
    exchange = PeerExchange(PeerTable([], 1.0), lambda: HEARTBEAT, lambda heartbeat: None, log)
    request = PeerHeartbeat("n1", 1, False, False, True, applied_incarnation=7)
    received, applied = [], 0
    while applied < 250:
        reply = exchange.reply(msgspec.structs.replace(request, applied=applied))
        assert len(frame(reply)) < 16 * 1024
        received += reply.cancelled
        applied = reply.first + len(reply.cancelled)
    assert received == [f"wk-{number:018d}" for number in range(250)]
    request_to_former_incarnation = msgspec.structs.replace(request, applied_incarnation=6, applied=250)
    assert exchange.reply(request_to_former_incarnation).first == 0


def test_names_on_the_wire_are_those_of_earlier_releases():
    """Controllers of both releases run side by side during a rolling restart."""
    names = [
        "node",
        "term",
        "leading",
        "state_down",
        "has_read",
        "redirects",
        "run",
        "whole_age",
        "taken_run",
        "taken",
        "first",
        "total",
        "cancelled",
    ]
    values = ["n1", 4, True, False, True, 3, 9, 1.5, 7, 2, 5, 6, ["wk-1"]]
    body = msgspec.msgpack.encode(dict(zip(names, values, strict=True)))
    heartbeat = decode(body)
    assert msgspec.structs.astuple(heartbeat) == (*values[:-1], ("wk-1",), msgspec.UNSET)
    assert frame(heartbeat) == len(body).to_bytes(4, "big") + body


MALFORMED = [
    b"junk",
    msgspec.msgpack.encode({"node": "n1"}),
    msgspec.msgpack.encode({"version": 2}),
    *(
        msgspec.msgpack.encode(msgspec.structs.replace(HEARTBEAT, **fields))
        for fields in (
            {"term": -1},
            {"applied": -5},
            {"first": 3, "total": 2},
            {"total": 0, "cancelled": ("wk-1",)},
            {"staleness_s": -1.0},
            {"staleness_s": math.nan},
            {"staleness_s": math.inf},
        )
    ),
]


@pytest.mark.parametrize("body", MALFORMED)
def test_malformed_messages_are_not_delivered(body):
    received = []
    connection = PeerConnection(lambda _, heartbeat: received.append(heartbeat))
    connection.data_received(frame(HEARTBEAT)[:5])
    connection.data_received(frame(HEARTBEAT)[5:])
    connection.data_received(len(body).to_bytes(4, "big") + body)
    assert received == [HEARTBEAT]
