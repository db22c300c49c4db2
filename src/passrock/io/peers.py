"""The peers of a controller: their last heartbeats, and the exchange of heartbeats and cancellations with them."""

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

MAX_CANCELLATIONS_PER_MESSAGE = 100  # far below the size limit of a message
MIN_ANSWER_VALIDITY_S = 1.0  # lower bound, however short the heartbeat interval


def is_majority(votes: int, node_count: int) -> bool:
    """Whether ``votes`` are more than half of all controllers, including this one."""
    return votes * 2 > node_count


class PeerTable:
    """The last answer of each peer, and how far its log of cancellations has been applied locally.

    Attributes:
        links: one link for each peer.
        answer_validity_s: how many seconds after its request an answer remains valid.
        progress: how far the log of cancellations of each peer has been applied, in the order of the links.
    """

    def __init__(self, links: Sequence[Link], report_s: float) -> None:
        self.links = links
        self.answer_validity_s = max(MIN_ANSWER_VALIDITY_S, report_s)
        self.progress = [PeerLogProgress() for _ in links]

    def heartbeats(self, since: float = NEVER) -> list[PeerHeartbeat]:
        """Return the last heartbeats of the peers that answered a request sent at ``since`` or later."""
        return [
            link.answer.heartbeat
            for link in self.links
            if link.answer is not None and link.answer.requested_at >= since
        ]

    def recent_heartbeats(self, now: float) -> list[PeerHeartbeat]:
        """Return the last heartbeats of the peers whose answers are still valid."""
        return self.heartbeats(now - self.answer_validity_s)

    def redirected_workers(self, now: float) -> int:
        """Return how many workers contacted peers recently instead of this controller."""
        return sum(heartbeat.redirected_workers for heartbeat in self.recent_heartbeats(now))

    def any_unresponsive(self, now: float, after_s: float) -> bool:
        """Whether some peer has neither answered nor refused a connection for more than ``after_s``.

        Such a controller is paused or cut off, and workers may be waiting for its answer too.
        """
        return any(link.waiting_since is not None and now - link.waiting_since > after_s for link in self.links)


class Extension(Protocol):
    """A subsystem's data in heartbeats. The subsystem limits the size of its data and validates that of peers."""

    name: str

    def encode_message(self) -> bytes:
        """Return the data for this controller's heartbeat."""

    def receive_message(self, node: str, data: bytes) -> None:
        """Process the data of a peer."""


class PeerExchange:
    """Exchanges heartbeats with the peers, and replicates the log of cancellations in them.

    Args:
        table: the links, and the progress of replication.
        local_heartbeat: returns this controller's heartbeat, without its log and extensions.
        on_heartbeat: called with every heartbeat of a peer, request or answer.
        cancellations: this controller's own log.
        extensions: the subsystems that are enabled.
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
            link.subscribe(partial(self._on_answer, progress))

    async def listen(self, address: Address) -> asyncio.Server:
        """Listen for the peers' connections and answer their heartbeats."""
        loop = asyncio.get_running_loop()
        return await loop.create_server(lambda: PeerConnection(self._on_request), address.host, address.port)

    async def run(self, interval_s: float) -> None:
        """Send a heartbeat to every peer at intervals until cancelled."""
        while True:
            heartbeat = self.heartbeat()
            await asyncio.gather(
                *(
                    link.send_heartbeat(
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
        """Return this controller's heartbeat, with the data of the subsystems that are enabled."""
        heartbeat = self._local_heartbeat()
        if not self.extensions:
            return heartbeat
        return msgspec.structs.replace(
            heartbeat, extensions={extension.name: extension.encode_message() for extension in self.extensions}
        )

    def reply(self, heartbeat: PeerHeartbeat) -> PeerHeartbeat:
        """Process a peer's heartbeat; return this controller's with the cancellations that the peer lacks."""
        self._receive(heartbeat)
        answer = self.heartbeat()
        index = heartbeat.applied if heartbeat.applied_incarnation == answer.incarnation else 0
        entries = self.cancellations.entries_since(index, MAX_CANCELLATIONS_PER_MESSAGE)
        return msgspec.structs.replace(
            answer, first=entries.first, total=self.cancellations.total, cancelled=tuple(entries.job_ids)
        )

    def _on_request(self, connection: PeerConnection, heartbeat: PeerHeartbeat) -> None:
        connection.send(self.reply(heartbeat))

    def _on_answer(self, progress: PeerLogProgress, answer: PeerAnswer) -> None:
        """Append a peer's cancellations to the local log before anything else uses its answer."""
        heartbeat = answer.heartbeat
        log_answer = PeerLogAnswer(
            incarnation=heartbeat.incarnation,
            replica_loaded=heartbeat.replica_loaded,
            staleness_s=heartbeat.staleness_s,
            first=heartbeat.first,
            total=heartbeat.total,
            job_ids=heartbeat.cancelled,
        )
        for job_id in progress.apply(log_answer, answer.requested_at):
            self.cancellations.add(job_id, monotonic_time())
        self._receive(heartbeat)

    def _receive(self, heartbeat: PeerHeartbeat) -> None:
        self._on_heartbeat(heartbeat)
        for extension in self.extensions:
            data = heartbeat.extension(extension.name)
            if data is not None:
                extension.receive_message(heartbeat.node, data)
