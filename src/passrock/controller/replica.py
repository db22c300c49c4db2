"""Each node's copy of the state, kept up by a watch, and the reads that answers to users rest on."""

from __future__ import annotations

import asyncio
import math
from collections import OrderedDict
from collections.abc import Callable
from threading import Lock

from passrock.controller import keys
from passrock.io.clock import monotonic_time
from passrock.io.state import CompactedError, StateClient, StateError
from passrock.logs import info
from passrock.wire.state import Change, Entry

WATCH_MS = 4000
WATCH_GAP = 3.0  # between two watches, as a number of requests at this node's rate
RETRY_S = 0.3
COMMIT_SHARE = 0.2  # of a second's requests, left for commits when users' questions are read for
READ_WAIT_S = 0.4  # a read waits no longer for that: a user waits 2 s for an answer
LOADED = (
    keys.JOB,
    keys.TASK_PAGE,
    keys.CANCEL,
    keys.INTENT,
    keys.RESERVATION,
    keys.MORE,
    keys.HINT,
    keys.LEADER,
    keys.TERM,
)

Listener = Callable[[str, Entry | None], None]


class Replica:
    """A copy of all keys but the final ones, which are only cached."""

    def __init__(self, state: StateClient, finals_kept: int) -> None:
        self.prefixes: tuple[str, ...] = LOADED  # subsystems add theirs before the copy is loaded
        self.state = state
        self.finals_kept = finals_kept
        self.entries: dict[str, Entry] = {}
        self.finals: OrderedDict[str, str] = OrderedDict()
        self.revision = -1
        self.loaded = False
        self.read_at = -math.inf  # when the last read began that proved the copy whole as of then
        self.listeners: list[Listener] = []
        self._lock = Lock()
        self._moved = asyncio.Event()

    async def run(self) -> None:
        """Load, then follow the changes, for ever."""
        while True:
            try:
                if not self.loaded:
                    await self._load()
                started = monotonic_time()
                changes, revision = await self.state.changes(keys.ROOT, self.revision, WATCH_MS)
                self._take(changes, revision)
                self.proved(started)
                # each new watch is a request: at a high rate of changes they are taken several at a time
                await asyncio.sleep(WATCH_GAP / self.state.requests.rate)
            except CompactedError:
                self.loaded = False
            except StateError:
                await asyncio.sleep(RETRY_S)

    async def _load(self) -> None:
        started = monotonic_time()
        fresh: dict[str, Entry] = {}
        start: int | None = None
        for prefix in self.prefixes:
            after, more = "", True
            while more:
                rows, more, revision = await self.state.page(prefix, after)
                start = revision if start is None else min(start, revision)
                fresh.update((row.key, row) for row in rows)
                after = rows[-1].key if rows else ""
                more = more and bool(rows)
        with self._lock:
            gone = [key for key in self.entries if key not in fresh]
            self.entries = fresh
            self.revision = start or 0
            self.loaded = True
        info("replica_loaded", keys=len(fresh), revision=self.revision)
        for key in gone:
            self._tell(key, None)
        for key, entry in fresh.items():
            self._tell(key, entry)
        self.proved(started)
        self._wake()

    def proved(self, started: float) -> None:
        """A read that began then has shown that the copy includes all that was committed before it."""
        self.read_at = max(self.read_at, started)

    def _take(self, changes: list[Change], revision: int) -> None:
        for change in changes:
            entry = Entry(change.key, change.value, change.mod_revision) if change.present else None
            if change.key.startswith(keys.FINAL):
                if entry is not None:
                    self.note_final(change.key[len(keys.FINAL) :], entry.value["s"])
                continue
            with self._lock:
                known = self.entries.get(change.key)
                if known is not None and known.mod_revision > change.mod_revision:
                    continue
                if entry is None:
                    self.entries.pop(change.key, None)
                else:
                    self.entries[change.key] = entry
            self._tell(change.key, entry)
        if revision > self.revision:
            self.revision = revision
            self._wake()

    def _tell(self, key: str, entry: Entry | None) -> None:
        for listener in list(self.listeners):
            listener(key, entry)

    def _wake(self) -> None:
        self._moved.set()
        self._moved = asyncio.Event()

    def note_final(self, job_id: str, status: str) -> None:
        """Remember how a job ended; this never changes again."""
        with self._lock:
            self.finals[job_id] = status
            if len(self.finals) > self.finals_kept:
                self.finals.popitem(last=False)

    async def reach(self, revision: int, timeout: float) -> bool:
        """Wait until the copy includes ``revision``."""
        try:
            async with asyncio.timeout(timeout):
                while not self.loaded or self.revision < revision:
                    await self._moved.wait()
        except TimeoutError:
            return False
        return True

    def get(self, key: str) -> Entry | None:
        """A key as the copy has it."""
        return self.entries.get(key)

    def with_prefix(self, prefix: str) -> list[Entry]:
        """All keys with a prefix, as the copy has them."""
        with self._lock:
            return [entry for key, entry in self.entries.items() if key.startswith(prefix)]


class ReadFence:
    """One read of the store's revision serves everyone who asked before it was sent."""

    def __init__(self, state: StateClient, replica: Replica, gap: float) -> None:
        self.state = state
        self.replica = replica
        self.gap = gap
        self._next: asyncio.Task[bool] | None = None

    async def passed(self) -> bool:
        """Whether the copy now includes all that was committed before this call."""
        if self._next is None:
            self._next = asyncio.ensure_future(self._read())
        return await asyncio.shield(self._next)

    def _wait_for_budget(self) -> float:
        """Seconds until a read is within the rate and commits find a part of it left.

        Reads that waited for their turn one by one grew into a queue of seconds, also for submissions. Until
        this one is sent everybody joins it, so that there is never more than one.
        """
        requests = self.state.requests
        return min(READ_WAIT_S, requests.time_until_available(monotonic_time(), keep=requests.burst * COMMIT_SHARE))

    async def _read(self) -> bool:
        await asyncio.sleep(max(self.gap, self._wait_for_budget()))
        self._next = None  # whoever asks from here on needs a later read
        started = monotonic_time()
        try:
            _, revision = await self.state.get(keys.NOWHERE, timeout=1.0)
        except StateError:
            return False
        if not await self.replica.reach(revision, 0.7):
            return False
        self.replica.proved(started)
        return True
