"""Golden encodings: stored records, messages and bodies keep the form that the files under tests/golden pin.

The files were written once (tests/golden/README.md tells how) and are never computed here. In their JSON an object
is a struct's fields in their order, whatever they are called, and a mapping is a list of pairs. The adapters below
turn such values into the structs of the code and back, by position, so that names of fields hardly stand here. What
the code stores or sends in passing is recorded from the code itself, by the drivers further below.
"""

import asyncio
import base64
import json
import math
import random
import time
from enum import Enum
from pathlib import Path
from types import SimpleNamespace
from typing import ClassVar

import cbor2
import fastavro
import msgspec
import pytest
from backports import zstd

from builders import BOX, SchedulerHarness
from builders import heartbeat as worker_heartbeat
from passrock.admission.controller.allocation_store import AllocationStore
from passrock.admission.controller.allocator import SlotAllocator
from passrock.admission.controller.dispatch import DispatchPrioritizer
from passrock.admission.controller.outcomes import SlotOutcomes
from passrock.admission.controller.submission_admitter import SubmissionAdmitter
from passrock.admission.core.allocation import Allocation, NodeGrant, ReceivedService
from passrock.admission.core.decision import Decision, FlowOutcome
from passrock.admission.core.demand import DemandReport, FlowDemand
from passrock.admission.core.flows import Flow, Weights
from passrock.admission.core.grants import GrantLedger
from passrock.admission.core.slots import SlotClock
from passrock.admission.core.starvation import Obstacle, StartTracker
from passrock.admission.io.decision_log import DecisionLog, DecisionLogError, log_files, read_file
from passrock.admission.settings import AdmissionSettings
from passrock.admission.wire.allocation_record import UnreadableAllocationError, decode_allocation, encode_allocation
from passrock.admission.wire.demand_message import MalformedDemandError, decode_demand, encode_demand
from passrock.controller import keys
from passrock.controller.binding_rounds import BindingRounds
from passrock.controller.commit_queue import CommitQueue
from passrock.controller.leader_term import LeaderTerm
from passrock.controller.leadership import Leadership
from passrock.controller.node import Node
from passrock.controller.provisioner import Provisioner
from passrock.controller.record_loader import load_records
from passrock.controller.renewal_policy import RenewalPolicy
from passrock.controller.replica import Replica
from passrock.controller.submissions import Submitter
from passrock.controller.worker_redirects import WorkerRedirects
from passrock.core.cancellations import CancellationLog
from passrock.core.inventory import MachineInventory
from passrock.core.job_table import JobTable
from passrock.core.machine_catalog import MachineCatalog, MachineOffering
from passrock.core.machine_health import MachineHealth
from passrock.core.messages import Command, CommandKind, ExitReason, TaskState
from passrock.core.model import JobKind, JobSpec, Priority, Resources
from passrock.core.records import (
    AdmissionToken,
    JobRecord,
    UnreadableRecordError,
    decode_record,
    encode_record,
    new_job_record,
)
from passrock.core.token_bucket import TokenBucket
from passrock.io.clock import monotonic_time, use_wall_clock
from passrock.io.cloud import CloudClient
from passrock.io.http_server import Request
from passrock.io.peer_link import PeerAnswer, PeerConnection
from passrock.io.peer_messages import PeerHeartbeat, frame
from passrock.io.peers import PeerExchange, PeerTable
from passrock.io.store import KeyValueStoreClient
from passrock.settings import OperatorSettings, parse_settings
from passrock.wire import cloud, store, users, workers
from standins import virtual_time
from standins.deployment import platform_settings

GOLDEN = Path(__file__).parent / "golden"
TIME_OF_DAY = 1_700_000_123.25
VALUE_BYTES = 1024
ADMISSION_TOKEN = AdmissionToken("p/a/000000004711/000", 97, [4711, 13])


# -- fixture files -------------------------------------------------------------------------------------------


def spelt(name):
    """What a fixture's JSON file says."""
    return json.loads((GOLDEN / f"{name}.json").read_text())


def golden(name):
    """A fixture's bytes."""
    return (GOLDEN / name).read_bytes()


def positional(value):
    """Objects as lists of their values."""
    if isinstance(value, dict):
        value = value.values()
    return [positional(one) for one in value] if not isinstance(value, str | int | float | None) else value


def plain(value):
    """Structs and tuples as lists by position, mappings as lists of pairs, bytes in hexadecimal."""
    if isinstance(value, msgspec.Struct):
        return [plain(getattr(value, name)) for name in value.__struct_fields__]
    if isinstance(value, Enum):
        return STATES.get(value, value.value)
    if isinstance(value, dict):
        return [[plain(key), plain(one)] for key, one in value.items()]
    if isinstance(value, list | tuple):
        return [plain(one) for one in value]
    if value is msgspec.UNSET:
        return None
    return value.hex() if isinstance(value, bytes) else value


def text(value):
    """As JSON, a value a line: numbers are told apart by type, mappings by order."""
    return json.dumps(value, indent=1)


# -- adapters: one for each kind of record or message --------------------------------------------------------

STATES = {
    TaskState.FETCHING: "fetching",
    TaskState.WAITING: "waiting",
    TaskState.RUNNING: "running",
    TaskState.SAVING: "saving",
    TaskState.EXITED: "exited",
    ExitReason.COMPLETED: "done",
    ExitReason.GANG_MEMBER_LOST: "peers",
    ExitReason.GANG_INCOMPLETE: "alone",
    ExitReason.FAILED: "error",
    ExitReason.INSUFFICIENT_CAPACITY: "no_room",
    ExitReason.ATTEMPT_IN_USE: "busy",
    ExitReason.JOB_UNKNOWN: "unknown",
}
COMMAND_KINDS = {"start": CommandKind.START, "stop": CommandKind.STOP, "forget": CommandKind.ACKNOWLEDGE_EXIT}


def flows(pairs, make=lambda value: value):
    return {Flow(*key.values()): make(value) for key, value in pairs}


def make_spec(values):
    job, job_class, team, kind, priority, tasks, resources, image, image_gb, types, *rest = values.values()
    types = None if types is None else tuple(types)
    kind, priority, resources = JobKind(kind), Priority(priority), Resources(*resources.values())
    return JobSpec(job, job_class, team, kind, priority, tasks, resources, image, image_gb, types, *rest)


def encode_job(values):
    spec, submitted, mark = values.values()
    return msgspec.json.encode(encode_record(new_job_record(make_spec(spec), submitted, mark)))


def decode_job(data):
    record = decode_record(msgspec.json.decode(data), JobRecord)
    job = JobTable(50).load(record, 7, 100.0, 20.0)
    assert plain(record.spec.to_spec()) == plain(job.spec)
    return [plain(job.spec), job.submitted_at, plain(record.grant_reference)]


def make_heartbeat(values):
    *fields, cancelled, extensions = values.values()
    if extensions is None:
        return PeerHeartbeat(*fields, tuple(cancelled))
    return PeerHeartbeat(*fields, tuple(cancelled), {name: bytes.fromhex(data) for name, data in extensions})


def receive_heartbeat(data):
    received = []
    connection = PeerConnection(lambda _, heartbeat: received.append(heartbeat))
    for piece in (data[:3], data[3:17], data[17:]):
        connection.data_received(piece)
    assert len(received) == 1
    assert connection.buffer == b""
    return received[0]


def encode_heartbeat(values):
    return frame(make_heartbeat(values))


def decode_heartbeat(data):
    return plain(receive_heartbeat(data))


def make_demand(values):
    node, incarnation, started_ms, number, term, rows, omitted_flows = values.values()
    counted = flows(rows, lambda row: FlowDemand(*row.values()))
    return DemandReport(node, incarnation, started_ms, number, term, counted, omitted_flows)


def encode_demand_report(values):
    return encode_demand(make_demand(values))


def decode_demand_report(data):
    return plain(decode_demand("node-3", data))


def make_grant(incarnation, interactive, shared, granted):
    return NodeGrant(incarnation, interactive, shared, flows(granted))


def make_allocation(values):
    slot, term, leader, node_grants, service, settled, started, pace = values.values()
    node_grants = {node: make_grant(*grant.values()) for node, grant in node_grants}
    teams, used = service.values()
    return Allocation(
        slot, term, leader, node_grants, ReceivedService(dict(teams), flows(used)), settled, flows(started), pace
    )


def unpacked(pages):
    """The text of an allocation's pages, not compressed: the compressed form is the library's affair."""
    return zstd.decompress(base64.b85decode("".join(page["z"] for page in pages)))


def make_decision(values):
    *fields, outcomes = values.values()
    return Decision(*fields, tuple(FlowOutcome(*one.values()) for one in outcomes))


def make_command(values):
    kind, *fields = values.values()
    return Command(COMMAND_KINDS[kind], *fields)


def make_write(values):
    kind, *fields = values.values()
    return store.Put(*fields) if kind == "put" else store.Delete(fields[0])


# fixture -> how its values are encoded, and how its bytes are decoded where the code has that direction
RECORDS = {
    **{f"records/job_{name}": ("json", encode_job, decode_job) for name in ("array", "gang", "service", "low")},
    "peers/heartbeat_leader": ("frame", encode_heartbeat, decode_heartbeat),
    "peers/heartbeat_follower": ("frame", encode_heartbeat, decode_heartbeat),
    "peers/heartbeat_demand": ("frame", encode_heartbeat, decode_heartbeat),
    "peers/heartbeat_required_only": ("frame", None, decode_heartbeat),
    "peers/demand": ("msgpack", encode_demand_report, decode_demand_report),
    "peers/demand_left_out": ("msgpack", None, decode_demand_report),
}
# fixture -> the parser of a body that others send
PARSERS = {
    **{f"users/submission_{name}": users.parse_submission for name in ("array", "gang", "service", "low")},
    "workers/report": workers.parse_heartbeat,
    "workers/report_minimal": workers.parse_heartbeat,
    "cloud/machine_types": cloud.parse_types,
    "cloud/rented": cloud.parse_rented,
    "cloud/machines": cloud.parse_list,
    "cloud/machines_last_page": cloud.parse_list,
    "state/lease": store.parse_lease,
    "state/entry": store.parse_entry,
    "state/revision": store.parse_revision,
    "state/failed": store.parse_failed,
    "state/page": store.parse_page,
    "state/page_last": store.parse_page,
    "state/changes": store.parse_changes,
}
# fixture -> the encoder of a body that is sent to others, called with the fixture's values
ENCODERS = {
    "users/brief_answer": users.brief_answer,
    "users/full_answer": users.full_answer,
    "users/error_answer": users.error_answer,
    "workers/answer": lambda token, commands: workers.answer(token, [make_command(one) for one in commands]),
    "workers/redirect": workers.redirect,
    "workers/redirect_nowhere": workers.redirect,
    "cloud/rental": cloud.rental,
    "cloud/deletion": cloud.deletion,
    "state/commit": lambda conditions, writes: store.commit(dict(conditions), [make_write(one) for one in writes]),
    "state/lease_request": store.lease_request,
}
# name in wire/paths.json -> constant, or function with its arguments there
PATHS = {
    "users runs": users.RUNS_PATH,
    "users withdraw": users.WITHDRAW_END,
    "users health": users.HEALTH_PATH,
    "workers checkin": workers.CHECKIN_PATH,
    "cloud types": cloud.TYPES_PATH,
    "cloud rentals": cloud.RENTALS_PATH,
    "cloud delete": cloud.DELETE_PATH,
    "cloud list": cloud.list_path,
    "cloud list further": cloud.list_path,
    "state leases": store.LEASES_PATH,
    "state commit": store.COMMIT_PATH,
    "state get": store.get_path,
    "state list": store.list_path,
    "state list further": store.list_path,
    "state watch": store.watch_path,
    "state renew": store.renew_path,
    "state lease": store.lease_path,
}
# name in records/keys.json -> prefix or key, or function with its arguments there
KEYS = {
    "root": keys.ROOT,
    "jobs": keys.JOB,
    "chunks": keys.TASK_PAGE,
    "cancellations": keys.CANCELLATION,
    "finals": keys.FINAL,
    "intents": keys.PROVISIONING_INTENT,
    "reservations": keys.RESERVATION,
    "reservation pages": keys.RESERVATION_PAGE,
    "hints": keys.IMAGE_HINTS,
    "allocations": keys.ALLOCATION,
    "leader": keys.LEADER,
    "term": keys.TERM,
    "nowhere": keys.PROBE,
    "job": keys.job,
    "first chunk": keys.task_page,
    "further chunk": keys.task_page,
    "cancellation": keys.cancellation,
    "final": keys.final,
    "reservation": keys.reservation,
    "reservation page": keys.reservation,
    "team of a reservation": keys.reservation_team,
    "team of a reservation page": keys.reservation_team,
    "allocation": keys.allocation,
    "slot of an allocation": keys.allocation_slot,
    "slot of a page": keys.allocation_slot,
    "slot of something else": keys.allocation_slot,
}


# -- codecs --------------------------------------------------------------------------------------------------


@pytest.mark.parametrize("name", [name for name, (_, encode, _) in RECORDS.items() if encode is not None])
def test_records_and_messages_are_encoded_to_the_golden_bytes(name):
    suffix, encode, _ = RECORDS[name]
    assert encode(spelt(name)) == golden(f"{name}.{'record' if suffix == 'json' else suffix}")


@pytest.mark.parametrize("name", RECORDS)
def test_golden_records_and_messages_are_decoded(name):
    suffix, _, decode = RECORDS[name]
    assert text(decode(golden(f"{name}.{'record' if suffix == 'json' else suffix}"))) == text(positional(spelt(name)))


@pytest.mark.parametrize("name", PARSERS)
def test_golden_bodies_are_parsed(name):
    assert text(plain(PARSERS[name](golden(f"{name}.cbor")))) == text(positional(spelt(name)))


@pytest.mark.parametrize("name", ENCODERS)
def test_bodies_are_encoded_to_the_golden_bytes(name):
    assert ENCODERS[name](*spelt(name).values()) == golden(f"{name}.cbor")


@pytest.mark.parametrize(("fixture", "table"), [("wire/paths", PATHS), ("records/keys", KEYS)])
def test_paths_and_keys(fixture, table):
    rows = spelt(fixture)
    assert {name: row["arguments"] is not None for name, row in rows.items()} == {
        name: callable(made) for name, made in table.items()
    }
    for name, row in rows.items():
        made = table[name](*row["arguments"]) if callable(table[name]) else table[name]
        assert plain(made) == row["text"], name


def test_allocation_is_encoded_to_the_golden_text_on_pages_of_bounded_size():
    expected = spelt("records/allocation_pages")
    pages = encode_allocation(make_allocation(spelt("records/allocation")), 300)
    assert unpacked(pages) == unpacked(expected) == golden("records/allocation.msgpack")
    head = pages[0]
    assert (list(head), head["v"], head["pages"]) == (["v", "pages", "z"], 1, len(pages))
    assert len(pages) > 2
    assert all(list(page) == ["z"] and len(page["z"]) <= 100 for page in pages[1:])


def test_golden_allocation_is_decoded():
    allocation = decode_allocation(spelt("records/allocation_pages"))
    assert text(plain(allocation)) == text(positional(spelt("records/allocation")))


def test_decision_log_is_written_with_the_golden_schema_and_rows(tmp_path):
    log = DecisionLog(str(tmp_path), 1 << 20, 1_700_000_123_456)
    for decision in map(make_decision, spelt("log/decisions")):
        log.add(decision)
    log.close()
    (path,) = log_files(str(tmp_path))
    assert Path(path).name == "decisions-001700000123456-00000.avro"
    written, expected = (read_avro(name) for name in (path, GOLDEN / "log/decisions.avro"))
    assert written == expected  # the files themselves differ: each has a random mark between its blocks


def read_avro(path):
    """Schema, compression and rows, as any tool for such files reads them."""
    with Path(path).open("rb") as file:
        reader = fastavro.reader(file)
        return reader.metadata, reader.codec, list(reader)


def test_golden_decision_log_is_read():
    decisions = list(read_file(str(GOLDEN / "log/decisions.avro")))
    assert text(plain(decisions)) == text(positional(spelt("log/decisions")))


# -- records that the code makes while it works: what it sends to the services is recorded -------------------


class RecordingHttp:
    """Records what a client sends, and answers like a service that carries out every request."""

    ANSWERS: ClassVar = {
        "/commit": {"ledger": 4711},
        "/leases": {"loan": 77},
        "/rentals": {"stacks": ["host-41", "host-42"]},
    }

    def __init__(self, stored=None):
        self.stored = stored or {}  # key -> value and version
        self.sent = []
        self.listed = [cbor2.dumps({"stacks": []})]  # answers to the machine list, the last one again and again

    async def request(self, method, path, body=b"", timeout=0.0):
        self.sent.append((method, path, body))
        key = path.removeprefix("/kv/")
        if key in self.stored:
            value, version = self.stored[key]
            return 200, cbor2.dumps({"key": key, "v": value, "stamp": version})
        if path.startswith("/kv/"):
            return 404, cbor2.dumps({"ledger": 4710})
        if method == "GET" and path.startswith("/rentals"):
            return 200, self.listed.pop(0) if len(self.listed) > 1 else self.listed[0]
        if path == "/machine_types":
            return 200, golden("cloud/machine_types.cbor")
        return 200, cbor2.dumps(self.ANSWERS.get(path, {}))

    def changing(self):
        """The requests that change something."""
        return [sent for sent in self.sent if sent[0] != "GET"]


def state_client(http):
    return KeyValueStoreClient(http, http, TokenBucket(1e4, 1e4), TokenBucket(1e4, 1e4))


def cloud_client(http):
    return CloudClient(http, TokenBucket(1e4, 1e4))


def make_settings(admission=None):
    table = platform_settings(1, 3, ("za", "zb", "zc"), guarantee=8.0)
    table["deployment"]["state"]["value_kb"] = VALUE_BYTES / 1024
    table["deployment"]["cloud"]["list_lag_s"] = 0.0
    table["deployment"]["teams"][0]["gpus_max"] = 1000.0
    faults = []
    settings = parse_settings(table, OperatorSettings(), faults)
    assert faults == []
    return msgspec.structs.replace(settings, admission=admission)


def make_replica(client, entries=(), revision=10**9):
    replica = Replica(client, 100)
    replica.loaded, replica.revision = True, revision
    replica.entries.update({entry.key: entry for entry in entries})
    return replica


def make_node(http, admission=None, links=()):
    """A controller whose replica is empty and up to date."""
    node = Node(make_settings(admission), state_client(http), cloud_client(http), links, random.Random(5))
    node.replica.loaded, node.replica.revision = True, 4710
    return node


def make_leadership(client, replica, term=41, stamp=97):
    """A leadership that has just begun."""
    leadership = Leadership(make_settings(), client, replica, random.Random(5))
    leadership.leading, leadership.term, leadership.leader_revision = True, term, stamp
    return leadership


def make_redirects(client, replica):
    settings = make_settings()
    leadership = Leadership(settings, client, replica, random.Random(5))
    return WorkerRedirects(settings, leadership, client, replica, PeerTable([], settings.report_s))


def make_rounds(client, harness):
    leadership = make_leadership(client, make_replica(client))
    catalog = MachineCatalog({"box": BOX})
    return BindingRounds(
        make_settings(), client, leadership, harness.job_table, harness.inventory, catalog, harness.scheduler
    )


async def accept_a_job(http):
    """A submission with an admission token, as a follower commits it."""
    spec = users.parse_submission(golden("users/submission_array.cbor"))
    assert await Submitter(state_client(http), 9).submit(spec, ADMISSION_TOKEN)


def started_job():
    """A job of two records with attempts and completed tasks in both."""
    harness = SchedulerHarness((), page_size=4)
    machine = harness.inventory.observe(worker_heartbeat("host-31", incarnation=6, sequence=2), BOX, 0.0)
    job = harness.job_table.load(
        decode_record(msgspec.json.decode(golden("records/job_array.record")), JobRecord), 98, 100.0, 20.0
    )
    for index, attempt_number in ((1, 21), (4, 23), (2, 22), (5, 24), (3, 25)):
        harness.job_table.add_attempt(job, index, machine, attempt_number, 0.0)
    for attempt in [attempt for attempt in job.attempts() if attempt.index in (1, 3, 4)]:
        harness.job_table.record_attempt_completed(attempt)
    return harness, job


def commit_queue(client, job_table):
    return CommitQueue(client, job_table, 97, 12, lambda job_id, status: None, lambda: None, lambda: None)


async def record_attempts(http):
    """A job's own record and that of its further tasks."""
    harness, _ = started_job()
    queue = commit_queue(state_client(http), harness.job_table)
    assert await queue.commit(queue.build_transaction(12))


async def finish_jobs(http):
    """A job that is done, a cancelled one, and the records of tasks that they leave behind."""
    harness, job = started_job()
    for index in (0, 6):
        harness.job_table.add_attempt(job, index, harness.inventory.machines["host-31"], 26, 0.0)
    for attempt in list(job.attempts()):
        harness.job_table.record_attempt_completed(attempt)
    job.page(4).mod_revision = 99
    other = harness.job_table.load(
        decode_record(msgspec.json.decode(golden("records/job_gang.record")), JobRecord), 96, 100.0, 20.0
    )
    harness.job_table.cancel(other, 50.0)
    queue = commit_queue(state_client(http), harness.job_table)
    assert await queue.commit(queue.build_transaction(12))
    assert await queue.commit(queue.build_transaction(12))


async def withdraw_a_job(http):
    """A user cancels a job."""
    node = make_node(http)
    value = msgspec.json.decode(golden("records/job_array.record"))
    node.replica.entries["p/j/wk-4071"] = store.Entry("p/j/wk-4071", value, 98)
    answer = await node.handle(Request("POST", "/v2/runs/wk-4071/withdraw", b""))
    assert (answer.status, cbor2.loads(answer.body)) == (200, {"ref": "wk-4071", "status": "cancelled"})


def machines_with_images():
    """Machines with images, and a team that asks for most of them."""
    names = [f"host-{number}-with-a-name-of-forty-characters" for number in range(32, 62)]
    harness = SchedulerHarness((), page_size=50)
    for name in ("host-31", *names):
        harness.add_machine(name)
    for place, name in enumerate(("host-31", *names[:7])):
        harness.inventory.machines[name].images.update({f"edition-{place % 3}": 2.5 + place % 3, "edition-9": 9.75})
    harness.job(1, tasks=60, team="t0")
    return harness


async def bind_machines(http):
    """A binding round: a reservation of two pages, two that are empty, and two records of image hints."""
    harness = machines_with_images()
    rounds = make_rounds(state_client(http), harness)
    rounds.run_if_due(1e6)
    while len(rounds.assignments) < 30 or not http.sent:
        await asyncio.sleep(0.1)
    await asyncio.sleep(10.0)


async def shrink_a_reservation(http):
    """A round that leaves an earlier leader's reservation with fewer machines than its record and its page hold."""
    harness = SchedulerHarness(())
    harness.add_machine("host-31")
    harness.job(1, tasks=2, team="t0")
    rounds = make_rounds(state_client(http), harness)
    for entry in golden_entries("binding_round"):
        if entry.key.startswith(("p/r/", "p/m/")):
            rounds.load(entry)
    rounds.run_if_due(1e6)
    await asyncio.sleep(10.0)


def make_provisioner(client, http, leadership):
    return Provisioner(
        make_settings(),
        client,
        cloud_client(http),
        MachineCatalog(cloud.parse_types(golden("cloud/machine_types.cbor"))),
        MachineInventory(MachineHealth(1.0, 10.0, 0.36, 0.0), leadership.term),
        leadership,
        on_machine_lost=lambda name: None,
        on_change=lambda: None,
    )


async def rent_machines(http):
    """A provisioning request: its intent written first, sent, and completed."""
    client = state_client(http)
    leadership = make_leadership(client, make_replica(client))
    provisioner = make_provisioner(client, http, leadership)
    provisioner.provision(MachineOffering("g8", "zb", spot=True), 17)
    await asyncio.sleep(10.0)


async def resume_a_rental(http):
    """A new leader repeats what an earlier one may have left unanswered."""
    client = state_client(http)
    leadership = make_leadership(client, make_replica(client), term=42, stamp=197)
    provisioner = make_provisioner(client, http, leadership)
    provisioner.resume_requests([entry for entry in golden_entries("rental") if entry.key.startswith("p/q/")])
    await asyncio.sleep(10.0)


async def delete_listed_machines(http):
    """Of the machines in the cloud's list, one has failed, and one runs without any heartbeat."""
    http.listed = [golden("cloud/machines_last_page.cbor"), golden("cloud/machines_mute.cbor")]
    client = state_client(http)
    leadership = make_leadership(client, make_replica(client))
    provisioner = make_provisioner(client, http, leadership)
    work = [asyncio.ensure_future(loop) for loop in (provisioner.poll_machine_list(), provisioner.run_deletions())]
    await asyncio.sleep(60.0)
    for task in work:
        task.cancel()


async def take_the_leadership(http):
    """A node takes over its own former leader key, with the next term."""
    client = state_client(http)
    former = [store.Entry("p/lead", {"node": "n1", "term": 40}, 95), store.Entry("p/term", 40, 94)]
    leadership = Leadership(make_settings(), client, make_replica(client, former), random.Random(5))
    work = asyncio.ensure_future(leadership.run())
    while not leadership.leading:
        await asyncio.sleep(0.1)
    work.cancel()


DRIVEN = {
    "submission": accept_a_job,
    "attempts": record_attempts,
    "finished_jobs": finish_jobs,
    "withdrawal": withdraw_a_job,
    "binding_round": bind_machines,
    "shrunken_reservation": shrink_a_reservation,
    "rental": rent_machines,
    "resumed_rental": resume_a_rental,
    "deletions": delete_listed_machines,
    "leadership": take_the_leadership,
}


@pytest.fixture
def wall_clock():
    """The time of day stands still."""
    use_wall_clock(lambda: TIME_OF_DAY)
    yield
    use_wall_clock(time.time)


def driven(name):
    async def main():
        async with asyncio.timeout(100.0):  # of virtual time
            await DRIVEN[name](http)

    http = RecordingHttp()
    virtual_time.run(main())
    return http.changing()


@pytest.mark.parametrize("name", DRIVEN)
def test_requests_that_carry_records_keep_their_bytes(name, wall_clock):
    expected = spelt(f"requests/{name}")
    sent = driven(name)
    assert [[method, path] for method, path, _ in sent] == [[row["method"], row["path"]] for row in expected]
    for number, ((_, _, body), row) in enumerate(zip(sent, expected, strict=True)):
        assert text(cbor2.loads(body)) == text(row["body"])
        assert body == golden(f"requests/{name}.{number}.cbor")


# -- records are read ----------------------------------------------------------------------------------------


def golden_entries(*names):
    """What the golden requests leave in the state, by their bodies' bytes; each with a version of its own."""
    entries = {}
    for name in names:
        for path in sorted((GOLDEN / "requests").glob(f"{name}.*.cbor")):
            for change in cbor2.loads(path.read_bytes()).get("apply", ()):
                if "set" in change:
                    entries[change["set"]] = store.Entry(change["set"], change["v"], 1000 + len(entries))
    return list(entries.values())


def loaded(entries):
    """What a new term has loaded from a replica with these entries."""
    harness = SchedulerHarness((), page_size=4)
    client = state_client(RecordingHttp())
    rounds, queue = make_rounds(client, harness), commit_queue(client, harness.job_table)
    load_records(
        make_replica(client, entries), CancellationLog(1e6), harness.job_table, harness.inventory, rounds, queue
    )
    return harness, rounds, queue


def job_values(job):
    """A job as the job table holds it."""
    pages = [
        [number, one.first, one.attempt_number, one.completed, one.mod_revision]
        for number, one in sorted(job.pages.items())
    ]
    attempts = [
        [attempt.index, attempt.number, attempt.machine, attempt.incarnation, attempt.placed_this_term]
        for attempt in job.attempts()
    ]
    at = job.cancelled_at if math.isfinite(job.cancelled_at) else None
    return [
        plain(job.spec),
        job.submitted_at,
        job.submitted_at_monotonic,
        job.done_count,
        job.cancelled,
        at,
        pages,
        attempts,
    ]


def test_a_new_leader_reads_the_golden_records(wall_clock):
    async def main():
        await asyncio.sleep(50.0)  # by the steady clock; records tell the time of day
        use_wall_clock(lambda: TIME_OF_DAY + 12.5)
        stray = store.Entry("p/t/wk-4079/1", {}, 3)
        harness, rounds, queue = loaded([*golden_entries("attempts", "withdrawal", "binding_round"), stray])
        (job,) = harness.job_table.jobs.values()
        return [job_values(job), plain(rounds.assignments), plain(harness.inventory.image_hints), queue.orphaned_keys]

    assert text(virtual_time.run(main())) == text(positional(spelt("records/loaded")))


@pytest.mark.parametrize(("fixture", "records"), [("running_job", ["attempts"]), ("queued_job", ["submission"])])
def test_golden_records_of_a_job_answer_a_query(fixture, records, wall_clock):
    async def main():
        node = make_node(RecordingHttp())
        node.user_api.lookup.page_size = 4
        node.replica.entries.update({entry.key: entry for entry in golden_entries(*records)})
        return await node.handle(Request("GET", "/v2/runs/wk-4071", b""))

    answer = virtual_time.run(main())
    assert answer.status == 200
    assert answer.body == golden(f"users/{fixture}.cbor")


def test_golden_submission_gets_the_golden_answer(wall_clock):
    async def main():
        node = make_node(RecordingHttp())
        node.catalog.types = cloud.parse_types(golden("cloud/machine_types.cbor"))
        return await node.handle(Request("POST", "/v2/runs", golden("users/submission_known_team.cbor")))

    answer = virtual_time.run(main())
    assert answer.status == 201
    assert answer.body == golden("users/accepted_job.cbor")


@pytest.mark.parametrize(("key", "place"), [("p/f/wk-4071", "done"), ("p/f/wk-4072", "cancelled")])
def test_golden_final_states_are_answered_to_users(key, place, wall_clock):
    """Read by its key, where the replica no longer holds it, and from a change that the replica applies."""
    entry = next(entry for entry in golden_entries("finished_jobs") if entry.key == key)
    job_id = key.rpartition("/")[2]

    async def main():
        http = RecordingHttp({key: (entry.value, entry.mod_revision)})
        answer = await make_node(http).handle(Request("GET", f"/v2/runs/{job_id}", b""))
        replica = make_replica(state_client(http), revision=4000)
        http.ANSWERS = {
            "/changes?prefix=p/&after=4000&holdMs=4000": {
                "ledger": 4001,
                "events": [{"set": key, "v": entry.value, "stamp": 4001}],
            }
        }
        work = asyncio.ensure_future(replica.run())
        assert await replica.wait_for_revision(4001, 5.0)
        work.cancel()
        return answer, dict(replica.final_statuses)

    answer, finals = virtual_time.run(main())
    assert answer.status == 200
    assert answer.body == golden(f"users/{place}_job.cbor")
    assert finals == {job_id: place}


def test_golden_leader_and_term_are_known_to_followers(wall_clock):
    async def main():
        entries = golden_entries("leadership")
        client = state_client(RecordingHttp())
        client.last_success_at = 0.0
        replica = make_replica(client, entries)
        redirects = make_redirects(client, replica)
        replica.apply([store.Change(entry.key, True, entry.value, entry.mod_revision) for entry in entries], 0)
        return redirects.current_leader(monotonic_time()), redirects.leadership.highest_term

    assert virtual_time.run(main()) == ("n1", 41)


def apply_to_replica(node, key, value, version=7):
    """Let a node's replica apply a change of an entry."""
    node.replica.apply([store.Change(key, True, value, version)], 0)


def test_golden_grant_reference_counts_the_job_in_its_slot(wall_clock):
    async def main():
        node = make_node(RecordingHttp(), AdmissionSettings())
        record = msgspec.json.decode(golden("records/job_array.record"))
        apply_to_replica(node, "p/j/wk-4071", record)
        return plain(node.admission.admitted.counts(4711))

    assert virtual_time.run(main()) == [[["team-ore", "class-sift"], 1]]


def test_golden_allocation_opens_its_slot(wall_clock):
    async def main():
        node = make_node(RecordingHttp(), AdmissionSettings())
        for page, value in enumerate(spelt("records/allocation_pages")):
            apply_to_replica(node, keys.allocation(4711, page), value)
        stored = node.admission.allocations.get(4711)
        return plain(stored.allocation), stored.mod_revision, stored.pages

    allocation, version, pages = virtual_time.run(main())
    assert text(allocation) == text(positional(spelt("records/allocation")))
    assert (version, pages) == (7, len(spelt("records/allocation_pages")))


def test_golden_allocation_gives_the_golden_admission_token(wall_clock):
    values = spelt("records/allocation")
    grants = GrantLedger("node-1", 7000001)
    allocations = AllocationStore(dict, grants.add)
    clock = SlotClock(TIME_OF_DAY / (4711 + 0.5))
    admitter = SubmissionAdmitter(clock, grants, allocations, Weights({}, (), {}, {}, 1.5), random.Random(5))
    allocations.put(make_allocation(values), 97, 3)
    assert plain(admitter.decide(make_spec(spelt("users/submission_array")))) == positional(spelt("records/permit"))


def test_a_slot_is_committed_under_the_golden_keys_and_conditions(wall_clock):
    """The record itself is pinned above; here without its text, which the allocation algorithm decides."""

    async def main():
        http = RecordingHttp()
        client = state_client(http)
        leadership = make_leadership(client, make_replica(client))
        settings, admission = make_settings(AdmissionSettings()), AdmissionSettings()
        control = make_node(RecordingHttp(), AdmissionSettings()).admission
        dispatch = DispatchPrioritizer(StartTracker(60.0), 600.0, 120.0, 1.0)
        weights, demand, concluded = control.weights, control.demand, []
        outcomes = SlotOutcomes(control.clock, weights, control.admitted, demand, dispatch, concluded.append)
        allocations = AllocationStore(dict, lambda allocation: None)
        for slot, version, pages in ((4709, 61, 2), (4710, 62, 1), (4711, 63, 3)):
            allocations.put(make_allocation({**spelt("records/allocation"), "slot": slot}), version, pages)
        allocator = SlotAllocator(
            settings, admission, client, leadership, allocations, outcomes, control.demand_report, lambda: 0.0
        )
        await allocator.decide(4712)
        return http.changing(), allocations.get(4712).mod_revision

    sent, version = virtual_time.run(main())
    ((method, path, body),) = sent
    body = cbor2.loads(body)
    texts = [change["v"].pop("z") for change in body["apply"] if "set" in change]
    assert [[method, path, body]] == [list(row.values()) for row in spelt("requests/allocation")]
    assert decode_allocation([{**body["apply"][0]["v"], "z": texts[0]}]).slot == 4712
    assert version == 4711


@pytest.mark.parametrize(
    ("key", "record", "ended"),
    [("p/f/wk-4071", "finished_jobs", [["wk-4071", "done"]]), ("p/c/wk-4071", "withdrawal", [])],
)
def test_golden_records_are_read_after_a_conflict(key, record, ended, wall_clock):
    """Another leader has written how the job ended, or its user has cancelled it meanwhile."""
    (value,) = [entry.value for entry in golden_entries(record) if entry.key == key]

    class Conflict(RecordingHttp):
        async def request(self, method, path, body=b"", timeout=0.0):
            status, answer = await super().request(method, path, body, timeout)
            return (409, golden("state/failed_condition.cbor")) if path == "/commit" else (status, answer)

    async def main():
        await asyncio.sleep(50.0)
        use_wall_clock(lambda: TIME_OF_DAY + 12.5)
        client = state_client(Conflict({key: (value, 93)}))
        harness, job = started_job()
        for attempt in list(job.attempts()):
            harness.job_table.record_attempt_completed(attempt)
        for index in (0, 6):
            harness.job_table.record_attempt_completed(
                harness.job_table.add_attempt(job, index, harness.inventory.machines["host-31"], 26, 0.0)
            )
        finals = []
        queue = commit_queue(client, harness.job_table)
        queue.on_finalized = lambda *final: finals.append(list(final))
        assert await queue.commit(queue.build_transaction(12))
        return finals, job.cancelled, job.cancelled_at

    finals, cancelled, at = virtual_time.run(main())
    assert finals == ended
    assert (cancelled, at) == ((False, math.inf) if ended else (True, 37.5))


def test_obstacles_in_the_decision_log():
    assert [one.value for one in Obstacle] == spelt("log/obstacles")


# -- messages between controllers, as they answer each other -------------------------------------------------


class FakePeer:
    """A subsystem with its part in the messages, and a link to the one peer; both keep what they get."""

    name = "admission"
    answer, waiting_since = None, None

    def __init__(self):
        self.got, self.sent = [], []

    def outgoing(self):
        return bytes.fromhex("93a1b2c3")

    def received(self, node, data):
        self.got.append([node, data.hex()])

    def subscribe(self, listener):
        self.listener = listener

    async def send_heartbeat(self, heartbeat, timeout):
        self.sent.append(frame(heartbeat))


def peers_with_a_fake(known):
    peer = FakePeer()
    seen = []
    own_heartbeat = make_heartbeat(spelt("peers/own_view"))
    table = PeerTable([peer], 1.0)
    peers = PeerExchange(table, lambda: own_heartbeat, lambda heartbeat: seen.append(plain(heartbeat)), known, [peer])
    return peers, peer, seen


def test_answer_to_the_golden_message_keeps_its_bytes():
    known = CancellationLog(1e6)
    for number in range(20):
        known.add(f"wk-{5000 + number}", 0.0)

    async def main():
        peers, peer, seen = peers_with_a_fake(known)
        reply = peers.reply(receive_heartbeat(golden("peers/heartbeat_leader.frame")))
        return frame(reply), peer.got, seen

    answer, got, seen = virtual_time.run(main())
    assert decode_heartbeat(answer) == positional(spelt("peers/answer"))
    assert answer == golden("peers/answer.frame")
    assert seen == [positional(spelt("peers/heartbeat_leader"))]
    assert got == [["node-3", dict(spelt("peers/heartbeat_leader")["extensions"])["admission"]]]


def test_a_node_answers_with_its_heartbeat_and_its_demand(wall_clock):
    """A real node, not its parts: what of its state goes into which field, and under which name its demand does."""

    async def main():
        await asyncio.sleep(10.0)
        node = make_node(RecordingHttp(), AdmissionSettings(), [FakePeer()])
        node.leadership.incarnation = node.admission.incarnation = 7000001
        node.replica.mark_complete(7.375)
        for number in range(3):
            node.cancellations.add(f"wk-{5000 + number}", 8.0)
        for number in range(2):
            node.redirects.redirect_target(f"host-{number}", 41)
        node.admission.admitter.decide(make_spec(spelt("users/submission_array")))
        await asyncio.sleep(2.5)
        use_wall_clock(lambda: TIME_OF_DAY + 0.5)
        answer = node.peers.reply(receive_heartbeat(golden("peers/heartbeat_demand.frame")))
        return frame(answer), node.admission.demand

    answer, demand = virtual_time.run(main())
    assert decode_heartbeat(answer) == positional(spelt("peers/answer_of_a_node"))
    assert answer == golden("peers/answer_of_a_node.frame")
    ((_, data),) = spelt("peers/answer_of_a_node")["extensions"]
    assert text(plain(decode_demand("n1", bytes.fromhex(data)))) == text(positional(spelt("peers/demand_of_a_node")))
    reported = plain(demand.demand(0.0)["node-3"])
    assert reported == positional(spelt("peers/demand")["flows"])


def test_after_the_golden_answer_the_next_question_keeps_its_bytes():
    known = CancellationLog(1e6)

    async def main():
        peers, peer, _ = peers_with_a_fake(known)
        peer.listener(PeerAnswer(receive_heartbeat(golden("peers/answer.frame")), 3.0))
        work = asyncio.ensure_future(peers.run(1.0))
        await asyncio.sleep(0.5)
        work.cancel()
        return peer.sent

    (question,) = virtual_time.run(main())
    assert known.entries_since(0, 100).job_ids == spelt("peers/answer")["cancelled"]
    assert decode_heartbeat(question) == positional(spelt("peers/question"))
    assert question == golden("peers/question.frame")


# -- what can't be read --------------------------------------------------------------------------------------


def unreadable(entries, key):
    """The entries with one of them made unreadable."""
    return [store.Entry(key, {"?": 1}, 1) if entry.key == key else entry for entry in entries]


@pytest.mark.parametrize(
    "key", [None, "p/j/wk-4071", "p/t/wk-4071/1", "p/c/wk-4071", "p/r/t0", "p/m/1/t0", "p/h/0", "p/q/41-1"]
)
def test_a_leader_that_cannot_read_a_record_leads_no_longer(key, wall_clock):
    """``None``: all can be read."""

    async def main():
        entries = golden_entries("attempts", "withdrawal", "binding_round", "rental")
        mark = store.Entry("p/q/41-1", {"ty": "g8", "z": "zb", "sp": True, "n": 17}, 3)
        entries.append(mark)
        assert key is None or key in {entry.key for entry in entries}
        http = RecordingHttp()
        client = state_client(http)
        replica = make_replica(client, unreadable(entries, key))
        leadership = make_leadership(client, replica)
        catalog = MachineCatalog(cloud.parse_types(golden("cloud/machine_types.cbor")))
        settings, peers = make_settings(), PeerTable([], 1.0)
        renewal = RenewalPolicy(settings, leadership, client, replica, peers)
        cloud_http = cloud_client(http)
        term = LeaderTerm(
            settings, client, cloud_http, replica, CancellationLog(1e6), leadership, renewal, peers, catalog
        )
        term.start()
        await asyncio.sleep(3.0)
        term.stop()
        for task in term.tasks:
            await asyncio.wait([task])
        if key is not None:
            unreadable_error = UnreadableRecordError if key.startswith(("p/j/", "p/t/", "p/c/")) else KeyError
            assert isinstance(term.tasks[0].exception(), unreadable_error)
        return leadership.leading

    assert virtual_time.run(main()) is (key is None)


@pytest.mark.parametrize("value", ["n1", None, {"node": 1, "term": 41}, {"node": "n1", "term": "41"}, {"?": 1}])
def test_an_unreadable_leader_key_names_no_leader(value):
    async def main():
        client = state_client(RecordingHttp())
        client.last_success_at = 0.0
        replica = make_replica(client, [store.Entry("p/lead", value, 7)])
        return make_redirects(client, replica).current_leader(monotonic_time())

    assert virtual_time.run(main()) is None


@pytest.mark.parametrize("value", ["41", None, {"?": 1}])
def test_an_unreadable_term_in_the_replica_is_ignored(value):
    async def main():
        client = state_client(RecordingHttp())
        replica = make_replica(client)
        leadership = Leadership(make_settings(), client, replica, random.Random(5))
        replica.apply([store.Change("p/term", True, value, 7)], 0)
        return leadership.highest_term

    assert virtual_time.run(main()) == 0


@pytest.mark.parametrize("mark", [None, 4711, [], ["4711", 13], {"?": 1}])
def test_an_unreadable_grant_reference_counts_in_no_slot(mark):
    async def main():
        node = make_node(RecordingHttp(), AdmissionSettings())
        apply_to_replica(node, "p/j/wk-4071", {**msgspec.json.decode(golden("records/job_array.record")), "ad": mark})
        return [node.admission.admitted.counts(slot) for slot in (4711, 13)]

    assert virtual_time.run(main()) == [{}, {}]


def bad_pages(change):
    pages = spelt("records/allocation_pages")
    change(pages)
    return pages


BAD_ALLOCATIONS = {
    "another version": lambda pages: pages[0].update(v=2),
    "no version": lambda pages: pages[0].pop("v"),
    "no number of pages": lambda pages: pages[0].update(pages="3"),
    "a page too few": lambda pages: pages.pop(),
    "no text": lambda pages: pages[1].pop("z"),
    "other text": lambda pages: pages[1].update(z="!" * 20),
    "no record": lambda pages: pages.__setitem__(0, 7),
}


@pytest.mark.parametrize("change", BAD_ALLOCATIONS.values(), ids=BAD_ALLOCATIONS)
def test_an_unreadable_allocation_opens_no_slot(change):
    pages = bad_pages(change)
    with pytest.raises(UnreadableAllocationError):
        decode_allocation(pages)
    entries = {keys.allocation(4711, page): store.Entry("", value, 7) for page, value in enumerate(pages)}
    entries = {key: store.Entry(key, entry.value, 7) for key, entry in entries.items()}
    allocations = AllocationStore(lambda: entries, lambda allocation: None)
    for key, entry in entries.items():
        allocations.on_change(key, entry)
    assert allocations.get(4711) is None


@pytest.mark.parametrize("data", [b"", b"junk", b"\x97\x02", golden("peers/heartbeat_leader.frame")[4:]])
def test_an_unreadable_demand_message_is_refused(data):
    with pytest.raises(MalformedDemandError):
        decode_demand("node-3", data)


def test_a_demand_message_of_another_version_is_refused():
    data = golden("peers/demand.msgpack")
    assert data[1] == 1
    with pytest.raises(MalformedDemandError, match="version 2"):
        decode_demand("node-3", data[:1] + b"\x02" + data[2:])


def test_an_unreadable_message_between_controllers_ends_its_connection():
    received, ended = [], []
    connection = PeerConnection(lambda _, heartbeat: received.append(heartbeat))
    connection.transport = SimpleNamespace(abort=lambda: ended.append(True))
    data = golden("peers/heartbeat_leader.frame")
    connection.data_received(data.replace(b"\xa4node", b"\xa4nade", 1))
    assert (received, ended) == ([], [True])


def test_a_damaged_decision_log_is_read_up_to_the_damage(tmp_path):
    data = bytearray(golden("log/decisions.avro"))
    data[-20] ^= 0xFF
    (tmp_path / "damaged").write_bytes(data)
    with pytest.raises(DecisionLogError, match="unreadable after 0 decisions"):
        list(read_file(str(tmp_path / "damaged")))
