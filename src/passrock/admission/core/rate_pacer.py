"""Limits the admission capacity to the rate at which the leader can write the records of accepted jobs."""

from __future__ import annotations

MIN_SHARE = 0.1
SHRINK_RATIO = 0.6
GROWTH_RATIO = 1.25
GROWTH_STEP = 0.02  # added to each growth, so that the share recovers quickly from MIN_SHARE


class RatePacer:
    """The share of the admission capacity to use, adjusted to the measured delay of the leader's writes.

    Starting and ending a job takes three or four record updates, which only the leader makes. If jobs are accepted
    faster than these updates are written, the updates wait in the leader's commit queue, and delay the starts of
    interactive jobs.
    """

    def __init__(self, target_s: float) -> None:
        self.target_s = target_s
        self.share = 1.0

    def record_delay(self, delay_s: float) -> None:
        """Adjust the share to the delay of the leader's pending record updates at the time a slot is decided."""
        if delay_s > 2 * self.target_s:
            self.share = max(MIN_SHARE, self.share * SHRINK_RATIO)
        elif delay_s <= self.target_s:
            self.share = min(1.0, self.share * GROWTH_RATIO + GROWTH_STEP)
