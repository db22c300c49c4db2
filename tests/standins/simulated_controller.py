"""A process of a real controller in the simulated cluster, and its links to services and peers."""

import asyncio
import contextvars
import random

import cbor2
import msgspec

from passrock.controller.node import Node
from passrock.core.token_bucket import TokenBucket
from passrock.io.cloud import CloudClient
from passrock.io.errors import NoAnswerError
from passrock.io.http_server import Response
from passrock.io.peer_link import PeerAnswer
from passrock.io.store import KeyValueStoreClient
from passrock.settings import OperatorSettings, parse_settings
from standins import virtual_time
from standins.deployment import platform_settings


class ServiceLink:
    """A controller's connection to a stand-in service, with delays, refusals, lost answers and late requests."""

    def __init__(self, cluster, process, service, is_store):
        self.cluster, self.process, self.service, self.is_store = cluster, process, service, is_store
        self.changes_sent = 0  # number of requests sent so far that change state

    async def request(self, method, path, body=b"", timeout=2.0):
        try:
            async with asyncio.timeout(timeout):
                return await self._send(method, path, body)
        except TimeoutError as exc:
            raise NoAnswerError(f"{method} {path}: no answer within {timeout} s") from exc

    async def _send(self, method, path, body):
        cluster, rng = self.cluster, self.cluster.rng
        if not self.process.alive:
            await asyncio.Event().wait()
        await asyncio.sleep(rng.uniform(0.001, 0.006) + (cluster.store_delay_s if self.is_store else 0.0))
        is_watch = path.startswith("/changes")
        while self.is_store and is_watch and self.process.store_refused:
            await asyncio.sleep(0.2)
        if self.is_store and self.process.store_refused:
            return 503, b""
        changes_state = method != "GET"
        self.changes_sent += changes_state
        if changes_state and rng.random() < cluster.late_request_share:
            asyncio.get_running_loop().call_later(
                rng.uniform(1.0, 20.0), self._deliver_late, self.changes_sent, method, path, body
            )
            await asyncio.Event().wait()
        status, answer = await self.service.handle(method, path, body)
        if changes_state and status == 200:
            cluster.repeat_some(self._deliver_again, method, path, body)
        # an open watch gets no answer, as in an outage
        while self.is_store and is_watch and self.process.store_refused:
            await asyncio.sleep(0.2)
        if changes_state and rng.random() < cluster.lost_answer_share:
            await asyncio.Event().wait()
        await asyncio.sleep(rng.uniform(0.001, 0.004))
        if not self.process.alive:
            await asyncio.Event().wait()
        return status, answer

    def _deliver_late(self, number, method, path, body):
        if self.is_store and self.changes_sent > number:
            self.cluster.store.reordered_requests += 1
        self.cluster.spawn(self.service.handle(method, path, body))

    def _deliver_again(self, method, path, body):
        """Deliver a copy of a request that has been carried out."""
        self.cluster.spawn(self._handle_copy(method, path, body))

    async def _handle_copy(self, method, path, body):
        status, _ = await self.service.handle(method, path, body)
        if self.is_store and path == "/commit" and status == 200:
            self.cluster.store.repeated_commits.append(cbor2.loads(body))


class SimulatedPeerLink:
    """A controller's link to one peer, in place of the link over HTTP."""

    def __init__(self, cluster, process, peer):
        self.cluster, self.process, self.peer = cluster, process, peer
        self.answer = None
        self.waiting_since = None
        self.listeners = []

    def subscribe(self, listener):
        self.listeners.append(listener)

    async def send_heartbeat(self, heartbeat, timeout):
        peer_process = self.cluster.nodes.get(self.peer)
        sent_at = self.cluster.now()
        peer_down = peer_process is None or not peer_process.alive
        self.waiting_since = None if peer_down else sent_at if self.waiting_since is None else self.waiting_since
        if peer_down or not self.process.alive or self.cluster.peers_partitioned(self.process.name, self.peer):
            return
        await asyncio.sleep(self.cluster.rng.uniform(0.001, 0.01))
        while peer_process.frozen_until > self.cluster.now():
            await asyncio.sleep(peer_process.frozen_until - self.cluster.now())
        if peer_process.alive and peer_process is self.cluster.nodes.get(self.peer):
            self.answer = PeerAnswer(peer_process.node.peers.reply(heartbeat), sent_at)
            self.waiting_since = None
            for listener in self.listeners:
                listener(self.answer)
        self.cluster.repeat_some(self._deliver_again, heartbeat)

    def _deliver_again(self, heartbeat):
        """Deliver a copy of a heartbeat, also after its sender's process has ended, to the peer's present process."""
        peer_process = self.cluster.nodes.get(self.peer)
        if peer_process is not None and peer_process.alive and peer_process.frozen_until <= self.cluster.now():
            peer_process.context.run(peer_process.node.peers.reply, heartbeat)


class SimulatedController:
    """One process of a controller; a restart creates a new object."""

    def __init__(self, cluster, number):
        self.cluster, self.number, self.name = cluster, number, f"n{number}"
        self.alive, self.store_refused = True, False
        self.frozen_until = 0.0
        self.context = contextvars.copy_context()
        self.context.run(virtual_time.OWNER.set, self)
        faults = []
        table = platform_settings(
            number, cluster.node_count, cluster.zones, cluster.teams, cluster.guarantee, cluster.limits
        )
        table["deployment"]["objectives"] = list(cluster.objectives)
        table["deployment"]["state"]["write_rps"] = cluster.write_rps
        settings = parse_settings(table, OperatorSettings(), faults)
        settings = msgspec.structs.replace(settings, admission=cluster.admission[number])
        assert not faults, faults
        self.zone = settings.zone
        rng = random.Random(cluster.rng.random())
        store = KeyValueStoreClient(
            ServiceLink(cluster, self, cluster.store, True),
            ServiceLink(cluster, self, cluster.store, True),
            TokenBucket(100.0, 100.0),
            TokenBucket(40.0, 40.0),
        )
        cloud = CloudClient(ServiceLink(cluster, self, cluster.cloud, False), TokenBucket(5.0, 6.0))
        links = [SimulatedPeerLink(cluster, self, peer.node) for peer in settings.peers]
        self.node = Node(settings, store, cloud, links, rng)
        self.main_task = self.context.run(asyncio.ensure_future, self.node.run())

    async def answer(self, request):
        """Answer a request; while the process is frozen, the request waits as it would in a socket."""
        while self.frozen_until > self.cluster.now():
            await asyncio.sleep(self.frozen_until - self.cluster.now())
        result = self.context.run(self.node.handle, request)
        return result if isinstance(result, Response) else await self.context.run(asyncio.ensure_future, result)

    def kill(self):
        """End the process without a signal; its links carry nothing from then on."""
        self.alive = False
        self.main_task.cancel()
        if self.node.leader_term is not None:
            self.node.leader_term.stop()
