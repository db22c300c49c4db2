"""One controller: joins its parts, and leads while the leadership is its own."""

from __future__ import annotations

import random
from collections.abc import Sequence
from functools import partial
from typing import TYPE_CHECKING

from passrock.controller import keys
from passrock.controller.background_tasks import load_machine_types, probe_store, run_supervised
from passrock.controller.health import HealthCheck
from passrock.controller.heartbeat_endpoint import HeartbeatEndpoint
from passrock.controller.leader_term import LeaderTerm
from passrock.controller.leadership import Leadership
from passrock.controller.local_heartbeat import LocalHeartbeat
from passrock.controller.renewal_policy import RenewalPolicy
from passrock.controller.replica import Replica
from passrock.controller.request_router import RequestRouter
from passrock.controller.user_api import UserApi
from passrock.controller.worker_redirects import WorkerRedirects
from passrock.core.cancellations import CancellationLog
from passrock.core.machine_catalog import MachineCatalog
from passrock.core.token_bucket import rate_share
from passrock.io.clock import monotonic_time
from passrock.io.cloud import CloudClient
from passrock.io.peer_link import Link
from passrock.io.peers import PeerExchange, PeerTable
from passrock.io.store import KeyValueStoreClient
from passrock.settings import Settings
from passrock.wire.store import Entry

if TYPE_CHECKING:
    from passrock.admission.controller.control import AdmissionControl

STATE_CONNECTIONS = 12
FINALS_MEMORY_SHARE = 0.03  # of the memory, for the final states of jobs that are kept to answer queries
FINAL_BYTES = 200  # a final state in memory
CANCELLATION_RETENTION = 4.0  # times cancel_s: by then every task of a cancelled job has long ended
PEER_HEARTBEATS_PER_INTERVAL = 3  # in a worker's heartbeat interval


class Node:
    """One controller, without its listening sockets."""

    def __init__(
        self,
        settings: Settings,
        store: KeyValueStoreClient,
        cloud: CloudClient,
        links: Sequence[Link],
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.store = store
        self.cloud = cloud
        self.catalog = MachineCatalog()
        self.sockets = int(settings.fd_limit * settings.operator.socket_share) - STATE_CONNECTIONS
        self.replica = Replica(store, int(settings.memory_mb * FINALS_MEMORY_SHARE * 1e6 / FINAL_BYTES))
        retention_s = settings.cancel_s * CANCELLATION_RETENTION
        self.cancellations = CancellationLog(retention_s, on_added=self._on_cancellation)
        self.replica.subscribe(self._on_state_change)
        self.leadership = Leadership(settings, store, self.replica, rng)
        self.leadership.subscribe(self._on_role_change)
        self.peer_table = PeerTable(links, settings.report_s)
        self.renewal = RenewalPolicy(settings, self.leadership, store, self.replica, self.peer_table)
        self.redirects = WorkerRedirects(settings, self.leadership, store, self.replica, self.peer_table)
        self.leader_term: LeaderTerm | None = None
        self.admission = self._switch_on_admission(rng)
        self.peers = PeerExchange(
            self.peer_table,
            LocalHeartbeat(settings.node, self.leadership, store, self.replica, self.renewal, self.redirects),
            self.leadership.on_peer_heartbeat,
            self.cancellations,
            [] if self.admission is None else [self.admission],
        )
        self.user_api = UserApi(settings, store, self.replica, self.cancellations, self.catalog, self.admission)
        router = RequestRouter(
            HeartbeatEndpoint(
                self.leadership, self.renewal, self.redirects, self.cancellations, lambda: self.leader_term
            ),
            HealthCheck(settings, store, self.replica, self.catalog, self.peer_table),
            self.user_api,
        )
        self.handle = router.handle  # answers requests that come to the client address
        self._share_rates(leading=False)

    async def work(self) -> None:
        """Run everything but the listening sockets, until cancelled."""
        settings = self.settings
        tasks = (
            self.replica.run,
            self.leadership.run,
            partial(self.peers.run, settings.report_s / PEER_HEARTBEATS_PER_INTERVAL),
            partial(load_machine_types, settings, self.cloud, self.catalog, self.sockets),
            partial(probe_store, self.store, settings.leader_lease_s / 2),
        )
        await run_supervised(tasks, restart_delay_s=settings.leader_lease_s / 4)

    def _switch_on_admission(self, rng: random.Random) -> AdmissionControl | None:
        """Fair admission, where the operators' settings have it; nothing of it is loaded otherwise."""
        if self.settings.admission is None:
            return None
        from passrock.admission.controller.control import AdmissionControl

        control = AdmissionControl(
            self.settings, self.settings.admission, self.store, self.replica, self.leadership, self.peer_table, rng
        )
        self.replica.prefixes += (keys.ALLOCATION,)
        return control

    def _share_rates(self, *, leading: bool) -> None:
        """The leader needs most of the store's rates; the others share the rest."""
        share = rate_share(leading=leading, nodes=self.settings.nodes)
        for budget, rate in (
            (self.store.requests, self.settings.state_rps),
            (self.store.writes, self.settings.state_write_rps),
        ):
            budget.rate = rate * share
            budget.burst = rate * share

    def _on_role_change(self) -> None:
        if self.leader_term is not None:
            self.leader_term.stop()
            self.leader_term = None
            if self.admission is not None:
                self.admission.lead_no_longer()
        self._share_rates(leading=self.leadership.leading)
        if self.leadership.leading:
            self.leader_term = LeaderTerm(
                self.settings,
                self.store,
                self.cloud,
                self.replica,
                self.cancellations,
                self.leadership,
                self.renewal,
                self.peer_table,
                self.catalog,
            )
            self.leader_term.start()
            if self.admission is not None:
                self.admission.lead(self.leader_term)

    def _on_state_change(self, key: str, entry: Entry | None) -> None:
        if key.startswith(keys.CANCELLATION) and entry is not None:
            self.cancellations.add(key[len(keys.CANCELLATION) :], monotonic_time())

    def _on_cancellation(self, job_id: str) -> None:
        """A cancellation is committed: by this node itself, as a peer says, or as the replica shows.

        It reaches the leader's job table this way. Its replica may never show one that it committed itself,
        when the store refuses it from that moment on.
        """
        if self.leader_term is not None:
            self.leader_term.cancelled(job_id, monotonic_time())
