"""Client of the cloud, which provisions and deletes machines."""

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
    """Sends requests to the cloud within the rate limit. All calls raise CloudError."""

    def __init__(self, http: HttpClient, request_bucket: TokenBucket) -> None:
        self.http = http
        self.request_bucket = request_bucket

    async def list_machine_types(self) -> dict[str, MachineType]:
        """Return the machine types by name, with current prices."""
        body = await self._call("GET", wire.MACHINE_TYPES_PATH)
        return _parse(wire.parse_machine_types, body, wire.MACHINE_TYPES_PATH)

    async def provision(self, name: str, type_name: str, zone: str, spot: bool, count: int) -> tuple[str, ...]:
        """Request ``count`` machines and return the names of those provisioned, which may be fewer.

        Requests are idempotent by ``name``: a repeated request returns the machines of the first.

        Raises:
            NoCapacityError: no machine is available for this type, zone and kind.
        """
        body = await self._call(
            "POST", wire.RENTALS_PATH, wire.encode_provisioning_request(name, type_name, zone, spot, count)
        )
        return _parse(wire.parse_provisioned_machines, body, wire.RENTALS_PATH)

    async def delete_machines(self, names: list[str]) -> None:
        """Delete machines; when this returns, they no longer exist."""
        await self._call("POST", wire.DELETE_PATH, wire.encode_deletion_request(names))

    async def list_machines(self) -> list[ListedMachine]:
        """Return all machines, read page by page."""
        machines: list[ListedMachine] = []
        truncated = True
        while truncated:
            path = wire.list_path(machines[-1].name if machines else "")
            page, truncated = _parse(wire.parse_machine_page, await self._call("GET", path), path)
            if not page:
                break
            machines += page
        return machines

    async def _call(self, method: str, path: str, body: bytes = b"") -> bytes:
        wait = self.request_bucket.reserve(monotonic_time(), 1)
        if wait > 0:
            await asyncio.sleep(wait)
        try:
            status, answer = await self.http.request(method, path, body, CALL_TIMEOUT_S)
        except NoAnswerError as exc:
            raise CloudError(str(exc)) from exc
        call = f"{method} {path}"
        if status == TOO_MANY_REQUESTS:
            self.request_bucket.record_rejection(monotonic_time())
        if status == UNAVAILABLE and b"capacity" in answer:
            raise NoCapacityError(f"no capacity (status {status})", call=call)
        if status != OK:
            raise CloudError(f"unexpected status {status}", call=call)
        return answer


def _parse(parse: Callable[[bytes], Answer], body: bytes, path: str) -> Answer:
    try:
        return parse(body)
    except MalformedBodyError as exc:
        raise CloudError(f"malformed answer: {exc}", call=path) from exc
