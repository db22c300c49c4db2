"""Rate limiting of outgoing requests: a token bucket, and a controller's share of the store's rate limits."""

from __future__ import annotations

from threading import Lock

LEADER_SHARE = 0.6  # of the key-value store's rate limits
REJECTION_PENALTY_S = 0.25  # a rejection by the service leaves a deficit of the tokens of this many seconds


def rate_share(*, leading: bool, node_count: int) -> float:
    """Return a controller's share of the store's rate limits: the leader needs most, followers divide the rest."""
    if leading or node_count == 1:
        return LEADER_SHARE
    return (1 - LEADER_SHARE) / (node_count - 1)


class TokenBucket:
    """A token bucket whose tokens can be reserved in advance: ``reserve`` returns how long to wait for them.

    ``rate`` is in tokens per second, and ``burst`` is the most tokens that accumulate; both may be changed at any
    time. All times are monotonic, in seconds. Safe to use from several threads.
    """

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self._tokens = burst
        self._refilled_at: float | None = None
        self._lock = Lock()

    def reserve(self, now: float, tokens: float) -> float:
        """Take ``tokens``; returns the seconds that the caller must wait before it uses them."""
        with self._lock:
            self._refill(now)
            self._tokens -= tokens
            return max(0.0, -self._tokens / self.rate)

    def time_until_available(self, now: float, reserved: float = 0.0) -> float:
        """Return the seconds until a token is available while ``reserved`` tokens are left for other callers."""
        with self._lock:
            self._refill(now)
            return max(0.0, (1.0 + reserved - self._tokens) / self.rate)

    def available(self, now: float) -> float:
        """Return the number of tokens that are available now; negative when callers are already waiting."""
        with self._lock:
            self._refill(now)
            return self._tokens

    def available_fraction(self, now: float) -> float:
        """Return the available fraction of a full burst, at most 1; negative when callers are already waiting."""
        with self._lock:
            self._refill(now)
            return self._tokens / self.burst

    def record_rejection(self, now: float) -> None:
        """Drop all tokens after a rejection by the service, which means that its rate limit is exceeded."""
        with self._lock:
            self._refill(now)
            self._tokens = min(self._tokens, -self.rate * REJECTION_PENALTY_S)

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None:
            self._tokens = min(self.burst, self._tokens + (now - self._refilled_at) * self.rate)
        self._refilled_at = now
