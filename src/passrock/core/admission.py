"""What is taken in: the checks on a submission, and the limit on requests in progress."""

from __future__ import annotations

from threading import Lock

from passrock.core.model import Kind, MachineType, Spec, Team

RETRY_LEAST_S = 1
RETRY_MOST_S = 30


def fault(spec: Spec, teams: dict[str, Team], types: dict[str, MachineType]) -> str | None:
    """Why a job can never run, or None."""
    team = teams.get(spec.team)
    if team is None:
        return "unknown team"
    if not any(
        spec.need.fits(kind.size) and any(spec.allows(kind.name, zone, False) for zone in kind.zones)
        for kind in types.values()
    ):
        return "a task fits no allowed machine type"
    at_once = 1 if spec.kind is Kind.ARRAY else spec.tasks
    if not team.within_limit(spec.need.times(at_once)):
        return "more than the team's limit"
    if spec.one_zone and spec.spread and spec.tasks > 1 and spec.kind is not Kind.ARRAY:
        return "one zone and spread exclude each other"
    return None


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
