"""Preemption: which running tasks end so that a waiting job of higher rank fits, and when."""

from __future__ import annotations

from passrock.core.job import Job, TaskAttempt
from passrock.core.model import JobKind, Priority
from passrock.core.preemption_planner import PreemptionPlan, PreemptionPlanner
from passrock.core.preemption_policy import PreemptionPolicy
from passrock.core.scheduler import Scheduler

HOLD_MARGIN_STOP_LATENCIES = 2  # a hold outlasts the victims by so many stop latencies
# A plan may start this long before its job's latest start: stop latencies, and fetches of the job's image.
PLANNING_STOP_LATENCIES = 4
PLANNING_IMAGE_FETCHES = 2


class Preemption:
    """Selects victims for jobs that the last scheduling pass left waiting, using the state that this pass left."""

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
        """Choose the attempts to stop so that the job's waiting tasks fit, and hold their machines for it.

        Production preempts at once. Other work preempts only when that lets the job meet an objective that
        waiting would miss: under overload, preempting early and for objectives that could not be met any more made
        most machines fetch images instead of running tasks.

        Args:
            job: a waiting job.
            now: monotonic time.
            elastic_only: whether only elastic work may be stopped for the job, as it has just been submitted.

        Returns:
            The attempts to stop; none when stopping work would not serve the job now.
        """
        if self.is_stopping_victims_for(job):
            return []  # one set of victims at a time
        elastic_victims = self._select_elastic_victims(job, now)
        if elastic_victims or elastic_only:
            return elastic_victims
        if job.spec.priority is Priority.PRODUCTION or self.objectives.is_starving(job, now):
            plan = self.planner.plan(job, now)
        else:
            plan = self._plan_for_objective(job, now)
        return self._hold_and_collect_victims(job, plan, now)

    def is_stopping_victims_for(self, job: Job) -> bool:
        """Whether tasks are being stopped on a machine held for the job."""
        return any(
            attempt.stop_grace_s is not None
            for name, hold in self.holds.by_machine.items()
            if hold.job_id == job.spec.id
            for attempt in self.job_table.attempts_on(name)
        )

    def _select_elastic_victims(self, job: Job, now: float) -> list[TaskAttempt]:
        """Elastic tasks whose end lets a guaranteed gang start; empty when they are not enough.

        Capacity that was lent while idle is revoked at once. Elastic tasks used to be preempted as late as others,
        when waiting longer would have missed an objective, and not at all in their first seconds: gangs waited for
        a minute although machines were full of elastic tasks.
        """
        if job.spec.kind is not JobKind.GANG or not self.queue.is_guaranteed(job):
            return []
        if not self.policy.has_elastic_work():
            return []
        plan = self.planner.plan(job, now, elastic_only=True)
        return self._hold_and_collect_victims(job, plan, now) if plan.has_victims else []

    def _plan_for_objective(self, job: Job, now: float) -> PreemptionPlan:
        """A plan that lets the job meet its next objective, when waiting longer would miss it."""
        latest_start = self.objectives.latest_start(job, now, guaranteed=self.queue.is_guaranteed(job))
        if latest_start is None or not 0 <= latest_start - now <= self._planning_horizon(job):
            return PreemptionPlan()  # a plan, which is expensive to make, would be discarded below
        plan = self.planner.plan(job, now)
        seconds_left = latest_start - now - self._stop_duration(plan)
        if plan.image_fetch_s(job.spec) > seconds_left:
            plan = self.planner.plan(job, now, max_image_fetch_s=seconds_left)
        if plan.image_fetch_s(job.spec) + self.inventory.health.lease_s < seconds_left:
            return PreemptionPlan()  # capacity may still become free by itself
        return plan

    def _planning_horizon(self, job: Job) -> float:
        """Seconds before its latest start from which the job may need a plan."""
        return (
            self.inventory.health.lease_s
            + PLANNING_STOP_LATENCIES * self.stop_latency_s
            + PLANNING_IMAGE_FETCHES * self.scheduler.capacity.longest_image_fetch_s(job.spec)
        )

    def _stop_duration(self, plan: PreemptionPlan) -> float:
        """Seconds until the victims of a plan have saved and freed their resources."""
        return self.stop_latency_s + plan.longest_save_s()

    def _hold_and_collect_victims(self, job: Job, plan: PreemptionPlan, now: float) -> list[TaskAttempt]:
        """Hold a plan's machines for the job; the attempts to stop there, gangs as a whole.

        The hold outlasts the victims' saving: after a shorter one others used the capacity, and the job, having
        waited in vain, began to fetch its image elsewhere.
        """
        expires_at = now + self._stop_duration(plan) + HOLD_MARGIN_STOP_LATENCIES * self.stop_latency_s
        victims: dict[tuple[str, int], TaskAttempt] = {}
        for entry in plan.entries:
            self.holds.hold(entry.machine, job, expires_at)
            for victim in entry.victims:
                victims.update({attempt.key: attempt for attempt in victim.gang_attempts()})
        return list(victims.values())
