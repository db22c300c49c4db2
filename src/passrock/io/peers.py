"""What controllers tell each other: msgspec messages, each behind its length."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from functools import partial
from typing import Protocol

import msgspec

from passrock.core.cancellations import Cancellations, PeerKnowledge
from passrock.io.clock import monotonic_time
from passrock.logs import debug
from passrock.settings import Address, Peer

LENGTH = 4
MESSAGE_LIMIT = 16 * 1024
PIECE = 100  # cancellations in one message, far inside its limit


class PeerHeartbeat(msgspec.Struct, frozen=True):
    """A controller's view: the highest term it knows, whether it leads, how it sees the state service.

    ``redirects`` counts the workers of that term which it had to send to the leader lately. ``run`` tells one life
    of the process from another. It knows every cancellation that anyone was told of ``whole_age`` seconds ago or
    earlier (None: it can't say); ``cancelled`` are entries of its list of them from number ``first`` on, out of
    ``total``. The sender has taken in the receiver's list, of its life ``taken_run``, up to number ``taken``.
    """

    node: str
    term: int
    leading: bool
    state_down: bool
    has_read: bool
    redirects: int = 0
    run: int = 0
    whole_age: float | None = None
    taken_run: int = 0
    taken: int = 0
    first: int = 0
    total: int = 0
    cancelled: tuple[str, ...] = ()
    extensions: dict[str, bytes] | msgspec.UnsetType = msgspec.UNSET  # absent unless a subsystem is switched on

    def extension(self, name: str) -> bytes | None:
        """What a subsystem of the sender has to say, or None where it is switched off there."""
        return None if self.extensions is msgspec.UNSET else self.extensions.get(name)

    def fault(self) -> str | None:
        """What this message says that can't be, or None."""
        if min(self.term, self.redirects, self.run, self.taken_run, self.taken, self.first, self.total) < 0:
            return "a negative number"
        if self.first + len(self.cancelled) > self.total:
            return "more entries than there are"
        if self.whole_age is not None and not 0.0 <= self.whole_age < float("inf"):
            return "an age that can't be"
        return None


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(PeerHeartbeat)


def frame(message: PeerHeartbeat) -> bytes:
    """A message with its length."""
    body = _encoder.encode(message)
    return len(body).to_bytes(LENGTH, "big") + body


class PeerConnection(asyncio.Protocol):
    """Takes whole messages out of a connection, in either role."""

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
        """Take in what has arrived."""
        self.buffer += data
        while len(self.buffer) >= LENGTH:
            size = int.from_bytes(self.buffer[:LENGTH], "big")
            if size > MESSAGE_LIMIT:
                self.drop("too long")
                return
            if len(self.buffer) < LENGTH + size:
                return
            body, self.buffer = self.buffer[LENGTH : LENGTH + size], self.buffer[LENGTH + size :]
            try:
                message = _decoder.decode(body)
                fault = message.fault()
            except msgspec.DecodeError as error:
                fault = str(error)
            if fault is not None:
                self.drop(fault)
                return
            self.receive(self, message)

    def send(self, message: PeerHeartbeat) -> None:
        """Write a message, if still connected."""
        if self.transport is not None:
            self.transport.write(frame(message))

    def drop(self, reason: str) -> None:
        """Close on something that is not a message."""
        debug("peer_message_malformed", reason=reason)
        if self.transport is not None:
            self.transport.abort()


class PeerLink:
    """Asks one peer again and again; keeps its last answer and when that was asked for."""

    def __init__(self, peer: Peer) -> None:
        self.peer = peer
        self.connection: PeerConnection | None = None
        self.answer: PeerHeartbeat | None = None
        self.asked_at = -1e9
        self.waiting_since: float | None = None
        self.heard: Callable[[PeerHeartbeat, float], None] = lambda heartbeat, asked_at: None
        self._sent: list[float] = []

    async def ask(self, heartbeat: PeerHeartbeat, timeout: float) -> None:
        """Send our view; the answer arrives later or never."""
        if self.waiting_since is None:
            self.waiting_since = monotonic_time()
        if self.connection is None or self.connection.transport is None:
            self._sent.clear()
            loop = asyncio.get_running_loop()
            address = self.peer.address
            try:
                async with asyncio.timeout(timeout):
                    _, self.connection = await loop.create_connection(
                        lambda: PeerConnection(self._answered), address.host, address.port
                    )
            except TimeoutError:
                return
            except OSError:
                self.waiting_since = None
                return
        if len(self._sent) > 8:  # a peer that has stopped answering: begin again
            self.connection.drop("no answers")
            self.connection = None
            return
        self._sent.append(monotonic_time())
        self.connection.send(heartbeat)

    def _answered(self, connection: PeerConnection, heartbeat: PeerHeartbeat) -> None:
        if connection is not self.connection or not self._sent:
            return
        if heartbeat.node != self.peer.node:
            connection.drop("another node's answer")
            return
        self.waiting_since = None
        self.asked_at = self._sent.pop(0)
        self.answer = heartbeat
        self.heard(heartbeat, self.asked_at)


class Extension(Protocol):
    """A subsystem's own part in what controllers tell each other. It bounds and checks what it exchanges."""

    name: str

    def outgoing(self) -> bytes:
        """What goes with this controller's view."""

    def received(self, node: str, data: bytes) -> None:
        """A peer's part arrived."""


class Link(Protocol):
    """A way to ask one peer."""

    answer: PeerHeartbeat | None
    asked_at: float
    waiting_since: float | None  # asked since then with neither an answer nor a refusal
    heard: Callable[[PeerHeartbeat, float], None]  # called with each answer and when it was asked for

    async def ask(self, heartbeat: PeerHeartbeat, timeout: float) -> None:
        """Send our view."""


class Peers:
    """All other controllers."""

    def __init__(
        self,
        links: Sequence[Link],
        own_view: Callable[[], PeerHeartbeat],
        seen: Callable[[PeerHeartbeat], None],
        cancellations: Cancellations,
    ) -> None:
        self.links = links
        self.own_view = own_view
        self.seen = seen
        self.cancellations = cancellations
        self.extensions: list[Extension] = []
        self.knowledge = [PeerKnowledge() for _ in links]
        for link, knowledge in zip(links, self.knowledge, strict=True):
            link.heard = partial(self._heard, knowledge)

    async def listen(self, address: Address) -> asyncio.Server:
        """Answer the other controllers."""
        loop = asyncio.get_running_loop()
        return await loop.create_server(lambda: PeerConnection(self._asked), address.host, address.port)

    def _asked(self, connection: PeerConnection, heartbeat: PeerHeartbeat) -> None:
        connection.send(self.reply(heartbeat))

    def reply(self, heartbeat: PeerHeartbeat) -> PeerHeartbeat:
        """Take in a peer's view and give ours, with the cancellations that it doesn't know yet."""
        self._take(heartbeat)
        view = self._view()
        start = heartbeat.taken if heartbeat.taken_run == view.run else 0
        first, entries = self.cancellations.piece(start, PIECE)
        total = self.cancellations.total
        return msgspec.structs.replace(view, first=first, total=total, cancelled=tuple(entries))

    def _heard(self, knowledge: PeerKnowledge, heartbeat: PeerHeartbeat, asked_at: float) -> None:
        """Enter what a peer knows of cancellations, before the answer counts for anything."""
        fresh = knowledge.take(
            heartbeat.run,
            heartbeat.has_read,
            heartbeat.whole_age,
            heartbeat.first,
            heartbeat.total,
            heartbeat.cancelled,
            asked_at,
        )
        for job_id in fresh:
            self.cancellations.learn(job_id, monotonic_time())
        self._take(heartbeat)

    def _take(self, heartbeat: PeerHeartbeat) -> None:
        self.seen(heartbeat)
        for extension in self.extensions:
            data = heartbeat.extension(extension.name)
            if data is not None:
                extension.received(heartbeat.node, data)

    def _view(self) -> PeerHeartbeat:
        """Our view, with what the subsystems that are switched on add to it."""
        view = self.own_view()
        if not self.extensions:
            return view
        return msgspec.structs.replace(view, extensions={one.name: one.outgoing() for one in self.extensions})

    async def run(self, every: float) -> None:
        """Ask every peer again and again."""
        while True:
            heartbeat = self._view()
            await asyncio.gather(
                *(
                    link.ask(msgspec.structs.replace(heartbeat, taken_run=known.run, taken=known.taken), every)
                    for link, known in zip(self.links, self.knowledge, strict=True)
                )
            )
            await asyncio.sleep(every)

    def answers(self, since: float) -> list[tuple[PeerHeartbeat, float]]:
        """Answers to what was asked after ``since``, with the time of asking."""
        return [
            (link.answer, link.asked_at) for link in self.links if link.answer is not None and link.asked_at >= since
        ]

    def hanging(self, now: float, after: float) -> bool:
        """Whether some peer neither answers nor refuses: it stands still or is cut off, and its callers wait too."""
        return any(link.waiting_since is not None and now - link.waiting_since > after for link in self.links)
