"""What a controller asks before it takes a submission in, where a subsystem decides on that."""

from __future__ import annotations

from typing import Protocol

import msgspec

from passrock.core.model import JobSpec
from passrock.core.records import Permit


class Refusal(msgspec.Struct, frozen=True):
    """The submission isn't taken now."""

    retry_after_s: int


class IntakeGate(Protocol):
    """Decides whether submissions of jobs that are not known yet are taken in."""

    def decide(self, spec: JobSpec) -> Permit | Refusal | None:
        """A permit for its transaction, a refusal, or None when it needs no permit."""

    def concluded(self, spec: JobSpec, unused: bool) -> None:
        """A request with a permit is over; ``unused`` when it is certain that nothing was accepted by it."""
