"""The order in which waiting jobs are placed, and the rank by which a job may preempt another."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from passrock.core.free_capacity import FreeCapacity
from passrock.core.job import Job
from passrock.core.job_table import JobTable
from passrock.core.model import ZERO_RESOURCES, JobKind, Priority, Resources, Team
from passrock.core.objectives import ServiceLevelObjectives


class DispatchOverrides(msgspec.Struct):
    """Jobs to which fair admission gives precedence, so that no class of jobs starves.

    Attributes:
        prioritized: ids of the jobs that are placed before all others.
        protected_from_preemption: ids of the jobs that are not preempted, whatever their rank.
    """

    prioritized: frozenset[str] = frozenset()
    protected_from_preemption: frozenset[str] = frozenset()


class JobRank(NamedTuple):
    """A job's rank for preemption: production first, then guaranteed jobs, then by priority.

    Only a job of strictly higher rank preempts another. ``is_guaranteed`` depends on the demand of the team's
    unfinished jobs: when it depended on the tasks that were running at the moment, teams preempted each other on the
    same machines again and again.
    """

    is_production: bool
    is_guaranteed: bool
    priority: int


class QueuePosition(NamedTuple):
    """Sort key of a waiting job; the job with the lowest key is placed first.

    Each ``behind_...`` field is False for the jobs of a group and True for all others, so that the group is first.

    Attributes:
        behind_prioritized: False for jobs that fair admission has prioritized.
        behind_production: False for production jobs.
        behind_starving: False for starving jobs.
        behind_guaranteed: False for guaranteed and for starving jobs.
        behind_objectives: False for starving jobs and for jobs that can still meet an objective; the others follow,
            oldest first.
        place_by: monotonic time; for a starving job the start of its wait, for a job with an objective its latest
            start, otherwise the submission.
        submitted_at: monotonic time.
    """

    behind_prioritized: bool
    behind_production: bool
    behind_starving: bool
    behind_guaranteed: bool
    behind_objectives: bool
    place_by: float
    submitted_at: float


class JobQueue:
    """Ranks all jobs and orders the waiting jobs.

    Attributes:
        guaranteed: ids of the jobs that fit into their team's guarantee, as of the last update.
    """

    def __init__(
        self,
        job_table: JobTable,
        teams: dict[str, Team],
        objectives: ServiceLevelObjectives,
        capacity: FreeCapacity,
        overrides: DispatchOverrides,
    ) -> None:
        self.job_table = job_table
        self.teams = teams
        self.objectives = objectives
        self.capacity = capacity
        self.overrides = overrides
        self.guaranteed: set[str] = set()
        self._ranks: dict[str, JobRank] = {}
        self._ranked_demand_version: int | None = None  # for which ``guaranteed`` and the ranks hold

    def update_guaranteed_jobs(self) -> None:
        """Find the jobs that fit into their team's guarantee together with all its earlier unfinished jobs."""
        if self._ranked_demand_version == self.job_table.demand_version:
            return
        self._ranked_demand_version = self.job_table.demand_version
        self.guaranteed = set()
        self._ranks = {}
        demand: dict[str, Resources] = {}
        for job in sorted(self.job_table.jobs.values(), key=lambda job: (job.submitted_at, job.spec.id)):
            team = self.teams.get(job.spec.team)
            if team is None or job.cancelled:
                continue
            total = demand.get(team.name, ZERO_RESOURCES) + job.spec.resources.scaled(
                job.spec.task_count - job.completed_count
            )
            demand[team.name] = total
            if team.within_guarantee(total):
                self.guaranteed.add(job.spec.id)

    def is_guaranteed(self, job: Job) -> bool:
        """Whether the job fits into its team's guarantee, as of the last update."""
        return job.spec.id in self.guaranteed

    def is_prioritized(self, job: Job) -> bool:
        """Whether fair admission requires that the job is placed before all others."""
        return job.spec.id in self.overrides.prioritized

    def rank(self, job: Job) -> JobRank:
        """Return the job's rank for preemption."""
        spec = job.spec
        rank = self._ranks.get(spec.id)
        if rank is None:
            rank = JobRank(spec.priority is Priority.PRODUCTION, spec.id in self.guaranteed, int(spec.priority))
            self._ranks[spec.id] = rank
        return rank

    def ready_jobs(self, now: float) -> list[Job]:
        """Return the jobs with tasks that may be placed now, most urgent first.

        A gang is left out until all tasks of its last attempt have ended.
        """
        ready = [
            job
            for job in self.job_table.jobs.values()
            if job.waiting_count > 0
            and not job.cancelled
            and job.retry_not_before <= now
            and job.final_status is None
            and not (job.spec.kind is JobKind.GANG and job.attempt_count > 0)
        ]
        return sorted(ready, key=lambda job: self._position(job, now))

    def _position(self, job: Job, now: float) -> QueuePosition:
        rank = self.rank(job)
        behind_prioritized = not self.is_prioritized(job)
        behind_production = not rank.is_production
        if self.objectives.is_starving(job, now):
            # The job with the longest wait is first; otherwise jobs that missed all objectives might wait for ever.
            return QueuePosition(
                behind_prioritized,
                behind_production,
                behind_starving=False,
                behind_guaranteed=False,
                behind_objectives=False,
                place_by=job.waiting_since,
                submitted_at=job.submitted_at_monotonic,
            )
        latest_start = self.objectives.latest_start(
            job, now, guaranteed=rank.is_guaranteed, image_fetch_s=self.capacity.longest_image_fetch_s(job.spec)
        )
        return QueuePosition(
            behind_prioritized,
            behind_production,
            behind_starving=True,
            behind_guaranteed=not rank.is_guaranteed,
            behind_objectives=latest_start is None,
            place_by=job.submitted_at_monotonic if latest_start is None else latest_start,
            submitted_at=job.submitted_at_monotonic,
        )
