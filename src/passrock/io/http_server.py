"""HTTP/1.1 server on asyncio.Protocol and httptools."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import NoReturn

import httptools
import msgspec

from passrock.logs import error

BODY_LIMIT = 64 * 1024  # bytes
HEAD_LIMIT = 16 * 1024  # bytes
LOGGED_PATH_LIMIT = 80  # characters
REASONS = {
    200: "OK",
    201: "Created",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    413: "Content Too Large",
    421: "Misdirected Request",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service UnavailableError",  # not the registered phrase; kept as it has been sent so far
}


class Request(msgspec.Struct):
    """One request."""

    method: str
    path: str
    body: bytes


class Response(msgspec.Struct):
    """One response; ``retry_after`` in whole seconds."""

    status: int
    body: bytes = b""
    retry_after: int | None = None
    allow: str | None = None
    close: bool = False

    def head(self, *, keep_alive: bool) -> bytes:
        """The status line and headers."""
        lines = [
            f"HTTP/1.1 {self.status} {REASONS.get(self.status, 'Status')}",
            f"Content-Length: {len(self.body)}",
        ]
        if self.body:
            lines.append("Content-Type: application/cbor")
        if self.retry_after is not None:
            lines.append(f"Retry-After: {self.retry_after}")
        if self.allow is not None:
            lines.append(f"Allow: {self.allow}")
        if not keep_alive:
            lines.append("Connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()


Handler = Callable[[Request], Response | Awaitable[Response]]


class _ProtocolViolationError(ValueError):
    """Raised inside a callback of the parser, which then reports a parser error."""


class HttpServer:
    """Counts and sweeps the connections of one listening address.

    Args:
        handler: Answers each request, at once or later.
        connection_limit: How many connections it holds at most.
        idle_timeout_s: A connection without a request for longer is closed.
        head_timeout_s: A request that has been arriving for longer is answered 408.
    """

    def __init__(
        self, handler: Handler, connection_limit: int, *, idle_timeout_s: float, head_timeout_s: float
    ) -> None:
        self.handler = handler
        self.connection_limit = connection_limit
        self.idle_timeout_s = idle_timeout_s
        self.head_timeout_s = head_timeout_s
        self.connections: set[ServerConnection] = set()
        self._limit_logged_at: float | None = None

    async def start(self, host: str, port: int) -> asyncio.Server:
        """Listen, and sweep idle and slow connections from then on."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: ServerConnection(self), host, port, backlog=self.connection_limit)
        loop.call_later(self.head_timeout_s / 2, self.sweep)
        return server

    def sweep(self) -> None:
        """Close connections that have been idle, or halfway through a request, for too long."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        for connection in list(self.connections):
            connection.check_age(now)
        loop.call_later(self.head_timeout_s / 2, self.sweep)

    def evict_idle_if_full(self) -> bool:
        """Whether there is capacity for a connection; at the limit the longest idle one is closed for it."""
        if len(self.connections) < self.connection_limit:
            return True
        idle = [connection for connection in self.connections if connection.idle]
        if not idle:
            self._log_limit()
            return False
        min(idle, key=lambda connection: connection.idle_or_receiving_since).close()
        return True

    def _log_limit(self) -> None:
        """Say, once in a while, that the platform's limit is too small for the workers and users that there are."""
        now = asyncio.get_running_loop().time()
        if self._limit_logged_at is None or now - self._limit_logged_at >= self.idle_timeout_s:
            self._limit_logged_at = now
            error("socket_limit_reached", limit=self.connection_limit)


class ServerConnection(asyncio.Protocol):
    """One connection; a request at a time."""

    def __init__(self, server: HttpServer) -> None:
        self.server = server
        self.idle = True  # no byte of a next request has arrived
        self.idle_or_receiving_since = 0.0  # time of the loop
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._answering: asyncio.Future[Response] | None = None
        self._url = b""
        self._body: list[bytes] = []
        self._body_size = 0
        self._request_size = 0
        self._violation_status: int | None = None  # the answer to what a callback of the parser refuses

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of the new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.idle_or_receiving_since = asyncio.get_running_loop().time()
        if not self.server.evict_idle_if_full():
            transport.abort()
            return
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the transport; the connection has ended."""
        self.server.connections.discard(self)
        self._transport = None
        if self._answering is not None:
            self._answering.cancel()

    def close(self) -> None:
        """Close after what has been written."""
        if self._transport is not None:
            self._transport.close()
            self.server.connections.discard(self)

    def check_age(self, now: float) -> None:
        """Close when idle too long; answer 408 when a request has been arriving too slowly."""
        if self._answering is not None:
            return
        age = now - self.idle_or_receiving_since
        if self.idle:
            if age > self.server.idle_timeout_s:
                self.close()
        elif age > self.server.head_timeout_s:
            self._send(Response(408, close=True))

    def data_received(self, data: bytes) -> None:
        """Take in what has arrived."""
        if self._transport is None or self._transport.is_closing():
            return
        if self.idle:
            self.idle = False
            self.idle_or_receiving_since = asyncio.get_running_loop().time()
            self._request_size = 0
        self._request_size += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._send(Response(400, close=True))
        except httptools.HttpParserError:
            self._send(Response(self._violation_status or 400, close=True))
        else:
            if not self.idle and self._answering is None and self._request_size > HEAD_LIMIT + BODY_LIMIT:
                self._send(Response(431, close=True))

    def on_message_begin(self) -> None:
        """Begin a new message."""
        self._url = b""
        self._body = []
        self._body_size = 0
        self._violation_status = None

    def on_url(self, url: bytes) -> None:
        """Collect a part of the URL."""
        self._url += url
        if len(self._url) > HEAD_LIMIT:
            self._refuse(431, "url too long")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Refuse a body that is announced as too long."""
        if name.lower() == b"content-length" and value.isdigit() and int(value) > BODY_LIMIT:
            self._refuse(413, "body too long")

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self._body_size += len(body)
        if self._body_size > BODY_LIMIT:
            self._refuse(413, "body too long")
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Hand a complete message over."""
        if self._answering is not None:  # pipelining is not part of the interface
            self._refuse(400, "request before the answer")
        method = self._parser.get_method().decode("ascii", "replace")
        path = self._url.decode("ascii", "replace")
        request = Request(method, path, b"".join(self._body))
        try:
            result = self.server.handler(request)
        except Exception as problem:  # noqa: BLE001 - whatever a handler raises is an answer of 500
            error("request_handler_failed", path=path[:LOGGED_PATH_LIMIT], error=repr(problem))
            result = Response(500)
        if isinstance(result, Response):
            self._send(result)
        else:
            self._answering = asyncio.ensure_future(result)
            self._answering.add_done_callback(self._answered)

    def _refuse(self, status: int, reason: str) -> NoReturn:
        """End the parsing of a request that will be answered with this status."""
        self._violation_status = status
        raise _ProtocolViolationError(reason)

    def _answered(self, answering: asyncio.Future[Response]) -> None:
        """Send what the handler's task made."""
        self._answering = None
        if self._transport is None or answering.cancelled():
            return
        problem = answering.exception()
        if problem is not None:
            error("request_handler_failed", error=repr(problem))
            self._send(Response(500))
        else:
            self._send(answering.result())

    def _send(self, response: Response) -> None:
        """Write a response and get ready for the next request."""
        if self._transport is None or self._transport.is_closing():
            return
        keep_alive = not response.close and self._parser.should_keep_alive()
        self._transport.write(response.head(keep_alive=keep_alive) + response.body)
        self.idle = True
        self.idle_or_receiving_since = asyncio.get_running_loop().time()
        if not keep_alive:
            self.close()
