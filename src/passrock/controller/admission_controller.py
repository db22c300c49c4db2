"""The interface of an admission controller, which decides on new submissions where fair admission is enabled."""

from __future__ import annotations

from typing import Protocol

import msgspec

from passrock.core.model import JobSpec
from passrock.core.records import AdmissionToken


class Refusal(msgspec.Struct, frozen=True):
    """The submission is not admitted now."""

    retry_after_s: int


class AdmissionController(Protocol):
    """Decides whether submissions of jobs that are not yet known are admitted."""

    def decide(self, spec: JobSpec) -> AdmissionToken | Refusal | None:
        """Return a token for the submission's transaction, a refusal, or None when no token is needed."""

    def request_finished(self, spec: JobSpec, *, unused: bool) -> None:
        """Record the end of a request with a token; ``unused`` when it is certain that it accepted nothing."""
