"""Whether the load balancer should send users to this controller."""

from __future__ import annotations

from passrock.controller.replica import Replica
from passrock.core.machine_catalog import MachineCatalog
from passrock.io.clock import monotonic_time
from passrock.io.peers import PeerTable, is_majority
from passrock.io.store import KeyValueStoreClient
from passrock.settings import Settings

STORE_DOWN_AFTER_S = 1.5  # time without an answer of the store
MAX_PEER_ANSWER_AGE_S = 3.0  # answers to older requests are ignored


class HealthCheck:
    """Assesses this controller by its replica, its connection to the key-value store and its peers' reports."""

    def __init__(
        self,
        settings: Settings,
        store: KeyValueStoreClient,
        replica: Replica,
        catalog: MachineCatalog,
        peers: PeerTable,
    ) -> None:
        self.settings = settings
        self.store = store
        self.replica = replica
        self.catalog = catalog
        self.peers = peers

    def is_healthy(self) -> bool:
        """Whether the load balancer should send users to this controller.

        False if the store refuses only this controller, or if this controller finds the store down and no majority
        of controllers reports the same: then this controller is cut off. In an outage for all controllers none is
        better than another, and controllers marked unhealthy would return to service late.
        """
        if not self.replica.loaded or not self.catalog.types:
            return False
        now = monotonic_time()
        if not self.store.is_unavailable(now, STORE_DOWN_AFTER_S):
            return True
        heartbeats = self.peers.heartbeats(now - MAX_PEER_ANSWER_AGE_S)
        if any(not heartbeat.store_down for heartbeat in heartbeats):
            return False
        return is_majority(len(heartbeats) + 1, self.settings.nodes)
