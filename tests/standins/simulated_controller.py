"""One incarnation of a real controller in the simulated cluster, and its links to services and peers."""

import asyncio
import contextvars
import random

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
    """A node's connection to a stand-in service, with delays, outages, lost answers and late requests."""

    def __init__(self, cluster, node, service, state):
        self.cluster, self.node, self.service, self.is_state = cluster, node, service, state
        self.sent = 0  # changing requests so far

    async def request(self, method, path, body=b"", timeout=2.0):
        try:
            async with asyncio.timeout(timeout):
                return await self._carry(method, path, body)
        except TimeoutError as error:
            raise NoAnswerError("no response") from error

    async def _carry(self, method, path, body):
        cluster, rng = self.cluster, self.cluster.rng
        if not self.node.alive:
            await asyncio.Event().wait()
        await asyncio.sleep(rng.uniform(0.001, 0.006) + (cluster.store_delay_s if self.is_state else 0.0))
        watch = path.startswith("/changes")
        while self.is_state and watch and self.node.store_refused:
            await asyncio.sleep(0.2)
        if self.is_state and self.node.store_refused:
            return 503, b""
        changing = method != "GET"
        self.sent += changing
        if changing and rng.random() < cluster.late_request_share:
            asyncio.get_running_loop().call_later(rng.uniform(1.0, 20.0), self._late, self.sent, method, path, body)
            await asyncio.Event().wait()
        status, answer = await self.service.handle(method, path, body)
        while self.is_state and watch and self.node.store_refused:  # a watch that was open waits as in an outage
            await asyncio.sleep(0.2)
        if changing and rng.random() < cluster.lost_answer_share:
            await asyncio.Event().wait()
        await asyncio.sleep(rng.uniform(0.001, 0.004))
        if not self.node.alive:
            await asyncio.Event().wait()
        return status, answer

    def _late(self, number, method, path, body):
        if self.is_state and self.sent > number:
            self.cluster.store.reordered_requests += 1
        self.cluster.spawn(self.service.handle(method, path, body))


class SimulatedPeerLink:
    """A node's way to ask one peer."""

    def __init__(self, cluster, node, peer):
        self.cluster, self.node, self.peer = cluster, node, peer
        self.answer = None
        self.waiting_since = None
        self.listeners = []

    def subscribe(self, listener):
        self.listeners.append(listener)

    async def ask(self, heartbeat, timeout):
        other = self.cluster.nodes.get(self.peer)
        sent = self.cluster.now()
        dead = other is None or not other.alive
        self.waiting_since = None if dead else sent if self.waiting_since is None else self.waiting_since
        if dead or not self.node.alive or self.cluster.peers_cut(self.node.name, self.peer):
            return
        await asyncio.sleep(self.cluster.rng.uniform(0.001, 0.01))
        while other.frozen_until > self.cluster.now():
            await asyncio.sleep(other.frozen_until - self.cluster.now())
        if other.alive and other is self.cluster.nodes.get(self.peer):
            self.answer = PeerAnswer(other.node.peers.reply(heartbeat), sent)
            self.waiting_since = None
            for listener in self.listeners:
                listener(self.answer)


class SimulatedController:
    """One incarnation of a controller process."""

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
        state = KeyValueStoreClient(
            ServiceLink(cluster, self, cluster.store, True),
            ServiceLink(cluster, self, cluster.store, True),
            TokenBucket(100.0, 100.0),
            TokenBucket(40.0, 40.0),
        )
        cloud = CloudClient(ServiceLink(cluster, self, cluster.cloud, False), TokenBucket(5.0, 6.0))
        links = [SimulatedPeerLink(cluster, self, peer.node) for peer in settings.peers]
        self.node = Node(settings, state, cloud, links, rng)
        self.main_task = self.context.run(asyncio.ensure_future, self.node.work())

    async def answer(self, request):
        """Handle a request as soon as the process doesn't stand still: until then it waits in a socket."""
        while self.frozen_until > self.cluster.now():
            await asyncio.sleep(self.frozen_until - self.cluster.now())
        result = self.context.run(self.node.handle, request)
        return result if isinstance(result, Response) else await self.context.run(asyncio.ensure_future, result)

    def kill(self):
        """The process ends without a signal; what it left running can't reach anything any more."""
        self.alive = False
        self.main_task.cancel()
        if self.node.leader_term is not None:
            self.node.leader_term.stop()
