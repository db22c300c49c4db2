"""Preemption plans: the machines on which a job would fit, and the cheapest victims on each."""

from __future__ import annotations

import math

import msgspec

from passrock.core.job import Job, TaskAttempt
from passrock.core.machine import Machine
from passrock.core.model import JobKind, JobSpec
from passrock.core.objectives import image_fetch_time_s
from passrock.core.preemption_policy import PreemptionPolicy
from passrock.core.scheduler import Scheduler
from passrock.core.task_placement import MAX_TASKS_PER_PASS
from passrock.core.zone_constraint import ZoneConstraint


class VictimChoice(msgspec.Struct, frozen=True):
    """Attempts to stop on a machine so that one task fits, and the seconds of work that are lost."""

    loss_s: float
    victims: list[TaskAttempt]


class PlannedMachine(msgspec.Struct, frozen=True):
    """A machine for one task of the job, with the attempts to stop there (none if the task already fits)."""

    machine: Machine
    victims: list[TaskAttempt]
    cost_s: float  # the work lost and the time to fetch the image

    def sort_key(self) -> tuple[float, str]:
        """Return the key that sorts by cost, then by name."""
        return self.cost_s, self.machine.name


class PreemptionPlan(msgspec.Struct, frozen=True):
    """Machines for the waiting tasks of a job; each entry is for one task."""

    entries: list[PlannedMachine] = msgspec.field(default_factory=list)
    cost_s: float = 0.0

    @property
    def has_victims(self) -> bool:
        """Whether the plan stops any attempts."""
        return any(entry.victims for entry in self.entries)

    def image_fetch_s(self, spec: JobSpec) -> float:
        """Return the longest time to fetch the job's image on any of the plan's machines."""
        return max((entry.machine.image_fetch_time_s(spec) for entry in self.entries), default=0.0)

    def longest_save_s(self) -> float:
        """Return the longest time that a victim takes to save its checkpoint."""
        specs = (victim.job.spec for entry in self.entries for victim in entry.victims)
        return max((spec.checkpoint_save_s for spec in specs if spec.checkpoint_interval_s > 0), default=0.0)


class PreemptionPlanner:
    """Finds the cheapest plan based on the state after the last scheduling pass, which it doesn't change."""

    def __init__(self, scheduler: Scheduler, policy: PreemptionPolicy) -> None:
        self.policy = policy
        self.job_table = scheduler.job_table
        self.inventory = scheduler.inventory
        self.queue = scheduler.queue
        self.quotas = scheduler.quotas
        self.capacity = scheduler.capacity
        self.holds = scheduler.holds

    def plan(
        self, job: Job, now: float, *, max_image_fetch_s: float = math.inf, elastic_only: bool = False
    ) -> PreemptionPlan:
        """Return the cheapest plan for the job's waiting tasks.

        Args:
            job: the waiting job. The plan contains all tasks of a gang, or as many tasks of another job as possible.
            now: monotonic time.
            max_image_fetch_s: machines on which fetching the image would take longer are left out.
            elastic_only: whether only elastic work may be stopped.

        Returns:
            The plan; it has no entries when the job can't be placed.
        """
        best = PreemptionPlan()
        wanted = self._allowed_count(job)
        if wanted == 0:
            return best
        is_gang = job.spec.kind is JobKind.GANG
        zones = ZoneConstraint.of(job, self.inventory)
        for zone in zones.zones_to_try(self.capacity.zones):
            options = self._options(job, zone, now, max_image_fetch_s=max_image_fetch_s, elastic_only=elastic_only)
            plan = _cheapest_plan(options, wanted, zones.copy())
            suffices = len(plan.entries) == wanted if is_gang else bool(plan.entries)
            if suffices and (not best.entries or plan.cost_s < best.cost_s):
                best = plan
        return best

    def _allowed_count(self, job: Job) -> int:
        """Return how many waiting tasks the quota allows, up to the limit of a pass; for a gang all or none."""
        if job.spec.kind is JobKind.GANG:
            return job.spec.task_count if self.quotas.allows(job, job.spec.task_count) else 0
        count = len(job.next_waiting_indexes(MAX_TASKS_PER_PASS))
        while count > 0 and not self.quotas.allows(job, count):
            count -= 1
        return count

    def _options(
        self, job: Job, zone: str | None, now: float, *, max_image_fetch_s: float, elastic_only: bool
    ) -> list[PlannedMachine]:
        """Return all machines on which a task of the job would fit after preemption, cheapest first."""
        spec = job.spec
        options = []
        for machine in self.capacity.schedulable:
            if not spec.allows(machine.type.name, machine.zone, spot=machine.spot):
                continue
            if not self.holds.allows(job, machine):
                continue
            if (zone is not None and machine.zone != zone) or machine.name in job.avoided_machines:
                continue
            image_fetch_s = machine.image_fetch_time_s(spec)
            if image_fetch_s > max_image_fetch_s:
                continue
            choice = self._choose_victims(job, machine, now, elastic_only=elastic_only)
            if choice is not None:
                options.append(PlannedMachine(machine, choice.victims, choice.loss_s + image_fetch_s))
        return sorted(options, key=PlannedMachine.sort_key)

    def _choose_victims(self, job: Job, machine: Machine, now: float, *, elastic_only: bool) -> VictimChoice | None:
        """Choose attempts to stop, lowest rank and least loss first, until one task fits; None if it can't fit."""
        resources = job.spec.resources
        free = self.capacity.free_on(machine)
        if resources.fits(free):
            return VictimChoice(0.0, [])
        attempts = self.job_table.attempts_on(machine.name)
        for attempt in attempts:
            if attempt.stop_grace_s is not None:  # is already being stopped
                free = free + attempt.job.spec.resources
        stoppable = [
            attempt
            for attempt in attempts
            if attempt.stop_grace_s is None
            and (not elastic_only or self.policy.is_elastic(attempt.job))
            and self.policy.may_preempt(job, attempt, now)
        ]
        obtainable = free
        for attempt in stoppable:
            obtainable = obtainable + attempt.job.spec.resources
        if not resources.fits(obtainable):
            return None
        total_loss = 0.0
        victims: list[TaskAttempt] = []
        # The keys of attempts are unique, so that sorting never compares the attempts themselves.
        ranked = [
            (self.queue.rank(attempt.job), self._lost_work_s(attempt, now), attempt.key, attempt)
            for attempt in stoppable
        ]
        for _, loss_s, _, attempt in sorted(ranked):
            if resources.fits(free):
                break
            free = free + attempt.job.spec.resources
            total_loss += loss_s
            victims.append(attempt)
        return VictimChoice(total_loss, victims)

    def _lost_work_s(self, victim: TaskAttempt, now: float) -> float:
        """Return the seconds of work lost when the task and its gang are stopped, weighted by GPUs."""
        spec = victim.job.spec
        # Without a checkpoint, all progress since the placement is lost, including that of an image fetch.
        lost = spec.checkpoint_save_s if victim.can_save_checkpoint else now - victim.placed_at
        machine = self.inventory.machines.get(victim.machine)
        restart = image_fetch_time_s(spec, machine.type) if machine is not None else 0.0
        count = victim.job.attempt_count if spec.kind is JobKind.GANG else 1
        return (lost + restart) * count * max(1.0, spec.resources.gpus)


def _cheapest_plan(options: list[PlannedMachine], wanted: int, zones: ZoneConstraint) -> PreemptionPlan:
    """Return a plan with the first ``wanted`` options that the zone constraint allows, or all if they are fewer."""
    entries = zones.select(options, wanted)
    return PreemptionPlan(entries, sum(entry.cost_s for entry in entries))
