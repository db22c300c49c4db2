"""Client of the cloud that rents machines."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TypeVar

from passrock.core.messages import ListedMachine
from passrock.core.model import MachineType
from passrock.core.token_bucket import TokenBucket
from passrock.io.clock import monotonic_time
from passrock.io.errors import CloudError, NoAnswerError, NoCapacityError
from passrock.io.http_client import HttpClient
from passrock.wire import cloud as wire
from passrock.wire.cbor import MalformedBodyError

CALL_TIMEOUT_S = 8.0

OK = 200
TOO_MANY_REQUESTS = 429
UNAVAILABLE = 503

Answer = TypeVar("Answer")


class CloudClient:
    """The cloud's calls, inside their rate. All raise CloudError."""

    def __init__(self, http: HttpClient, budget: TokenBucket) -> None:
        self.http = http
        self.budget = budget

    async def machine_types(self) -> dict[str, MachineType]:
        """The machine types with current prices."""
        body = await self._call("GET", wire.TYPES_PATH)
        return _parse(wire.parse_types, body, wire.TYPES_PATH)

    async def rent(self, name: str, type_name: str, zone: str, spot: bool, count: int) -> tuple[str, ...]:
        """Carry out a rental request; the machines got.

        Raises:
            NoCapacityError: None are available for this type, zone and kind.
        """
        body = await self._call("POST", wire.RENTALS_PATH, wire.rental(name, type_name, zone, spot, count))
        return _parse(wire.parse_rented, body, wire.RENTALS_PATH)

    async def delete(self, names: list[str]) -> None:
        """Delete machines; when this returns they no longer exist."""
        await self._call("POST", wire.DELETE_PATH, wire.deletion(names))

    async def machines(self) -> list[ListedMachine]:
        """All machines, page by page."""
        rows: list[ListedMachine] = []
        truncated = True
        while truncated:
            path = wire.list_path(rows[-1].name if rows else "")
            page, truncated = _parse(wire.parse_list, await self._call("GET", path), path)
            if not page:
                break
            rows += page
        return rows

    async def _call(self, method: str, path: str, body: bytes = b"") -> bytes:
        wait = self.budget.reserve(monotonic_time(), 1)
        if wait > 0:
            await asyncio.sleep(wait)
        try:
            status, answer = await self.http.request(method, path, body, CALL_TIMEOUT_S)
        except NoAnswerError as error:
            raise CloudError(str(error)) from error
        call = f"{method} {path}"
        if status == TOO_MANY_REQUESTS:
            self.budget.record_rejection(monotonic_time())
        if status == UNAVAILABLE and b"capacity" in answer:
            raise NoCapacityError("no capacity", call=call)
        if status != OK:
            raise CloudError(f"status {status}", call=call)
        return answer


def _parse(parse: Callable[[bytes], Answer], body: bytes, path: str) -> Answer:
    try:
        return parse(body)
    except MalformedBodyError as error:
        raise CloudError(f"malformed answer: {error}", call=path) from error
