"""Linearizable reads from the replica: a query waits until the replica includes all earlier commits."""

from __future__ import annotations

import asyncio

from passrock.controller import keys
from passrock.controller.replica import Replica
from passrock.io.clock import monotonic_time
from passrock.io.errors import StoreError
from passrock.io.store import KeyValueStoreClient

COMMIT_REQUEST_SHARE = 0.2  # of a full burst of requests, reserved for commits
MAX_READ_WAIT_S = 0.4  # for a token of the request bucket; users wait 2 s for an answer
READ_TIMEOUT_S = 1.0
CATCH_UP_TIMEOUT_S = 0.7  # for a watch to deliver the revision that was read


class ReadFence:
    """Reads the key-value store's revision once for all queries that arrive before the read is sent.

    Args:
        min_interval_s: the minimum delay before a read, in which queries are batched.
    """

    def __init__(self, store: KeyValueStoreClient, replica: Replica, min_interval_s: float) -> None:
        self.store = store
        self.replica = replica
        self.min_interval_s = min_interval_s
        self._next_read: asyncio.Task[bool] | None = None  # scheduled, not sent yet

    async def wait(self) -> bool:
        """Wait for the replica; returns whether it includes all commits made before this call."""
        if self._next_read is None:
            self._next_read = asyncio.create_task(self._read())
        return await asyncio.shield(self._next_read)

    def _request_token_wait_s(self) -> float:
        """Return the seconds, limited, until the request bucket has a token beyond the reserve for commits.

        When each query reserved a token, reads queued for seconds and delayed submissions too. So all queries share
        the scheduled read until it is sent, and at most one read waits at any time.
        """
        request_bucket = self.store.request_bucket
        return min(
            MAX_READ_WAIT_S,
            request_bucket.time_until_available(
                monotonic_time(), reserved=request_bucket.burst * COMMIT_REQUEST_SHARE
            ),
        )

    async def _read(self) -> bool:
        await asyncio.sleep(max(self.min_interval_s, self._request_token_wait_s()))
        self._next_read = None  # queries that arrive from now on need a later read
        read_started_at = monotonic_time()
        try:
            _, revision = await self.store.get(keys.PROBE, timeout=READ_TIMEOUT_S)
        except StoreError:
            return False
        if not await self.replica.wait_for_revision(revision, CATCH_UP_TIMEOUT_S):
            return False
        self.replica.mark_complete(read_started_at)
        return True
