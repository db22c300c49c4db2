"""The replica shows only states that the key-value store had, whichever commits fall between two reads of a load."""

import asyncio
import math

import cbor2
import pytest

from passrock.controller import keys
from passrock.controller.job_lookup import CANCELLED, JobLookup
from passrock.controller.replica import Replica
from passrock.core.cancellations import CancellationLog
from passrock.core.token_bucket import TokenBucket
from passrock.io.store import KeyValueStoreClient
from passrock.settings import OperatorSettings, parse_settings
from standins import virtual_time
from standins.deployment import platform_settings
from standins.state_service import KeyValueStoreService

JOBS = 5
PAGE_KEYS = 2
MAX_REQUESTS = 60  # a load that has not ended by then tries again and again


class RecordingStore(KeyValueStoreService):
    """A store that remembers the state at each revision and can run commits just before any request."""

    def __init__(self):
        super().__init__()
        self.max_page_keys = PAGE_KEYS
        self.states = {0: {}}  # revision -> mod_revision by key
        self.commits_before = {}  # number of a request of the replica -> transactions, each a list of writes
        self.requests = []  # paths of the replica's requests, in order
        self.before_request = lambda: None
        self.next_watch_too_old = False
        self.newest_change_first = False
        self.is_failing = lambda number: False  # whether a request of this number is answered with 503

    def apply(self, *writes):
        self._apply([{"set": key, "v": value} if value is not None else {"drop": key} for key, value in writes])
        self.states[self.revision] = {key: mod_revision for key, (_, mod_revision, _) in self.data.items()}

    async def request(self, method, path, body=b"", timeout=2.0):
        await asyncio.sleep(0.005)
        if path.startswith("/kv/"):
            return await self.handle(method, path, body)  # of a user's question
        self.before_request()
        for transaction in self.commits_before.pop(len(self.requests), []):
            self.apply(*transaction)
        self.requests.append(path)
        if self.next_watch_too_old and path.startswith("/changes"):
            self.next_watch_too_old = False
            return 410, b""
        if self.is_failing(len(self.requests)):
            return 503, b""
        status, answer = await self.handle(method, path, body)
        if self.newest_change_first and path.startswith("/changes"):
            fields = cbor2.loads(answer)
            answer = cbor2.dumps({**fields, "events": fields["events"][::-1]})
        return status, answer


def record(running):
    """Return a job's record with one task, which runs or waits."""
    attempts = [[0, 1, "host-000001", 1]] if running else []
    return {"d": {"volumes": 1}, "t": attempts, "n": 1}


def filled_store():
    store = RecordingStore()
    for number in range(JOBS):
        store.apply((keys.job(f"wk-{number}"), record(running=True)), (keys.task_page(f"wk-{number}", 1), {}))
    for number in range(3):
        store.apply((keys.PROVISIONING_INTENT + f"{number}", {}), (keys.reservation(f"team-{number}", 0), {"m": []}))
    store.apply((keys.cancellation("wk-1"), {"at": 1.0}))
    store.apply((keys.LEADER, {"node": "n0", "term": 1}), (keys.TERM, 1))
    return store


def cancelled(job):
    return [(keys.cancellation(job), {"at": 2.0})]


def finalized(job):
    return [(keys.job(job), None), (keys.cancellation(job), None), (keys.final(job), {"s": "cancelled", "n": 1})]


# two transactions, each of which falls into one of the gaps between the reads of a load
TRANSACTIONS = {
    "cancelled, then finalized": (cancelled("wk-3"), finalized("wk-3")),
    "finalized, then its pages deleted": (finalized("wk-1"), [(keys.task_page("wk-1", 1), None)]),
    "submitted, then cancelled": ([(keys.job("wk-9"), record(running=False))], cancelled("wk-9")),
    "submitted, then finalized": ([(keys.job("wk-9"), record(running=False))], finalized("wk-9")),
    "page written, then the job": (
        [(keys.task_page("wk-2", 1), {"t": []})],
        [(keys.job("wk-2"), record(running=False))],
    ),
    "deleted, then made again": (
        [(keys.PROVISIONING_INTENT + "1", None), (keys.LEADER, None)],
        [(keys.PROVISIONING_INTENT + "1", {}), (keys.LEADER, {"node": "n1", "term": 2}), (keys.TERM, 2)],
    ),
    "made, then deleted": ([(keys.IMAGE_HINTS + "0", {})], [(keys.IMAGE_HINTS + "0", None)]),
}


def new_replica(store):
    client = KeyValueStoreClient(store, store, TokenBucket(1e6, 1e6), TokenBucket(1e6, 1e6))
    return Replica(client, max_final_statuses=100)


def check_states(store, replica):
    """Check before each request that a loaded replica, and what its listeners heard, is a state of the store."""
    heard = {}

    def listen(key, entry):
        if entry is None:
            del heard[key]
        else:
            heard[key] = entry.mod_revision

    def check():
        shown = {key: entry.mod_revision for key, entry in replica.entries.items()}
        if replica.loaded:
            states = store.states[replica.revision].items()
            assert shown == {key: mod_revision for key, mod_revision in states if not key.startswith(keys.FINAL)}
        assert heard == shown
        assert len(store.requests) < MAX_REQUESTS

    replica.subscribe(listen)
    store.before_request = check


async def load(store, replica):
    """Run the replica until it is loaded, all commits have been made and two watches have been answered."""
    task = asyncio.ensure_future(replica.run())
    while (not replica.loaded or store.commits_before) and not task.done():
        await asyncio.sleep(0.001)
    for _ in range(2):
        store.apply((keys.RESERVATION + "later", {"m": []}))
        await asyncio.sleep(0.1)
    assert not task.done(), task.exception()
    task.cancel()


async def until_loaded(replica):
    """Run the replica until it is loaded."""
    task = asyncio.ensure_future(replica.run())
    while not replica.loaded and not task.done():
        await asyncio.sleep(0.001)
    assert not task.done(), task.exception()
    task.cancel()


def requests_of_a_quiet_load():
    async def main():
        store = filled_store()
        replica = new_replica(store)
        await replica._load()
        return len(store.requests)

    return virtual_time.run(main())


@pytest.mark.parametrize("transactions", TRANSACTIONS.values(), ids=TRANSACTIONS)
@pytest.mark.parametrize("reload", [False, True], ids=["start", "too_old"])
def test_a_loaded_replica_is_a_state_of_the_store_whichever_commits_fall_between_its_reads(transactions, reload):
    """Guards against pages of several revisions that are taken as one state: went_back of review case 6."""
    request_count = requests_of_a_quiet_load()

    async def main(first, second):
        store = filled_store()
        replica = new_replica(store)
        check_states(store, replica)
        if reload:
            await replica._load()
            store.apply(*finalized("wk-0"))
            store.apply((keys.task_page("wk-4", 1), {"t": []}))
            store.next_watch_too_old = True
            first, second = (number + len(store.requests) + 1 for number in (first, second))
        store.commits_before = {first: [transactions[0]]}
        store.commits_before.setdefault(second, []).append(transactions[1])
        await load(store, replica)

    assert request_count > 10
    for first in range(request_count + 1):
        for second in range(first, request_count + 1):
            virtual_time.run(main(first, second))


def test_a_restarted_controller_does_not_answer_running_after_cancelled():
    """Guards against a job that is loaded without its cancellation, so that answers went back (review case 6)."""
    faults = []
    settings = parse_settings(platform_settings(0, 3, ("a",)), OperatorSettings(), faults)
    request_count = requests_of_a_quiet_load()

    async def main(gap):
        store = filled_store()
        store.apply(*cancelled("wk-3"))  # and its user has been told
        replica = new_replica(store)
        store.commits_before = {gap: [finalized("wk-3")]}
        task = asyncio.ensure_future(replica.run())
        questions = []
        while not replica.loaded and not task.done():
            lookup = JobLookup(settings, replica.store, replica, CancellationLog(100.0))
            questions.append(asyncio.ensure_future(lookup.find("wk-3")))
            await asyncio.sleep(0.002)
        answers = await asyncio.gather(*questions)
        task.cancel()
        return {answer.status for answer in answers}

    assert faults == []
    for gap in range(request_count + 1):
        assert virtual_time.run(main(gap)) == {CANCELLED}, gap


@pytest.mark.parametrize("newest_change_first", [False, True])
def test_a_watch_may_list_its_changes_in_any_order(newest_change_first):
    """Guards against a deleted key that an older change of the same answer brings back."""

    async def main():
        store = filled_store()
        store.newest_change_first = newest_change_first
        replica = new_replica(store)
        check_states(store, replica)
        store.commits_before = {
            3: [*TRANSACTIONS["submitted, then finalized"], *TRANSACTIONS["made, then deleted"]],
            15: [
                *TRANSACTIONS["submitted, then cancelled"],
                finalized("wk-9"),
                *TRANSACTIONS["deleted, then made again"],
            ],
        }
        await load(store, replica)

    virtual_time.run(main())


def test_a_load_goes_on_after_failed_requests():
    """Guards against a load that begins again after each failure, so that a large one never ends."""

    async def main():
        store = filled_store()
        store.is_failing = lambda number: number % 3 != 0  # two of three requests fail
        replica = new_replica(store)
        check_states(store, replica)
        store.commits_before = {4: [cancelled("wk-3")], 20: [finalized("wk-3")]}
        await until_loaded(replica)
        return len(store.requests)

    assert virtual_time.run(main()) <= 3 * (requests_of_a_quiet_load() + 2)


def test_a_load_ends_while_the_store_is_written_at_its_full_rate():
    """Guards against a load that tries again until no commit falls between its reads."""

    async def main():
        store = filled_store()
        store.max_page_keys = 1000
        for number in range(4000):
            store.apply((keys.job(f"wk-1{number:05d}"), record(running=True)))
        page_count = math.ceil(4000 / 1000) + 8
        replica = new_replica(store)
        check_states(store, replica)
        store.commits_before = {
            number: [[(keys.job(f"wk-1{n:05d}"), record(running=False))] for n in range(150)] for number in range(100)
        }
        await until_loaded(replica)
        return len(store.requests), page_count

    request_count, page_count = virtual_time.run(main())
    assert request_count <= 2 * page_count + 1
