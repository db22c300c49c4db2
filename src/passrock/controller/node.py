"""One controller: its components, and the leader term while this controller leads."""

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

STORE_CONNECTIONS = 12
FINAL_STATUS_MEMORY_SHARE = 0.03  # of the memory, for final statuses of jobs, cached to answer queries
FINAL_STATUS_BYTES = 200  # memory for each cached final status
CANCELLATION_RETENTION_RATIO = 4.0  # of cancel_s; all tasks of a cancelled job have ended well before
PEER_HEARTBEATS_PER_INTERVAL = 3  # per heartbeat interval of workers


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
        self.max_sockets = int(settings.fd_limit * settings.operator.socket_share) - STORE_CONNECTIONS
        self.replica = Replica(store, int(settings.memory_mb * FINAL_STATUS_MEMORY_SHARE * 1e6 / FINAL_STATUS_BYTES))
        retention_s = settings.cancel_s * CANCELLATION_RETENTION_RATIO
        self.cancellations = CancellationLog(retention_s, on_added=self._on_cancellation)
        self.replica.subscribe(self._on_key_change)
        self.leadership = Leadership(settings, store, self.replica, rng)
        self.leadership.subscribe(self._on_role_change)
        self.peer_table = PeerTable(links, settings.report_s)
        self.renewal = RenewalPolicy(settings, self.leadership, store, self.replica, self.peer_table)
        self.redirects = WorkerRedirects(settings, self.leadership, store, self.replica, self.peer_table)
        self.leader_term: LeaderTerm | None = None
        self.admission = self._build_admission_control(rng)
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
        self.handle = router.handle  # handler of requests to the client address
        self._set_store_rates(leading=False)

    async def run(self) -> None:
        """Run the background tasks until cancelled; the caller opens the listening sockets."""
        settings = self.settings
        tasks = (
            self.replica.run,
            self.leadership.run,
            partial(self.peers.run, settings.report_s / PEER_HEARTBEATS_PER_INTERVAL),
            partial(load_machine_types, settings, self.cloud, self.catalog, self.max_sockets),
            partial(probe_store, self.store, settings.leader_lease_s / 2),
        )
        await run_supervised(tasks, restart_delay_s=settings.leader_lease_s / 4)

    def _build_admission_control(self, rng: random.Random) -> AdmissionControl | None:
        """Return fair admission if it is configured; its modules are imported only then."""
        if self.settings.admission is None:
            return None
        from passrock.admission.controller.control import AdmissionControl

        control = AdmissionControl(
            self.settings, self.settings.admission, self.store, self.replica, self.leadership, self.peer_table, rng
        )
        self.replica.prefixes += (keys.ALLOCATION,)
        return control

    def _set_store_rates(self, *, leading: bool) -> None:
        """Set this controller's share of the store's rates: the leader needs most, followers divide the rest."""
        share = rate_share(leading=leading, node_count=self.settings.node_count)
        for bucket, rate in (
            (self.store.request_bucket, self.settings.state_rps),
            (self.store.write_bucket, self.settings.state_write_rps),
        ):
            bucket.rate = rate * share
            bucket.burst = rate * share

    def _on_role_change(self) -> None:
        if self.leader_term is not None:
            self.leader_term.stop()
            self.leader_term = None
            if self.admission is not None:
                self.admission.stop_leading()
        self._set_store_rates(leading=self.leadership.leading)
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
                self.admission.start_leading(self.leader_term)

    def _on_key_change(self, key: str, entry: Entry | None) -> None:
        if key.startswith(keys.CANCELLATION) and entry is not None:
            self.cancellations.add(key[len(keys.CANCELLATION) :], monotonic_time())

    def _on_cancellation(self, job_id: str) -> None:
        """Pass a committed cancellation, from this node, a peer or the replica, to the leader's job table.

        The replica alone is not sufficient: if the store refuses this node right after the commit, its replica never
        receives the cancellation that this node committed.
        """
        if self.leader_term is not None:
            self.leader_term.on_cancellation(job_id, monotonic_time())
