"""Workers' heartbeats at the leader: the commands in the answer, and how long it waits for new launches."""

from __future__ import annotations

from collections.abc import Awaitable

from passrock.controller.binding_rounds import BindingRounds
from passrock.controller.commit_queue import CommitQueue
from passrock.controller.evaluations import EvaluationSignals
from passrock.controller.leadership import Leadership
from passrock.controller.renewal_policy import RenewalPolicy
from passrock.core.graceful_stop import drain_machine
from passrock.core.inventory import MachineInventory
from passrock.core.job_table import JobTable
from passrock.core.machine import Machine
from passrock.core.machine_catalog import MachineCatalog
from passrock.core.messages import Command, WorkerHeartbeat
from passrock.core.reconciler import Reconciler, ReconciliationResult
from passrock.io.clock import monotonic_time
from passrock.logs import info
from passrock.settings import Settings

MAX_ANSWER_DELAY_HEARTBEATS = 0.25  # the longest wait for an evaluation and its commit


class HeartbeatHandler:
    """Answers heartbeats once the leader's records are loaded."""

    def __init__(
        self,
        settings: Settings,
        leadership: Leadership,
        renewal: RenewalPolicy,
        job_table: JobTable,
        inventory: MachineInventory,
        catalog: MachineCatalog,
        commit_queue: CommitQueue,
        binding_rounds: BindingRounds,
        evaluations: EvaluationSignals,
    ) -> None:
        self.settings = settings
        self.renewal = renewal
        self.job_table = job_table
        self.inventory = inventory
        self.catalog = catalog
        self.commit_queue = commit_queue
        self.binding_rounds = binding_rounds
        self.evaluations = evaluations
        self.reconciler = Reconciler(job_table, inventory, leadership.term)

    def handle(self, heartbeat: WorkerHeartbeat) -> list[Command] | Awaitable[list[Command] | None] | None:
        """Return the commands for a worker, whose lease the answer renews; None if the worker must get none.

        An unchanged heartbeat is answered at once, since tasks are placed by evaluations. When the heartbeat frees
        capacity, the answer waits for the next evaluation and commit, for a small part of the heartbeat interval, so
        that it includes the launches on that capacity.
        """
        now = monotonic_time()
        machine_type = self.catalog.types.get(heartbeat.type)
        if machine_type is None:
            # its tasks can't be reconciled, and every renewal must be recorded in the inventory
            return None
        known_machine = self.inventory.machines.get(heartbeat.machine)
        was_usable = (
            known_machine is not None and known_machine.heartbeat_received and known_machine.acknowledged_term
        )
        machine = self.inventory.observe(heartbeat, machine_type, now)
        if machine is None:
            return None  # a late copy, or from a deleted machine: an answer would renew its lease by mistake
        may_launch = self.renewal.may_launch()
        result = self.reconciler.handle(machine, heartbeat, now, may_launch=may_launch)
        if result.changed:
            _log_changes(result, machine, now)
            self.evaluations.request()
        if self.job_table.uncommitted or self.job_table.finalizing:
            self.commit_queue.commit_requested.set()
        if machine.deleting:
            return None  # the deletion may take long; without answers the lease expires too
        machine.last_answer_at = now
        if machine.reclaim_at is not None:
            drain_machine(self.job_table, machine.name)
        if machine.acknowledged_term and not was_usable:
            self._on_machine_registered(machine)
        if result.changed or self._awaits_launch(machine, now):
            return self._with_newly_committed_launches(
                machine, heartbeat, result.commands, self.evaluations.finished_count
            )
        return result.commands

    def _on_machine_registered(self, machine: Machine) -> None:
        self.binding_rounds.bring_forward()
        info("machine_registered", machine=machine.name, zone=machine.zone, spot=machine.spot)
        self.evaluations.request()

    def _awaits_launch(self, machine: Machine, now: float) -> bool:
        attempts = self.job_table.attempts_by_machine.get(machine.name)
        return attempts is not None and any(
            attempt.launch_sequence is None and attempt.placed_this_term and now >= attempt.launch_not_before
            for attempt in attempts.values()
        )

    async def _with_newly_committed_launches(
        self, machine: Machine, heartbeat: WorkerHeartbeat, commands: list[Command], evaluations_before: int
    ) -> list[Command] | None:
        """Return the commands and the launches that a further evaluation and its commit add before the deadline."""
        deadline = monotonic_time() + self.settings.report_s * MAX_ANSWER_DELAY_HEARTBEATS
        while monotonic_time() < deadline:
            attempts = self.job_table.attempts_on(machine.name)
            if self.evaluations.finished_count > evaluations_before and all(
                attempt.is_committed for attempt in attempts
            ):
                break
            if not await self.evaluations.wait_for_progress(deadline - monotonic_time()):
                break
        if machine.deleting or self.inventory.machines.get(machine.name) is not machine:
            return None
        if self.renewal.may_launch():
            commands += self.reconciler.newly_committed_launches(machine, heartbeat, monotonic_time())
        machine.last_answer_at = monotonic_time()
        return commands


def _log_changes(result: ReconciliationResult, machine: Machine, now: float) -> None:
    for attempt in result.started:
        after_s = round(now - attempt.placed_at, 1) if attempt.placed_this_term else "?"
        info("task_started", job=attempt.job.spec.id, task=attempt.index, machine=machine.name, after_s=after_s)
    for task_exit in result.exits:
        info(
            "task_exited",
            job=task_exit.attempt.job.spec.id,
            task=task_exit.attempt.index,
            attempt=task_exit.attempt.number,
            machine=machine.name,
            reason=task_exit.reason + ("+saved" if task_exit.checkpoint_saved else ""),
        )
