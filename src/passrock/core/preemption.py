"""Preemption: which tasks to stop, and when, so that a waiting job of higher rank fits."""

from __future__ import annotations

from passrock.core.job import Job, TaskAttempt
from passrock.core.model import JobKind, Priority
from passrock.core.preemption_planner import PreemptionPlan, PreemptionPlanner
from passrock.core.preemption_policy import PreemptionPolicy
from passrock.core.scheduler import Scheduler

HOLD_MARGIN_STOP_LATENCIES = 2  # from the expected end of the victims to the expiry of the hold
# Victims for an objective are planned once the job's latest start is no further away than the worker lease, this many
# stop latencies and this many fetches of the job's image together.
PLANNING_STOP_LATENCIES = 4
PLANNING_IMAGE_FETCHES = 2


class Preemption:
    """Selects victims for jobs that the last scheduling pass left waiting, based on the state after that pass."""

    def __init__(self, scheduler: Scheduler) -> None:
        self.scheduler = scheduler
        self.job_table = scheduler.job_table
        self.inventory = scheduler.inventory
        self.objectives = scheduler.objectives
        self.queue = scheduler.queue
        self.holds = scheduler.holds
        self.stop_latency_s = scheduler.stop_latency_s
        self.policy = PreemptionPolicy(scheduler)
        self.planner = PreemptionPlanner(scheduler, self.policy)

    def select_victims(self, job: Job, now: float, *, elastic_only: bool = False) -> list[TaskAttempt]:
        """Select the attempts to stop so that the job's waiting tasks fit, and hold their machines for the job.

        Production and starving jobs preempt without regard to objectives. Other jobs preempt only if they can then
        meet an objective that they would miss by waiting longer: under overload, preempting early, and for objectives
        that could no longer be met, made most machines fetch images instead of running tasks.

        Args:
            job: a waiting job.
            now: monotonic time.
            elastic_only: whether only elastic work may be stopped, as for jobs that have just been submitted.

        Returns:
            The attempts to stop; empty when stopping tasks would not help the job now.
        """
        if self.is_stopping_victims_for(job):
            return []  # the victims selected before have not ended yet
        elastic_victims = self._select_elastic_victims(job, now)
        if elastic_victims or elastic_only:
            return elastic_victims
        if job.spec.priority is Priority.PRODUCTION or self.objectives.is_starving(job, now):
            plan = self.planner.plan(job, now)
        else:
            plan = self._plan_for_objective(job, now)
        return self._hold_and_collect_victims(job, plan, now)

    def is_stopping_victims_for(self, job: Job) -> bool:
        """Whether tasks are being stopped on any machine that is held for the job."""
        return any(
            attempt.stop_grace_s is not None
            for name, hold in self.holds.by_machine.items()
            if hold.job_id == job.spec.id
            for attempt in self.job_table.attempts_on(name)
        )

    def _select_elastic_victims(self, job: Job, now: float) -> list[TaskAttempt]:
        """Select elastic tasks to stop so that a guaranteed gang can start; empty when they are not enough.

        Elastic tasks are stopped at once, since they use capacity only while it is idle. When they were preempted as
        late as other tasks (once the gang would otherwise have missed an objective) and not in their first seconds,
        gangs waited for a minute although machines were full of elastic tasks.
        """
        if job.spec.kind is not JobKind.GANG or not self.queue.is_guaranteed(job):
            return []
        if not self.policy.has_elastic_work():
            return []
        plan = self.planner.plan(job, now, elastic_only=True)
        return self._hold_and_collect_victims(job, plan, now) if plan.has_victims else []

    def _plan_for_objective(self, job: Job, now: float) -> PreemptionPlan:
        """Plan preemption that lets the job meet its next objective, unless there is still time to wait."""
        latest_start = self.objectives.latest_start(job, now, guaranteed=self.queue.is_guaranteed(job))
        if latest_start is None or not 0 <= latest_start - now <= self._planning_horizon(job):
            return PreemptionPlan()  # planning is expensive, and the plan would be discarded below
        plan = self.planner.plan(job, now)
        seconds_left = latest_start - now - self._stop_duration(plan)
        if plan.image_fetch_s(job.spec) > seconds_left:
            plan = self.planner.plan(job, now, max_image_fetch_s=seconds_left)
        if plan.image_fetch_s(job.spec) + self.inventory.health.lease_s < seconds_left:
            return PreemptionPlan()  # capacity may still become free without preemption
        return plan

    def _planning_horizon(self, job: Job) -> float:
        """Return how many seconds before its latest start the job may first need a plan."""
        return (
            self.inventory.health.lease_s
            + PLANNING_STOP_LATENCIES * self.stop_latency_s
            + PLANNING_IMAGE_FETCHES * self.scheduler.capacity.longest_image_fetch_s(job.spec)
        )

    def _stop_duration(self, plan: PreemptionPlan) -> float:
        """Return the seconds until a plan's victims have saved their checkpoints and freed their resources."""
        return self.stop_latency_s + plan.longest_save_s()

    def _hold_and_collect_victims(self, job: Job, plan: PreemptionPlan, now: float) -> list[TaskAttempt]:
        """Hold a plan's machines for the job and return the attempts to stop, with all members of their gangs.

        The holds last longer than the victims take to save their checkpoints: when they expired earlier, other jobs
        used the freed capacity, and the job, after waiting in vain, fetched its image on another machine.
        """
        expires_at = now + self._stop_duration(plan) + HOLD_MARGIN_STOP_LATENCIES * self.stop_latency_s
        victims: dict[tuple[str, int], TaskAttempt] = {}
        for entry in plan.entries:
            self.holds.hold(entry.machine, job, expires_at)
            for victim in entry.victims:
                victims.update({attempt.key: attempt for attempt in victim.gang_attempts()})
        return list(victims.values())
