"""HTTP/1.1 client: a small pool of kept connections to one address."""

from __future__ import annotations

import asyncio

import httptools

from passrock.settings import Address


class NoAnswerError(Exception):
    """No usable response; the request may have been carried out, or may yet be."""


class NotSentError(NoAnswerError):
    """No connection: the request was never written."""


class HttpClient:
    """Requests to one address, one at a time on each connection."""

    def __init__(self, address: Address, most: int) -> None:
        self.address = address
        self.idle: list[Exchange] = []
        self.slots = asyncio.Semaphore(most)

    async def request(self, method: str, path: str, body: bytes = b"", timeout: float = 2.0) -> tuple[int, bytes]:
        """Status and body; raises NoAnswerError."""
        try:
            async with asyncio.timeout(timeout):
                async with self.slots:
                    return await self._exchange(method, path, body)
        except TimeoutError as error:
            raise NoAnswerError("no response in time") from error

    async def _exchange(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        connection = None
        while self.idle and connection is None:
            connection = self.idle.pop()
            if connection.closed:
                connection = None
        if connection is None:
            loop = asyncio.get_running_loop()
            try:
                _, connection = await loop.create_connection(Exchange, self.address.host, self.address.port)
            except OSError as error:
                raise NotSentError(str(error)) from error
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {self.address.host}:{self.address.port}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        try:
            result = await connection.send(head.encode() + body)
        except BaseException:
            connection.abort()
            raise
        if connection.keep:
            self.idle.append(connection)
        else:
            connection.abort()
        return result


class Exchange(asyncio.Protocol):
    """One connection to a server."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.waiter: asyncio.Future[tuple[int, bytes]] | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.body: list[bytes] = []
        self.closed = False
        self.keep = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of the new connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the transport; the connection has ended."""
        self.closed = True
        self.fail("connection lost")

    def abort(self) -> None:
        """Drop the connection."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()

    def fail(self, reason: str) -> None:
        """End the waiting request without an answer."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_exception(NoAnswerError(reason))

    async def send(self, data: bytes) -> tuple[int, bytes]:
        """Write a request and wait for its response."""
        if self.closed or self.transport is None:
            raise NotSentError("connection closed")
        self.waiter = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        return await self.waiter

    def data_received(self, data: bytes) -> None:
        """Take in what has arrived."""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.fail(f"malformed response: {error}")
            self.abort()

    def on_message_begin(self) -> None:
        """Begin a new message."""
        self.body = []

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self.body.append(body)

    def on_message_complete(self) -> None:
        """Hand a whole message over."""
        self.keep = self.parser.should_keep_alive()
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result((self.parser.get_status_code(), b"".join(self.body)))
