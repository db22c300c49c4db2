"""Whether this controller may renew worker leases and launch tasks, also through an outage of the key-value store."""

from __future__ import annotations

import math

from passrock.controller.leadership import Leadership
from passrock.controller.replica import Replica
from passrock.core.cancellations import complete_until, renewal_horizon
from passrock.io.clock import monotonic_time
from passrock.io.peers import PeerTable, is_majority
from passrock.io.store import KeyValueStoreClient
from passrock.settings import Settings

LAUNCH_HORIZON_LEASES = 2.0  # leader leases; about the interval at which a watch on an unchanged store returns
STORE_DOWN_LEASE_RATIO = 0.25  # part of the leader lease after which a store that serves no request counts as down


class RenewalPolicy:
    """Decides for which worker heartbeats a lease may be renewed, and whether tasks may be launched.

    Renewing a lease keeps the tasks on the machine running, so a controller that renews must have the cancellations
    that were confirmed to users.

    Attributes:
        renewal_horizon_s: the greatest age of a confirmed cancellation that this controller may lack when it renews.
        launch_horizon_s: the same for launching tasks.
        store_down_after_s: the time without service after which the key-value store counts as down.
    """

    def __init__(
        self,
        settings: Settings,
        leadership: Leadership,
        store: KeyValueStoreClient,
        replica: Replica,
        peers: PeerTable,
    ) -> None:
        self.node_count = settings.node_count
        self.leadership = leadership
        self.store = store
        self.replica = replica
        self.peers = peers
        self.renewal_horizon_s = renewal_horizon(settings.cancel_s, settings.lease_s, settings.report_s)
        self.launch_horizon_s = min(leadership.lease_ttl_s * LAUNCH_HORIZON_LEASES, self.renewal_horizon_s)
        self.store_down_after_s = leadership.lease_ttl_s * STORE_DOWN_LEASE_RATIO

    # -- completeness of cancellations ------------------------------------------------------------

    def has_all_cancellations(self, older_than_s: float) -> bool:
        """Whether every cancellation confirmed to a user more than ``older_than_s`` ago is recorded here."""
        now = monotonic_time()
        if now - self.replica.complete_as_of <= older_than_s:
            return True  # the usual case: a recent read of the key-value store suffices
        return now - self._cancellations_complete_until(now) <= older_than_s

    def cancellations_staleness_s(self, now: float) -> float | None:
        """Return the greatest possible age of a confirmed cancellation that this controller lacks.

        None when no bound can be proved.
        """
        until = self._cancellations_complete_until(now)
        return max(0.0, now - until) if math.isfinite(until) else None

    def _cancellations_complete_until(self, now: float) -> float:
        return complete_until(self.replica.complete_as_of, self.peers.progress, now)

    # -- permissions ------------------------------------------------------------------------------

    def may_launch(self) -> bool:
        """Whether this controller leads and lacks no cancellation older than ``launch_horizon_s``."""
        return self.leadership.holds_lease() and self.has_all_cancellations(self.launch_horizon_s)

    def may_renew(self) -> bool:
        """Whether this controller may renew worker leases: as leader, or as the last leader during an outage.

        In an outage of the key-value store the leader key expires and no controller can acquire it, but tasks must
        go on running. So the last leader continues to renew worker leases, without launching anything, while a
        majority of controllers also find the store down and have observed no higher term.

        The cancellations must be complete up to ``renewal_horizon_s``: other controllers may have confirmed
        cancellations that this replica lacks, and a renewal would keep their tasks running. A cancellation that may
        still be missing is so recent that a lease granted now expires within ``cancel_s`` of its confirmation.
        """
        if not self.has_all_cancellations(self.renewal_horizon_s):
            return False
        return self.leadership.holds_lease() or self._supported_as_last_leader()

    def _supported_as_last_leader(self) -> bool:
        leadership = self.leadership
        term = leadership.term
        if not leadership.leading or leadership.highest_term > term:
            return False
        now = monotonic_time()
        if not self.store.is_unavailable(now, 0.0):
            return False
        votes = 1
        for heartbeat in self.peers.recent_heartbeats(now):
            if heartbeat.term > term:
                return False
            # a peer that has not read the store since its start has lost the terms that it acknowledged
            if heartbeat.replica_loaded and heartbeat.store_down and heartbeat.term == term:
                votes += 1
        return is_majority(votes, self.node_count)

    def may_renew_leaderless(self, token: int) -> bool:
        """Whether the lease of a worker with this fencing token may be renewed while there is no leader.

        If the leader fails during an outage of the key-value store, no controller can campaign, and every task
        would end with its worker's lease. Renewing under the worker's own token, and nothing else, is safe while
        all controllers report that they do not lead, have observed no higher term and find the store down. A
        majority is not enough, since controllers that restarted have lost the terms that they acknowledged. A
        later leader's fence covers these renewals like those of a last leader.

        The cancellations must be complete as for a leader. After a restart of all controllers none can prove
        this: a cancellation may have been confirmed just before, and the last leases were granted while
        cancellations up to ``renewal_horizon_s`` old could be missing. So no time is left for another renewal, and
        the leases expire unless the store recovers.
        """
        now = monotonic_time()
        if not self.has_all_cancellations(self.renewal_horizon_s):
            return False
        if self.leadership.leading or token < self.leadership.highest_term or token == 0:
            return False
        if not self.store.is_unavailable(now, self.store_down_after_s):
            return False
        heartbeats = self.peers.recent_heartbeats(now)
        if len(heartbeats) + 1 < self.node_count:
            return False
        return all(
            heartbeat.store_down and not heartbeat.leading and heartbeat.term <= token for heartbeat in heartbeats
        )
