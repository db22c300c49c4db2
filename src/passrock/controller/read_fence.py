"""Linearizable reads from the replica: queries wait until it includes all that was committed before them."""

from __future__ import annotations

import asyncio

from passrock.controller import keys
from passrock.controller.replica import Replica
from passrock.io.clock import monotonic_time
from passrock.io.errors import StoreError
from passrock.io.store import KeyValueStoreClient

COMMIT_SHARE = 0.2  # of a second's requests, left for commits when reads serve users' queries
READ_WAIT_S = 0.4  # a read waits no longer for the budget of requests: a user waits 2 s for an answer
READ_TIMEOUT_S = 1.0
CATCH_UP_TIMEOUT_S = 0.7  # for the watch to bring the revision that was read


class ReadFence:
    """Reads the key-value store's revision, once for everyone who asked before the read was sent.

    Args:
        gap_s: the least time between two reads, during which queries gather for the next one.
    """

    def __init__(self, store: KeyValueStoreClient, replica: Replica, gap_s: float) -> None:
        self.store = store
        self.replica = replica
        self.gap_s = gap_s
        self._next_read: asyncio.Task[bool] | None = None  # not sent yet

    async def wait(self) -> bool:
        """Wait for the replica; returns whether it now includes all that was committed before this call."""
        if self._next_read is None:
            self._next_read = asyncio.create_task(self._read())
        return await asyncio.shield(self._next_read)

    def _budget_wait_s(self) -> float:
        """Seconds until a read is within the rate and commits find a part of it left.

        Reads that waited for their turn one by one grew into a queue of seconds, also for submissions. Until
        this one is sent everybody joins it, so that there is never more than one.
        """
        requests = self.store.requests
        return min(
            READ_WAIT_S, requests.time_until_available(monotonic_time(), reserved=requests.burst * COMMIT_SHARE)
        )

    async def _read(self) -> bool:
        await asyncio.sleep(max(self.gap_s, self._budget_wait_s()))
        self._next_read = None  # whoever asks from here on needs a later read
        started = monotonic_time()
        try:
            _, revision = await self.store.get(keys.PROBE, timeout=READ_TIMEOUT_S)
        except StoreError:
            return False
        if not await self.replica.reach(revision, CATCH_UP_TIMEOUT_S):
            return False
        self.replica.mark_complete(started)
        return True
