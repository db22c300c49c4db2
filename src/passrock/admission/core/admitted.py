"""What was admitted in each slot, read from the references to grants in the records of accepted jobs."""

from __future__ import annotations

from passrock.admission.core.flows import Flow

SLOTS_KEPT = 6


class AdmittedJobs:
    """Counts each accepted job once, in the slot that its record names."""

    def __init__(self) -> None:
        self._jobs: dict[int, set[str]] = {}
        self._count: dict[int, dict[Flow, int]] = {}

    def note(self, job_id: str, flow: Flow, slot: int) -> None:
        """A job's first record names this slot. It may be shown more than once."""
        jobs = self._jobs.setdefault(slot, set())
        if job_id in jobs:
            return
        jobs.add(job_id)
        count = self._count.setdefault(slot, {})
        count[flow] = count.get(flow, 0) + 1
        while len(self._jobs) > SLOTS_KEPT:
            oldest = min(self._jobs)
            del self._jobs[oldest], self._count[oldest]

    def of(self, slot: int) -> dict[Flow, int]:
        """How many of each flow were admitted in a slot."""
        return self._count.get(slot, {})
