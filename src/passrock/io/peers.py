"""The other controllers: their last heartbeats, and the exchange of heartbeats and cancellations with them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from functools import partial
from typing import Protocol

import msgspec

from passrock.core.cancellations import CancellationLog, PeerLogAnswer, PeerLogProgress
from passrock.core.instants import NEVER
from passrock.io.clock import monotonic_time
from passrock.io.peer_link import Link, PeerAnswer, PeerConnection
from passrock.io.peer_messages import PeerHeartbeat
from passrock.settings import Address

SLICE_LIMIT = 100  # cancellations in one message, far inside its limit
LEAST_SUPPORT_S = 1.0  # for which a peer's answer may be relied on, however short the heartbeat interval


def is_majority(votes: int, controllers: int) -> bool:
    """Whether ``votes`` of all controllers, this one included, are more than half."""
    return votes * 2 > controllers


class PeerTable:
    """The last answer of each peer, and how far its log of cancellations has been applied here.

    Attributes:
        links: one for each other controller.
        support_s: for how many seconds from its request an answer may be relied on.
        progress: how far the log of cancellations of each peer has been applied, in the order of the links.
    """

    def __init__(self, links: Sequence[Link], report_s: float) -> None:
        self.links = links
        self.support_s = max(LEAST_SUPPORT_S, report_s)
        self.progress = [PeerLogProgress() for _ in links]

    def heartbeats(self, since: float = NEVER) -> list[PeerHeartbeat]:
        """The last heartbeat of each peer that was asked for at ``since`` or later."""
        return [
            link.answer.heartbeat for link in self.links if link.answer is not None and link.answer.asked_at >= since
        ]

    def recent_heartbeats(self, now: float) -> list[PeerHeartbeat]:
        """The last heartbeat of each peer whose answer may be relied on still."""
        return self.heartbeats(now - self.support_s)

    def redirected_workers(self, now: float) -> int:
        """How many workers came to other controllers lately instead of to this one."""
        return sum(heartbeat.redirected_workers for heartbeat in self.recent_heartbeats(now))

    def any_unresponsive(self, now: float, after_s: float) -> bool:
        """Whether some peer has neither answered nor refused for ``after_s``.

        Such a controller is paused or cut off, and workers may be waiting for its answer as this one is.
        """
        return any(link.waiting_since is not None and now - link.waiting_since > after_s for link in self.links)


class Extension(Protocol):
    """A subsystem's own part in heartbeats. It bounds and checks what it exchanges."""

    name: str

    def outgoing(self) -> bytes:
        """What goes with this controller's heartbeat."""

    def received(self, node: str, data: bytes) -> None:
        """A peer's part arrived."""


class PeerExchange:
    """Sends heartbeats to the peers, answers theirs, and replicates the log of cancellations with both.

    Args:
        table: the links, and where the progress of replication is kept.
        local_heartbeat: makes this controller's heartbeat, without its log and extensions.
        on_heartbeat: called with every heartbeat of a peer, request or answer.
        cancellations: this controller's own log.
        extensions: the subsystems that are switched on.
    """

    def __init__(
        self,
        table: PeerTable,
        local_heartbeat: Callable[[], PeerHeartbeat],
        on_heartbeat: Callable[[PeerHeartbeat], None],
        cancellations: CancellationLog,
        extensions: Sequence[Extension] = (),
    ) -> None:
        self.table = table
        self.cancellations = cancellations
        self.extensions = extensions
        self._local_heartbeat = local_heartbeat
        self._on_heartbeat = on_heartbeat
        for link, progress in zip(table.links, table.progress, strict=True):
            link.subscribe(partial(self._answered, progress))

    async def listen(self, address: Address) -> asyncio.Server:
        """Answer the other controllers."""
        loop = asyncio.get_running_loop()
        return await loop.create_server(lambda: PeerConnection(self._asked), address.host, address.port)

    async def run(self, interval_s: float) -> None:
        """Send a heartbeat to every peer at intervals, for ever."""
        while True:
            heartbeat = self.heartbeat()
            await asyncio.gather(
                *(
                    link.ask(
                        msgspec.structs.replace(
                            heartbeat, applied_incarnation=progress.incarnation, applied=progress.applied
                        ),
                        interval_s,
                    )
                    for link, progress in zip(self.table.links, self.table.progress, strict=True)
                )
            )
            await asyncio.sleep(interval_s)

    def heartbeat(self) -> PeerHeartbeat:
        """This controller's heartbeat, with what the subsystems that are switched on add to it."""
        heartbeat = self._local_heartbeat()
        if not self.extensions:
            return heartbeat
        return msgspec.structs.replace(heartbeat, extensions={one.name: one.outgoing() for one in self.extensions})

    def reply(self, heartbeat: PeerHeartbeat) -> PeerHeartbeat:
        """Accept a peer's heartbeat; answer with this controller's and the cancellations not yet applied there."""
        self._receive(heartbeat)
        answer = self.heartbeat()
        index = heartbeat.applied if heartbeat.applied_incarnation == answer.incarnation else 0
        entries = self.cancellations.entries_since(index, SLICE_LIMIT)
        return msgspec.structs.replace(
            answer, first=entries.first, total=self.cancellations.total, cancelled=tuple(entries.job_ids)
        )

    def _asked(self, connection: PeerConnection, heartbeat: PeerHeartbeat) -> None:
        connection.send(self.reply(heartbeat))

    def _answered(self, progress: PeerLogProgress, answer: PeerAnswer) -> None:
        """Append what a peer knows of cancellations, before its answer counts for anything."""
        heartbeat = answer.heartbeat
        log_answer = PeerLogAnswer(
            incarnation=heartbeat.incarnation,
            replica_loaded=heartbeat.replica_loaded,
            staleness_s=heartbeat.staleness_s,
            first=heartbeat.first,
            total=heartbeat.total,
            job_ids=heartbeat.cancelled,
        )
        for job_id in progress.apply(log_answer, answer.asked_at):
            self.cancellations.add(job_id, monotonic_time())
        self._receive(heartbeat)

    def _receive(self, heartbeat: PeerHeartbeat) -> None:
        self._on_heartbeat(heartbeat)
        for extension in self.extensions:
            data = heartbeat.extension(extension.name)
            if data is not None:
                extension.received(heartbeat.node, data)
