"""This controller's heartbeat to its peers: role, term, state of the store, and completeness of its data."""

from __future__ import annotations

from passrock.controller.leadership import Leadership
from passrock.controller.renewal_policy import RenewalPolicy
from passrock.controller.replica import Replica
from passrock.controller.worker_redirects import WorkerRedirects
from passrock.io.clock import monotonic_time
from passrock.io.peer_messages import PeerHeartbeat
from passrock.io.store import KeyValueStoreClient


class LocalHeartbeat:
    """Builds this controller's heartbeat from its state at the time of the call."""

    def __init__(
        self,
        node: str,
        leadership: Leadership,
        store: KeyValueStoreClient,
        replica: Replica,
        renewal: RenewalPolicy,
        redirects: WorkerRedirects,
    ) -> None:
        self.node = node
        self.leadership = leadership
        self.store = store
        self.replica = replica
        self.renewal = renewal
        self.redirects = redirects

    def __call__(self) -> PeerHeartbeat:
        """Return the heartbeat, without the log of cancellations."""
        now = monotonic_time()
        return PeerHeartbeat(
            node=self.node,
            term=self.leadership.highest_term,
            leading=self.leadership.leading,
            store_down=self.store.is_unavailable(now, self.renewal.store_down_after_s),
            replica_loaded=self.replica.loaded,
            redirected_workers=self.redirects.recent_worker_count(now),
            incarnation=self.leadership.incarnation,
            staleness_s=self.renewal.cancellations_staleness_s(now),
        )
