"""A controller's replica of the key-value store, kept up to date by a watch."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from threading import Lock

from passrock.controller import keys
from passrock.controller.snapshot_reader import SnapshotReader, apply_change
from passrock.core.instants import NEVER
from passrock.io.clock import monotonic_time
from passrock.io.errors import CompactedError, StoreError
from passrock.io.store import KeyValueStoreClient
from passrock.logs import info
from passrock.wire.store import Change, Entry

WATCH_TIMEOUT_MS = 4000  # how long the key-value store holds a watch open while nothing changes
WATCH_GAP_REQUESTS = 3.0  # delay between two watches, in requests at this node's rate
RETRY_DELAY_S = 0.3
REPLICATED_PREFIXES = (
    keys.JOB,
    keys.TASK_PAGE,
    keys.CANCELLATION,
    keys.PROVISIONING_INTENT,
    keys.RESERVATION,
    keys.RESERVATION_PAGE,
    keys.IMAGE_HINTS,
    keys.LEADER,
    keys.TERM,
)

Listener = Callable[[str, Entry | None], None]


class Replica:
    """A copy of all keys except the final statuses of jobs, which are only cached.

    Attributes:
        prefixes: prefixes of the replicated keys; subsystems add theirs before the replica is loaded.
        entries: the keys as of ``revision``.
        final_statuses: final statuses by job id, in the order in which they were cached.
        revision: the store's revision up to which changes are applied.
        loaded: whether the entries are those that the store had at ``revision``. While they are read again they are
            outdated, but still those of one revision.
        complete_as_of: the monotonic start time of the latest read that proved the replica complete as of that time.
    """

    def __init__(self, store: KeyValueStoreClient, max_final_statuses: int) -> None:
        self.prefixes: tuple[str, ...] = REPLICATED_PREFIXES
        self.store = store
        self.max_final_statuses = max_final_statuses
        self.entries: dict[str, Entry] = {}
        self.final_statuses: OrderedDict[str, str] = OrderedDict()
        self.revision = -1
        self.loaded = False
        self.complete_as_of = NEVER
        self._listeners: list[Listener] = []
        self._snapshot_reader: SnapshotReader | None = None  # while the replica is being loaded
        self._lock = Lock()
        self._advanced = asyncio.Event()  # set, and replaced, whenever the revision rises

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` with each key that changes and its entry, or None if the key is deleted."""
        self._listeners.append(listener)

    def unsubscribe(self, listener: Listener) -> None:
        """Stop calling ``listener``, if it is subscribed."""
        if listener in self._listeners:
            self._listeners.remove(listener)

    async def run(self) -> None:
        """Load the replica and apply changes from watches until cancelled."""
        while True:
            try:
                if not self.loaded:
                    await self._load()
                read_started_at = monotonic_time()
                changes, revision = await self.store.watch(keys.ROOT, self.revision, WATCH_TIMEOUT_MS)
                self.apply(changes, revision)
                self.mark_complete(read_started_at)
                # each watch is a request: at a high rate of changes the delay makes one watch return several changes
                await asyncio.sleep(WATCH_GAP_REQUESTS / self.store.request_bucket.rate)
            except CompactedError:
                self.loaded = False
                self._snapshot_reader = None
            except StoreError:
                await asyncio.sleep(RETRY_DELAY_S)

    async def _load(self) -> None:
        """Replace the entries by a snapshot of the store, and notify the listeners of what has changed."""
        if self._snapshot_reader is None:
            self._snapshot_reader = SnapshotReader(self.store, self.prefixes)
        snapshot = await self._snapshot_reader.read()
        self._snapshot_reader = None
        with self._lock:
            previous = self.entries
            self.entries = snapshot.entries
            self.revision = snapshot.revision
            self.loaded = True
        info(
            "replica_loaded",
            keys=len(snapshot.entries),
            revision=snapshot.revision,
            pages=snapshot.page_count,
            watches=snapshot.watch_count,
        )
        self._notify_of_differences(previous, snapshot.entries)
        self.mark_complete(snapshot.read_started_at)
        self._notify_waiters()

    def _notify_of_differences(self, previous: dict[str, Entry], entries: dict[str, Entry]) -> None:
        for key in previous:
            if key not in entries:
                self._notify_listeners(key, None)
        for key, entry in entries.items():
            known = previous.get(key)
            if known is None or known.mod_revision != entry.mod_revision:
                self._notify_listeners(key, entry)

    def mark_complete(self, read_started_at: float) -> None:
        """Record that a read started then has proved the replica to include all earlier commits."""
        self.complete_as_of = max(self.complete_as_of, read_started_at)

    def apply(self, changes: list[Change], revision: int) -> None:
        """Apply the changes of a watch up to ``revision``, in its order, and notify the listeners of each."""
        for change in changes:
            if change.key.startswith(keys.FINAL):
                if change.present:
                    self.cache_final_status(change.key[len(keys.FINAL) :], change.value["s"])
                continue
            with self._lock:
                is_applied = apply_change(self.entries, change)
            if is_applied:
                self._notify_listeners(change.key, self.entries.get(change.key))
        if revision > self.revision:
            self.revision = revision
            self._notify_waiters()

    def _notify_listeners(self, key: str, entry: Entry | None) -> None:
        for listener in list(self._listeners):
            listener(key, entry)

    def _notify_waiters(self) -> None:
        self._advanced.set()
        self._advanced = asyncio.Event()

    def cache_final_status(self, job_id: str, status: str) -> None:
        """Cache the final status of a job, which never changes."""
        with self._lock:
            self.final_statuses[job_id] = status
            if len(self.final_statuses) > self.max_final_statuses:
                self.final_statuses.popitem(last=False)

    async def wait_for_revision(self, revision: int, timeout: float) -> bool:
        """Wait until the replica includes ``revision``; returns False after ``timeout`` seconds."""
        try:
            async with asyncio.timeout(timeout):
                while not self.loaded or self.revision < revision:
                    await self._advanced.wait()
        except TimeoutError:
            return False
        return True

    def get(self, key: str) -> Entry | None:
        """Return the replica's entry for a key, or None."""
        return self.entries.get(key)

    def with_prefix(self, prefix: str) -> list[Entry]:
        """Return the replica's entries whose keys start with a prefix."""
        with self._lock:
            return [entry for key, entry in self.entries.items() if key.startswith(prefix)]
