"""HTTP/1.1 client with a small pool of persistent connections to one address."""

from __future__ import annotations

import asyncio

import httptools

from passrock.io.errors import NoAnswerError, NotSentError
from passrock.settings import Address

REQUEST_TIMEOUT_S = 2.0


class HttpClient:
    """Sends requests to one address, one at a time on each connection."""

    def __init__(self, address: Address, max_connections: int) -> None:
        self.address = address
        self._idle_connections: list[ClientConnection] = []
        self._connection_limit = asyncio.Semaphore(max_connections)

    async def request(
        self, method: str, path: str, body: bytes = b"", timeout: float = REQUEST_TIMEOUT_S
    ) -> tuple[int, bytes]:
        """Send a request; return the status and body of the response. Raises NoAnswerError.

        ``timeout``, in seconds, includes the wait for a connection.
        """
        call = f"{method} {path}"
        try:
            async with asyncio.timeout(timeout):
                async with self._connection_limit:
                    return await self._exchange(method, path, body)
        except TimeoutError as exc:
            raise NoAnswerError(f"no response within {timeout} s", call=call) from exc

    async def _exchange(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        call = f"{method} {path}"
        connection = self._pop_idle() or await self._connect(call)
        head = (
            f"{call} HTTP/1.1\r\nHost: {self.address.host}:{self.address.port}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        try:
            result = await connection.send(call, head.encode() + body)
        except BaseException:  # also on cancellation: a late response must not be taken for the next one
            connection.abort()
            raise
        if connection.keep_alive:
            self._idle_connections.append(connection)
        else:
            connection.abort()
        return result

    def _pop_idle(self) -> ClientConnection | None:
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if not connection.closed:
                return connection
        return None

    async def _connect(self, call: str) -> ClientConnection:
        loop = asyncio.get_running_loop()
        try:
            _, connection = await loop.create_connection(ClientConnection, self.address.host, self.address.port)
        except OSError as exc:
            raise NotSentError(str(exc), call=call) from exc
        return connection


class ClientConnection(asyncio.Protocol):
    """One connection to a server, which carries one request at a time."""

    def __init__(self) -> None:
        self.closed = False
        self.keep_alive = True
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._call = ""
        self._response: asyncio.Future[tuple[int, bytes]] | None = None
        self._body: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of the new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Mark the connection closed and fail the waiting request."""
        self.closed = True
        self._fail("connection lost")

    def abort(self) -> None:
        """Close the connection at once."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()

    async def send(self, call: str, data: bytes) -> tuple[int, bytes]:
        """Send a request and return its response; ``call`` names the request in errors."""
        if self.closed or self._transport is None:
            raise NotSentError("connection closed", call=call)
        self._call = call
        self._response = asyncio.get_running_loop().create_future()
        self._transport.write(data)
        return await self._response

    def data_received(self, data: bytes) -> None:
        """Feed the received bytes to the parser."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            self._fail(f"malformed response: {exc}")
            self.abort()

    def on_message_begin(self) -> None:
        """Reset the state for a new response."""
        self._body = []

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Set the complete response as the result of the waiting request."""
        self.keep_alive = self._parser.should_keep_alive()
        if self._response is not None and not self._response.done():
            self._response.set_result((self._parser.get_status_code(), b"".join(self._body)))

    def _fail(self, reason: str) -> None:
        """Fail the waiting request with NoAnswerError."""
        if self._response is not None and not self._response.done():
            self._response.set_exception(NoAnswerError(reason, call=self._call))
