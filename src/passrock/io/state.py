"""Client of the state service, inside its request and write rates."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TypeVar

import msgspec

from passrock.core.token_bucket import TokenBucket
from passrock.io.clock import monotonic_time
from passrock.io.http_client import HttpClient, NoAnswerError
from passrock.wire import state as wire
from passrock.wire.cbor import MalformedBodyError
from passrock.wire.state import Change, Entry, Write

Answer = TypeVar("Answer")


class StateError(Exception):
    """The call did not succeed and was not carried out."""


class UnknownOutcomeError(StateError):
    """No answer: the call may have been carried out, or may yet be."""


class LeaseEndedError(StateError):
    """The lease has ended."""


class CompactedError(StateError):
    """The watch's start is no longer kept."""


class Committed(msgspec.Struct, frozen=True):
    """A transaction that was applied."""

    revision: int


class Refused(msgspec.Struct, frozen=True):
    """A transaction whose conditions failed."""

    failed: tuple[str, ...]


class StateClient:
    """The state service's calls; knows since when the service has not been served."""

    def __init__(self, http: HttpClient, watch_http: HttpClient, requests: TokenBucket, writes: TokenBucket) -> None:
        self.http = http
        self.watch_http = watch_http
        self.requests = requests
        self.writes = writes
        self.last_good = -1e9
        self.refused_since: float | None = None

    async def _call(
        self, method: str, path: str, body: bytes = b"", timeout: float = 1.5, changes: int = 0
    ) -> tuple[int, bytes]:
        wait = self.requests.reserve(monotonic_time(), 1)
        if changes:
            wait = max(wait, self.writes.reserve(monotonic_time(), changes))
        if wait > 0:
            await asyncio.sleep(wait)
        started = monotonic_time()
        try:
            status, answer = await self.http.request(method, path, body, timeout)
        except NoAnswerError as error:
            self._bad(started)
            raise UnknownOutcomeError(str(error)) from error
        if status == 429:
            self.requests.record_rejection(monotonic_time())
            raise StateError("over the rate")
        if status >= 500:
            self._bad(started)
            raise StateError("not served")
        self.last_good = started
        self.refused_since = None
        return status, answer

    def _bad(self, started: float) -> None:
        if self.refused_since is None:
            self.refused_since = started

    def down(self, now: float, after: float) -> bool:
        """Whether nothing has been served for longer than ``after``."""
        return self.refused_since is not None and now - self.refused_since >= after

    async def get(self, key: str, timeout: float = 1.5) -> tuple[Entry | None, int]:
        """The key, or None; and for a missing key the store's revision."""
        status, body = await self._call("GET", wire.get_path(key), timeout=timeout)
        if status == 404:
            return None, _parsed(wire.parse_revision, body)
        _require_success(status)
        return _parsed(wire.parse_entry, body), 0

    async def page(self, prefix: str, after: str) -> tuple[list[Entry], bool, int]:
        """One page of keys."""
        status, body = await self._call("GET", wire.list_path(prefix, after), timeout=5.0)
        _require_success(status)
        return _parsed(wire.parse_page, body)

    async def commit(self, conditions: dict[str, int], writes: list[Write]) -> Committed | Refused:
        """A transaction; raises UnknownOutcomeError when its fate isn't known."""
        body = wire.commit(conditions, writes)
        status, answer = await self._call("POST", wire.COMMIT_PATH, body, changes=len(writes))
        try:
            if status == 200:
                return Committed(wire.parse_revision(answer))
            if status == 409:
                return Refused(wire.parse_failed(answer))
        except MalformedBodyError as error:
            raise UnknownOutcomeError(f"malformed answer: {error}") from error
        if status == 400 and b"lease" in answer:
            raise LeaseEndedError("no such lease")
        raise StateError(f"status {status}")

    async def new_lease(self, ttl_s: float) -> int:
        """A new lease."""
        status, body = await self._call("POST", wire.LEASES_PATH, wire.lease_request(ttl_s))
        _require_success(status)
        return _parsed(wire.parse_lease, body)

    async def renew(self, lease: int, timeout: float) -> None:
        """Renew; raises LeaseEndedError when it has ended."""
        status, _ = await self._call("POST", wire.renew_path(lease), timeout=timeout)
        if status == 404:
            raise LeaseEndedError("lease ended")
        _require_success(status)

    async def end_lease(self, lease: int) -> None:
        """End a lease at once."""
        await self._call("DELETE", wire.lease_path(lease))

    async def changes(self, prefix: str, after: int, wait_ms: int) -> tuple[list[Change], int]:
        """Wait for changes."""
        wait = self.requests.reserve(monotonic_time(), 1)
        if wait > 0:
            await asyncio.sleep(wait)
        try:
            status, body = await self.watch_http.request(
                "GET", wire.watch_path(prefix, after, wait_ms), timeout=wait_ms / 1000 * 2 + 5.0
            )
        except NoAnswerError as error:
            raise StateError(str(error)) from error
        if status == 410:
            raise CompactedError("changes no longer kept")
        _require_success(status)
        return _parsed(wire.parse_changes, body)


def _require_success(status: int) -> None:
    if status != 200:
        raise StateError(f"status {status}")


def _parsed(parse: Callable[[bytes], Answer], body: bytes) -> Answer:
    try:
        return parse(body)
    except MalformedBodyError as error:
        raise StateError(f"malformed answer: {error}") from error
