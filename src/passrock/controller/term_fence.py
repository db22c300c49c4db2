"""The fence of a term: the time after which no controller can renew worker leases under an older term."""

from __future__ import annotations

from passrock.controller.leadership import Leadership
from passrock.core.interface_times import CLOCK_DRIFT_RATIO
from passrock.io.clock import monotonic_time
from passrock.io.peers import PeerTable, is_majority


class TermFence:
    """Determines from when on older leaders lack the support that they need to renew worker leases.

    In an outage of the key-value store a leader renews worker leases with the support of a majority of controllers.
    Once a majority has acknowledged this leader's term, every majority contains a controller that no longer supports
    an older term; answers that it gave before count for ``PeerTable.answer_validity_s``. Worker leases can count as
    expired only from the fence on.

    Attributes:
        effective_at: the monotonic time of the fence, which may be in the future; None until a majority has
            acknowledged the term.
    """

    def __init__(self, leadership: Leadership, peers: PeerTable, node_count: int) -> None:
        self.leadership = leadership
        self.peers = peers
        self.node_count = node_count
        self.effective_at: float | None = None

    def update(self) -> None:
        """Set the fence if a majority of the controllers has acknowledged the term."""
        if not self.leadership.leading or self.effective_at is not None:
            return
        term = self.leadership.term
        votes = 1 + sum(1 for heartbeat in self.peers.heartbeats() if heartbeat.term >= term)
        if is_majority(votes, self.node_count):
            self.effective_at = monotonic_time() + self.peers.answer_validity_s * CLOCK_DRIFT_RATIO
