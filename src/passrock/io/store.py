"""Client of the key-value store, inside its request and write rates."""

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
WATCH_TIMEOUT_RATIO = 2.0  # of the time for which the store may hold the answer back
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
    """A transaction that was applied, at this revision of the store."""

    revision: int


class TransactionConflict(msgspec.Struct, frozen=True):
    """A transaction that was not applied because conditions failed, those of these keys."""

    conflicting_keys: tuple[str, ...]


class KeyValueStoreClient:
    """The store's calls; knows since when the store has been unavailable.

    Each call waits for its place in the rates first. All raise StoreError, or the kind of it that they name.
    """

    def __init__(self, http: HttpClient, watch_http: HttpClient, requests: TokenBucket, writes: TokenBucket) -> None:
        self.http = http
        self.watch_http = watch_http  # connections of its own: a watch holds one for long
        self.requests = requests
        self.writes = writes
        self.last_success_at = -math.inf  # when the last call that was served was sent
        self.unavailable_since: float | None = None  # when the first call since then that wasn't served was sent

    def is_unavailable(self, now: float, at_least_s: float) -> bool:
        """Whether nothing has been served for ``at_least_s`` or longer."""
        return self.unavailable_since is not None and now - self.unavailable_since >= at_least_s

    async def get(self, key: str, timeout: float = CALL_TIMEOUT_S) -> tuple[Entry | None, int]:
        """The key, or None; and for a missing key the store's revision."""
        path = wire.get_path(key)
        status, body = await self._call("GET", path, timeout=timeout)
        if status == NOT_FOUND:
            return None, _parse(wire.parse_revision, body, path)
        _require_success(status, path)
        return _parse(wire.parse_entry, body, path), 0

    async def page(self, prefix: str, after: str) -> EntryPage:
        """One page of the keys below a prefix, after a key."""
        path = wire.list_path(prefix, after)
        status, body = await self._call("GET", path, timeout=PAGE_TIMEOUT_S)
        _require_success(status, path)
        return _parse(wire.parse_page, body, path)

    async def commit(self, conditions: dict[str, int], writes: list[Write]) -> Committed | TransactionConflict:
        """A transaction.

        Raises:
            UnknownOutcomeError: It may have been applied, or may yet be.
            LeaseExpiredError: The lease of one of its writes has ended.
        """
        body = wire.commit(conditions, writes)
        status, answer = await self._call("POST", wire.COMMIT_PATH, body, changes=len(writes))
        try:
            if status == OK:
                return Committed(wire.parse_revision(answer))
            if status == CONFLICT:
                return TransactionConflict(wire.parse_failed(answer))
        except MalformedBodyError as error:
            raise UnknownOutcomeError(f"malformed answer: {error}", call=wire.COMMIT_PATH) from error
        if status == BAD_REQUEST and b"lease" in answer:
            raise LeaseExpiredError("no such lease", call=wire.COMMIT_PATH)
        raise UnexpectedAnswerError(f"status {status}", call=wire.COMMIT_PATH)

    async def new_lease(self, ttl_s: float) -> int:
        """A new lease."""
        status, body = await self._call("POST", wire.LEASES_PATH, wire.lease_request(ttl_s))
        _require_success(status, wire.LEASES_PATH)
        return _parse(wire.parse_lease, body, wire.LEASES_PATH)

    async def renew(self, lease: int, timeout: float) -> None:
        """Renew a lease; raises LeaseExpiredError when it has ended."""
        path = wire.renew_path(lease)
        status, _ = await self._call("POST", path, timeout=timeout)
        if status == NOT_FOUND:
            raise LeaseExpiredError("lease ended", call=path)
        _require_success(status, path)

    async def end_lease(self, lease: int) -> None:
        """End a lease at once."""
        await self._call("DELETE", wire.lease_path(lease))

    async def changes(self, prefix: str, after: int, wait_ms: int) -> ChangeBatch:
        """Wait for changes after a revision.

        Raises:
            CompactedError: The store no longer keeps them; the keys have to be read again.
        """
        await self._wait_for_rate(changes=0)
        path = wire.watch_path(prefix, after, wait_ms)
        timeout = wait_ms / 1000 * WATCH_TIMEOUT_RATIO + WATCH_TIMEOUT_EXTRA_S
        try:
            status, body = await self.watch_http.request("GET", path, timeout=timeout)
        except NoAnswerError as error:
            raise StoreUnavailableError(str(error)) from error
        if status == GONE:
            raise CompactedError("changes no longer kept", call=path)
        _require_success(status, path)
        return _parse(wire.parse_changes, body, path)

    async def _call(
        self, method: str, path: str, body: bytes = b"", *, timeout: float = CALL_TIMEOUT_S, changes: int = 0
    ) -> tuple[int, bytes]:
        """Status and body of a served call that changes so many keys; keeps the record of availability."""
        await self._wait_for_rate(changes)
        call = f"{method} {path}"
        sent_at = monotonic_time()
        try:
            status, answer = await self.http.request(method, path, body, timeout)
        except NoAnswerError as error:
            self._note_unavailable(sent_at)
            raise UnknownOutcomeError(str(error)) from error
        if status == TOO_MANY_REQUESTS:
            self.requests.record_rejection(monotonic_time())
            raise RateLimitedError("over the rate", call=call)
        if status >= FIRST_SERVER_ERROR:
            self._note_unavailable(sent_at)
            raise StoreUnavailableError("not served", call=call)
        self.last_success_at = sent_at
        self.unavailable_since = None
        return status, answer

    async def _wait_for_rate(self, changes: int) -> None:
        wait = self.requests.reserve(monotonic_time(), 1)
        if changes:
            wait = max(wait, self.writes.reserve(monotonic_time(), changes))
        if wait > 0:
            await asyncio.sleep(wait)

    def _note_unavailable(self, sent_at: float) -> None:
        if self.unavailable_since is None:
            self.unavailable_since = sent_at


def _require_success(status: int, path: str) -> None:
    if status != OK:
        raise UnexpectedAnswerError(f"status {status}", call=path)


def _parse(parse: Callable[[bytes], Answer], body: bytes, path: str) -> Answer:
    try:
        return parse(body)
    except MalformedBodyError as error:
        raise UnexpectedAnswerError(f"malformed answer: {error}", call=path) from error
