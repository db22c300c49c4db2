"""Client of the cloud."""

from __future__ import annotations

import asyncio

from passrock.core.messages import ListedMachine
from passrock.core.model import MachineType
from passrock.core.token_bucket import TokenBucket
from passrock.io.clock import monotonic_time
from passrock.io.http_client import HttpClient, NoAnswerError
from passrock.wire import cloud as wire
from passrock.wire.cbor import MalformedBodyError


class CloudError(Exception):
    """No usable answer."""


class NoCapacityError(CloudError):
    """None available for this type, zone and kind."""


class CloudClient:
    """The cloud's calls, inside their rate."""

    def __init__(self, http: HttpClient, budget: TokenBucket) -> None:
        self.http = http
        self.budget = budget

    async def _call(self, method: str, path: str, body: bytes = b"", timeout: float = 8.0) -> bytes:
        wait = self.budget.reserve(monotonic_time(), 1)
        if wait > 0:
            await asyncio.sleep(wait)
        try:
            status, answer = await self.http.request(method, path, body, timeout)
        except NoAnswerError as error:
            raise CloudError(str(error)) from error
        if status == 429:
            self.budget.record_rejection(monotonic_time())
        if status == 503 and b"capacity" in answer:
            raise NoCapacityError("no capacity")
        if status != 200:
            raise CloudError(f"status {status}")
        return answer

    async def machine_types(self) -> dict[str, MachineType]:
        """The machine types with current prices."""
        body = await self._call("GET", wire.TYPES_PATH)
        try:
            return wire.parse_types(body)
        except MalformedBodyError as error:
            raise CloudError(f"malformed answer: {error}") from error

    async def rent(self, name: str, type_name: str, zone: str, spot: bool, count: int) -> tuple[str, ...]:
        """Carry out a rental request; the machines got."""
        body = await self._call("POST", wire.RENTALS_PATH, wire.rental(name, type_name, zone, spot, count))
        try:
            return wire.parse_rented(body)
        except MalformedBodyError as error:
            raise CloudError(f"malformed answer: {error}") from error

    async def delete(self, names: list[str]) -> None:
        """Give machines back; when this returns they are gone."""
        await self._call("POST", wire.DELETE_PATH, wire.deletion(names))

    async def machines(self) -> list[ListedMachine]:
        """The whole machine list."""
        rows: list[ListedMachine] = []
        more = True
        while more:
            body = await self._call("GET", wire.list_path(rows[-1].name if rows else ""))
            try:
                page, more = wire.parse_list(body)
            except MalformedBodyError as error:
                raise CloudError(f"malformed answer: {error}") from error
            if not page:
                break
            rows += page
        return rows
