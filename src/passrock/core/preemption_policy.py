"""The rules by which a job may preempt a task."""

from __future__ import annotations

from passrock.core.job import Job, TaskAttempt
from passrock.core.model import ZERO_RESOURCES, Priority
from passrock.core.scheduler import Scheduler

MIN_RUN_BEFORE_PREEMPTION_S = 30.0  # a task that is stopped earlier does not count as started for its user


class PreemptionPolicy:
    """Decides which tasks a job may preempt, by rank, guarantee and the time that a task has been running."""

    def __init__(self, scheduler: Scheduler) -> None:
        self.scheduler = scheduler
        self.queue = scheduler.queue
        self.job_table = scheduler.job_table

    def can_preempt(self, job: Job) -> bool:
        """Whether the job may preempt other jobs at all, by its priority or its team's guarantee."""
        return job.spec.priority >= Priority.HIGH or self.queue.is_guaranteed(job)

    def may_preempt(self, job: Job, victim: TaskAttempt, now: float) -> bool:
        """Whether the job may preempt the task, by higher priority or as a guaranteed job of another team."""
        victim_job = victim.job
        if victim_job.spec.id in self.scheduler.overrides.protected_from_preemption:
            return False
        if victim_job is job or victim_job.cancelled or self.queue.rank(job) <= self.queue.rank(victim_job):
            return False
        may_preempt_at_once = job.spec.priority is Priority.PRODUCTION or self._is_revocable(victim, job)
        if not may_preempt_at_once and not self._has_run_long_enough(victim, now):
            return False
        if victim_job.spec.priority < job.spec.priority:
            return True
        beyond_guarantee = self.queue.is_guaranteed(job) and not self.queue.is_guaranteed(victim_job)
        return beyond_guarantee and victim_job.spec.team != job.spec.team

    def is_elastic(self, job: Job) -> bool:
        """Whether a job uses idle capacity only: low-priority work of a team without a guarantee (see RAS, §3.4)."""
        team = self.scheduler.teams.get(job.spec.team)
        return team is not None and not team.has_guarantee and job.spec.priority is Priority.LOW

    def has_elastic_work(self) -> bool:
        """Whether any team without a guarantee has attempts on machines."""
        return any(
            not team.has_guarantee and self.job_table.usage.get(team.name, ZERO_RESOURCES) != ZERO_RESOURCES
            for team in self.scheduler.teams.values()
        )

    def _is_revocable(self, victim: TaskAttempt, job: Job) -> bool:
        """Whether the task is elastic and the job is guaranteed, so that the job may preempt the task at once."""
        return self.queue.is_guaranteed(job) and self.is_elastic(victim.job)

    def _has_run_long_enough(self, victim: TaskAttempt, now: float) -> bool:
        """Whether the task, and every other member of its gang, has run long enough for its start to count.

        When tasks were stopped while they were fetching images or had just started, a single job started at the cost
        of the starts of several others, and images that had already been fetched were fetched again elsewhere.
        """
        return all(
            attempt.running_since is not None and now - attempt.running_since > MIN_RUN_BEFORE_PREEMPTION_S
            for attempt in victim.gang_attempts()
        )
