"""Rate limiting of outgoing requests: a token bucket, and a controller's share of the key-value store's rates."""

from __future__ import annotations

from threading import Lock

LEADER_SHARE = 0.6  # of the key-value store's rates
REJECTION_DEBT_S = 0.25  # a rejection by the service costs the tokens of this many seconds


def rate_share(*, leading: bool, nodes: int) -> float:
    """A controller's share of the store's rates: the leader needs most of them, the others divide the rest."""
    if leading or nodes == 1:
        return LEADER_SHARE
    return (1 - LEADER_SHARE) / (nodes - 1)


class TokenBucket:
    """A token bucket whose tokens can be reserved ahead: ``reserve`` returns how long to wait for them.

    ``rate`` is in tokens per second and ``burst`` the most that accumulate; both may be changed at any time.
    All times are monotonic, in seconds. Safe to use from several threads.
    """

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self._tokens = burst
        self._refilled_at: float | None = None
        self._lock = Lock()

    def reserve(self, now: float, tokens: float) -> float:
        """Take ``tokens``; returns the seconds that the caller has to wait before it uses them."""
        with self._lock:
            self._refill(now)
            self._tokens -= tokens
            return max(0.0, -self._tokens / self.rate)

    def time_until_available(self, now: float, keep: float = 0.0) -> float:
        """The seconds until a token is available while ``keep`` are left for others."""
        with self._lock:
            self._refill(now)
            return max(0.0, (1.0 + keep - self._tokens) / self.rate)

    def available(self, now: float) -> float:
        """How many tokens are available at once; below 0 when callers are already waiting."""
        with self._lock:
            self._refill(now)
            return self._tokens

    def available_fraction(self, now: float) -> float:
        """The available part of a full burst, at most 1; below 0 when callers are already waiting."""
        with self._lock:
            self._refill(now)
            return self._tokens / self.burst

    def record_rejection(self, now: float) -> None:
        """Drop all tokens: the service itself found the rate exceeded."""
        with self._lock:
            self._refill(now)
            self._tokens = min(self._tokens, -self.rate * REJECTION_DEBT_S)

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None:
            self._tokens = min(self.burst, self._tokens + (now - self._refilled_at) * self.rate)
        self._refilled_at = now
