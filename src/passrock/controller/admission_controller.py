"""The admission controller: decides on new submissions, where a subsystem is switched on that does."""

from __future__ import annotations

from typing import Protocol

import msgspec

from passrock.core.model import JobSpec
from passrock.core.records import AdmissionToken


class Refusal(msgspec.Struct, frozen=True):
    """The submission is not admitted now."""

    retry_after_s: int


class AdmissionController(Protocol):
    """Decides whether submissions of jobs that are not known yet are admitted."""

    def decide(self, spec: JobSpec) -> AdmissionToken | Refusal | None:
        """A token for its transaction, a refusal, or None when it needs no token."""

    def request_finished(self, spec: JobSpec, *, unused: bool) -> None:
        """A request with a token has ended; ``unused`` when it is certain that nothing was accepted by it."""
