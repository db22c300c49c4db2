"""Flows that have waited long for a start: the obstacle, and which of their jobs is to be prioritized."""

from __future__ import annotations

import math
from collections.abc import Iterable
from enum import StrEnum

import msgspec

from passrock.admission.core.flows import Flow


class Obstacle(StrEnum):
    """The reason why a waiting job is not started."""

    OTHERS = "others"  # it could run, but other jobs are served instead
    NO_MACHINE = "no_machine"  # no schedulable machine matches its constraints
    TEAM_LIMIT = "team_limit"
    FAILING = "failing"  # it failed on several machines, or is in back-off after a failure


class WaitingJob(msgspec.Struct, frozen=True):
    """A job with tasks that wait for machines."""

    id: str
    flow: Flow
    submitted_at: float  # wall-clock time
    obstacle: Obstacle


class FlowWait(msgspec.Struct, frozen=True):
    """A flow with waiting jobs, and since when it has had no start."""

    flow: Flow
    waiting_since: float  # wall-clock time of its last start or of its oldest job's submission, whichever is later
    job_count: int
    oldest_job_id: str
    obstacle: Obstacle  # OTHERS when any of its jobs could run


class StartTracker:
    """The last start of each flow, in wall-clock time.

    A new leader restores the times from the latest allocation.
    """

    def __init__(self, prioritize_after_s: float) -> None:
        self.prioritize_after_s = prioritize_after_s
        self.last_start_at: dict[Flow, float] = {}
        self.latest_start_at = -math.inf
        self._latest_flow: Flow | None = None
        self._latest_start_of_others_at = -math.inf  # the latest start of any flow but _latest_flow

    def restore(self, last_start_at: dict[Flow, float]) -> None:
        """Merge the last starts recorded by an earlier leader; the later of two times of a flow is kept."""
        for flow, at in last_start_at.items():
            self.last_start_at[flow] = max(at, self.last_start_at.get(flow, at))

    def record_start(self, flow: Flow, at: float) -> None:
        """Record that a task of the flow was started."""
        self.last_start_at[flow] = at
        if flow != self._latest_flow:
            self._latest_start_of_others_at = self.latest_start_at
            self._latest_flow = flow
        self.latest_start_at = at

    def others_served_since(self, flow: Flow, since: float) -> bool:
        """Whether any other flow has had a start after ``since``."""
        latest_start_of_others_at = (
            self._latest_start_of_others_at if flow == self._latest_flow else self.latest_start_at
        )
        return latest_start_of_others_at > since

    def flow_waits(self, waiting: Iterable[WaitingJob]) -> list[FlowWait]:
        """Return a wait for each flow with waiting jobs, longest first; drop the last starts of all other flows."""
        jobs: dict[Flow, list[WaitingJob]] = {}
        for job in waiting:
            jobs.setdefault(job.flow, []).append(job)
        self.last_start_at = {flow: at for flow, at in self.last_start_at.items() if flow in jobs}
        waits = [self._flow_wait(flow, flow_jobs) for flow, flow_jobs in jobs.items()]
        return sorted(waits, key=lambda wait: (wait.waiting_since, wait.flow))

    def _flow_wait(self, flow: Flow, jobs: list[WaitingJob]) -> FlowWait:
        runnable = [job for job in jobs if job.obstacle is Obstacle.OTHERS]
        oldest = min(runnable or jobs, key=lambda job: (job.submitted_at, job.id))
        waiting_since = max(oldest.submitted_at, self.last_start_at.get(flow, oldest.submitted_at))
        return FlowWait(flow, waiting_since, len(jobs), oldest.id, oldest.obstacle)

    def prioritized(self, waits: Iterable[FlowWait], wall_clock_now: float, limit: int) -> list[FlowWait]:
        """Return up to ``limit`` flows to prioritize: they could run, but had no start for long while others had."""
        candidates = [
            wait
            for wait in waits
            if wait.obstacle is Obstacle.OTHERS
            and wall_clock_now - wait.waiting_since > self.prioritize_after_s
            and self.others_served_since(wait.flow, wait.waiting_since)
        ]
        return candidates[:limit]
