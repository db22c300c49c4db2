"""Reconciliation of workers' heartbeats with the job table: changes of the table, and commands to the workers."""

from __future__ import annotations

import msgspec

from passrock.core.inventory import MachineInventory
from passrock.core.job import TaskAttempt, TaskKey
from passrock.core.job_table import JobTable
from passrock.core.machine import Machine
from passrock.core.messages import Command, CommandKind, ExitReason, TaskState, TaskStatus, WorkerHeartbeat
from passrock.core.model import ZERO_RESOURCES, Resources
from passrock.core.recent_launches import ANSWER_LIFETIME_S, AttemptKey
from passrock.core.task_exits import record_exit
from passrock.core.worker_commands import can_restart_in_place, command_for, launch, must_not_launch, stop_command


class TaskExit(msgspec.Struct, frozen=True):
    """The exit of an attempt in the job table; ``checkpoint_saved`` says whether it left a checkpoint."""

    attempt: TaskAttempt
    reason: ExitReason
    checkpoint_saved: bool


class ReconciliationResult(msgspec.Struct):
    """The result of reconciling one heartbeat.

    Attributes:
        commands: the commands to the worker.
        changed: whether the heartbeat changed anything that affects scheduling.
        exits: attempts that the heartbeat lists as exited.
        started: attempts that a heartbeat lists as running for the first time in this term.
    """

    commands: list[Command] = msgspec.field(default_factory=list)
    changed: bool = False
    exits: list[TaskExit] = msgspec.field(default_factory=list)
    started: list[TaskAttempt] = msgspec.field(default_factory=list)


class _HeartbeatContext(msgspec.Struct, frozen=True):
    """A heartbeat, when it arrived, and whether this leader may launch tasks now."""

    machine: Machine
    heartbeat: WorkerHeartbeat
    now: float
    may_launch: bool
    is_current_term: bool  # the heartbeat carries this term: the worker has received an answer of this leader


class Reconciler:
    """Applies heartbeats to the job table, and makes the commands to their workers."""

    def __init__(self, job_table: JobTable, inventory: MachineInventory, term: int) -> None:
        self.job_table = job_table
        self.inventory = inventory
        self.term = term

    def handle(
        self, machine: Machine, heartbeat: WorkerHeartbeat, now: float, *, may_launch: bool
    ) -> ReconciliationResult:
        """Reconcile a heartbeat that the inventory has just recorded."""
        result = ReconciliationResult()
        context = _HeartbeatContext(machine, heartbeat, now, may_launch, heartbeat.token == self.term)
        recorded = self.job_table.attempts_by_machine.get(machine.name, {})  # shrinks as attempts are removed
        self._drop_earlier_incarnations(recorded, context, result)
        fetching = self._reconcile_listed(recorded, context, result)
        self._reconcile_unlisted(recorded, fetching, context, result)
        machine.fetching = {image: gb for image, gb in fetching.items() if image not in machine.images}
        self.job_table.recompute_usage(machine, now)
        return result

    def newly_committed_launches(self, machine: Machine, heartbeat: WorkerHeartbeat, now: float) -> list[Command]:
        """Return launches of attempts whose records were committed while the answer to this heartbeat was delayed."""
        commands = []
        for attempt in self.job_table.attempts_on(machine.name):
            if (
                attempt.launch_sequence is None
                and not attempt.reported
                and attempt.stop_grace_s is None
                and attempt.incarnation == heartbeat.incarnation
                and now >= attempt.launch_not_before
                and not must_not_launch(attempt, machine)
                and attempt.is_committed
            ):
                commands.append(launch(attempt, machine, heartbeat, now))
        return commands

    # -- tasks that the heartbeat lists -----------------------------------------------------

    def _drop_earlier_incarnations(
        self, recorded: dict[TaskKey, TaskAttempt], context: _HeartbeatContext, result: ReconciliationResult
    ) -> None:
        """Record the loss of attempts of earlier incarnations: a worker starts each incarnation without tasks."""
        incarnation = context.heartbeat.incarnation
        for attempt in list(recorded.values()):
            if attempt.incarnation < incarnation:
                self._record_loss(attempt, context, result)

    def _reconcile_listed(
        self, recorded: dict[TaskKey, TaskAttempt], context: _HeartbeatContext, result: ReconciliationResult
    ) -> dict[str, float]:
        """Reconcile the listed tasks; returns the images that are being fetched, with their sizes in GB."""
        machine = context.machine
        orphans: dict[TaskKey, Resources] = {}
        fetching: dict[str, float] = {}
        for task in context.heartbeat.tasks:
            attempt = recorded.get((task.job, task.index))
            if attempt is not None and (
                attempt.number != task.attempt_number or attempt.incarnation != context.heartbeat.incarnation
            ):
                attempt = None  # the heartbeat lists another attempt of the task
            if task.state is TaskState.EXITED:
                self._handle_exit(attempt, task, context, result)
            elif attempt is not None:
                self._update_state(attempt, task, context, result)
                if task.state is TaskState.FETCHING:
                    fetching[attempt.job.spec.image] = attempt.job.spec.image_gb
                stop = stop_command(attempt, task)
                if stop is not None:
                    result.commands.append(stop)
            else:
                job = self.job_table.jobs.get(task.job)
                orphans[(task.job, task.index)] = ZERO_RESOURCES if job is None else job.spec.resources
                result.commands.append(command_for(CommandKind.STOP, task))
        machine.orphans = orphans
        return fetching

    def _update_state(
        self, attempt: TaskAttempt, task: TaskStatus, context: _HeartbeatContext, result: ReconciliationResult
    ) -> None:
        machine = context.machine
        if not attempt.reported:
            attempt.reported = True
            machine.unacknowledged_answers = 0
        if attempt.state is not task.state:
            result.changed = True
            attempt.state = task.state
            if task.state is TaskState.RUNNING and attempt.running_since is None:
                attempt.running_since = context.now
                result.started.append(attempt)
        if task.state is not TaskState.FETCHING:
            machine.record_image_fetched(attempt.job.spec)

    # -- attempts that the heartbeat doesn't list -------------------------------------------

    def _reconcile_unlisted(
        self,
        recorded: dict[TaskKey, TaskAttempt],
        fetching: dict[str, float],
        context: _HeartbeatContext,
        result: ReconciliationResult,
    ) -> None:
        """Launch unlisted attempts or record their loss; add the images that they will fetch to ``fetching``."""
        listed = {(task.job, task.index, task.attempt_number) for task in context.heartbeat.tasks}
        launch_unacknowledged = False
        for attempt in list(recorded.values()):
            if (attempt.job.spec.id, attempt.index, attempt.number) in listed:
                continue
            launch_unacknowledged |= self._reconcile_absent(attempt, context, result)
            if attempt.state is None:
                fetching.setdefault(attempt.job.spec.image, attempt.job.spec.image_gb)
        if launch_unacknowledged:
            context.machine.record_unacknowledged_answer(context.now)

    def _reconcile_absent(
        self, attempt: TaskAttempt, context: _HeartbeatContext, result: ReconciliationResult
    ) -> bool:
        """Launch an attempt that the heartbeat doesn't list, or record its loss.

        Only a heartbeat that carries this leader's term proves that the attempt is absent: a heartbeat of an older
        term may have been delayed while a former leader still launched tasks on the machine.

        Returns:
            Whether an earlier answer carried the launch, and this heartbeat proves that the launch had no effect.
        """
        heartbeat = context.heartbeat
        launch_sent = attempt.launch_sequence is not None
        proves_absence = context.is_current_term and (
            attempt.launch_sequence is None or heartbeat.sequence > attempt.launch_sequence
        )
        must_not_run = attempt.stop_grace_s is not None or must_not_launch(attempt, context.machine)
        if proves_absence and (must_not_run or attempt.reported):
            self._record_loss(attempt, context, result)
            return False
        may_launch = context.may_launch and context.now >= attempt.launch_not_before
        if must_not_run or not may_launch or not attempt.is_committed:
            return False
        result.commands.append(launch(attempt, context.machine, heartbeat, context.now))
        return proves_absence and launch_sent

    def _record_loss(self, attempt: TaskAttempt, context: _HeartbeatContext, result: ReconciliationResult) -> None:
        result.changed = True
        self.job_table.record_attempt_lost(attempt, context.now)

    # -- exits ------------------------------------------------------------------------------

    def _handle_exit(
        self, attempt: TaskAttempt | None, task: TaskStatus, context: _HeartbeatContext, result: ReconciliationResult
    ) -> None:
        """Handle an exited task; ``attempt`` is None unless the job table contains this attempt."""
        if attempt is not None:
            # A heartbeat of an older term may have been delayed while the attempt was restarted in place after its
            # wait for the gang timed out. Only completion is final no matter when its heartbeat arrives.
            if not context.is_current_term and task.exit_reason is not ExitReason.COMPLETED:
                return
            if context.may_launch and can_restart_in_place(attempt, task):
                self._prepare_restart_in_place(attempt, task, context, result)
                return
            result.changed = True
            result.exits.append(TaskExit(attempt, task.exit_reason, task.checkpoint_saved))
            record_exit(attempt, task.exit_reason, context.machine, self.job_table, self.inventory, context.now)
        if self.job_table.is_task_committed(task.job, task.index) and context.may_launch:
            self._acknowledge_exit(task, context, result)

    def _acknowledge_exit(self, task: TaskStatus, context: _HeartbeatContext, result: ReconciliationResult) -> None:
        """Let the worker drop an exited task, once it accepts no copy of the answer that launched the attempt.

        Until then the worker has to keep the task: it would take a copy of the launch for a new one.
        """
        attempt_key = AttemptKey(task.job, task.index, task.attempt_number)
        if not context.machine.recent_launches.may_repeat(attempt_key, context.now):
            result.commands.append(command_for(CommandKind.ACKNOWLEDGE_EXIT, task))

    def _prepare_restart_in_place(
        self, attempt: TaskAttempt, task: TaskStatus, context: _HeartbeatContext, result: ReconciliationResult
    ) -> None:
        """Have the exited task dropped, so that a later answer can launch its attempt again under the same number.

        No answer carries both commands, and the launch waits until the worker accepts no copy of this answer: a copy
        would drop and start whatever has become of the attempt by then.
        """
        attempt.launch_sequence = None
        attempt.launch_not_before = context.now + ANSWER_LIFETIME_S
        attempt.reported = False
        attempt.state = None
        self._acknowledge_exit(task, context, result)
