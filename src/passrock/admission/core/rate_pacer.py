"""How much of the intake's capacity the leader can follow: an accepted job costs it several writes more."""

from __future__ import annotations

MIN_SHARE = 0.1
SHRINK_FACTOR = 0.6
GROWTH_FACTOR = 1.25
GROWTH_STEP = 0.02  # so that it leaves MIN_SHARE quickly


class RatePacer:
    """A share of the capacity, adjusted to the measured delay of the leader's writes.

    Starting and ending a job are three or four changes of records, which only the leader makes. What is accepted
    faster than these are written waits in its queue, and the starts of interactive jobs with it.
    """

    def __init__(self, target_s: float) -> None:
        self.target_s = target_s
        self.share = 1.0

    def record_delay(self, delay_s: float) -> None:
        """Adjust the share: the leader's changed records wait for this long while a slot is decided."""
        if delay_s > 2 * self.target_s:
            self.share = max(MIN_SHARE, self.share * SHRINK_FACTOR)
        elif delay_s <= self.target_s:
            self.share = min(1.0, self.share * GROWTH_FACTOR + GROWTH_STEP)
