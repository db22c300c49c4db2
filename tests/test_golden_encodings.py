"""Golden encodings: stored records, messages and bodies keep the encodings in the files under tests/golden.

The files were written once (see tests/golden/README.md) and are never generated here. In their JSON, an object holds
a struct's fields in their order, under names that are independent of the code, and a mapping is a list of pairs. The
adapters below convert such values into structs and back by position, so that the tests need few field names. Records
that the code writes in the course of other work are captured by running that work, in the scenarios further below.
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


def json_values(name):
    """Return the values in a fixture's JSON file."""
    return json.loads((GOLDEN / f"{name}.json").read_text())


def golden_bytes(name):
    """Return the bytes of a fixture."""
    return (GOLDEN / name).read_bytes()


def to_positional(value):
    """Convert objects into lists of their values, recursively."""
    if isinstance(value, dict):
        value = value.values()
    return [to_positional(item) for item in value] if not isinstance(value, str | int | float | None) else value


def to_plain(value):
    """Convert structs and tuples into lists by position, mappings into lists of pairs, and bytes into hexadecimal."""
    if isinstance(value, msgspec.Struct):
        return [to_plain(getattr(value, name)) for name in value.__struct_fields__]
    if isinstance(value, Enum):
        return FIXTURE_ENUM_NAMES.get(value, value.value)
    if isinstance(value, dict):
        return [[to_plain(key), to_plain(item)] for key, item in value.items()]
    if isinstance(value, list | tuple):
        return [to_plain(item) for item in value]
    if value is msgspec.UNSET:
        return None
    return value.hex() if isinstance(value, bytes) else value


def to_json(value):
    """Format values as JSON, one per line; unlike ==, it distinguishes number types and the order of mappings."""
    return json.dumps(value, indent=1)


# -- adapters, one for each type of record or message --------------------------------------------------------

FIXTURE_ENUM_NAMES = {
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
FIXTURE_COMMAND_KINDS = {"start": CommandKind.START, "stop": CommandKind.STOP, "forget": CommandKind.ACKNOWLEDGE_EXIT}


def make_flows(pairs, make=lambda value: value):
    return {Flow(*key.values()): make(value) for key, value in pairs}


def make_spec(values):
    job, job_class, team, kind, priority, task_count, resources, image, image_gb, types, *rest = values.values()
    types = None if types is None else tuple(types)
    kind, priority, resources = JobKind(kind), Priority(priority), Resources(*resources.values())
    return JobSpec(job, job_class, team, kind, priority, task_count, resources, image, image_gb, types, *rest)


def encode_job(values):
    spec, submitted_at, grant_reference = values.values()
    return msgspec.json.encode(encode_record(new_job_record(make_spec(spec), submitted_at, grant_reference)))


def decode_job(data):
    record = decode_record(msgspec.json.decode(data), JobRecord)
    job = JobTable(50).load(record, 7, 100.0, 20.0)
    assert to_plain(record.spec.to_spec()) == to_plain(job.spec)
    return [to_plain(job.spec), job.submitted_at, to_plain(record.grant_reference)]


def make_heartbeat(values):
    *fields, cancelled, extensions = values.values()
    if extensions is None:
        return PeerHeartbeat(*fields, tuple(cancelled))
    return PeerHeartbeat(*fields, tuple(cancelled), {name: bytes.fromhex(data) for name, data in extensions})


def receive_heartbeat(data):
    received = []
    connection = PeerConnection(lambda _, heartbeat: received.append(heartbeat))
    for part in (data[:3], data[3:17], data[17:]):
        connection.data_received(part)
    assert len(received) == 1
    assert connection.buffer == b""
    return received[0]


def encode_heartbeat(values):
    return frame(make_heartbeat(values))


def decode_heartbeat(data):
    return to_plain(receive_heartbeat(data))


def make_demand(values):
    node, incarnation, started_ms, sequence_number, term, rows, omitted_flows = values.values()
    demand_by_flow = make_flows(rows, lambda row: FlowDemand(*row.values()))
    return DemandReport(node, incarnation, started_ms, sequence_number, term, demand_by_flow, omitted_flows)


def encode_demand_report(values):
    return encode_demand(make_demand(values))


def decode_demand_report(data):
    return to_plain(decode_demand("node-3", data))


def make_grant(incarnation, interactive, shared, granted_by_flow):
    return NodeGrant(incarnation, interactive, shared, make_flows(granted_by_flow))


def make_allocation(values):
    slot, term, leader, node_grants, service, settled, started, pace = values.values()
    node_grants = {node: make_grant(*grant.values()) for node, grant in node_grants}
    teams, used = service.values()
    return Allocation(
        slot,
        term,
        leader,
        node_grants,
        ReceivedService(dict(teams), make_flows(used)),
        settled,
        make_flows(started),
        pace,
    )


def decompressed(pages):
    """Return the decompressed contents of an allocation's pages; the compressed bytes depend on the library."""
    return zstd.decompress(base64.b85decode("".join(page["z"] for page in pages)))


def make_decision(values):
    *fields, outcomes = values.values()
    return Decision(*fields, tuple(FlowOutcome(*outcome.values()) for outcome in outcomes))


def make_command(values):
    kind, *fields = values.values()
    return Command(FIXTURE_COMMAND_KINDS[kind], *fields)


def make_write(values):
    kind, *fields = values.values()
    return store.Put(*fields) if kind == "put" else store.Delete(fields[0])


# fixture -> suffix or format of its bytes, encoder and decoder; None where the code does not encode
RECORDS = {
    **{f"records/job_{name}": ("json", encode_job, decode_job) for name in ("array", "gang", "service", "low")},
    "peers/heartbeat_leader": ("frame", encode_heartbeat, decode_heartbeat),
    "peers/heartbeat_follower": ("frame", encode_heartbeat, decode_heartbeat),
    "peers/heartbeat_demand": ("frame", encode_heartbeat, decode_heartbeat),
    "peers/heartbeat_required_only": ("frame", None, decode_heartbeat),
    "peers/demand": ("msgpack", encode_demand_report, decode_demand_report),
    "peers/demand_left_out": ("msgpack", None, decode_demand_report),
}
# fixture -> parser of a body that other programs send
PARSERS = {
    **{f"users/submission_{name}": users.parse_submission for name in ("array", "gang", "service", "low")},
    "workers/report": workers.parse_heartbeat,
    "workers/report_minimal": workers.parse_heartbeat,
    "cloud/machine_types": cloud.parse_machine_types,
    "cloud/rented": cloud.parse_provisioned_machines,
    "cloud/machines": cloud.parse_machine_page,
    "cloud/machines_last_page": cloud.parse_machine_page,
    "state/lease": store.parse_lease,
    "state/entry": store.parse_entry,
    "state/revision": store.parse_revision,
    "state/failed": store.parse_conflicting_keys,
    "state/page": store.parse_page,
    "state/page_last": store.parse_page,
    "state/changes": store.parse_changes,
}
# fixture -> encoder of a body that is sent to other programs; called with the fixture's values
ENCODERS = {
    "users/brief_answer": users.encode_brief_answer,
    "users/full_answer": users.encode_full_answer,
    "users/error_answer": users.encode_error_answer,
    "workers/answer": lambda token, commands: workers.encode_answer(
        token, [make_command(values) for values in commands]
    ),
    "workers/redirect": workers.encode_redirect,
    "workers/redirect_nowhere": workers.encode_redirect,
    "cloud/rental": cloud.encode_provisioning_request,
    "cloud/deletion": cloud.encode_deletion_request,
    "state/commit": lambda conditions, writes: store.encode_transaction(
        dict(conditions), [make_write(values) for values in writes]
    ),
    "state/lease_request": store.encode_lease_request,
}
# name in wire/paths.json -> constant, or function that is called with the arguments in the file
PATHS = {
    "users runs": users.RUNS_PATH,
    "users withdraw": users.WITHDRAW_SUFFIX,
    "users health": users.HEALTH_PATH,
    "workers checkin": workers.CHECKIN_PATH,
    "cloud types": cloud.MACHINE_TYPES_PATH,
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
# name in records/keys.json -> prefix or key, or function that is called with the arguments in the file
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
    assert encode(json_values(name)) == golden_bytes(f"{name}.{'record' if suffix == 'json' else suffix}")


@pytest.mark.parametrize("name", RECORDS)
def test_golden_records_and_messages_are_decoded(name):
    suffix, _, decode = RECORDS[name]
    assert to_json(decode(golden_bytes(f"{name}.{'record' if suffix == 'json' else suffix}"))) == to_json(
        to_positional(json_values(name))
    )


@pytest.mark.parametrize("name", PARSERS)
def test_golden_bodies_are_parsed(name):
    assert to_json(to_plain(PARSERS[name](golden_bytes(f"{name}.cbor")))) == to_json(to_positional(json_values(name)))


@pytest.mark.parametrize("name", ENCODERS)
def test_bodies_are_encoded_to_the_golden_bytes(name):
    assert ENCODERS[name](*json_values(name).values()) == golden_bytes(f"{name}.cbor")


@pytest.mark.parametrize(("fixture", "table"), [("wire/paths", PATHS), ("records/keys", KEYS)])
def test_paths_and_keys(fixture, table):
    rows = json_values(fixture)
    assert {name: row["arguments"] is not None for name, row in rows.items()} == {
        name: callable(path_or_key) for name, path_or_key in table.items()
    }
    for name, row in rows.items():
        path_or_key = table[name](*row["arguments"]) if callable(table[name]) else table[name]
        assert to_plain(path_or_key) == row["text"], name


def test_allocation_is_encoded_to_the_golden_bytes_on_pages_of_bounded_size():
    expected = json_values("records/allocation_pages")
    pages = encode_allocation(make_allocation(json_values("records/allocation")), 300)
    assert decompressed(pages) == decompressed(expected) == golden_bytes("records/allocation.msgpack")
    first_page = pages[0]
    assert (list(first_page), first_page["v"], first_page["pages"]) == (["v", "pages", "z"], 1, len(pages))
    assert len(pages) > 2
    assert all(list(page) == ["z"] and len(page["z"]) <= 100 for page in pages[1:])


def test_golden_allocation_is_decoded():
    allocation = decode_allocation(json_values("records/allocation_pages"))
    assert to_json(to_plain(allocation)) == to_json(to_positional(json_values("records/allocation")))


def test_decision_log_is_written_with_the_golden_schema_and_rows(tmp_path):
    log = DecisionLog(str(tmp_path), 1 << 20, 1_700_000_123_456)
    for decision in map(make_decision, json_values("log/decisions")):
        log.add(decision)
    log.close()
    (path,) = log_files(str(tmp_path))
    assert Path(path).name == "decisions-001700000123456-00000.avro"
    written, expected = (read_avro(name) for name in (path, GOLDEN / "log/decisions.avro"))
    assert written == expected  # the bytes differ: each file has a random sync marker between its blocks


def read_avro(path):
    """Return the metadata, the compression codec and the rows of an Avro file, as any Avro reader does."""
    with Path(path).open("rb") as file:
        reader = fastavro.reader(file)
        return reader.metadata, reader.codec, list(reader)


def test_golden_decision_log_is_read():
    decisions = list(read_file(str(GOLDEN / "log/decisions.avro")))
    assert to_json(to_plain(decisions)) == to_json(to_positional(json_values("log/decisions")))


# -- records that the code writes in the course of other work: its requests are recorded ---------------------


class RecordingHttp:
    """An HTTP client that records requests, and answers like a service that carries out every request."""

    ANSWERS: ClassVar = {
        "/commit": {"ledger": 4711},
        "/leases": {"loan": 77},
        "/rentals": {"stacks": ["host-41", "host-42"]},
    }

    def __init__(self, stored=None):
        self.stored = stored or {}  # key -> value and mod_revision
        self.sent = []
        self.machine_lists = [cbor2.dumps({"stacks": []})]  # answers to list requests; the last one is repeated

    async def request(self, method, path, body=b"", timeout=0.0):
        self.sent.append((method, path, body))
        key = path.removeprefix("/kv/")
        if key in self.stored:
            value, mod_revision = self.stored[key]
            return 200, cbor2.dumps({"key": key, "v": value, "stamp": mod_revision})
        if path.startswith("/kv/"):
            return 404, cbor2.dumps({"ledger": 4710})
        if method == "GET" and path.startswith("/rentals"):
            return 200, self.machine_lists.pop(0) if len(self.machine_lists) > 1 else self.machine_lists[0]
        if path == "/machine_types":
            return 200, golden_bytes("cloud/machine_types.cbor")
        return 200, cbor2.dumps(self.ANSWERS.get(path, {}))

    def write_requests(self):
        """Return the requests that are not reads."""
        return [request for request in self.sent if request[0] != "GET"]


def store_client(http):
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
    """Return a controller with an empty, current replica."""
    node = Node(make_settings(admission), store_client(http), cloud_client(http), links, random.Random(5))
    node.replica.loaded, node.replica.revision = True, 4710
    return node


def make_leadership(client, replica, term=41, leader_revision=97):
    """Return a leadership whose term has just begun."""
    leadership = Leadership(make_settings(), client, replica, random.Random(5))
    leadership.leading, leadership.term, leadership.leader_revision = True, term, leader_revision
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


async def accept_job(http):
    """Commit a submission with an admission token, as a follower does."""
    spec = users.parse_submission(golden_bytes("users/submission_array.cbor"))
    assert await Submitter(store_client(http), 9).submit(spec, ADMISSION_TOKEN)


def started_job():
    """Return a job of two pages, both with attempts and completed tasks, and its harness."""
    harness = SchedulerHarness((), page_size=4)
    machine = harness.inventory.observe(worker_heartbeat("host-31", incarnation=6, sequence=2), BOX, 0.0)
    job = harness.job_table.load(
        decode_record(msgspec.json.decode(golden_bytes("records/job_array.record")), JobRecord), 98, 100.0, 20.0
    )
    for index, attempt_number in ((1, 21), (4, 23), (2, 22), (5, 24), (3, 25)):
        harness.job_table.add_attempt(job, index, machine, attempt_number, 0.0)
    for attempt in [attempt for attempt in job.attempts() if attempt.index in (1, 3, 4)]:
        harness.job_table.record_attempt_completed(attempt)
    return harness, job


def commit_queue(client, job_table):
    return CommitQueue(client, job_table, 97, 12, lambda job_id, status: None, lambda: None, lambda: None)


async def record_attempts(http):
    """Commit attempts in a job's own record and in a page of its tasks."""
    harness, _ = started_job()
    queue = commit_queue(store_client(http), harness.job_table)
    assert await queue.commit(queue.build_transaction(12))


async def finish_jobs(http):
    """Commit the final states of a completed and a cancelled job, and delete their other records."""
    harness, job = started_job()
    for index in (0, 6):
        harness.job_table.add_attempt(job, index, harness.inventory.machines["host-31"], 26, 0.0)
    for attempt in list(job.attempts()):
        harness.job_table.record_attempt_completed(attempt)
    job.page(4).mod_revision = 99
    cancelled_job = harness.job_table.load(
        decode_record(msgspec.json.decode(golden_bytes("records/job_gang.record")), JobRecord), 96, 100.0, 20.0
    )
    harness.job_table.cancel(cancelled_job, 50.0)
    queue = commit_queue(store_client(http), harness.job_table)
    assert await queue.commit(queue.build_transaction(12))
    assert await queue.commit(queue.build_transaction(12))


async def withdraw_job(http):
    """Cancel a job at a user's request."""
    node = make_node(http)
    value = msgspec.json.decode(golden_bytes("records/job_array.record"))
    node.replica.entries["p/j/wk-4071"] = store.Entry("p/j/wk-4071", value, 98)
    answer = await node.handle(Request("POST", "/v2/runs/wk-4071/withdraw", b""))
    assert (answer.status, cbor2.loads(answer.body)) == (200, {"ref": "wk-4071", "status": "cancelled"})


def machines_with_images():
    """Return a harness with machines that have images, and a team that demands most of the machines."""
    names = [f"host-{number}-with-a-name-of-forty-characters" for number in range(32, 62)]
    harness = SchedulerHarness((), page_size=50)
    for name in ("host-31", *names):
        harness.add_machine(name)
    for position, name in enumerate(("host-31", *names[:7])):
        harness.inventory.machines[name].images.update(
            {f"edition-{position % 3}": 2.5 + position % 3, "edition-9": 9.75}
        )
    harness.job(1, task_count=60, team="t0")
    return harness


async def bind_machines(http):
    """Run a binding round, with a reservation of two pages, two empty reservations and two records of image hints."""
    harness = machines_with_images()
    rounds = make_rounds(store_client(http), harness)
    rounds.run_if_due(1e6)
    while len(rounds.assignments) < 30 or not http.sent:
        await asyncio.sleep(0.1)
    await asyncio.sleep(10.0)


async def shrink_reservation(http):
    """Run a binding round after which an earlier leader's reservation has fewer machines than its record and page."""
    harness = SchedulerHarness(())
    harness.add_machine("host-31")
    harness.job(1, task_count=2, team="t0")
    rounds = make_rounds(store_client(http), harness)
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
        MachineCatalog(cloud.parse_machine_types(golden_bytes("cloud/machine_types.cbor"))),
        MachineInventory(MachineHealth(1.0, 10.0, 0.36, 0.0), leadership.term),
        leadership,
        on_machine_lost=lambda name: None,
        on_change=lambda: None,
    )


async def provision_machines(http):
    """Make a provisioning request: its intent is stored first, then the request is sent and completed."""
    client = store_client(http)
    leadership = make_leadership(client, make_replica(client))
    provisioner = make_provisioner(client, http, leadership)
    provisioner.provision(MachineOffering("g8", "zb", spot=True), 17)
    await asyncio.sleep(10.0)


async def resume_provisioning(http):
    """Repeat a provisioning request to which an earlier leader may have received no answer."""
    client = store_client(http)
    leadership = make_leadership(client, make_replica(client), term=42, leader_revision=197)
    provisioner = make_provisioner(client, http, leadership)
    provisioner.resume_requests([entry for entry in golden_entries("rental") if entry.key.startswith("p/q/")])
    await asyncio.sleep(10.0)


async def delete_listed_machines(http):
    """Delete the machines of the cloud's list that have failed or that run without any heartbeat."""
    http.machine_lists = [golden_bytes("cloud/machines_last_page.cbor"), golden_bytes("cloud/machines_mute.cbor")]
    client = store_client(http)
    leadership = make_leadership(client, make_replica(client))
    provisioner = make_provisioner(client, http, leadership)
    tasks = [asyncio.ensure_future(loop) for loop in (provisioner.poll_machine_list(), provisioner.run_deletions())]
    await asyncio.sleep(60.0)
    for task in tasks:
        task.cancel()


async def take_leadership(http):
    """Take over the leader key of an earlier process of the same node, with the next term."""
    client = store_client(http)
    earlier_entries = [store.Entry("p/lead", {"node": "n1", "term": 40}, 95), store.Entry("p/term", 40, 94)]
    leadership = Leadership(make_settings(), client, make_replica(client, earlier_entries), random.Random(5))
    task = asyncio.ensure_future(leadership.run())
    while not leadership.leading:
        await asyncio.sleep(0.1)
    task.cancel()


SCENARIOS = {
    "submission": accept_job,
    "attempts": record_attempts,
    "finished_jobs": finish_jobs,
    "withdrawal": withdraw_job,
    "binding_round": bind_machines,
    "shrunken_reservation": shrink_reservation,
    "rental": provision_machines,
    "resumed_rental": resume_provisioning,
    "deletions": delete_listed_machines,
    "leadership": take_leadership,
}


@pytest.fixture
def wall_clock():
    """Stop the wall clock at TIME_OF_DAY."""
    use_wall_clock(lambda: TIME_OF_DAY)
    yield
    use_wall_clock(time.time)


def run_scenario(name):
    async def main():
        async with asyncio.timeout(100.0):  # of virtual time
            await SCENARIOS[name](http)

    http = RecordingHttp()
    virtual_time.run(main())
    return http.write_requests()


@pytest.mark.parametrize("name", SCENARIOS)
def test_requests_that_carry_records_keep_their_bytes(name, wall_clock):
    expected = json_values(f"requests/{name}")
    sent = run_scenario(name)
    assert [[method, path] for method, path, _ in sent] == [[row["method"], row["path"]] for row in expected]
    for number, ((_, _, body), row) in enumerate(zip(sent, expected, strict=True)):
        assert to_json(cbor2.loads(body)) == to_json(row["body"])
        assert body == golden_bytes(f"requests/{name}.{number}.cbor")


# -- decoding of stored records ------------------------------------------------------------------------------


def golden_entries(*names):
    """Return the entries that the golden requests write to the store, each with a different mod_revision."""
    entries = {}
    for name in names:
        for path in sorted((GOLDEN / "requests").glob(f"{name}.*.cbor")):
            for change in cbor2.loads(path.read_bytes()).get("apply", ()):
                if "set" in change:
                    entries[change["set"]] = store.Entry(change["set"], change["v"], 1000 + len(entries))
    return list(entries.values())


def load_term(entries):
    """Load the records of a new term from a replica with these entries."""
    harness = SchedulerHarness((), page_size=4)
    client = store_client(RecordingHttp())
    rounds, queue = make_rounds(client, harness), commit_queue(client, harness.job_table)
    load_records(
        make_replica(client, entries), CancellationLog(1e6), harness.job_table, harness.inventory, rounds, queue
    )
    return harness, rounds, queue


def job_values(job):
    """Return the values of a job in the job table."""
    pages = [
        [number, page.first, page.attempt_number, page.completed, page.mod_revision]
        for number, page in sorted(job.pages.items())
    ]
    attempts = [
        [attempt.index, attempt.number, attempt.machine, attempt.incarnation, attempt.placed_this_term]
        for attempt in job.attempts()
    ]
    cancelled_at = job.cancelled_at if math.isfinite(job.cancelled_at) else None
    return [
        to_plain(job.spec),
        job.submitted_at,
        job.submitted_at_monotonic,
        job.completed_count,
        job.cancelled,
        cancelled_at,
        pages,
        attempts,
    ]


def test_a_new_leader_reads_the_golden_records(wall_clock):
    async def main():
        await asyncio.sleep(50.0)  # on the monotonic clock; records contain wall-clock times
        use_wall_clock(lambda: TIME_OF_DAY + 12.5)
        orphan = store.Entry("p/t/wk-4079/1", {}, 3)
        harness, rounds, queue = load_term([*golden_entries("attempts", "withdrawal", "binding_round"), orphan])
        (job,) = harness.job_table.jobs.values()
        return [
            job_values(job),
            to_plain(rounds.assignments),
            to_plain(harness.inventory.image_hints),
            queue.orphaned_keys,
        ]

    assert to_json(virtual_time.run(main())) == to_json(to_positional(json_values("records/loaded")))


@pytest.mark.parametrize(("fixture", "records"), [("running_job", ["attempts"]), ("queued_job", ["submission"])])
def test_golden_records_of_a_job_answer_a_query(fixture, records, wall_clock):
    async def main():
        node = make_node(RecordingHttp())
        node.user_api.lookup.page_size = 4
        node.replica.entries.update({entry.key: entry for entry in golden_entries(*records)})
        return await node.handle(Request("GET", "/v2/runs/wk-4071", b""))

    answer = virtual_time.run(main())
    assert answer.status == 200
    assert answer.body == golden_bytes(f"users/{fixture}.cbor")


def test_golden_submission_gets_the_golden_answer(wall_clock):
    async def main():
        node = make_node(RecordingHttp())
        node.catalog.types = cloud.parse_machine_types(golden_bytes("cloud/machine_types.cbor"))
        return await node.handle(Request("POST", "/v2/runs", golden_bytes("users/submission_known_team.cbor")))

    answer = virtual_time.run(main())
    assert answer.status == 201
    assert answer.body == golden_bytes("users/accepted_job.cbor")


@pytest.mark.parametrize(("key", "status"), [("p/f/wk-4071", "done"), ("p/f/wk-4072", "cancelled")])
def test_golden_final_states_answer_queries(key, status, wall_clock):
    """The state is read from the store if the replica has dropped it, and from a change that the replica applies."""
    entry = next(entry for entry in golden_entries("finished_jobs") if entry.key == key)
    job_id = key.rpartition("/")[2]

    async def main():
        http = RecordingHttp({key: (entry.value, entry.mod_revision)})
        answer = await make_node(http).handle(Request("GET", f"/v2/runs/{job_id}", b""))
        replica = make_replica(store_client(http), revision=4000)
        http.ANSWERS = {
            "/changes?prefix=p/&after=4000&holdMs=4000": {
                "ledger": 4001,
                "events": [{"set": key, "v": entry.value, "stamp": 4001}],
            }
        }
        task = asyncio.ensure_future(replica.run())
        assert await replica.wait_for_revision(4001, 5.0)
        task.cancel()
        return answer, dict(replica.final_statuses)

    answer, finals = virtual_time.run(main())
    assert answer.status == 200
    assert answer.body == golden_bytes(f"users/{status}_job.cbor")
    assert finals == {job_id: status}


def test_followers_read_the_golden_leader_and_term(wall_clock):
    async def main():
        entries = golden_entries("leadership")
        client = store_client(RecordingHttp())
        client.last_success_at = 0.0
        replica = make_replica(client, entries)
        redirects = make_redirects(client, replica)
        replica.apply([store.Change(entry.key, True, entry.value, entry.mod_revision) for entry in entries], 0)
        return redirects.current_leader(monotonic_time()), redirects.leadership.highest_term

    assert virtual_time.run(main()) == ("n1", 41)


def apply_to_replica(node, key, value, mod_revision=7):
    """Apply a change of an entry to a node's replica."""
    node.replica.apply([store.Change(key, True, value, mod_revision)], 0)


def test_job_is_counted_in_the_slot_of_its_golden_grant_reference(wall_clock):
    async def main():
        node = make_node(RecordingHttp(), AdmissionSettings())
        record = msgspec.json.decode(golden_bytes("records/job_array.record"))
        apply_to_replica(node, "p/j/wk-4071", record)
        return to_plain(node.admission.admitted.counts(4711))

    assert virtual_time.run(main()) == [[["team-ore", "class-sift"], 1]]


def test_golden_allocation_is_loaded_for_its_slot(wall_clock):
    async def main():
        node = make_node(RecordingHttp(), AdmissionSettings())
        for page, value in enumerate(json_values("records/allocation_pages")):
            apply_to_replica(node, keys.allocation(4711, page), value)
        stored = node.admission.allocations.get(4711)
        return to_plain(stored.allocation), stored.mod_revision, stored.pages

    allocation, mod_revision, page_count = virtual_time.run(main())
    assert to_json(allocation) == to_json(to_positional(json_values("records/allocation")))
    assert (mod_revision, page_count) == (7, len(json_values("records/allocation_pages")))


def test_golden_allocation_gives_the_golden_admission_token(wall_clock):
    values = json_values("records/allocation")
    grants = GrantLedger("node-1", 7000001)
    allocations = AllocationStore(dict, grants.add)
    clock = SlotClock(TIME_OF_DAY / (4711 + 0.5))
    admitter = SubmissionAdmitter(clock, grants, allocations, Weights({}, (), {}, {}, 1.5), random.Random(5))
    allocations.put(make_allocation(values), 97, 3)
    assert to_plain(admitter.decide(make_spec(json_values("users/submission_array")))) == to_positional(
        json_values("records/permit")
    )


def test_a_slot_is_committed_under_the_golden_keys_and_conditions(wall_clock):
    """The encoding of an allocation is tested above; the contents, which the algorithm computes, are not compared."""

    async def main():
        http = RecordingHttp()
        client = store_client(http)
        leadership = make_leadership(client, make_replica(client))
        settings, admission = make_settings(AdmissionSettings()), AdmissionSettings()
        control = make_node(RecordingHttp(), AdmissionSettings()).admission
        dispatch = DispatchPrioritizer(StartTracker(60.0), 600.0, 120.0, 1.0)
        weights, demand, decisions = control.weights, control.demand, []
        outcomes = SlotOutcomes(control.clock, weights, control.admitted, demand, dispatch, decisions.append)
        allocations = AllocationStore(dict, lambda allocation: None)
        for slot, mod_revision, page_count in ((4709, 61, 2), (4710, 62, 1), (4711, 63, 3)):
            allocations.put(
                make_allocation({**json_values("records/allocation"), "slot": slot}), mod_revision, page_count
            )
        allocator = SlotAllocator(
            settings, admission, client, leadership, allocations, outcomes, control.demand_report, lambda: 0.0
        )
        await allocator.decide(4712)
        return http.write_requests(), allocations.get(4712).mod_revision

    sent, mod_revision = virtual_time.run(main())
    ((method, path, body),) = sent
    body = cbor2.loads(body)
    contents = [change["v"].pop("z") for change in body["apply"] if "set" in change]
    assert [[method, path, body]] == [list(row.values()) for row in json_values("requests/allocation")]
    assert decode_allocation([{**body["apply"][0]["v"], "z": contents[0]}]).slot == 4712
    assert mod_revision == 4711


@pytest.mark.parametrize(
    ("key", "request_name", "expected_finals"),
    [("p/f/wk-4071", "finished_jobs", [["wk-4071", "done"]]), ("p/c/wk-4071", "withdrawal", [])],
)
def test_golden_records_are_read_after_a_conflict(key, request_name, expected_finals, wall_clock):
    """Another leader has stored the final state of the job, or a user has cancelled it in the meantime."""
    (value,) = [entry.value for entry in golden_entries(request_name) if entry.key == key]

    class ConflictingHttp(RecordingHttp):
        async def request(self, method, path, body=b"", timeout=0.0):
            status, answer = await super().request(method, path, body, timeout)
            return (409, golden_bytes("state/failed_condition.cbor")) if path == "/commit" else (status, answer)

    async def main():
        await asyncio.sleep(50.0)
        use_wall_clock(lambda: TIME_OF_DAY + 12.5)
        client = store_client(ConflictingHttp({key: (value, 93)}))
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

    finals, cancelled, cancelled_at = virtual_time.run(main())
    assert finals == expected_finals
    assert (cancelled, cancelled_at) == ((False, math.inf) if expected_finals else (True, 37.5))


def test_obstacles_in_the_decision_log():
    assert [obstacle.value for obstacle in Obstacle] == json_values("log/obstacles")


# -- messages between controllers and the answers to them ----------------------------------------------------


class FakePeer:
    """A subsystem with an extension of the heartbeats, and also the link to the only peer; records their data."""

    name = "admission"
    answer, waiting_since = None, None

    def __init__(self):
        self.received_data, self.sent = [], []

    def encode_message(self):
        return bytes.fromhex("93a1b2c3")

    def receive_message(self, node, data):
        self.received_data.append([node, data.hex()])

    def subscribe(self, listener):
        self.listener = listener

    async def send_heartbeat(self, heartbeat, timeout):
        self.sent.append(frame(heartbeat))


def exchange_with_fake_peer(cancellations):
    peer = FakePeer()
    received_heartbeats = []
    own_heartbeat = make_heartbeat(json_values("peers/own_view"))
    table = PeerTable([peer], 1.0)
    peers = PeerExchange(
        table,
        lambda: own_heartbeat,
        lambda heartbeat: received_heartbeats.append(to_plain(heartbeat)),
        cancellations,
        [peer],
    )
    return peers, peer, received_heartbeats


def test_answer_to_the_golden_message_keeps_its_bytes():
    cancellations = CancellationLog(1e6)
    for number in range(20):
        cancellations.add(f"wk-{5000 + number}", 0.0)

    async def main():
        peers, peer, received_heartbeats = exchange_with_fake_peer(cancellations)
        reply = peers.reply(receive_heartbeat(golden_bytes("peers/heartbeat_leader.frame")))
        return frame(reply), peer.received_data, received_heartbeats

    answer, received_data, received_heartbeats = virtual_time.run(main())
    assert decode_heartbeat(answer) == to_positional(json_values("peers/answer"))
    assert answer == golden_bytes("peers/answer.frame")
    assert received_heartbeats == [to_positional(json_values("peers/heartbeat_leader"))]
    assert received_data == [["node-3", dict(json_values("peers/heartbeat_leader")["extensions"])["admission"]]]


def test_a_node_answers_with_its_heartbeat_and_its_demand(wall_clock):
    """The parts of a node's state are in the right fields, and its demand report in the right extension."""

    async def main():
        await asyncio.sleep(10.0)
        node = make_node(RecordingHttp(), AdmissionSettings(), [FakePeer()])
        node.leadership.incarnation = node.admission.incarnation = 7000001
        node.replica.mark_complete(7.375)
        for number in range(3):
            node.cancellations.add(f"wk-{5000 + number}", 8.0)
        for number in range(2):
            node.redirects.redirect_target(f"host-{number}", 41)
        node.admission.admitter.decide(make_spec(json_values("users/submission_array")))
        await asyncio.sleep(2.5)
        use_wall_clock(lambda: TIME_OF_DAY + 0.5)
        answer = node.peers.reply(receive_heartbeat(golden_bytes("peers/heartbeat_demand.frame")))
        return frame(answer), node.admission.demand

    answer, demand = virtual_time.run(main())
    assert decode_heartbeat(answer) == to_positional(json_values("peers/answer_of_a_node"))
    assert answer == golden_bytes("peers/answer_of_a_node.frame")
    ((_, data),) = json_values("peers/answer_of_a_node")["extensions"]
    assert to_json(to_plain(decode_demand("n1", bytes.fromhex(data)))) == to_json(
        to_positional(json_values("peers/demand_of_a_node"))
    )
    recorded_demand = to_plain(demand.demand(0.0)["node-3"])
    assert recorded_demand == to_positional(json_values("peers/demand")["flows"])


def test_heartbeat_after_the_golden_answer_keeps_its_bytes():
    cancellations = CancellationLog(1e6)

    async def main():
        peers, peer, _ = exchange_with_fake_peer(cancellations)
        peer.listener(PeerAnswer(receive_heartbeat(golden_bytes("peers/answer.frame")), 3.0))
        task = asyncio.ensure_future(peers.run(1.0))
        await asyncio.sleep(0.5)
        task.cancel()
        return peer.sent

    (heartbeat,) = virtual_time.run(main())
    assert cancellations.entries_since(0, 100).job_ids == json_values("peers/answer")["cancelled"]
    assert decode_heartbeat(heartbeat) == to_positional(json_values("peers/question"))
    assert heartbeat == golden_bytes("peers/question.frame")


# -- unreadable values ---------------------------------------------------------------------------------------


def with_unreadable_entry(entries, key):
    """Return the entries, with an unreadable value for this key."""
    return [store.Entry(key, {"?": 1}, 1) if entry.key == key else entry for entry in entries]


@pytest.mark.parametrize(
    "key", [None, "p/j/wk-4071", "p/t/wk-4071/1", "p/c/wk-4071", "p/r/t0", "p/m/1/t0", "p/h/0", "p/q/41-1"]
)
def test_leader_resigns_if_it_cannot_read_a_record(key, wall_clock):
    """With the key ``None``, all records are readable, and the leader stays."""

    async def main():
        entries = golden_entries("attempts", "withdrawal", "binding_round", "rental")
        intent = store.Entry("p/q/41-1", {"ty": "g8", "z": "zb", "sp": True, "n": 17}, 3)
        entries.append(intent)
        assert key is None or key in {entry.key for entry in entries}
        http = RecordingHttp()
        client = store_client(http)
        replica = make_replica(client, with_unreadable_entry(entries, key))
        leadership = make_leadership(client, replica)
        catalog = MachineCatalog(cloud.parse_machine_types(golden_bytes("cloud/machine_types.cbor")))
        settings, peers = make_settings(), PeerTable([], 1.0)
        renewal = RenewalPolicy(settings, leadership, client, replica, peers)
        cloud_service = cloud_client(http)
        term = LeaderTerm(
            settings, client, cloud_service, replica, CancellationLog(1e6), leadership, renewal, peers, catalog
        )
        term.start()
        await asyncio.sleep(3.0)
        term.stop()
        for task in term.tasks:
            await asyncio.wait([task])
        if key is not None:
            expected_error = UnreadableRecordError if key.startswith(("p/j/", "p/t/", "p/c/")) else KeyError
            assert isinstance(term.tasks[0].exception(), expected_error)
        return leadership.leading

    assert virtual_time.run(main()) is (key is None)


@pytest.mark.parametrize("value", ["n1", None, {"node": 1, "term": 41}, {"node": "n1", "term": "41"}, {"?": 1}])
def test_an_unreadable_leader_key_names_no_leader(value):
    async def main():
        client = store_client(RecordingHttp())
        client.last_success_at = 0.0
        replica = make_replica(client, [store.Entry("p/lead", value, 7)])
        return make_redirects(client, replica).current_leader(monotonic_time())

    assert virtual_time.run(main()) is None


@pytest.mark.parametrize("value", ["41", None, {"?": 1}])
def test_an_unreadable_term_in_the_replica_is_ignored(value):
    async def main():
        client = store_client(RecordingHttp())
        replica = make_replica(client)
        leadership = Leadership(make_settings(), client, replica, random.Random(5))
        replica.apply([store.Change("p/term", True, value, 7)], 0)
        return leadership.highest_term

    assert virtual_time.run(main()) == 0


@pytest.mark.parametrize("grant_reference", [None, 4711, [], ["4711", 13], {"?": 1}])
def test_an_unreadable_grant_reference_counts_in_no_slot(grant_reference):
    async def main():
        node = make_node(RecordingHttp(), AdmissionSettings())
        apply_to_replica(
            node,
            "p/j/wk-4071",
            {**msgspec.json.decode(golden_bytes("records/job_array.record")), "ad": grant_reference},
        )
        return [node.admission.admitted.counts(slot) for slot in (4711, 13)]

    assert virtual_time.run(main()) == [{}, {}]


def corrupted_pages(corrupt):
    pages = json_values("records/allocation_pages")
    corrupt(pages)
    return pages


ALLOCATION_CORRUPTIONS = {
    "another version": lambda pages: pages[0].update(v=2),
    "no version": lambda pages: pages[0].pop("v"),
    "page count of another type": lambda pages: pages[0].update(pages="3"),
    "a missing page": lambda pages: pages.pop(),
    "a page without data": lambda pages: pages[1].pop("z"),
    "a page with invalid data": lambda pages: pages[1].update(z="!" * 20),
    "a page of another type": lambda pages: pages.__setitem__(0, 7),
}


@pytest.mark.parametrize("corrupt", ALLOCATION_CORRUPTIONS.values(), ids=ALLOCATION_CORRUPTIONS)
def test_an_unreadable_allocation_is_not_loaded(corrupt):
    pages = corrupted_pages(corrupt)
    with pytest.raises(UnreadableAllocationError):
        decode_allocation(pages)
    entries = {keys.allocation(4711, page): store.Entry("", value, 7) for page, value in enumerate(pages)}
    entries = {key: store.Entry(key, entry.value, 7) for key, entry in entries.items()}
    allocations = AllocationStore(lambda: entries, lambda allocation: None)
    for key, entry in entries.items():
        allocations.on_change(key, entry)
    assert allocations.get(4711) is None


@pytest.mark.parametrize("data", [b"", b"junk", b"\x97\x02", golden_bytes("peers/heartbeat_leader.frame")[4:]])
def test_an_unreadable_demand_message_is_refused(data):
    with pytest.raises(MalformedDemandError):
        decode_demand("node-3", data)


def test_a_demand_message_of_another_version_is_refused():
    data = golden_bytes("peers/demand.msgpack")
    assert data[1] == 1
    with pytest.raises(MalformedDemandError, match="version 2"):
        decode_demand("node-3", data[:1] + b"\x02" + data[2:])


def test_an_unreadable_message_between_controllers_closes_the_connection():
    received, aborted = [], []
    connection = PeerConnection(lambda _, heartbeat: received.append(heartbeat))
    connection.transport = SimpleNamespace(abort=lambda: aborted.append(True))
    data = golden_bytes("peers/heartbeat_leader.frame")
    connection.data_received(data.replace(b"\xa4node", b"\xa4nade", 1))
    assert (received, aborted) == ([], [True])


def test_a_damaged_decision_log_is_read_up_to_the_damage(tmp_path):
    data = bytearray(golden_bytes("log/decisions.avro"))
    data[-20] ^= 0xFF
    (tmp_path / "damaged").write_bytes(data)
    with pytest.raises(DecisionLogError, match="unreadable after 0 decisions"):
        list(read_file(str(tmp_path / "damaged")))
