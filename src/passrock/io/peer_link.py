"""Connections between controllers: one side sends its heartbeat, the other answers with its own heartbeat."""

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

UNANSWERED_LIMIT = 8  # requests without an answer on one connection, before it is closed


class PeerAnswer(msgspec.Struct, frozen=True):
    """A peer's heartbeat, and when it was asked for by the monotonic clock: it was true at some time since."""

    heartbeat: PeerHeartbeat
    asked_at: float


class Link(Protocol):
    """A way to ask one peer.

    Attributes:
        answer: the last answer, None before the first.
        waiting_since: since when the peer has neither answered nor refused; None when it has done either.
    """

    answer: PeerAnswer | None
    waiting_since: float | None

    def subscribe(self, listener: Callable[[PeerAnswer], None]) -> None:
        """Have ``listener`` called with each answer."""

    async def ask(self, heartbeat: PeerHeartbeat, timeout: float) -> None:
        """Send a heartbeat; ``timeout``, in seconds, bounds the wait for a connection."""


class PeerConnection(asyncio.Protocol):
    """Splits what arrives on a connection into messages, for either side."""

    def __init__(self, receive: Callable[[PeerConnection, PeerHeartbeat], None]) -> None:
        self.receive = receive
        self.transport: asyncio.Transport | None = None
        self.buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of the new connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the transport; the connection has ended."""
        self.transport = None

    def data_received(self, data: bytes) -> None:
        """Pass on every message that is complete; close on one that is malformed."""
        self.buffer += data
        while True:
            try:
                parts = split_frame(self.buffer)
                if parts is None:
                    return  # incomplete
                body, self.buffer = parts
                message = decode(body)
            except MalformedMessageError as problem:
                self.drop(str(problem))
                return
            self.receive(self, message)

    def send(self, message: PeerHeartbeat) -> None:
        """Write a message, if still connected."""
        if self.transport is not None:
            self.transport.write(frame(message))

    def drop(self, reason: str) -> None:
        """Close the connection over what the peer sent, or failed to send."""
        debug("peer_message_malformed", reason=reason)
        if self.transport is not None:
            self.transport.abort()


class PeerLink:
    """A lasting connection to one peer, opened again when it fails; keeps the peer's last answer."""

    def __init__(self, peer: Peer) -> None:
        self.peer = peer
        self.connection: PeerConnection | None = None
        self.answer: PeerAnswer | None = None
        self.waiting_since: float | None = None
        self._listeners: list[Callable[[PeerAnswer], None]] = []
        self._asked_at: deque[float] = deque()  # when each unanswered request on this connection was sent

    def subscribe(self, listener: Callable[[PeerAnswer], None]) -> None:
        """Have ``listener`` called with each answer."""
        self._listeners.append(listener)

    async def ask(self, heartbeat: PeerHeartbeat, timeout: float) -> None:
        """Send this controller's heartbeat; the answer arrives later or never."""
        if self.waiting_since is None:
            self.waiting_since = monotonic_time()
        connection = await self._connected(timeout)
        if connection is None:
            return
        if len(self._asked_at) > UNANSWERED_LIMIT:
            connection.drop("no answers")
            self.connection = None
            return
        self._asked_at.append(monotonic_time())
        connection.send(heartbeat)

    async def _connected(self, timeout: float) -> PeerConnection | None:
        """The open connection, or a new one; None when the peer refuses it or can't be reached in time."""
        if self.connection is not None and self.connection.transport is not None:
            return self.connection
        self._asked_at.clear()
        address = self.peer.address
        try:
            async with asyncio.timeout(timeout):
                _, self.connection = await asyncio.get_running_loop().create_connection(
                    lambda: PeerConnection(self._answered), address.host, address.port
                )
        except TimeoutError:
            return None
        except OSError:
            self.waiting_since = None  # a refusal is an answer: nobody waits for this peer
            return None
        return self.connection

    def _answered(self, connection: PeerConnection, heartbeat: PeerHeartbeat) -> None:
        if connection is not self.connection or not self._asked_at:
            return
        if heartbeat.node != self.peer.node:
            connection.drop("another node's answer")
            return
        self.waiting_since = None
        self.answer = PeerAnswer(heartbeat, self._asked_at.popleft())
        for listener in self._listeners:
            listener(self.answer)
