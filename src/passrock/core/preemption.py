"""Preemption: which running work ends so that a waiting job of higher standing fits."""

from __future__ import annotations

import math
from collections.abc import Iterable

from passrock.core.job import Job, TaskAttempt
from passrock.core.job_table import JobTable
from passrock.core.machine import Machine
from passrock.core.messages import TaskState
from passrock.core.model import ZERO_RESOURCES, JobKind, Priority
from passrock.core.objectives import fetch_time
from passrock.core.scheduler import ARRAY_BATCH, Hold, Scheduler

COUNTS_S = 30.0  # a start counts for its user once the task was left to run for this long


class Preemption:
    """Chooses victims for jobs that the last placement pass left waiting, in the state which that pass left."""

    def __init__(self, scheduler: Scheduler) -> None:
        self.scheduler = scheduler
        self.job_table = scheduler.job_table
        self.inventory = scheduler.inventory
        self.objectives = scheduler.objectives
        self.patience = scheduler.patience

    def settled(self, victim: TaskAttempt, now: float) -> bool:
        """Whether a task, or its whole gang, has run long enough for its start to count.

        Stopping a job that is still fetching, or has just begun, gave one job its start by taking those
        of several others; the room they had fetched their images for was fetched for again.
        """
        mates = victim.job.attempts() if victim.job.spec.kind is JobKind.GANG else [victim]
        return all(attempt.running_since is not None and now - attempt.running_since > COUNTS_S for attempt in mates)

    def may_stop(self, victim: TaskAttempt, job: Job, now: float) -> bool:
        """PROTOCOL's reasons: higher priority, or work beyond another team's guarantee."""
        other = victim.job
        if other.spec.id in self.scheduler.protected:
            return False
        if other is job or other.cancelled or self.scheduler.rank(job) <= self.scheduler.rank(other):
            return False
        at_once = job.spec.priority is Priority.PRODUCTION or self.revocable(victim, job)
        if not at_once and not self.settled(victim, now):
            return False
        if other.spec.priority < job.spec.priority:
            return True
        beyond = job.spec.id in self.scheduler.guaranteed and other.spec.id not in self.scheduler.guaranteed
        return beyond and other.spec.team != job.spec.team

    def is_elastic(self, job: Job) -> bool:
        """Whether a job uses what others leave: low-priority work of a team without a guarantee (RAS §3.4)."""
        team = self.scheduler.teams.get(job.spec.team)
        return team is not None and not team.has_guarantee and job.spec.priority is Priority.LOW

    def revocable(self, victim: TaskAttempt, job: Job) -> bool:
        """Whether a task gives way to a guaranteed job as soon as that needs the room."""
        return job.spec.id in self.scheduler.guaranteed and self.is_elastic(victim.job)

    def has_elastic_work(self) -> bool:
        """Whether any team without a guarantee uses machines at the moment."""
        return any(
            not team.has_guarantee and self.job_table.usage.get(team.name, ZERO_RESOURCES) != ZERO_RESOURCES
            for team in self.scheduler.teams.values()
        )

    def revoke(self, job: Job, now: float) -> list[TaskAttempt]:
        """Elastic tasks whose end lets a guaranteed gang start; empty when they are not enough.

        What was lent for idle time is revoked at once. It used to be displaced as late as other work, when
        waiting longer would have missed an aim, and not at all in its first seconds: gangs waited for a
        minute beside machines full of it.
        """
        if (
            job.spec.kind is not JobKind.GANG
            or job.spec.id not in self.scheduler.guaranteed
            or not self.has_elastic_work()
        ):
            return []
        plan = self.plan_room(job, now, math.inf, elastic_only=True)
        return self.displace(job, plan, now) if any(stopped for _, stopped in plan) else []

    def loss(self, victim: TaskAttempt, now: float) -> float:
        """Seconds of work lost when this task is stopped, over its whole gang."""
        spec = victim.job.spec
        saves = spec.checkpoint_interval_s > 0 and victim.state is TaskState.RUNNING
        lost = spec.checkpoint_save_s if saves else now - victim.placed_at  # a fetch that is broken off is lost too
        machine = self.inventory.machines.get(victim.machine)
        restart = fetch_time(spec, machine.type) if machine is not None else 0.0
        count = victim.job.attempt_count if spec.kind is JobKind.GANG else 1
        return (lost + restart) * count * max(1.0, spec.resources.gpus)

    def displaces(self, job: Job) -> bool:
        """Whether the job's class of standing displaces others at all."""
        return job.spec.priority >= Priority.HIGH or job.spec.id in self.scheduler.guaranteed

    def make_room(self, job: Job, now: float, early: bool = False) -> list[TaskAttempt]:
        """Choose victims so that the job's waiting tasks fit; returns the attempts to stop.

        While it is ``early`` for the job, only elastic work is displaced for it. Production takes room at
        once. Other work is displaced only when that lets the job meet an aim that waiting would miss: under
        overload, displacing early and for aims that were lost already made most machines fetch images
        instead of running tasks.
        """
        spec = job.spec
        overdue = self.objectives.overdue(job, now)
        if self.stopping_for(job):
            return []  # earlier victims are still on their way out
        revoked = self.revoke(job, now)
        if revoked or early:
            return revoked
        if not overdue and spec.priority is not Priority.PRODUCTION:
            left = self.objectives.due(job, now, spec.id in self.scheduler.guaranteed) - now
            if (
                left < 0
                or left > self.inventory.health.lease_s + 4 * self.patience + 2 * self.scheduler.longest_fetch(job)
            ):
                return []  # a plan, dear to make, would be dropped below
        plan = self.plan_room(job, now, math.inf)
        if not overdue and spec.priority is not Priority.PRODUCTION:
            left = self.objectives.due(job, now, spec.id in self.scheduler.guaranteed) - now - self.delay_of(plan)
            if fetch_of(job, plan) > left:
                plan = self.plan_room(job, now, left)
            if fetch_of(job, plan) + self.inventory.health.lease_s < left:
                return []  # room may still come by itself
        return self.displace(job, plan, now)

    def stopping_for(self, job: Job) -> bool:
        """Whether work is on its way out on a machine held for the job."""
        return any(
            attempt.stop_grace_s is not None
            for name, hold in self.scheduler.holds.items()
            if hold.job == job.spec.id
            for attempt in self.job_table.attempts_on(name)
        )

    def delay_of(self, plan: list[tuple[Machine, list[TaskAttempt]]]) -> float:
        """Seconds until the victims of a plan have saved and are gone."""
        saves = [
            attempt.job.spec.checkpoint_save_s
            for _, stopped in plan
            for attempt in stopped
            if attempt.job.spec.checkpoint_interval_s > 0
        ]
        return self.patience + max(saves, default=0.0)

    def displace(self, job: Job, plan: list[tuple[Machine, list[TaskAttempt]]], now: float) -> list[TaskAttempt]:
        """Hold a plan's machines for the job; the attempts to stop there, gangs whole.

        The hold outlasts the victims' saving: a shorter one let others take the room, and the job
        began to fetch elsewhere after having waited in vain.
        """
        until = now + self.delay_of(plan) + 2 * self.patience
        victims: dict[tuple[str, int], TaskAttempt] = {}
        for machine, stopped in plan:
            self.scheduler.holds[machine.name] = Hold(job.spec.id, until)
            for attempt in stopped:
                mates = attempt.job.attempts() if attempt.job.spec.kind is JobKind.GANG else [attempt]
                victims.update({mate.key: mate for mate in mates})
        return list(victims.values())

    def plan_room(
        self, job: Job, now: float, most_fetch: float, elastic_only: bool = False
    ) -> list[tuple[Machine, list[TaskAttempt]]]:
        """Machines for the job's waiting tasks, with the victims on each; empty when there are none."""
        spec = job.spec
        wanted = spec.tasks if spec.kind is JobKind.GANG else len(job.next_waiting(ARRAY_BATCH))
        while wanted > 0 and not self.scheduler.allowed_now(job, wanted):
            wanted = 0 if spec.kind is JobKind.GANG else wanted - 1
        counts = {} if spec.kind is JobKind.GANG else job.zone_counts(self.inventory)
        best: tuple[float, list[tuple[Machine, list[TaskAttempt]]]] | None = None
        zones: Iterable[str | None] = [None]
        if spec.single_zone:
            zones = [self.scheduler.fixed_zone(job, counts)] if counts else self.scheduler.gang_zones(job)
        for zone in zones if wanted else ():
            plan = self.cheapest(job, zone, dict(counts), wanted, now, most_fetch, elastic_only)
            whole = spec.kind is not JobKind.GANG or len(plan[1]) == wanted
            if plan[1] and whole and (best is None or plan[0] < best[0]):
                best = plan
        return best[1] if best is not None else []

    def cheapest(
        self,
        job: Job,
        zone: str | None,
        counts: dict[str, int],
        wanted: int,
        now: float,
        most_fetch: float,
        elastic_only: bool,
    ) -> tuple[float, list[tuple[Machine, list[TaskAttempt]]]]:
        """Machines with the victims on each, for as many of ``wanted`` tasks as can be had."""
        spec = job.spec
        options = []
        for machine in self.scheduler.usable:
            if not spec.allows(machine.type.name, machine.zone, machine.spot) or not self.scheduler.free_for(
                job, machine
            ):
                continue
            if (zone is not None and machine.zone != zone) or machine.name in job.avoided_machines:
                continue
            if machine.image_fetch_time(spec) > most_fetch:
                continue
            found = self.victims(job, machine, now, elastic_only)
            if found is not None:
                options.append((found[0] + machine.image_fetch_time(spec), machine.name, machine, found[1]))
        options.sort(key=lambda option: option[:2])
        cap = spec.zone_cap()
        total = 0.0
        chosen: list[tuple[Machine, list[TaskAttempt]]] = []
        for price, _, machine, stopped in options:
            if len(chosen) == wanted:
                break
            if spec.spread_zones and counts.get(machine.zone, 0) >= cap:
                continue
            counts[machine.zone] = counts.get(machine.zone, 0) + 1
            total += price
            chosen.append((machine, stopped))
        return total, chosen

    def victims(
        self, job: Job, machine: Machine, now: float, elastic_only: bool
    ) -> tuple[float, list[TaskAttempt]] | None:
        """The cheapest attempts on a machine whose end lets one task of the job fit."""
        resources = job.spec.resources
        room = self.scheduler.rooms.of(machine)
        if resources.fits(room):
            return 0.0, []
        attempts = self.job_table.attempts_on(machine.name)
        for attempt in attempts:
            if attempt.stop_grace_s is not None:  # on its way out already
                room = room + attempt.job.spec.resources
        stoppable = [
            attempt
            for attempt in attempts
            if attempt.stop_grace_s is None
            and (not elastic_only or self.is_elastic(attempt.job))
            and self.may_stop(attempt, job, now)
        ]
        most = room
        for attempt in stoppable:
            most = most + attempt.job.spec.resources
        if not resources.fits(most):
            return None
        choice = [
            (self.scheduler.rank(attempt.job), self.loss(attempt, now), attempt.key, attempt) for attempt in stoppable
        ]
        choice.sort(key=lambda one: one[:3])
        total = 0.0
        stopped: list[TaskAttempt] = []
        for _, loss, _, attempt in choice:
            if resources.fits(room):
                break
            room = room + attempt.job.spec.resources
            total += loss
            stopped.append(attempt)
        return total, stopped


def fetch_of(job: Job, plan: list[tuple[Machine, list[TaskAttempt]]]) -> float:
    """The longest wait for the job's image among the machines of a plan."""
    return max((machine.image_fetch_time(job.spec) for machine, _ in plan), default=0.0)


def stop_softly(attempt: TaskAttempt, patience: float) -> None:
    """Ask a task to end, with time to save where it has checkpoints."""
    if attempt.stop_grace_s is None:
        can_save = attempt.job.spec.checkpoint_interval_s > 0 and attempt.state is TaskState.RUNNING
        attempt.stop_grace_s = max(patience, attempt.job.spec.checkpoint_save_s) if can_save else 0.0


def drain(job_table: JobTable, machine: str) -> None:
    """Let everything on a machine save and end, gangs as a whole."""
    for attempt in list(job_table.attempts_on(machine)):
        for mate in list(attempt.job.attempts()) if attempt.job.spec.kind is JobKind.GANG else [attempt]:
            stop_softly(mate, mate.job.spec.checkpoint_save_s)
