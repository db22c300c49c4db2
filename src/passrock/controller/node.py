"""A controller process: listens, follows the state, and leads when it is its turn."""

from __future__ import annotations

import asyncio
import gc
import math
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import TYPE_CHECKING

from passrock import __version__
from passrock.controller import keys
from passrock.controller.leader_term import LeaderTerm
from passrock.controller.leadership import Leadership
from passrock.controller.replica import Replica
from passrock.controller.user_api import UserApi
from passrock.core.cancellations import Cancellations
from passrock.core.machine_catalog import MachineCatalog
from passrock.core.messages import Command, Op, TaskState, WorkerHeartbeat
from passrock.core.token_bucket import TokenBucket, rate_share
from passrock.io.clock import monotonic_time
from passrock.io.cloud import CloudClient, CloudError
from passrock.io.http_client import HttpClient
from passrock.io.http_server import HttpServer, Request, Response
from passrock.io.peers import Link, PeerLink, Peers
from passrock.io.state import StateClient, StateError
from passrock.logs import debug, error, info, start_logging
from passrock.settings import Settings, warnings
from passrock.wire import users as user_wire
from passrock.wire import workers as worker_wire
from passrock.wire.cbor import MalformedBodyError
from passrock.wire.state import Entry

if TYPE_CHECKING:
    from passrock.admission.controller.control import AdmissionControl

STATE_CONNECTIONS = 12
FINALS_MEMORY_SHARE = 0.03  # of the memory, for the final states of jobs that are kept to answer questions
FINAL_BYTES = 200  # a final state in memory
KEEP_CANCELLED = 4.0  # times cancel_s: by then every task of a cancelled job is long gone


class Node:
    """One controller."""

    def __init__(
        self,
        settings: Settings,
        state: StateClient,
        cloud: CloudClient,
        links: Sequence[Link],
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.state = state
        self.cloud = cloud
        self.catalog = MachineCatalog()
        self.sockets = int(settings.fd_limit * settings.operator.socket_share) - STATE_CONNECTIONS
        self.replica = Replica(state, int(settings.memory_mb * FINALS_MEMORY_SHARE * 1e6 / FINAL_BYTES))
        self.cancellations = Cancellations(settings.cancel_s * KEEP_CANCELLED)
        self.cancellations.learned = self._cancelled
        self.replica.listeners.append(self._listen)
        self.leadership = Leadership(settings, state, self.replica, self.cancellations, rng)
        self.leadership.changed.append(self._role_changed)
        self.peers = Peers(links, self.leadership.view, self.leadership.heard, self.cancellations)
        self.leadership.peers = self.peers
        self.user_api = UserApi(settings, state, self.replica, self.cancellations, self.catalog)
        self.leader_term: LeaderTerm | None = None
        self.admission = self._switch_on_admission(rng)
        self._share_rates(False)

    def _switch_on_admission(self, rng: random.Random) -> AdmissionControl | None:
        """Fair admission, where the operators' settings have it; nothing of it is loaded otherwise."""
        if self.settings.admission is None:
            return None
        from passrock.admission.controller.control import AdmissionControl

        control = AdmissionControl(
            self.settings, self.settings.admission, self.state, self.replica, self.leadership, self.peers, rng
        )
        self.replica.prefixes += (keys.ALLOCATION,)
        self.peers.extensions.append(control)
        self.user_api.gate = control
        return control

    def _share_rates(self, leading: bool) -> None:
        """The leader needs most of the state's rates; the others share the rest."""
        share = rate_share(leading, self.settings.nodes)
        for budget, rate in (
            (self.state.requests, self.settings.state_rps),
            (self.state.writes, self.settings.state_write_rps),
        ):
            budget.rate = rate * share
            budget.burst = rate * share

    def _role_changed(self) -> None:
        if self.leader_term is not None:
            self.leader_term.stop()
            self.leader_term = None
            if self.admission is not None:
                self.admission.lead_no_longer()
        self._share_rates(self.leadership.leading)
        if self.leadership.leading:
            self.leader_term = LeaderTerm(
                self.settings,
                self.state,
                self.cloud,
                self.replica,
                self.cancellations,
                self.leadership,
                self.catalog,
            )
            self.leader_term.start()
            if self.admission is not None:
                self.admission.lead(self.leader_term)

    def _listen(self, key: str, entry: Entry | None) -> None:
        if key.startswith(keys.CANCEL) and entry is not None:
            self.cancellations.learn(key[len(keys.CANCEL) :], monotonic_time())

    def _cancelled(self, job_id: str) -> None:
        """A cancellation is committed: by this node itself, as a peer says, or as the copy of the state shows.

        The leader's books take it from here. Its copy may never show one that it committed itself, when the
        service refuses it from that moment on.
        """
        if self.leader_term is not None:
            self.leader_term.cancelled(job_id, monotonic_time())

    # -- requests -----------------------------------------------------------------------------------

    def handle(self, request: Request) -> Response | Awaitable[Response]:
        """Everything that comes to the client address."""
        path = request.path
        if path == worker_wire.CHECKIN_PATH:
            return self._checkin(request) if request.method == "POST" else Response(405, allow="POST")
        if path == user_wire.HEALTH_PATH:
            if request.method != "GET":
                return Response(405, allow="GET")
            return Response(200 if self.healthy() else 503)
        if path == user_wire.RUNS_PATH or path.startswith((user_wire.RUNS_PATH + "/", user_wire.RUNS_PATH + "?")):
            return self.user_api.handle(request)
        return Response(404, user_wire.error_answer("no such path"))

    def healthy(self) -> bool:
        """Whether users should come here.

        Not when only this node is refused by the state service, nor when it sees the service down and no
        majority of controllers says the same: then it is this node that is cut off. In an outage that all
        see, no node is better than another, and those marked unhealthy would be slow to come back.
        """
        if not self.replica.loaded or not self.catalog.types:
            return False
        now = monotonic_time()
        if not self.state.down(now, 1.5):
            return True
        answers = self.peers.answers(now - 3.0)
        if any(not heartbeat.state_down for heartbeat, _ in answers):
            return False
        return (len(answers) + 1) * 2 > self.settings.nodes

    def _checkin(self, request: Request) -> Response | Awaitable[Response]:
        try:
            heartbeat = worker_wire.parse_heartbeat(request.body)
        except MalformedBodyError as problem:
            return Response(400, user_wire.error_answer(str(problem)))
        self.leadership.observe_term(heartbeat.token)
        if not self.leadership.may_renew():
            if self.leadership.may_renew_leaderless(heartbeat.token):
                return Response(200, worker_wire.answer(heartbeat.token, self._stops(heartbeat)))
            return Response(421, worker_wire.redirect(self.leadership.redirect(heartbeat.machine, heartbeat.token)))
        if self.leader_term is None or not self.leader_term.ready:
            return Response(200, worker_wire.answer(self.leadership.term, self._stops(heartbeat)))
        commands = self.leader_term.heartbeat_handler.handle(heartbeat)
        if commands is None:
            return Response(503)
        if isinstance(commands, list):
            return Response(200, worker_wire.answer(self.leadership.term, commands))
        return self._checked_in(commands, self.leadership.term)

    def _stops(self, heartbeat: WorkerHeartbeat) -> list[Command]:
        """What a node without books can and must say: tasks of cancelled jobs end."""
        return [
            Command(Op.STOP, row.job, row.index, row.attempt_number)
            for row in heartbeat.tasks
            if row.job in self.cancellations and row.state is not TaskState.EXITED
        ]

    async def _checked_in(self, work: Awaitable[list[Command] | None], term: int) -> Response:
        commands = await work
        if commands is None:
            return Response(503)
        if not self.leadership.may_renew() or self.leadership.term != term:
            return Response(421, worker_wire.redirect(None))
        return Response(200, worker_wire.answer(term, commands))

    # -- running --------------------------------------------------------------------------------------

    async def run(self) -> None:
        """Serve until killed."""
        settings = self.settings
        server = HttpServer(self.handle, self.sockets, idle_s=60.0, head_s=settings.report_s * 4)
        listening = await server.start(settings.client_listen.host, settings.client_listen.port)
        peer_listening = await self.peers.listen(settings.peer_listen)
        for warning in warnings(settings):
            info("settings_warning", warning=warning)
        info("controller_started", version=__version__, node=settings.node, peers=len(settings.peers))
        gc.collect()
        gc.freeze()
        gc.set_threshold(20_000, 20, 50)
        async with listening, peer_listening:
            await self.work()

    async def work(self) -> None:
        """Everything but listening."""
        loops: list[Callable[[], Awaitable[None]]] = [
            self.replica.run,
            self.leadership.run,
            lambda: self.peers.run(self.settings.report_s / 3),
            self._learn_types,
            self._beat,
        ]
        await asyncio.gather(*(self._keep(loop) for loop in loops))

    async def _keep(self, loop: Callable[[], Awaitable[None]]) -> None:
        """Run one of the node's loops; what nobody foresaw is logged, and the loop begins again.

        A malformed answer from outside must never end the process.
        """
        while True:
            try:
                await loop()
                return
            except Exception as problem:
                error("background_task_failed", error=repr(problem))
                await asyncio.sleep(self.settings.leader_lease_s / 4)

    def _check_sockets(self) -> None:
        """Say once in the log when the sockets are too few for the machines that the guarantees need."""
        largest = max((kind.size.gpus for kind in self.catalog.types.values()), default=0.0)
        guaranteed = sum(team.gpus for team in self.settings.teams.values())
        if largest > 0 and guaranteed / largest > self.sockets:
            error(
                "socket_limit_below_quota", sockets=self.sockets, machines_guaranteed=math.ceil(guaranteed / largest)
            )

    async def _learn_types(self) -> None:
        """Machine types are needed before anything can be decided."""
        while not self.catalog.types:
            try:
                self.catalog.types = await self.cloud.machine_types()
            except CloudError as problem:
                debug("machine_types_unavailable", error=problem)
                await asyncio.sleep(1.0)
        self._check_sockets()

    async def _beat(self) -> None:
        """Know whether the state service answers, also when nobody asks for anything."""
        every = self.settings.leader_lease_s / 2
        while True:
            await asyncio.sleep(every)
            if monotonic_time() - self.state.last_good > every:
                try:
                    await self.state.get(keys.NOWHERE, timeout=every)
                except StateError:
                    continue


def build_node(settings: Settings, rng: random.Random) -> Node:
    """A node with real clients."""
    state = StateClient(
        HttpClient(settings.state, STATE_CONNECTIONS),
        HttpClient(settings.state, 2),
        TokenBucket(settings.state_rps, settings.state_rps),
        TokenBucket(settings.state_write_rps, settings.state_write_rps),
    )
    cloud = CloudClient(HttpClient(settings.cloud, 4), TokenBucket(settings.cloud_rps * 0.8, settings.cloud_rps))
    return Node(settings, state, cloud, [PeerLink(peer) for peer in settings.peers], rng)


def serve(settings: Settings) -> None:
    """Run a controller until it is killed."""
    start_logging(settings.node)

    async def main() -> None:
        await build_node(settings, random.Random()).run()

    asyncio.run(main())
