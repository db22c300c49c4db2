"""Which flows have waited long for a start, why, and which of their jobs goes first."""

from __future__ import annotations

import math
from collections.abc import Iterable
from enum import StrEnum

import msgspec

from passrock.admission.core.flows import Flow


class Obstacle(StrEnum):
    """What keeps a waiting job from a start."""

    OTHERS = "others"  # it could run; others are served instead
    NO_MACHINE = "no_machine"  # no machine that it may use is up
    TEAM_LIMIT = "team_limit"
    FAILING = "failing"  # it failed on several machines, or rests after a failure


class WaitingJob(msgspec.Struct, frozen=True):
    """A job with tasks that wait for machines."""

    id: str
    flow: Flow
    submitted: float  # time of day
    obstacle: Obstacle


class FlowWait(msgspec.Struct, frozen=True):
    """How long a flow with waiting jobs has had no start."""

    flow: Flow
    since: float  # time of day of its last start, or of the submission of its oldest waiting job
    jobs: int
    oldest: str
    obstacle: Obstacle  # OTHERS when any of its jobs could run


class StartWatch:
    """Last starts by flow; carried from leader to leader with the allocations."""

    def __init__(self, prioritize_after_s: float) -> None:
        self.prioritize_after_s = prioritize_after_s
        self.started: dict[Flow, float] = {}
        self.last_start = -math.inf
        self._last_flow: Flow | None = None
        self._other_start = -math.inf  # the last start of any flow but _last_flow

    def resume(self, started: dict[Flow, float]) -> None:
        """Take over what an earlier leader had noted; what was seen since counts for more."""
        for flow, at in started.items():
            self.started[flow] = max(at, self.started.get(flow, at))

    def note_start(self, flow: Flow, at: float) -> None:
        """A task of the flow was started."""
        self.started[flow] = at
        if flow != self._last_flow:
            self._other_start = self.last_start
            self._last_flow = flow
        self.last_start = at

    def others_served_since(self, flow: Flow, since: float) -> bool:
        """Whether any other flow has had a start since then."""
        last_other = self._other_start if flow == self._last_flow else self.last_start
        return last_other > since

    def look(self, waiting: Iterable[WaitingJob]) -> list[FlowWait]:
        """Flows with waiting jobs, the one without a start for longest first; forgets all others."""
        jobs: dict[Flow, list[WaitingJob]] = {}
        for job in waiting:
            jobs.setdefault(job.flow, []).append(job)
        self.started = {flow: at for flow, at in self.started.items() if flow in jobs}
        waits = [self._wait(flow, found) for flow, found in jobs.items()]
        return sorted(waits, key=lambda wait: (wait.since, wait.flow))

    def _wait(self, flow: Flow, jobs: list[WaitingJob]) -> FlowWait:
        able = [job for job in jobs if job.obstacle is Obstacle.OTHERS]
        oldest = min(able or jobs, key=lambda job: (job.submitted, job.id))
        since = max(oldest.submitted, self.started.get(flow, oldest.submitted))
        return FlowWait(flow, since, len(jobs), oldest.id, oldest.obstacle)

    def prioritized(self, waits: Iterable[FlowWait], now: float, limit: int) -> list[FlowWait]:
        """Flows that go first now: able to run, long without a start, while others were served."""
        found = [
            wait
            for wait in waits
            if wait.obstacle is Obstacle.OTHERS
            and now - wait.since > self.prioritize_after_s
            and self.others_served_since(wait.flow, wait.since)
        ]
        return found[:limit]
