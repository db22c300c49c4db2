"""How much of the intake's capacity the leader can follow: an accepted job costs it several writes more."""

from __future__ import annotations

LEAST = 0.1
SHRINK = 0.6
GROW = 1.25
GROW_BY = 0.02  # so that it leaves the least quickly


class Pace:
    """A part of the capacity, adjusted to the measured delay of the leader's writes.

    Starting and ending a job are three or four changes of records, which only the leader makes. What is accepted
    faster than these are written waits in its queue, and the starts of interactive jobs with it.
    """

    def __init__(self, target_s: float) -> None:
        self.target_s = target_s
        self.part = 1.0

    def measured(self, delay_s: float) -> None:
        """A slot is decided while the leader's changed records wait for this long."""
        if delay_s > 2 * self.target_s:
            self.part = max(LEAST, self.part * SHRINK)
        elif delay_s <= self.target_s:
            self.part = min(1.0, self.part * GROW + GROW_BY)
