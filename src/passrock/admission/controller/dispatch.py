"""Prevents starvation on the leader: a flow that has waited long for a start is prioritized."""

from __future__ import annotations

import math
from collections.abc import Iterable

from passrock.admission.core.flows import Flow
from passrock.admission.core.starvation import FlowWait, Obstacle, StartTracker, WaitingJob
from passrock.core.job import Job, TaskAttempt
from passrock.core.model import JobKind
from passrock.core.scheduler import Scheduler
from passrock.io.clock import time_of_day
from passrock.logs import error, info

MACHINES_PER_PRIORITIZED_FLOW = 8  # one flow per this many machines is prioritized at a time, at least one


def flow_of(job: Job) -> Flow:
    """Return the flow that a job belongs to."""
    return Flow(job.spec.team, job.spec.job_class)


class DispatchPrioritizer:
    """Tracks starts by flow, and sets which jobs the scheduler prioritizes and which it may not preempt.

    Args:
        start_tracker: the last start of each flow.
        window_s: a flow without a start for this long is logged.
        protection_s: how long a job placed because of its priority is protected from preemption.
        check_interval_s: least time between two checks of all waiting jobs.
    """

    def __init__(
        self, start_tracker: StartTracker, window_s: float, protection_s: float, check_interval_s: float
    ) -> None:
        self.start_tracker = start_tracker
        self.window_s = window_s
        self.protection_s = protection_s
        self.check_interval_s = check_interval_s
        self._last_check_at = -math.inf
        self.waits: list[FlowWait] = []
        self.start_counts: dict[Flow, int] = {}  # since the last call of take_start_counts
        self._unconfirmed_attempts: list[TaskAttempt] = []  # not yet reported as running
        self._protected_until: dict[str, float] = {}
        self._logged_overdue: set[Flow] = set()

    def on_pass_completed(self, scheduler: Scheduler, started: Iterable[TaskAttempt], now: float) -> None:
        """Process a completed scheduling pass, and set the overrides for the next one."""
        wall_clock_now = time_of_day()
        self._protect_placed(scheduler, started, wall_clock_now)
        if now - self._last_check_at < self.check_interval_s:
            return
        self._last_check_at = now
        self._count_starts(wall_clock_now)
        self.waits = self.start_tracker.flow_waits(self._waiting_jobs(scheduler, now))
        prioritized = self.start_tracker.prioritized(
            self.waits, wall_clock_now, max(1, len(scheduler.capacity.schedulable) // MACHINES_PER_PRIORITIZED_FLOW)
        )
        flows_being_started = {flow_of(attempt.job) for attempt in self._unconfirmed_attempts}
        prioritized = [wait for wait in prioritized if wait.flow not in flows_being_started]
        self._log_prioritized(prioritized, scheduler.overrides.prioritized, wall_clock_now)
        scheduler.overrides.prioritized = frozenset(wait.oldest_job_id for wait in prioritized)
        self._protected_until = {
            job_id: until for job_id, until in self._protected_until.items() if until > wall_clock_now
        }
        scheduler.overrides.protected_from_preemption = frozenset(self._protected_until)
        self._log_starved(wall_clock_now)

    def _protect_placed(self, scheduler: Scheduler, placed: Iterable[TaskAttempt], wall_clock_now: float) -> None:
        """Protect prioritized jobs from preemption as soon as they are placed, before their tasks have started."""
        for attempt in placed:
            self._unconfirmed_attempts.append(attempt)
            job_id = attempt.job.spec.id
            if job_id in scheduler.overrides.prioritized and job_id not in self._protected_until:
                self._protected_until[job_id] = wall_clock_now + self.protection_s
                scheduler.overrides.protected_from_preemption |= {job_id}
                info(
                    "prioritized_job_placed",
                    job=job_id,
                    team=attempt.job.spec.team,
                    job_class=attempt.job.spec.job_class,
                )

    def _count_starts(self, wall_clock_now: float) -> None:
        """Count starts of tasks that run or have ended.

        An attempt that was refused or lost before it ran has not served its flow, and is not counted.
        """
        not_running = []
        for attempt in self._unconfirmed_attempts:
            job = attempt.job
            if attempt.running_since is not None or job.is_completed(attempt.index):
                flow = flow_of(job)
                self.start_tracker.record_start(flow, wall_clock_now)
                self.start_counts[flow] = self.start_counts.get(flow, 0) + 1
            elif job.page(attempt.index).attempts.get(attempt.index) is attempt:
                not_running.append(attempt)
        self._unconfirmed_attempts = not_running

    def take_start_counts(self) -> dict[Flow, int]:
        """Return the number of tasks started of each flow since the last call."""
        start_counts, self.start_counts = self.start_counts, {}
        return start_counts

    def _waiting_jobs(self, scheduler: Scheduler, now: float) -> Iterable[WaitingJob]:
        for job in scheduler.job_table.jobs.values():
            if job.waiting_count > 0 and not job.cancelled and job.final_status is None:
                yield WaitingJob(job.spec.id, flow_of(job), job.submitted_at, self._obstacle(scheduler, job, now))

    def _obstacle(self, scheduler: Scheduler, job: Job, now: float) -> Obstacle:
        spec = job.spec
        if job.retry_not_before > now or job.is_presumed_faulty:
            return Obstacle.FAILING
        if not scheduler.quotas.allows(job, spec.task_count if spec.kind is JobKind.GANG else 1):
            return Obstacle.TEAM_LIMIT
        if not any(
            spec.allows(machine.type.name, machine.zone, spot=machine.spot)
            and spec.resources.fits(machine.type.capacity)
            for machine in scheduler.capacity.schedulable
        ):
            return Obstacle.NO_MACHINE
        return Obstacle.OTHERS

    def _log_prioritized(
        self, prioritized: list[FlowWait], previously_prioritized: frozenset[str], wall_clock_now: float
    ) -> None:
        for wait in prioritized:
            if wait.oldest_job_id not in previously_prioritized:
                waited_s = round(wall_clock_now - wait.waiting_since)
                info(
                    "class_prioritized",
                    team=wait.flow.team,
                    job_class=wait.flow.job_class,
                    job=wait.oldest_job_id,
                    waited_s=waited_s,
                )

    def _log_starved(self, wall_clock_now: float) -> None:
        """Log each flow once when it has had no start for a whole window, with the obstacle."""
        overdue = {wait.flow: wait for wait in self.waits if wall_clock_now - wait.waiting_since > self.window_s}
        for flow in overdue.keys() - self._logged_overdue:
            wait = overdue[flow]
            waited_s = round(wall_clock_now - wait.waiting_since)
            starved = wait.obstacle is Obstacle.OTHERS and self.start_tracker.others_served_since(
                flow, wait.waiting_since
            )
            log, event = (error, "class_starved") if starved else (info, "class_unserved")
            log(
                event,
                team=flow.team,
                job_class=flow.job_class,
                waited_s=waited_s,
                jobs=wait.job_count,
                reason=wait.obstacle.value,
            )
        self._logged_overdue = set(overdue)
