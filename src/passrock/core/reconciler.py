"""Reconciliation of a worker's heartbeat with the job table: what has changed, and what to command the worker."""

from __future__ import annotations

import msgspec

from passrock.core.inventory import MachineInventory
from passrock.core.job import TaskAttempt, TaskKey
from passrock.core.job_table import JobTable
from passrock.core.machine import Machine
from passrock.core.messages import Command, CommandKind, ExitReason, TaskState, TaskStatus, WorkerHeartbeat
from passrock.core.model import ZERO_RESOURCES, Resources
from passrock.core.task_exits import record_exit


class TaskExit(msgspec.Struct, frozen=True):
    """The exit of a recorded attempt; ``saved`` says whether it has left a checkpoint."""

    attempt: TaskAttempt
    reason: ExitReason
    saved: bool


class ReconciliationResult(msgspec.Struct):
    """What a heartbeat led to.

    Attributes:
        commands: for the worker.
        changed: whether the heartbeat changed anything that matters to scheduling.
        exits: attempts that the heartbeat lists as exited.
        started: attempts that are listed as running for the first time in this term.
    """

    commands: list[Command] = msgspec.field(default_factory=list)
    changed: bool = False
    exits: list[TaskExit] = msgspec.field(default_factory=list)
    started: list[TaskAttempt] = msgspec.field(default_factory=list)


class _Evidence(msgspec.Struct, frozen=True):
    """A heartbeat, when it came, and whether this leader may launch tasks now."""

    machine: Machine
    heartbeat: WorkerHeartbeat
    now: float
    may_launch: bool
    is_current_term: bool  # the worker has received an answer of this leader


class Reconciler:
    """Turns heartbeats into changes of the job table and commands."""

    def __init__(self, job_table: JobTable, inventory: MachineInventory, term: int) -> None:
        self.job_table = job_table
        self.inventory = inventory
        self.term = term

    def handle(
        self, machine: Machine, heartbeat: WorkerHeartbeat, now: float, *, may_launch: bool
    ) -> ReconciliationResult:
        """Reconcile a heartbeat that the inventory has just recorded."""
        result = ReconciliationResult()
        evidence = _Evidence(machine, heartbeat, now, may_launch, heartbeat.token == self.term)
        recorded = self.job_table.attempts_by_machine.get(machine.name, {})  # shrinks as attempts end
        self._drop_earlier_incarnations(recorded, evidence, result)
        fetching = self._reconcile_listed(recorded, evidence, result)
        self._reconcile_unlisted(recorded, fetching, evidence, result)
        machine.fetching = {image: gb for image, gb in fetching.items() if image not in machine.images}
        self.job_table.recompute_usage(machine, now)
        return result

    def late_launches(self, machine: Machine, heartbeat: WorkerHeartbeat) -> list[Command]:
        """Starts whose records were committed while the answer to this heartbeat waited."""
        commands = []
        for attempt in self.job_table.attempts_on(machine.name):
            if (
                attempt.launch_sequence is None
                and not attempt.reported
                and attempt.stop_grace_s is None
                and attempt.incarnation == heartbeat.incarnation
                and not _is_unwanted(attempt, machine)
                and attempt.is_committed
            ):
                commands.append(_launch(attempt, heartbeat))
        return commands

    # -- what the heartbeat lists -----------------------------------------------------------

    def _drop_earlier_incarnations(
        self, recorded: dict[TaskKey, TaskAttempt], evidence: _Evidence, result: ReconciliationResult
    ) -> None:
        """A later incarnation of the worker has forgotten every task of the earlier ones."""
        incarnation = evidence.heartbeat.incarnation
        for attempt in list(recorded.values()):
            if attempt.incarnation < incarnation:
                self._lose(attempt, evidence, result)

    def _reconcile_listed(
        self, recorded: dict[TaskKey, TaskAttempt], evidence: _Evidence, result: ReconciliationResult
    ) -> dict[str, float]:
        """Reconcile the listed tasks; returns the images that are being fetched, with their size in GB."""
        machine = evidence.machine
        orphans: dict[TaskKey, Resources] = {}
        fetching: dict[str, float] = {}
        for task in evidence.heartbeat.tasks:
            attempt = recorded.get((task.job, task.index))
            if attempt is not None and (
                attempt.number != task.attempt_number or attempt.incarnation != evidence.heartbeat.incarnation
            ):
                attempt = None  # the listed one is another attempt of the task
            if task.state is TaskState.EXITED:
                self._handle_exit(attempt, task, evidence, result)
            elif attempt is not None:
                self._update_state(attempt, task, evidence, result)
                if task.state is TaskState.FETCHING:
                    fetching[attempt.job.spec.image] = attempt.job.spec.image_gb
                stop = _stop_command(attempt, task)
                if stop is not None:
                    result.commands.append(stop)
            else:
                job = self.job_table.jobs.get(task.job)
                orphans[(task.job, task.index)] = ZERO_RESOURCES if job is None else job.spec.resources
                result.commands.append(_command(CommandKind.STOP, task))
        machine.orphans = orphans
        return fetching

    def _update_state(
        self, attempt: TaskAttempt, task: TaskStatus, evidence: _Evidence, result: ReconciliationResult
    ) -> None:
        machine = evidence.machine
        if not attempt.reported:
            attempt.reported = True
            machine.unacknowledged_answers = 0
        if attempt.state is not task.state:
            result.changed = True
            attempt.state = task.state
            if task.state is TaskState.RUNNING and attempt.running_since is None:
                attempt.running_since = evidence.now
                result.started.append(attempt)
        if task.state is not TaskState.FETCHING:
            machine.record_image_fetched(attempt.job.spec)

    # -- what the heartbeat doesn't list ----------------------------------------------------

    def _reconcile_unlisted(
        self,
        recorded: dict[TaskKey, TaskAttempt],
        fetching: dict[str, float],
        evidence: _Evidence,
        result: ReconciliationResult,
    ) -> None:
        """Launch or lose recorded attempts that are missing, and add the images they will fetch to ``fetching``."""
        listed = {(task.job, task.index, task.attempt_number) for task in evidence.heartbeat.tasks}
        launch_unacknowledged = False
        for attempt in list(recorded.values()):
            if (attempt.job.spec.id, attempt.index, attempt.number) in listed:
                continue
            launch_unacknowledged |= self._reconcile_absent(attempt, evidence, result)
            if attempt.state is None:
                fetching.setdefault(attempt.job.spec.image, attempt.job.spec.image_gb)
        if launch_unacknowledged:
            evidence.machine.record_unacknowledged_answer(evidence.now)

    def _reconcile_absent(self, attempt: TaskAttempt, evidence: _Evidence, result: ReconciliationResult) -> bool:
        """Launch or lose a recorded attempt that the heartbeat doesn't list.

        Only a heartbeat that carries this leader's own term proves absence: one of an older term may have been
        delayed while a former leader still launched tasks on the machine.

        Returns:
            Whether an earlier answer carried the launch, and this heartbeat proves that it had no effect.
        """
        heartbeat = evidence.heartbeat
        launch_sent = attempt.launch_sequence is not None
        proves_absence = evidence.is_current_term and (
            attempt.launch_sequence is None or heartbeat.sequence > attempt.launch_sequence
        )
        unwanted = attempt.stop_grace_s is not None or _is_unwanted(attempt, evidence.machine)
        if proves_absence and (unwanted or attempt.reported):
            self._lose(attempt, evidence, result)
            return False
        if unwanted or not evidence.may_launch or not attempt.is_committed:
            return False
        result.commands.append(_launch(attempt, heartbeat))
        return proves_absence and launch_sent

    def _lose(self, attempt: TaskAttempt, evidence: _Evidence, result: ReconciliationResult) -> None:
        result.changed = True
        self.job_table.record_attempt_lost(attempt, evidence.now)

    # -- exits ------------------------------------------------------------------------------

    def _handle_exit(
        self, attempt: TaskAttempt | None, task: TaskStatus, evidence: _Evidence, result: ReconciliationResult
    ) -> None:
        """Handle an exited task; ``attempt`` is None unless this is the recorded attempt."""
        if attempt is not None:
            # A heartbeat of an older term may have been delayed while the attempt was restarted, as is done with a
            # gang's task that gave up waiting; only completion is final no matter when its heartbeat arrives.
            if not evidence.is_current_term and task.exit_reason is not ExitReason.COMPLETED:
                return
            if evidence.may_launch and _may_wait_on(attempt, task):
                self._restart_in_place(attempt, task, evidence, result)
                return
            result.changed = True
            result.exits.append(TaskExit(attempt, task.exit_reason, task.saved))
            record_exit(attempt, task.exit_reason, evidence.machine, self.job_table, self.inventory, evidence.now)
        if self.job_table.is_task_committed(task.job, task.index) and evidence.may_launch:
            result.commands.append(_command(CommandKind.FORGET, task))

    def _restart_in_place(
        self, attempt: TaskAttempt, task: TaskStatus, evidence: _Evidence, result: ReconciliationResult
    ) -> None:
        attempt.launch_sequence = evidence.heartbeat.sequence
        attempt.reported = False
        attempt.state = None
        result.commands += [_command(CommandKind.FORGET, task), _command(CommandKind.START, task)]


def _command(kind: CommandKind, task: TaskStatus, grace_s: float = 0.0) -> Command:
    return Command(kind, task.job, task.index, task.attempt_number, grace_s)


def _launch(attempt: TaskAttempt, heartbeat: WorkerHeartbeat) -> Command:
    """The command to start an attempt, noted as sent in answer to this heartbeat."""
    attempt.launch_sequence = heartbeat.sequence
    return Command(CommandKind.START, attempt.job.spec.id, attempt.index, attempt.number)


def _is_unwanted(attempt: TaskAttempt, machine: Machine) -> bool:
    """Whether the attempt must not be launched: its job is cancelled, or its machine will be reclaimed or deleted."""
    return attempt.job.cancelled or machine.reclaim_at is not None or machine.deleting


def _stop_command(attempt: TaskAttempt, task: TaskStatus) -> Command | None:
    """The command to stop a listed attempt if it has to; a second one would break off a checkpoint being saved."""
    if attempt.job.cancelled:
        attempt.stop_grace_s = 0.0
    if attempt.stop_grace_s is None or (task.state is TaskState.SAVING and attempt.stop_grace_s > 0):
        return None
    return _command(CommandKind.STOP, task, attempt.stop_grace_s)


def _may_wait_on(attempt: TaskAttempt, task: TaskStatus) -> bool:
    """Whether a gang task that gave up waiting may start again on its machine, as others are still fetching.

    Members of a gang need very different times for large images. When a gang was stopped each time the first
    members gave up waiting, it fetched and waited over and over.
    """
    if (
        task.exit_reason is not ExitReason.GANG_INCOMPLETE
        or attempt.stop_grace_s is not None
        or attempt.job.cancelled
    ):
        return False
    members = list(attempt.job.attempts())
    started = any(member.running_since is not None for member in members)
    return not started and len(members) == attempt.job.spec.tasks
