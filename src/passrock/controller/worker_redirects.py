"""Where a worker should go whose heartbeat this controller can't answer."""

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
    """Names the leader to workers, or another follower to those that have just lost it."""

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

    def target(self, machine: str, token: int) -> str | None:
        """The node to which a worker with this fencing token should go; None when nobody can be named.

        One that knows the present term has lost its leader, or it would not have come. It goes to another
        follower while the leader may be about to step down: every attempt at one that can't be reached costs
        a large part of the worker's lease.
        """
        now = monotonic_time()
        leader = self.leader(now)
        lost = self.lost_workers
        known_term = self.leadership.known_term
        if token and not self.leadership.leading:
            lost.record_contact(machine, token, leader, known_term, now)
        same_leader_as_lost = leader is None or (leader == lost.leader and known_term <= lost.leader_term)
        if same_leader_as_lost and lost.should_avoid_leader(machine, now):
            return lost.next_follower(self._followers(now), self.node)
        return leader if leader != self.node else None

    def leader(self, now: float) -> str | None:
        """The node that leads, as far as is known here lately.

        A peer that says so itself comes first. The replica counts only while the key-value store
        answers: a node cut off from it would otherwise send workers to a leader that was replaced long ago.
        """
        lease_ttl_s = self.leadership.lease_ttl_s
        known_term = self.leadership.known_term
        leading = [one for one in self.peers.heartbeats(now - lease_ttl_s) if one.leading and one.term >= known_term]
        if leading:
            return max(leading, key=lambda heartbeat: heartbeat.term).node
        entry = self.replica.get(keys.LEADER)
        if entry is None or not isinstance(entry.value, dict) or self.store.is_unavailable(now, lease_ttl_s):
            return None
        node, term = entry.value.get("node"), entry.value.get("term")
        if not isinstance(node, str) or not isinstance(term, int) or term < known_term:
            return None  # the replica lags: that leader has been replaced
        return node

    def recent_count(self, now: float) -> int:
        """How many workers that know the present term came here lately."""
        return self.lost_workers.count(self.leadership.known_term, now)

    def _followers(self, now: float) -> list[str]:
        """The other controllers that answered lately and don't lead."""
        return [heartbeat.node for heartbeat in self.peers.recent_heartbeats(now) if not heartbeat.leading]
