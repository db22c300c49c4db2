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

LAUNCH_HORIZON_LEASES = 2.0  # leader leases: a watch over a quiet store answers about so often
STORE_DOWN_LEASE_RATIO = 0.25  # of the leader lease without service, before the key-value store counts as down


class RenewalPolicy:
    """Decides for which worker heartbeats a lease may be renewed, and whether tasks may be launched.

    Renewing a lease keeps the tasks on the machine alive, so whoever does it must know the cancellations that
    were confirmed to users. ``renewal_horizon_s`` is how old, in seconds, one may be that is not known here.
    """

    def __init__(
        self,
        settings: Settings,
        leadership: Leadership,
        store: KeyValueStoreClient,
        replica: Replica,
        peers: PeerTable,
    ) -> None:
        self.nodes = settings.nodes
        self.leadership = leadership
        self.store = store
        self.replica = replica
        self.peers = peers
        self.renewal_horizon_s = renewal_horizon(settings.cancel_s, settings.lease_s, settings.report_s)
        self.launch_horizon_s = min(leadership.lease_ttl_s * LAUNCH_HORIZON_LEASES, self.renewal_horizon_s)
        self.store_down_after_s = leadership.lease_ttl_s * STORE_DOWN_LEASE_RATIO

    # -- knowledge of cancellations ---------------------------------------------------------------

    def has_all_cancellations(self, older_than_s: float) -> bool:
        """Whether every cancellation confirmed to a user more than ``older_than_s`` ago is known here."""
        now = monotonic_time()
        if now - self.replica.complete_as_of <= older_than_s:
            return True  # the ordinary case: a read of the key-value store alone proves it
        return now - self._cancellations_complete_until(now) <= older_than_s

    def cancellations_staleness_s(self, now: float) -> float | None:
        """How old, at most, a cancellation is that was confirmed to a user and is not known to this controller.

        None when no bound can be proved.
        """
        until = self._cancellations_complete_until(now)
        return max(0.0, now - until) if math.isfinite(until) else None

    def _cancellations_complete_until(self, now: float) -> float:
        return complete_until(self.replica.complete_as_of, self.peers.progress, now)

    # -- what may be done -------------------------------------------------------------------------

    def may_launch(self) -> bool:
        """Whether tasks may be launched: by the leader, on knowledge not much older than its lease."""
        return self.leadership.holds_lease() and self.has_all_cancellations(self.launch_horizon_s)

    def may_renew(self) -> bool:
        """Whether worker heartbeats may be answered: as leader, or as the last one during an outage.

        Through an outage of the key-value store the leader key expires for everyone, and tasks must not end.
        So the last leader goes on renewing worker leases, without launching anything, while a
        majority of controllers also see the store down and know of no higher term.

        Never without knowledge of the cancellations: other controllers may have confirmed some that this
        one's replica lacks, and what it renews would run on. Any that it doesn't know is so young that the lease
        granted now ends within the time allowed.
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
            # a peer that hasn't read the store since its start has forgotten which terms it acknowledged
            if heartbeat.replica_loaded and heartbeat.store_down and heartbeat.term == term:
                votes += 1
        return is_majority(votes, self.nodes)

    def may_renew_leaderless(self, token: int) -> bool:
        """Whether a worker with this fencing token may be kept alive although nobody leads.

        When the leader ends while the key-value store is away, nobody can campaign and every task
        would end with its worker's lease. Renewing with the worker's own token, and nothing else, is
        safe while every single controller says that it does not lead, knows no higher term and sees
        the store down: a majority is not enough, since those that restarted have forgotten what
        they acknowledged. A later leader's fence outlasts these renewals like those of a last leader.

        Knowledge of the cancellations is needed as for a leader. After a restart of all nobody has it: a
        cancellation may have been confirmed just before, and the last leases were granted on knowledge up to
        ``renewal_horizon_s`` old, so no time is left to spend, and the leases expire unless the store is back.
        """
        now = monotonic_time()
        if not self.has_all_cancellations(self.renewal_horizon_s):
            return False
        if self.leadership.leading or token < self.leadership.highest_term or token == 0:
            return False
        if not self.store.is_unavailable(now, self.store_down_after_s):
            return False
        heartbeats = self.peers.recent_heartbeats(now)
        if len(heartbeats) + 1 < self.nodes:
            return False
        return all(one.store_down and not one.leading and one.term <= token for one in heartbeats)
