"""Check-ins of workers: what the leader answers, and how long an answer waits for new launches."""

from __future__ import annotations

from collections.abc import Awaitable

from passrock.controller.binding_rounds import BindingRounds
from passrock.controller.commit_queue import CommitQueue
from passrock.controller.evaluations import Evaluations
from passrock.controller.leadership import Leadership
from passrock.core.inventory import MachineInventory
from passrock.core.jobs import JobTable
from passrock.core.machine import Machine
from passrock.core.machine_catalog import MachineCatalog
from passrock.core.messages import Command, WorkerHeartbeat
from passrock.core.preemption import drain
from passrock.core.reconciler import Reconciler
from passrock.io.clock import monotonic_time
from passrock.logs import info
from passrock.settings import Settings


class HeartbeatHandler:
    """Answers check-ins once the leader's records are loaded."""

    def __init__(
        self,
        settings: Settings,
        leadership: Leadership,
        job_table: JobTable,
        inventory: MachineInventory,
        catalog: MachineCatalog,
        commit_queue: CommitQueue,
        rounds: BindingRounds,
        evaluations: Evaluations,
    ) -> None:
        self.settings = settings
        self.leadership = leadership
        self.job_table = job_table
        self.inventory = inventory
        self.catalog = catalog
        self.commit_queue = commit_queue
        self.rounds = rounds
        self.evaluations = evaluations
        self.reconciler = Reconciler(job_table, inventory, leadership.term)

    def handle(self, heartbeat: WorkerHeartbeat) -> list[Command] | Awaitable[list[Command] | None] | None:
        """Commands for a worker, whose lease is renewed by the answer; None when it must get no answer.

        An unchanged report takes a short path: placing is the work of evaluations. When the report makes room,
        its answer waits for the next evaluation and commit, for a small part of the report interval, so that
        what is placed there goes into it.
        """
        now = monotonic_time()
        kind = self.catalog.types.get(heartbeat.type)
        if kind is None:
            return None  # nothing is known of such a machine's tasks: no renewal that isn't noted
        known = self.inventory.machines.get(heartbeat.machine)
        was_usable = known is not None and known.heartbeat_received and known.acknowledged_term
        machine = self.inventory.observe(heartbeat, kind, now)
        if machine is None:
            return None  # a late copy, or of a machine that is gone: an answer could only renew by mistake
        commands = self.reconciler.handle(machine, heartbeat, now, launch=self.leadership.may_launch())
        if self.reconciler.changed:
            self._log_changes(machine, now)
            self.evaluations.request()
        if self.job_table.uncommitted or self.job_table.finalizing:
            self.commit_queue.wake.set()
        if machine.deleting:
            return None  # its deletion may take long: unanswered, its lease ends as well
        machine.last_answer_at = now
        if machine.reclaim_at is not None:
            drain(self.job_table, machine.name)
        if machine.acknowledged_term and not was_usable:
            self.rounds.bring_forward()
            info("machine_registered", machine=machine.name, zone=machine.zone, spot=machine.spot)
            self.evaluations.request()
        attempts = self.job_table.attempts_by_machine.get(machine.name)
        if self.reconciler.changed or (
            attempts is not None
            and any(attempt.launch_sequence is None and attempt.placed_this_term for attempt in attempts.values())
        ):
            return self._with_launches(machine, heartbeat, commands, self.evaluations.count)
        return commands

    def _log_changes(self, machine: Machine, now: float) -> None:
        for attempt in self.reconciler.begun:
            after = round(now - attempt.placed_at, 1) if attempt.placed_this_term else "?"
            info("task_started", job=attempt.job.spec.id, task=attempt.index, machine=machine.name, after_s=after)
        for attempt, why in self.reconciler.exits:
            job = attempt.job.spec.id
            info(
                "task_exited",
                job=job,
                task=attempt.index,
                attempt=attempt.number,
                machine=machine.name,
                reason=why,
            )

    async def _with_launches(
        self, machine: Machine, heartbeat: WorkerHeartbeat, commands: list[Command], before: int
    ) -> list[Command] | None:
        end = monotonic_time() + self.settings.report_s / 4
        while monotonic_time() < end:
            attempts = self.job_table.attempts_by_machine.get(machine.name, {}).values()
            if self.evaluations.count > before and all(map(self.job_table.attempt_committed, attempts)):
                break
            if not await self.evaluations.progress(end - monotonic_time()):
                break
        if machine.deleting or self.inventory.machines.get(machine.name) is not machine:
            return None
        if self.leadership.may_launch():
            commands += self.reconciler.launches(machine, heartbeat)
        machine.last_answer_at = monotonic_time()
        return commands
