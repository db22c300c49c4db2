"""Connections between controllers: one side sends its heartbeat, the other answers with its own."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Protocol

import msgspec

from passrock.io.clock import monotonic_time
from passrock.io.peer_messages import MalformedMessageError, PeerHeartbeat, decode, frame, split_frame
from passrock.logs import debug
from passrock.settings import Peer

MAX_UNANSWERED_REQUESTS = 8  # on one connection; with more, the connection is closed


class PeerAnswer(msgspec.Struct, frozen=True):
    """A peer's heartbeat, and the monotonic time of its request; the peer was in that state at some time since."""

    heartbeat: PeerHeartbeat
    requested_at: float


class Link(Protocol):
    """Exchanges heartbeats with one peer.

    Attributes:
        answer: the last answer, None before the first.
        waiting_since: since when the peer has neither answered nor refused a connection; None when no answer is
            awaited.
    """

    answer: PeerAnswer | None
    waiting_since: float | None

    def subscribe(self, listener: Callable[[PeerAnswer], None]) -> None:
        """Call ``listener`` with each answer."""

    async def send_heartbeat(self, heartbeat: PeerHeartbeat, timeout: float) -> None:
        """Send a heartbeat; ``timeout``, in seconds, bounds the wait for a connection."""


class PeerConnection(asyncio.Protocol):
    """Splits the bytes received on a connection into messages, on either side."""

    def __init__(self, receive: Callable[[PeerConnection, PeerHeartbeat], None]) -> None:
        self.receive = receive
        self.transport: asyncio.Transport | None = None
        self.buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of the new connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop the transport of the closed connection."""
        self.transport = None

    def data_received(self, data: bytes) -> None:
        """Pass on each complete message; close the connection on a malformed one."""
        self.buffer += data
        while True:
            try:
                parts = split_frame(self.buffer)
                if parts is None:
                    return  # incomplete
                body, self.buffer = parts
                message = decode(body)
            except MalformedMessageError as exc:
                self.drop(str(exc))
                return
            self.receive(self, message)

    def send(self, message: PeerHeartbeat) -> None:
        """Write a message if the connection is open."""
        if self.transport is not None:
            self.transport.write(frame(message))

    def drop(self, reason: str) -> None:
        """Close the connection because of a malformed or missing message of the peer."""
        debug("peer_message_malformed", reason=reason)
        if self.transport is not None:
            self.transport.abort()


class PeerLink:
    """A persistent connection to one peer, reopened after a failure; keeps the peer's last answer."""

    def __init__(self, peer: Peer) -> None:
        self.peer = peer
        self.connection: PeerConnection | None = None
        self.answer: PeerAnswer | None = None
        self.waiting_since: float | None = None
        self._listeners: list[Callable[[PeerAnswer], None]] = []
        self._requested_at: deque[float] = deque()  # send times of the unanswered requests on this connection

    def subscribe(self, listener: Callable[[PeerAnswer], None]) -> None:
        """Call ``listener`` with each answer."""
        self._listeners.append(listener)

    async def send_heartbeat(self, heartbeat: PeerHeartbeat, timeout: float) -> None:
        """Send this controller's heartbeat; an answer may arrive later."""
        if self.waiting_since is None:
            self.waiting_since = monotonic_time()
        connection = await self._connect(timeout)
        if connection is None:
            return
        if len(self._requested_at) > MAX_UNANSWERED_REQUESTS:
            connection.drop(f"{len(self._requested_at)} requests without an answer")
            self.connection = None
            return
        self._requested_at.append(monotonic_time())
        connection.send(heartbeat)

    async def _connect(self, timeout: float) -> PeerConnection | None:
        """Return the open connection or a new one; None when the peer refuses it or does not accept it in time."""
        if self.connection is not None and self.connection.transport is not None:
            return self.connection
        self._requested_at.clear()
        address = self.peer.address
        try:
            async with asyncio.timeout(timeout):
                _, self.connection = await asyncio.get_running_loop().create_connection(
                    lambda: PeerConnection(self._on_answer), address.host, address.port
                )
        except TimeoutError:
            return None
        except OSError:
            self.waiting_since = None  # a refusal is an answer: such a peer is not unresponsive
            return None
        return self.connection

    def _on_answer(self, connection: PeerConnection, heartbeat: PeerHeartbeat) -> None:
        if connection is not self.connection or not self._requested_at:
            return
        if heartbeat.node != self.peer.node:
            connection.drop(f"answer of a node other than {self.peer.node}")
            return
        self.waiting_since = None
        self.answer = PeerAnswer(heartbeat, self._requested_at.popleft())
        for listener in self._listeners:
            listener(self.answer)
