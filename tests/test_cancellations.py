"""What is known of cancellations, piece by piece, and until when that knowledge is whole."""

import math

import msgspec
import pytest

from passrock.core.cancellations import NEVER, Cancellations, PeerKnowledge, renewal_horizon, whole_until
from passrock.io.peers import PeerConnection, PeerHeartbeat, Peers, frame

ME = PeerHeartbeat("n0", 1, False, False, True, run=7)


@pytest.mark.parametrize(
    ("cancel_s", "lease_s", "report_s"),
    [(31.0, 11.0, 1.0), (44.0, 14.0, 1.5), (35.25, 15.25, 2.5), (45.25, 15.25, 2.5)],
)
def test_a_lease_given_without_knowledge_ends_in_time(cancel_s, lease_s, report_s):
    horizon = renewal_horizon(cancel_s, lease_s, report_s)
    assert horizon > 2 * report_s
    assert horizon * 1.0005 + lease_s * 1.0005 + report_s < cancel_s  # clocks that drift apart, and a margin


def test_the_list_is_bounded_in_time():
    known = Cancellations(keep_s=10.0)
    assert [known.learn(job, at) for job, at in (("a", 0.0), ("b", 5.0), ("a", 6.0), ("c", 12.0))] == [1, 1, 0, 1]
    assert (known.first, known.total) == (1, 3) and "a" not in known and "b" in known
    assert [known.piece(0, 9), known.piece(2, 9), known.piece(1, 1)] == [(1, ["b", "c"]), (2, ["c"]), (1, ["b"])]
    assert known.piece(3, 9) == (3, []) and known.when("c") == 12.0 and known.when("x") is None


# Answers of one peer: (run, has read, age of its knowledge, first, total, entries, asked at);
# then what is new of the last one, and the two times that it proves.
ANSWERS = [
    ("whole", [(1, True, None, 0, 2, "ab", 5.0)], "ab", 5.0, NEVER),
    ("in pieces: not yet", [(1, True, 0.5, 0, 3, "ab", 5.0)], "ab", NEVER, NEVER),
    ("in pieces", [(1, True, 0.5, 0, 3, "ab", 5.0), (1, True, 0.5, 2, 3, "c", 6.0)], "c", 6.0, 5.5),
    ("the same piece twice", [(1, True, None, 0, 2, "ab", 5.0), (1, True, None, 0, 2, "ab", 6.0)], "", 6.0, NEVER),
    ("an overlap", [(1, True, None, 0, 2, "ab", 5.0), (1, True, None, 1, 3, "bc", 6.0)], "c", 6.0, NEVER),
    (
        "older ones were dropped there",
        [(1, True, None, 0, 1, "a", 5.0), (1, True, None, 4, 5, "e", 6.0)],
        "e",
        6.0,
        NEVER,
    ),
    (
        "restarted, and has not read",
        [(1, True, None, 0, 1, "a", 5.0), (2, False, None, 0, 0, "", 6.0)],
        "",
        5.0,
        NEVER,
    ),
    ("restarted, read", [(1, True, None, 0, 1, "a", 5.0), (2, True, None, 0, 1, "b", 6.0)], "b", 6.0, NEVER),
    ("has not read, but heard from one that knows", [(2, False, 1.0, 0, 1, "a", 6.0)], "a", NEVER, 5.0),
]


@pytest.mark.parametrize(("name", "answers", "new", "until", "claimed"), ANSWERS, ids=[row[0] for row in ANSWERS])
def test_a_peer_is_known_until_its_last_whole_answer(name, answers, new, until, claimed):
    peer = PeerKnowledge()
    for answer in answers:
        fresh = peer.take(*answer)
    assert "".join(fresh) == new and (peer.until, peer.claimed) == (until, claimed)


def peer(until, claimed=NEVER):
    one = PeerKnowledge()
    one.until, one.claimed = until, claimed
    return one


@pytest.mark.parametrize(
    ("read_at", "peers", "expected"),
    [
        (3.0, [peer(8.0), peer(9.0)], 8.0),  # all that the others told, and what this one told itself
        (3.0, [peer(8.0), peer(NEVER)], 3.0),  # one is silent: the read counts
        (NEVER, [peer(8.0), peer(9.0)], NEVER),  # its own former self may have told more
        (NEVER, [peer(8.0), peer(NEVER, 6.0)], 6.0),  # a peer knows the whole
        (3.0, [], 10.0),  # no other controller
        (NEVER, [], NEVER),
    ],
)
def test_whole_until(read_at, peers, expected):
    assert whole_until(read_at, peers, 10.0) == expected


def test_a_peer_is_told_what_it_lacks_in_bounded_pieces():
    known = Cancellations(1e6)
    for number in range(250):
        known.learn(f"wk-{number:018d}", 0.0)
    peers = Peers([], lambda: ME, lambda heartbeat: None, known)
    got, taken = [], 0
    while taken < 250:
        reply = peers.reply(PeerHeartbeat("n1", 1, False, False, True, taken_run=7, taken=taken))
        assert len(frame(reply)) < 16 * 1024
        got += reply.cancelled
        taken = reply.first + len(reply.cancelled)
    assert got == [f"wk-{number:018d}" for number in range(250)]
    assert (
        peers.reply(PeerHeartbeat("n1", 1, False, False, True, taken_run=6, taken=250)).first == 0
    )  # of a former life


BAD = [
    b"junk",
    msgspec.msgpack.encode({"node": "n1"}),
    msgspec.msgpack.encode({"version": 2}),
    *(
        msgspec.msgpack.encode(msgspec.structs.replace(ME, **fields))
        for fields in (
            {"term": -1},
            {"taken": -5},
            {"first": 3, "total": 2},
            {"total": 0, "cancelled": ("wk-1",)},
            {"whole_age": -1.0},
            {"whole_age": math.nan},
            {"whole_age": math.inf},
        )
    ),
]


@pytest.mark.parametrize("body", BAD)
def test_a_message_that_cannot_be_ends_nothing_and_counts_for_nothing(body):
    got = []
    connection = PeerConnection(lambda _, heartbeat: got.append(heartbeat))
    connection.data_received(frame(ME)[:5])
    connection.data_received(frame(ME)[5:])
    connection.data_received(len(body).to_bytes(4, "big") + body)
    assert got == [ME]
