"""Redirects for workers whose heartbeat this controller cannot answer."""

from __future__ import annotations

from passrock.controller import keys
from passrock.controller.leadership import Leadership
from passrock.controller.replica import Replica
from passrock.core.lost_workers import LostWorkers
from passrock.core.machine_health import unresponsive_after
from passrock.io.clock import monotonic_time
from passrock.io.peers import PeerTable
from passrock.io.store import KeyValueStoreClient
from passrock.settings import Settings


class WorkerRedirects:
    """Redirects workers to the leader, or to another follower if they have just lost contact with the leader."""

    def __init__(
        self,
        settings: Settings,
        leadership: Leadership,
        store: KeyValueStoreClient,
        replica: Replica,
        peers: PeerTable,
    ) -> None:
        self.node = settings.node
        self.leadership = leadership
        self.store = store
        self.replica = replica
        self.peers = peers
        self.lost_workers = LostWorkers(
            settings.report_s,
            settings.lease_s,
            unresponsive_after(settings.report_s, settings.lease_s, settings.operator.silent_ratio),
        )

    def redirect_target(self, machine: str, token: int) -> str | None:
        """Return the node to which a worker with this fencing token is redirected, or None if there is none.

        A worker with the current term's token contacts a follower only if it has lost contact with the leader. It is
        redirected to another follower while the leader may be about to step down, since each attempt to contact an
        unreachable leader costs a large part of the worker's lease.
        """
        now = monotonic_time()
        leader = self.current_leader(now)
        lost_workers = self.lost_workers
        highest_term = self.leadership.highest_term
        if token and not self.leadership.leading:
            lost_workers.record_contact(machine, token, leader, highest_term, now)
        no_newer_leader = leader is None or (
            leader == lost_workers.leader and highest_term <= lost_workers.leader_term
        )
        if no_newer_leader and lost_workers.should_avoid_leader(machine, now):
            return lost_workers.next_follower(self._followers(now), self.node)
        return leader if leader != self.node else None

    def current_leader(self, now: float) -> str | None:
        """Return the current leader according to recent information, or None.

        A peer that reports itself as the leader takes precedence. The replica is used only while the key-value store
        answers: a node cut off from the store could otherwise redirect workers to a leader replaced long ago.
        """
        lease_ttl_s = self.leadership.lease_ttl_s
        highest_term = self.leadership.highest_term
        leaders = [
            peer for peer in self.peers.heartbeats(now - lease_ttl_s) if peer.leading and peer.term >= highest_term
        ]
        if leaders:
            return max(leaders, key=lambda peer: peer.term).node
        entry = self.replica.get(keys.LEADER)
        if entry is None or not isinstance(entry.value, dict) or self.store.is_unavailable(now, lease_ttl_s):
            return None
        node, term = entry.value.get("node"), entry.value.get("term")
        if not isinstance(node, str) or not isinstance(term, int) or term < highest_term:
            return None  # the replica lags: the leader in it has been replaced
        return node

    def recent_worker_count(self, now: float) -> int:
        """Return how many workers with the current term's token contacted this controller recently."""
        return self.lost_workers.count(self.leadership.highest_term, now)

    def _followers(self, now: float) -> list[str]:
        """Return the other controllers that answered recently and do not lead."""
        return [heartbeat.node for heartbeat in self.peers.recent_heartbeats(now) if not heartbeat.leading]
