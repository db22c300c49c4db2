"""HTTP/1.1 server on asyncio.Protocol and httptools."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import httptools
import msgspec

from passrock.logs import error

BODY_LIMIT = 64 * 1024
HEAD_LIMIT = 16 * 1024
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
    503: "Service UnavailableError",
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

    def head(self, keep: bool) -> bytes:
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
        if not keep:
            lines.append("Connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()


Handler = Callable[[Request], Response | Awaitable[Response]]


class HttpServer:
    """Counts and sweeps the connections of one listening address."""

    def __init__(self, handler: Handler, limit: int, idle_s: float, head_s: float) -> None:
        self.handler = handler
        self.limit = limit
        self.idle_s = idle_s
        self.head_s = head_s
        self.connections: set[Connection] = set()
        self.warned = -idle_s

    async def start(self, host: str, port: int) -> asyncio.Server:
        """Listen, and sweep idle and slow connections from then on."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: Connection(self), host, port, backlog=self.limit)
        loop.call_later(self.head_s / 2, self.sweep)
        return server

    def sweep(self) -> None:
        """Close connections that have been idle, or halfway through a request, for too long."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        for connection in list(self.connections):
            connection.check_age(now)
        loop.call_later(self.head_s / 2, self.sweep)

    def make_room(self) -> bool:
        """Under the socket limit, or made so by closing the longest idle connection."""
        if len(self.connections) < self.limit:
            return True
        idle = [c for c in self.connections if c.idle]
        if not idle:
            now = asyncio.get_running_loop().time()
            if now - self.warned >= self.idle_s:
                self.warned = now
                error("socket_limit_reached", limit=self.limit)  # the platform's limit is small for this fleet
            return False
        min(idle, key=lambda c: c.since).close()
        return True


class Connection(asyncio.Protocol):
    """One connection; a request at a time."""

    def __init__(self, server: HttpServer) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.idle = True
        self.since = 0.0
        self.task: asyncio.Future[Response] | None = None
        self.url = b""
        self.body: list[bytes] = []
        self.size = 0
        self.head = 0
        self.refused = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of the new connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.since = asyncio.get_running_loop().time()
        if not self.server.make_room():
            transport.abort()
            return
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the transport; the connection has ended."""
        self.server.connections.discard(self)
        self.transport = None
        if self.task is not None:
            self.task.cancel()

    def close(self) -> None:
        """Close after what has been written."""
        if self.transport is not None:
            self.transport.close()
            self.server.connections.discard(self)

    def check_age(self, now: float) -> None:
        """Close when idle too long; answer 408 when a request has been arriving too slowly."""
        if self.task is not None:
            return
        if self.idle:
            if now - self.since > self.server.idle_s:
                self.close()
        elif now - self.since > self.server.head_s:
            self.send(Response(408, close=True))

    def data_received(self, data: bytes) -> None:
        """Take in what has arrived."""
        if self.transport is None or self.transport.is_closing():
            return
        if self.idle:
            self.idle = False
            self.since = asyncio.get_running_loop().time()
            self.head = 0
        self.head += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.send(Response(400, close=True))
        except httptools.HttpParserError:
            self.send(Response(self.refused or 400, close=True))
        else:
            if not self.idle and self.task is None and self.head > HEAD_LIMIT + BODY_LIMIT:
                self.send(Response(431, close=True))

    def on_message_begin(self) -> None:
        """Begin a new message."""
        self.url = b""
        self.body = []
        self.size = 0
        self.refused = 0

    def on_url(self, url: bytes) -> None:
        """Collect a part of the URL."""
        self.url += url
        if len(self.url) > HEAD_LIMIT:
            self.refused = 431
            raise ValueError("url too long")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Refuse a body that is announced as too long."""
        if name.lower() == b"content-length" and value.isdigit() and int(value) > BODY_LIMIT:
            self.refused = 413
            raise ValueError("body too long")

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self.size += len(body)
        if self.size > BODY_LIMIT:
            self.refused = 413
            raise ValueError("body too long")
        self.body.append(body)

    def on_message_complete(self) -> None:
        """Hand a whole message over."""
        if self.task is not None:  # pipelining is not part of the interface
            self.refused = 400
            raise ValueError("request before the answer")
        method = self.parser.get_method().decode("ascii", "replace")
        path = self.url.decode("ascii", "replace")
        request = Request(method, path, b"".join(self.body))
        try:
            result = self.server.handler(request)
        except Exception as problem:
            error("request_handler_failed", path=path[:80], error=repr(problem))
            result = Response(500)
        if isinstance(result, Response):
            self.send(result)
        else:
            self.task = asyncio.ensure_future(result)
            self.task.add_done_callback(self.finished)

    def finished(self, task: asyncio.Future[Response]) -> None:
        """Send what the handler's task made."""
        self.task = None
        if self.transport is None or task.cancelled():
            return
        problem = task.exception()
        if problem is not None:
            error("request_handler_failed", error=repr(problem))
            self.send(Response(500))
        else:
            self.send(task.result())

    def send(self, response: Response) -> None:
        """Write a response and get ready for the next request."""
        if self.transport is None or self.transport.is_closing():
            return
        keep = not response.close and self.parser.should_keep_alive()
        self.transport.write(response.head(keep) + response.body)
        self.idle = True
        self.since = asyncio.get_running_loop().time()
        if not keep:
            self.close()
