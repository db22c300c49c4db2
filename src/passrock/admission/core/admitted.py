"""Numbers of jobs admitted in each slot, from the grant references in the records of accepted jobs."""

from __future__ import annotations

from passrock.admission.core.flows import Flow

RETAINED_SLOTS = 6


class AdmittedJobs:
    """Counts each accepted job once, in the slot that its record names."""

    def __init__(self) -> None:
        self._jobs: dict[int, set[str]] = {}
        self._counts: dict[int, dict[Flow, int]] = {}

    def record(self, job_id: str, flow: Flow, slot: int) -> None:
        """Count a job in the slot that its first record names; repeated calls for a job have no effect."""
        jobs = self._jobs.setdefault(slot, set())
        if job_id in jobs:
            return
        jobs.add(job_id)
        slot_counts = self._counts.setdefault(slot, {})
        slot_counts[flow] = slot_counts.get(flow, 0) + 1
        while len(self._jobs) > RETAINED_SLOTS:
            oldest = min(self._jobs)
            del self._jobs[oldest], self._counts[oldest]

    def counts(self, slot: int) -> dict[Flow, int]:
        """Return the number of admitted jobs of each flow in a slot."""
        return self._counts.get(slot, {})
