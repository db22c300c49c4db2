"""Each controller's replica of the key-value store, kept up to date by a watch."""

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
WATCH_GAP_REQUESTS = 3.0  # between two watches, as a number of requests at this node's rate
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
    """A copy of all keys except the final states of jobs, which are only cached.

    Attributes:
        prefixes: the keys that are copied; subsystems add theirs before the replica is loaded.
        entries: the keys as of ``revision``.
        final_statuses: final states by job id, the most recently learned at the end.
        revision: the store's revision up to which changes have been applied.
        loaded: whether the replica is complete as of ``revision``.
        complete_as_of: the monotonic time at which the last read began that proved the replica complete as of then.
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
        """Have ``listener`` called with each key that changes and its entry, None for a deleted one."""
        self._listeners.append(listener)

    def unsubscribe(self, listener: Listener) -> None:
        """Have ``listener`` called no longer, if it is subscribed."""
        if listener in self._listeners:
            self._listeners.remove(listener)

    async def run(self) -> None:
        """Load, then follow the changes, for ever."""
        while True:
            try:
                if not self.loaded:
                    await self._load()
                read_started_at = monotonic_time()
                changes, revision = await self.store.changes(keys.ROOT, self.revision, WATCH_TIMEOUT_MS)
                self.apply(changes, revision)
                self.mark_complete(read_started_at)
                # each new watch is a request: at a high rate of changes it waits, and brings several at a time
                await asyncio.sleep(WATCH_GAP_REQUESTS / self.store.requests.rate)
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
        """All keys, page by page, and the lowest revision of a page: the watch begins there and misses nothing."""
        entries: dict[str, Entry] = {}
        lowest: int | None = None
        for prefix in self.prefixes:
            after = ""
            while True:
                rows, more, revision = await self.store.page(prefix, after)
                lowest = revision if lowest is None else min(lowest, revision)
                entries.update((row.key, row) for row in rows)
                if not more or not rows:
                    break
                after = rows[-1].key
        return entries, lowest or 0

    def mark_complete(self, read_started_at: float) -> None:
        """A read that began then has shown that the replica includes all that was committed before it."""
        self.complete_as_of = max(self.complete_as_of, read_started_at)

    def apply(self, changes: list[Change], revision: int) -> None:
        """Apply changes in the order of a watch that has reached ``revision``, and notify the listeners of each."""
        for change in changes:
            entry = Entry(change.key, change.value, change.mod_revision) if change.present else None
            if change.key.startswith(keys.FINAL):
                if entry is not None:
                    self.cache_final_status(change.key[len(keys.FINAL) :], entry.value["s"])
                continue
            with self._lock:
                known = self.entries.get(change.key)
                if known is not None and known.mod_revision > change.mod_revision:
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
        """Cache how a job ended; this never changes again."""
        with self._lock:
            self.final_statuses[job_id] = status
            if len(self.final_statuses) > self.max_final_statuses:
                self.final_statuses.popitem(last=False)

    async def wait_for_revision(self, revision: int, timeout: float) -> bool:
        """Wait until the replica includes ``revision``; returns whether it does within ``timeout`` seconds."""
        try:
            async with asyncio.timeout(timeout):
                while not self.loaded or self.revision < revision:
                    await self._advanced.wait()
        except TimeoutError:
            return False
        return True

    def get(self, key: str) -> Entry | None:
        """A key as the replica has it."""
        return self.entries.get(key)

    def with_prefix(self, prefix: str) -> list[Entry]:
        """All keys with a prefix, as the replica has them."""
        with self._lock:
            return [entry for key, entry in self.entries.items() if key.startswith(prefix)]
