"""HTTP/1.1 server on asyncio.Protocol and httptools."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import NoReturn

import httptools
import msgspec

from passrock.logs import error

BODY_LIMIT_BYTES = 64 * 1024
HEAD_LIMIT_BYTES = 16 * 1024
MAX_LOGGED_PATH_CHARS = 80
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
    503: "Service UnavailableError",  # not the registered phrase; kept for compatibility
}


class Request(msgspec.Struct):
    """An HTTP request."""

    method: str
    path: str
    body: bytes


class Response(msgspec.Struct):
    """An HTTP response; ``retry_after`` is in seconds."""

    status: int
    body: bytes = b""
    retry_after: int | None = None
    allow: str | None = None
    close: bool = False

    def head(self, *, keep_alive: bool) -> bytes:
        """Return the status line and headers."""
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
    """Raised inside a callback of the parser, which then raises a parser error."""


class HttpServer:
    """Serves one listening address, with a limit on connections and time-outs for idle and slow connections.

    Args:
        handler: answers each request, at once or later.
        connection_limit: the maximum number of open connections.
        idle_timeout_s: a connection without a request for longer is closed.
        request_timeout_s: a request that takes longer to arrive is answered with 408.
    """

    def __init__(
        self, handler: Handler, connection_limit: int, *, idle_timeout_s: float, request_timeout_s: float
    ) -> None:
        self.handler = handler
        self.connection_limit = connection_limit
        self.idle_timeout_s = idle_timeout_s
        self.request_timeout_s = request_timeout_s
        self.connections: set[ServerConnection] = set()
        self._connection_limit_logged_at: float | None = None

    async def start(self, host: str, port: int) -> asyncio.Server:
        """Listen, and begin to close idle and slow connections at intervals."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: ServerConnection(self), host, port, backlog=self.connection_limit)
        loop.call_later(self.request_timeout_s / 2, self.sweep)
        return server

    def sweep(self) -> None:
        """Close connections that have been idle or receiving a request for too long."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        for connection in list(self.connections):
            connection.check_age(now)
        loop.call_later(self.request_timeout_s / 2, self.sweep)

    def evict_idle_if_full(self) -> bool:
        """Return whether a connection may be added; at the limit, close the connection that has been idle longest."""
        if len(self.connections) < self.connection_limit:
            return True
        idle = [connection for connection in self.connections if connection.idle]
        if not idle:
            self._log_connection_limit()
            return False
        min(idle, key=lambda connection: connection.idle_or_receiving_since).close()
        return True

    def _log_connection_limit(self) -> None:
        """Log, at most once per idle time-out, that the connection limit is too small for the workers and users."""
        now = asyncio.get_running_loop().time()
        if self._connection_limit_logged_at is None or now - self._connection_limit_logged_at >= self.idle_timeout_s:
            self._connection_limit_logged_at = now
            error("socket_limit_reached", limit=self.connection_limit)


class ServerConnection(asyncio.Protocol):
    """One connection, which handles one request at a time."""

    def __init__(self, server: HttpServer) -> None:
        self.server = server
        self.idle = True  # no byte of the next request has arrived
        self.idle_or_receiving_since = 0.0  # time of the loop
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._pending_response: asyncio.Future[Response] | None = None
        self._url = b""
        self._body: list[bytes] = []
        self._body_size = 0
        self._request_size = 0
        self._violation_status: int | None = None  # the status for a request that a parser callback rejects

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
        """Drop the transport of the closed connection and cancel its handler."""
        self.server.connections.discard(self)
        self._transport = None
        if self._pending_response is not None:
            self._pending_response.cancel()

    def close(self) -> None:
        """Close the connection after the bytes already written are sent."""
        if self._transport is not None:
            self._transport.close()
            self.server.connections.discard(self)

    def check_age(self, now: float) -> None:
        """Close the connection if idle for too long; answer 408 if a request is arriving too slowly."""
        if self._pending_response is not None:
            return
        age = now - self.idle_or_receiving_since
        if self.idle:
            if age > self.server.idle_timeout_s:
                self.close()
        elif age > self.server.request_timeout_s:
            self._send(Response(408, close=True))

    def data_received(self, data: bytes) -> None:
        """Feed the received bytes to the parser."""
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
            if (
                not self.idle
                and self._pending_response is None
                and self._request_size > HEAD_LIMIT_BYTES + BODY_LIMIT_BYTES
            ):
                self._send(Response(431, close=True))

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self._url = b""
        self._body = []
        self._body_size = 0
        self._violation_status = None

    def on_url(self, url: bytes) -> None:
        """Append a part of the URL."""
        self._url += url
        if len(self._url) > HEAD_LIMIT_BYTES:
            self._reject(431, f"URL exceeds {HEAD_LIMIT_BYTES} bytes")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Reject a body whose announced length exceeds the limit."""
        if name.lower() == b"content-length" and value.isdigit() and int(value) > BODY_LIMIT_BYTES:
            self._reject(413, f"body exceeds {BODY_LIMIT_BYTES} bytes")

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._body_size += len(body)
        if self._body_size > BODY_LIMIT_BYTES:
            self._reject(413, f"body exceeds {BODY_LIMIT_BYTES} bytes")
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Pass a complete request to the handler."""
        if self._pending_response is not None:  # pipelining is not supported
            self._reject(400, "request received before the previous one was answered")
        method = self._parser.get_method().decode("ascii", "replace")
        path = self._url.decode("ascii", "replace")
        request = Request(method, path, b"".join(self._body))
        try:
            result = self.server.handler(request)
        except Exception as exc:  # noqa: BLE001 - any exception of a handler is answered with 500
            error("request_handler_failed", path=path[:MAX_LOGGED_PATH_CHARS], error=repr(exc))
            result = Response(500)
        if isinstance(result, Response):
            self._send(result)
        else:
            self._pending_response = asyncio.ensure_future(result)
            self._pending_response.add_done_callback(self._on_response)

    def _reject(self, status: int, reason: str) -> NoReturn:
        """Stop parsing a request and have it answered with ``status``."""
        self._violation_status = status
        raise _ProtocolViolationError(reason)

    def _on_response(self, response_future: asyncio.Future[Response]) -> None:
        """Send the response of the handler's task."""
        self._pending_response = None
        if self._transport is None or response_future.cancelled():
            return
        exc = response_future.exception()
        if exc is not None:
            error("request_handler_failed", error=repr(exc))
            self._send(Response(500))
        else:
            self._send(response_future.result())

    def _send(self, response: Response) -> None:
        """Write a response and prepare for the next request."""
        if self._transport is None or self._transport.is_closing():
            return
        keep_alive = not response.close and self._parser.should_keep_alive()
        self._transport.write(response.head(keep_alive=keep_alive) + response.body)
        self.idle = True
        self.idle_or_receiving_since = asyncio.get_running_loop().time()
        if not keep_alive:
            self.close()
