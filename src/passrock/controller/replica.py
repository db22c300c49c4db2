"""A controller's replica of the key-value store, kept up to date by a watch."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from threading import Lock

from passrock.controller import keys
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
        loaded: whether the replica is complete as of ``revision``.
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
            except StoreError:
                await asyncio.sleep(RETRY_DELAY_S)

    async def _load(self) -> None:
        read_started_at = monotonic_time()
        fresh, revision = await self._read_all()
        with self._lock:
            deleted = [key for key in self.entries if key not in fresh]
            self.entries = fresh
            self.revision = revision
            self.loaded = True
        info("replica_loaded", keys=len(fresh), revision=self.revision)
        for key in deleted:
            self._notify_listeners(key, None)
        for key, entry in fresh.items():
            self._notify_listeners(key, entry)
        self.mark_complete(read_started_at)
        self._notify_waiters()

    async def _read_all(self) -> tuple[dict[str, Entry], int]:
        """Return all keys and the lowest revision of their pages, from which a watch misses no change."""
        entries: dict[str, Entry] = {}
        lowest: int | None = None
        for prefix in self.prefixes:
            after = ""
            while True:
                rows, more, revision = await self.store.list_page(prefix, after)
                lowest = revision if lowest is None else min(lowest, revision)
                entries.update((row.key, row) for row in rows)
                if not more or not rows:
                    break
                after = rows[-1].key
        return entries, lowest or 0

    def mark_complete(self, read_started_at: float) -> None:
        """Record that a read started then has proved the replica to include all earlier commits."""
        self.complete_as_of = max(self.complete_as_of, read_started_at)

    def apply(self, changes: list[Change], revision: int) -> None:
        """Apply the changes of a watch up to ``revision``, in its order, and notify the listeners of each."""
        for change in changes:
            entry = Entry(change.key, change.value, change.mod_revision) if change.present else None
            if change.key.startswith(keys.FINAL):
                if entry is not None:
                    self.cache_final_status(change.key[len(keys.FINAL) :], entry.value["s"])
                continue
            with self._lock:
                current = self.entries.get(change.key)
                if current is not None and current.mod_revision > change.mod_revision:
                    continue
                if entry is None:
                    self.entries.pop(change.key, None)
                else:
                    self.entries[change.key] = entry
            self._notify_listeners(change.key, entry)
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
