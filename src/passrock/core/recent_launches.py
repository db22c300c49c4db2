"""Launches that may reach a worker once more, because the answer that carried them has not timed out there yet.

A worker that has been told to drop an exited attempt no longer recognizes a copy of its launch, and starts it again.
"""

from __future__ import annotations

import msgspec

from passrock.core.interface_times import CLOCK_DRIFT_RATIO, WORKER_REQUEST_TIMEOUT_S

# From the answer that carries a command until its worker drops every copy of that answer, by any clock.
ANSWER_LIFETIME_S = WORKER_REQUEST_TIMEOUT_S * CLOCK_DRIFT_RATIO


class AttemptKey(msgspec.Struct, frozen=True):
    """Identifies an attempt on one machine."""

    job: str
    index: int
    number: int


class RecentLaunches:
    """The launches on one machine whose answers a worker may still accept.

    They concern answers of this term only: once a worker has received an answer of this term, it drops those of
    earlier ones. All times are monotonic, in seconds.
    """

    def __init__(self) -> None:
        self._repeatable_until: dict[AttemptKey, float] = {}

    def record(self, attempt: AttemptKey, now: float) -> None:
        """Record that an answer which is sent now carries the launch of an attempt."""
        self._repeatable_until = {key: until for key, until in self._repeatable_until.items() if until > now}
        self._repeatable_until[attempt] = now + ANSWER_LIFETIME_S

    def may_repeat(self, attempt: AttemptKey, now: float) -> bool:
        """Whether the worker may still accept a copy of an answer that carried the launch of this attempt."""
        return now < self._repeatable_until.get(attempt, now)
