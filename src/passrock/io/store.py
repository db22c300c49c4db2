"""Client of the key-value store that keeps within the store's request and write rates."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import TypeVar

import msgspec

from passrock.core.token_bucket import TokenBucket
from passrock.io.clock import monotonic_time
from passrock.io.errors import (
    CompactedError,
    LeaseExpiredError,
    NoAnswerError,
    RateLimitedError,
    StoreUnavailableError,
    UnexpectedAnswerError,
    UnknownOutcomeError,
)
from passrock.io.http_client import HttpClient
from passrock.wire import store as wire
from passrock.wire.cbor import MalformedBodyError
from passrock.wire.store import ChangeBatch, Entry, EntryPage, Write

CALL_TIMEOUT_S = 1.5
PAGE_TIMEOUT_S = 5.0
WATCH_TIMEOUT_RATIO = 2.0  # of the time for which the store may delay the answer
WATCH_TIMEOUT_EXTRA_S = 5.0

OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
CONFLICT = 409
GONE = 410
TOO_MANY_REQUESTS = 429
FIRST_SERVER_ERROR = 500

Answer = TypeVar("Answer")


class Committed(msgspec.Struct, frozen=True):
    """A transaction that was applied, with the resulting revision of the store."""

    revision: int


class TransactionConflict(msgspec.Struct, frozen=True):
    """A transaction that was not applied because the conditions on these keys failed."""

    conflicting_keys: tuple[str, ...]


class KeyValueStoreClient:
    """Sends requests to the store, and records since when the store has been unavailable.

    Each call first waits until the rates allow it. All calls raise StoreError or the subclasses that they name.
    """

    def __init__(
        self, http: HttpClient, watch_http: HttpClient, request_bucket: TokenBucket, write_bucket: TokenBucket
    ) -> None:
        self.http = http
        self.watch_http = watch_http  # separate connections: a watch occupies one for long
        self.request_bucket = request_bucket
        self.write_bucket = write_bucket
        self.last_success_at = -math.inf  # when the last successful call was sent
        self.unavailable_since: float | None = None  # when the first failed call since then was sent

    def is_unavailable(self, now: float, at_least_s: float) -> bool:
        """Whether no call has succeeded for ``at_least_s`` or longer."""
        return self.unavailable_since is not None and now - self.unavailable_since >= at_least_s

    async def get(self, key: str, timeout: float = CALL_TIMEOUT_S) -> tuple[Entry | None, int]:
        """Return the entry and 0, or for a missing key None and the store's revision."""
        path = wire.get_path(key)
        status, body = await self._call("GET", path, timeout=timeout)
        if status == NOT_FOUND:
            return None, _parse(wire.parse_revision, body, path)
        _require_success(status, path)
        return _parse(wire.parse_entry, body, path), 0

    async def list_page(self, prefix: str, after: str) -> EntryPage:
        """Return one page of the entries below a prefix, beginning after the key ``after``."""
        path = wire.list_path(prefix, after)
        status, body = await self._call("GET", path, timeout=PAGE_TIMEOUT_S)
        _require_success(status, path)
        return _parse(wire.parse_page, body, path)

    async def commit(self, conditions: dict[str, int], writes: list[Write]) -> Committed | TransactionConflict:
        """Commit a transaction, unless one of its conditions fails.

        Raises:
            UnknownOutcomeError: the transaction may have been applied, or may yet be.
            LeaseExpiredError: the lease of one of its writes has expired.
        """
        body = wire.commit(conditions, writes)
        status, answer = await self._call("POST", wire.COMMIT_PATH, body, write_count=len(writes))
        try:
            if status == OK:
                return Committed(wire.parse_revision(answer))
            if status == CONFLICT:
                return TransactionConflict(wire.parse_failed(answer))
        except MalformedBodyError as exc:
            raise UnknownOutcomeError(f"malformed answer: {exc}", call=wire.COMMIT_PATH) from exc
        if status == BAD_REQUEST and b"lease" in answer:
            raise LeaseExpiredError("no such lease", call=wire.COMMIT_PATH)
        raise UnexpectedAnswerError(f"unexpected status {status}", call=wire.COMMIT_PATH)

    async def create_lease(self, ttl_s: float) -> int:
        """Create a lease and return its id."""
        status, body = await self._call("POST", wire.LEASES_PATH, wire.lease_request(ttl_s))
        _require_success(status, wire.LEASES_PATH)
        return _parse(wire.parse_lease, body, wire.LEASES_PATH)

    async def renew_lease(self, lease: int, timeout: float) -> None:
        """Renew a lease; raises LeaseExpiredError when it has expired."""
        path = wire.renew_path(lease)
        status, _ = await self._call("POST", path, timeout=timeout)
        if status == NOT_FOUND:
            raise LeaseExpiredError("lease expired", call=path)
        _require_success(status, path)

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which ends it at once."""
        await self._call("DELETE", wire.lease_path(lease))

    async def watch(self, prefix: str, after: int, wait_ms: int) -> ChangeBatch:
        """Return the changes after a revision, waiting for them up to ``wait_ms``.

        Raises:
            CompactedError: the store no longer keeps these changes; the keys have to be read again.
        """
        await self._wait_for_rate(write_count=0)
        path = wire.watch_path(prefix, after, wait_ms)
        timeout = wait_ms / 1000 * WATCH_TIMEOUT_RATIO + WATCH_TIMEOUT_EXTRA_S
        try:
            status, body = await self.watch_http.request("GET", path, timeout=timeout)
        except NoAnswerError as exc:
            raise StoreUnavailableError(str(exc)) from exc
        if status == GONE:
            raise CompactedError(f"changes after revision {after} are no longer kept", call=path)
        _require_success(status, path)
        return _parse(wire.parse_changes, body, path)

    async def _call(
        self, method: str, path: str, body: bytes = b"", *, timeout: float = CALL_TIMEOUT_S, write_count: int = 0
    ) -> tuple[int, bytes]:
        """Send a call with ``write_count`` writes and return its status and body; record whether it succeeded."""
        await self._wait_for_rate(write_count)
        call = f"{method} {path}"
        sent_at = monotonic_time()
        try:
            status, answer = await self.http.request(method, path, body, timeout)
        except NoAnswerError as exc:
            self._record_unavailable(sent_at)
            raise UnknownOutcomeError(str(exc)) from exc
        if status == TOO_MANY_REQUESTS:
            self.request_bucket.record_rejection(monotonic_time())
            raise RateLimitedError("rate limit exceeded", call=call)
        if status >= FIRST_SERVER_ERROR:
            self._record_unavailable(sent_at)
            raise StoreUnavailableError(f"status {status}", call=call)
        self.last_success_at = sent_at
        self.unavailable_since = None
        return status, answer

    async def _wait_for_rate(self, write_count: int) -> None:
        wait = self.request_bucket.reserve(monotonic_time(), 1)
        if write_count:
            wait = max(wait, self.write_bucket.reserve(monotonic_time(), write_count))
        if wait > 0:
            await asyncio.sleep(wait)

    def _record_unavailable(self, sent_at: float) -> None:
        if self.unavailable_since is None:
            self.unavailable_since = sent_at


def _require_success(status: int, path: str) -> None:
    if status != OK:
        raise UnexpectedAnswerError(f"unexpected status {status}", call=path)


def _parse(parse: Callable[[bytes], Answer], body: bytes, path: str) -> Answer:
    try:
        return parse(body)
    except MalformedBodyError as exc:
        raise UnexpectedAnswerError(f"malformed answer: {exc}", call=path) from exc
