"""The limit on requests in progress, adjusted to measured times."""

from __future__ import annotations

from threading import Lock

RETRY_LEAST_S = 1
RETRY_MOST_S = 30


class Limiter:
    """A limit on requests in progress that follows measured times.

    The best time seen lately stands for a service without a queue. As long as requests take about
    that long the limit grows; the further they are above it, the more it shrinks.
    """

    def __init__(self, start: int, least: int, most: int, slack: float) -> None:
        self.limit = float(start)
        self.least = least
        self.most = most
        self.slack = slack
        self.busy = 0
        self._best: float | None = None
        self._lock = Lock()

    def enter(self) -> bool:
        """Whether one more may be worked on."""
        with self._lock:
            if self.busy >= int(self.limit):
                return False
            self.busy += 1
            return True

    def is_full(self) -> bool:
        """Whether one more would be refused."""
        with self._lock:
            return self.busy >= int(self.limit)

    def leave(self, took: float, failed: bool) -> None:
        """One has been answered after ``took`` seconds."""
        with self._lock:
            full = self.busy >= int(self.limit) - 1
            self.busy -= 1
            if self._best is None or took < self._best:
                self._best = took
            else:
                self._best += (took - self._best) * 0.002  # what is best drifts, slowly
            if failed or took > 2 * self._best + self.slack:
                self.limit = max(float(self.least), self.limit * 0.95)
            elif full and took <= self._best + self.slack:
                self.limit = min(float(self.most), self.limit + 1.0)

    def retry_after(self) -> int:
        """Seconds after which a refused user should come back."""
        with self._lock:
            wait = RETRY_LEAST_S + self.busy * (self._best or 0.0)
        return int(min(RETRY_MOST_S, max(RETRY_LEAST_S, wait)))
