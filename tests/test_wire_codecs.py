"""Codecs of users, workers, cloud and key-value store: what is parsed, what is refused, what is sent."""

import cbor2
import pytest

from passrock.core.job_table import JobTable
from passrock.core.messages import Command, CommandKind, ExitReason, TaskState
from passrock.core.records import JobSpecRecord, new_job_record
from passrock.wire import cloud, store, users, workers
from passrock.wire.cbor import MalformedBodyError
from standins.simulated_cluster import SimulatedCluster

GOOD = SimulatedCluster.job(None, 412, dueS=900.0)  # the stand-in user's description of a job


def body(**changes):
    """A good submission with some fields changed; ``...`` takes a field away."""
    return cbor2.dumps({k: v for k, v in {**GOOD, **changes}.items() if v is not ...})


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"\xff\xff",
        cbor2.dumps([1]),
        cbor2.dumps({1: 2}),
        body(ref=...),
        body(ref="job-1"),
        body(ref="wk-"),
        body(ref="wk-1/2"),
        body(ref=5),
        body(volumes=0),
        body(volumes=100_001),
        body(volumes=2.5),
        body(volumes=True),
        body(cores="8"),
        body(cores=-1.0),
        body(cores=float("nan")),
        body(cards=float("inf")),
        body(format="gang"),
        body(format=["batch"]),
        body(precedence="urgent"),
        body(samePlace="yes"),
        body(spread=None),
        body(loaners=...),
        body(bindings="box"),
        body(bindings=[1]),
        body(edition=""),
        body(edition="x" * 500),
        body(dueS="soon"),
        body(loanS=...),
        cbor2.dumps({**GOOD, 7: "not text"}),
    ],
)
def test_malformed_submissions(raw):
    with pytest.raises(MalformedBodyError):
        users.parse_submission(raw)


def test_submission_and_record_round_trip():
    spec = users.parse_submission(body(unknownField=1, branch=..., bindings=["box"]))
    assert (spec.id, spec.zone, spec.machine_types, spec.deadline_s) == ("wk-000412", None, ("box",), 900.0)
    assert JobSpecRecord.from_spec(spec).to_spec() == spec
    job = JobTable(50).load(new_job_record(spec, 12.5), 7, 100.0, 20.0)
    assert (job.spec, job.submitted_at, job.page(0).mod_revision, job.waiting_count, job.submitted_at_monotonic) == (
        spec,
        12.5,
        7,
        1,
        92.5,
    )


HEARTBEAT = {
    "stack": "host-1",
    "addr": "10.1.0.1:9000",
    "binding": "box",
    "branch": "a",
    "loaners": True,
    "shift": 2,
    "accession": 88,
    "warrant": 41,
    "recallS": None,
    "volumes": [{"volume": "wk-1/3", "renewal": 2, "status": "exited", "remark": "stopped", "kept": True}],
}


def test_heartbeat_is_parsed():
    heartbeat = workers.parse_heartbeat(cbor2.dumps(HEARTBEAT))
    assert (
        heartbeat.machine,
        heartbeat.incarnation,
        heartbeat.sequence,
        heartbeat.token,
        heartbeat.reclaim_in_s,
    ) == (
        "host-1",
        2,
        88,
        41,
        None,
    )
    task = heartbeat.tasks[0]
    assert (task.job, task.index, task.attempt_number, task.state, task.exit_reason, task.checkpoint_saved) == (
        "wk-1",
        3,
        2,
        TaskState.EXITED,
        ExitReason.STOPPED,
        True,
    )


@pytest.mark.parametrize(
    "change",
    [
        {"shift": -1},
        {"accession": "1"},
        {"warrant": None},
        {"volumes": None},
        {"volumes": [{"volume": "wk-1", "renewal": 1, "status": "running"}]},
        {"volumes": [{"volume": "wk-1/x", "renewal": 1, "status": "running"}]},
        {"volumes": [{"volume": "wk-1/1", "renewal": 1, "status": "asleep"}]},
        {"recallS": "soon"},
        {"recallS": float("nan")},
        {"accession": 2**64},
        {"accession": True},
        {"loaners": 1},
        {"volumes": [{"volume": "wk-1/1", "renewal": 2**64, "status": "running"}]},
        {8: "not text"},
    ],
)
def test_malformed_heartbeats(change):
    with pytest.raises(MalformedBodyError):
        workers.parse_heartbeat(cbor2.dumps({**HEARTBEAT, **change}))


def test_answers_to_workers():
    commands = [
        Command(CommandKind.START, "wk-1", 0, 3),
        Command(CommandKind.STOP, "wk-2", 1, 1, 10.0),
        Command(CommandKind.ACKNOWLEDGE_EXIT, "wk-3", 0, 1),
    ]
    assert cbor2.loads(workers.answer(41, commands)) == {
        "warrant": 41,
        "slips": [
            {"slipKind": "launch", "volume": "wk-1/0", "renewal": 3},
            {"slipKind": "halt", "volume": "wk-2/1", "renewal": 1, "graceS": 10.0},
            {"slipKind": "clear", "volume": "wk-3/0", "renewal": 1},
        ],
    }
    assert cbor2.loads(workers.redirect("n1")) == {"returnDesk": "n1"}
    assert cbor2.loads(workers.redirect(None)) == {}


@pytest.mark.parametrize(
    ("parse", "raw"),
    [
        (cloud.parse_types, {"bindings": [{"sku": "g8"}]}),
        (cloud.parse_rented, {"stacks": [1]}),
        (cloud.parse_list, {"stacks": [{"ref": "host-1"}], "truncated": False}),
        (store.parse_entry, {"key": "a", "v": 1}),
        (store.parse_changes, {"ledger": 3, "events": [{"set": 4}]}),
        (store.parse_page, {"entries": [], "truncated": False}),
        (store.parse_lease, {"loan": "7"}),
        (store.parse_failed, {}),
    ],
)
def test_malformed_answers_are_refused(parse, raw):
    with pytest.raises(MalformedBodyError):
        parse(cbor2.dumps(raw))


def test_state_transaction():
    raw = store.commit({"a": 3}, [store.Put("a", {"x": 1}, 7), store.Put("b", 2), store.Delete("c")])
    assert cbor2.loads(raw) == {
        "if": [{"key": "a", "stamp": 3}],
        "apply": [{"set": "a", "v": {"x": 1}, "loan": 7}, {"set": "b", "v": 2}, {"drop": "c"}],
    }
