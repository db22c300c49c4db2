"""The fence of a term: from when on no controller can renew worker leases for an older one."""

from __future__ import annotations

from passrock.controller.leadership import Leadership
from passrock.core.machine_health import CLOCK_DRIFT_RATIO
from passrock.io.clock import monotonic_time
from passrock.io.peers import PeerTable, is_majority


class TermFence:
    """When a majority of controllers had acknowledged this leader's term, and support of older ones had run out.

    Any majority that lets an older leader go on renewing through an outage contains a controller that
    acknowledged this term. Worker leases are counted as expired only from the fence on.

    Attributes:
        confirmed_at: the monotonic time of the fence, which may lie ahead; None while no majority is known.
    """

    def __init__(self, leadership: Leadership, peers: PeerTable, nodes: int) -> None:
        self.leadership = leadership
        self.peers = peers
        self.nodes = nodes
        self.confirmed_at: float | None = None

    def check(self) -> None:
        """Set the fence once a majority has acknowledged the term."""
        if not self.leadership.leading or self.confirmed_at is not None:
            return
        term = self.leadership.term
        votes = 1 + sum(1 for heartbeat in self.peers.heartbeats() if heartbeat.term >= term)
        if is_majority(votes, self.nodes):
            self.confirmed_at = monotonic_time() + self.peers.support_s * CLOCK_DRIFT_RATIO
