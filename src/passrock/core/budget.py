"""A share of a rate: how long to wait before the next use."""

from __future__ import annotations

from threading import Lock

LEADER_PART = 0.6  # of the state service's rates


def rate_share(leading: bool, nodes: int) -> float:
    """A controller's part of the state service's rates: the leader needs most of them, the others share the rest."""
    if leading or nodes == 1:
        return LEADER_PART
    return (1 - LEADER_PART) / (nodes - 1)


class Budget:
    """Token bucket that hands out its future: each taker is told how long to wait."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self._level = burst
        self._at: float | None = None
        self._lock = Lock()

    def take(self, now: float, amount: float) -> float:
        """Use ``amount``; the seconds to wait first."""
        with self._lock:
            self._fill(now)
            self._level -= amount
            return max(0.0, -self._level / self.rate)

    def wait(self, now: float, reserve: float = 0.0) -> float:
        """The seconds until one can be taken and ``reserve`` are left for others."""
        with self._lock:
            self._fill(now)
            return max(0.0, (1.0 + reserve - self._level) / self.rate)

    def left(self, now: float) -> float:
        """How many can be taken without waiting; below 0 when others wait already."""
        with self._lock:
            self._fill(now)
            return self._level

    def spare(self, now: float) -> float:
        """How much of a full burst is left, from 0 (or below) to 1."""
        with self._lock:
            self._fill(now)
            return self._level / self.burst

    def refused(self, now: float) -> None:
        """The service found the rate exceeded: what was left is gone."""
        with self._lock:
            self._fill(now)
            self._level = min(self._level, -self.rate / 4)

    def _fill(self, now: float) -> None:
        if self._at is not None:
            self._level = min(self.burst, self._level + (now - self._at) * self.rate)
        self._at = now
