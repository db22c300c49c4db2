"""Limiting of concurrent requests, with a limit that adapts to measured latencies."""

from __future__ import annotations

from threading import Lock

MIN_RETRY_AFTER_S = 1
MAX_RETRY_AFTER_S = 30
BASELINE_DRIFT_FRACTION = 0.002  # of the difference to a higher latency, by which each request raises the baseline
DECREASE_RATIO = 0.95
CONGESTED_LATENCY_RATIO = 2  # of the baseline; a higher latency indicates a queue


class AdaptiveConcurrencyLimiter:
    """A limit on requests in progress: additive increase, multiplicative decrease.

    The baseline, the lowest recent latency, is taken for the latency of a service without a queue. While latencies
    are near the baseline and the limit is nearly reached, each request raises the limit by one; a request that fails
    or takes more than twice the baseline lowers it. Safe to use from several threads.

    Args:
        initial: the initial limit, in concurrent requests.
        minimum: the lowest limit.
        maximum: the highest limit.
        slack_s: seconds by which a latency may exceed the baseline before it counts as higher.
    """

    def __init__(self, initial: int, minimum: int, maximum: int, slack_s: float) -> None:
        self.limit = float(initial)
        self.minimum = minimum
        self.maximum = maximum
        self.slack_s = slack_s
        self.in_progress = 0
        self._baseline_s: float | None = None
        self._lock = Lock()

    def try_acquire(self) -> bool:
        """Begin a request unless the limit is reached; each success requires one ``release``."""
        with self._lock:
            if self.in_progress >= int(self.limit):
                return False
            self.in_progress += 1
            return True

    def is_full(self) -> bool:
        """Whether ``try_acquire`` would fail."""
        with self._lock:
            return self.in_progress >= int(self.limit)

    def release(self, latency_s: float, *, failed: bool) -> None:
        """End a request, and adapt the limit to its latency and outcome."""
        with self._lock:
            is_nearly_full = self.in_progress >= int(self.limit) - 1
            self.in_progress -= 1
            baseline_s = self._update_baseline(latency_s)
            if failed or latency_s > CONGESTED_LATENCY_RATIO * baseline_s + self.slack_s:
                self.limit = max(float(self.minimum), self.limit * DECREASE_RATIO)
            elif is_nearly_full and latency_s <= baseline_s + self.slack_s:
                self.limit = min(float(self.maximum), self.limit + 1.0)

    def retry_after_s(self) -> int:
        """Return the seconds after which a rejected user should retry."""
        with self._lock:
            wait_s = MIN_RETRY_AFTER_S + self.in_progress * (self._baseline_s or 0.0)
        return int(min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s)))

    def _update_baseline(self, latency_s: float) -> float:
        if self._baseline_s is None or latency_s < self._baseline_s:
            self._baseline_s = latency_s
        else:
            self._baseline_s += (latency_s - self._baseline_s) * BASELINE_DRIFT_FRACTION
        return self._baseline_s
