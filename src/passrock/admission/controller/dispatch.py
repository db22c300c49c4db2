"""Dispatch on the leader: a class that has waited long for a start goes first."""

from __future__ import annotations

import math
from collections.abc import Iterable

from passrock.admission.core.flows import Flow
from passrock.admission.core.starvation import FlowWait, Obstacle, StartWatch, WaitingJob
from passrock.core.job import Job, TaskAttempt
from passrock.core.model import JobKind
from passrock.core.scheduler import Scheduler
from passrock.io.clock import time_of_day
from passrock.logs import error, info

MACHINES_PER_PRIORITIZED_FLOW = 8  # one flow at a time goes first for so many machines, and one at the least


def flow_of(job: Job) -> Flow:
    """The flow that a job belongs to."""
    return Flow(job.spec.team, job.spec.job_class)


class Dispatch:
    """Watches starts by flow, and tells the scheduler which jobs go first and which may not be preempted."""

    def __init__(self, watch: StartWatch, window_s: float, protect_s: float, every_s: float) -> None:
        self.watch = watch
        self.window_s = window_s
        self.protect_s = protect_s
        self.every_s = every_s  # between two checks of all waiting jobs
        self._last_check = -math.inf
        self.waits: list[FlowWait] = []
        self.starts: dict[Flow, int] = {}  # since they were last taken
        self._placed: list[TaskAttempt] = []  # attempts that have not been seen to run yet
        self._protected: dict[str, float] = {}
        self._starved: set[Flow] = set()

    def evaluated(self, scheduler: Scheduler, started: Iterable[TaskAttempt], now: float) -> None:
        """One pass of placement is over; the next one follows what is set here."""
        today = time_of_day()
        self._protect_placed(scheduler, started, today)
        if now - self._last_check < self.every_s:
            return
        self._last_check = now
        self._note_starts(today)
        self.waits = self.watch.look(self._waiting(scheduler, now))
        prioritized = self.watch.prioritized(
            self.waits, today, max(1, len(scheduler.capacity.schedulable) // MACHINES_PER_PRIORITIZED_FLOW)
        )
        under_way = {flow_of(attempt.job) for attempt in self._placed}
        prioritized = [wait for wait in prioritized if wait.flow not in under_way]
        self._log_prioritized(prioritized, scheduler.overrides.prioritized, today)
        scheduler.overrides.prioritized = frozenset(wait.oldest for wait in prioritized)
        self._protected = {job_id: until for job_id, until in self._protected.items() if until > today}
        scheduler.overrides.protected_from_preemption = frozenset(self._protected)
        self._log_starved(today)

    def _protect_placed(self, scheduler: Scheduler, placed: Iterable[TaskAttempt], today: float) -> None:
        """What was placed for a prioritized job is safe from preemption at once, before it has started."""
        for attempt in placed:
            self._placed.append(attempt)
            job_id = attempt.job.spec.id
            if job_id in scheduler.overrides.prioritized and job_id not in self._protected:
                self._protected[job_id] = today + self.protect_s
                scheduler.overrides.protected_from_preemption |= {job_id}
                info(
                    "prioritized_job_placed",
                    job=job_id,
                    team=attempt.job.spec.team,
                    job_class=attempt.job.spec.job_class,
                )

    def _note_starts(self, today: float) -> None:
        """Count a start once the task runs: one that was refused, or lost before, serves nobody."""
        waiting = []
        for attempt in self._placed:
            job = attempt.job
            if attempt.running_since is not None or job.is_done(attempt.index):
                flow = flow_of(job)
                self.watch.note_start(flow, today)
                self.starts[flow] = self.starts.get(flow, 0) + 1
            elif job.page(attempt.index).attempts.get(attempt.index) is attempt:
                waiting.append(attempt)
        self._placed = waiting

    def take_starts(self) -> dict[Flow, int]:
        """Tasks started by flow since the last call."""
        starts, self.starts = self.starts, {}
        return starts

    def _waiting(self, scheduler: Scheduler, now: float) -> Iterable[WaitingJob]:
        for job in scheduler.job_table.jobs.values():
            if job.waiting_count > 0 and not job.cancelled and job.final_status is None:
                yield WaitingJob(job.spec.id, flow_of(job), job.submitted_at, self._obstacle(scheduler, job, now))

    def _obstacle(self, scheduler: Scheduler, job: Job, now: float) -> Obstacle:
        spec = job.spec
        if job.retry_not_before > now or job.is_suspect:
            return Obstacle.FAILING
        if not scheduler.quotas.allows(job, spec.tasks if spec.kind is JobKind.GANG else 1):
            return Obstacle.TEAM_LIMIT
        if not any(
            spec.allows(machine.type.name, machine.zone, spot=machine.spot) and spec.resources.fits(machine.type.size)
            for machine in scheduler.capacity.schedulable
        ):
            return Obstacle.NO_MACHINE
        return Obstacle.OTHERS

    def _log_prioritized(self, prioritized: list[FlowWait], before: frozenset[str], today: float) -> None:
        for wait in prioritized:
            if wait.oldest not in before:
                waited = round(today - wait.since)
                info(
                    "class_prioritized",
                    team=wait.flow.team,
                    job_class=wait.flow.job_class,
                    job=wait.oldest,
                    waited_s=waited,
                )

    def _log_starved(self, today: float) -> None:
        """Log each flow once when a whole window has passed, with what keeps it from a start."""
        late = {wait.flow: wait for wait in self.waits if today - wait.since > self.window_s}
        for flow in late.keys() - self._starved:
            wait = late[flow]
            waited = round(today - wait.since)
            starved = wait.obstacle is Obstacle.OTHERS and self.watch.others_served_since(flow, wait.since)
            log, event = (error, "class_starved") if starved else (info, "class_unserved")
            log(
                event,
                team=flow.team,
                job_class=flow.job_class,
                waited_s=waited,
                jobs=wait.jobs,
                reason=wait.obstacle.value,
            )
        self._starved = set(late)
