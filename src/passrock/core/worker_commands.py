"""Commands to workers about single attempts, and whether an attempt may be launched, stopped or restarted."""

from __future__ import annotations

from passrock.core.job import TaskAttempt
from passrock.core.machine import Machine
from passrock.core.messages import Command, CommandKind, ExitReason, TaskState, TaskStatus, WorkerHeartbeat
from passrock.core.recent_launches import AttemptKey


def command_for(kind: CommandKind, task: TaskStatus, grace_s: float = 0.0) -> Command:
    """Return a command about a task that the worker has listed."""
    return Command(kind, task.job, task.index, task.attempt_number, grace_s)


def launch(attempt: TaskAttempt, machine: Machine, heartbeat: WorkerHeartbeat, now: float) -> Command:
    """Return the command to start an attempt, and record that the answer to this heartbeat carries it."""
    attempt.launch_sequence = heartbeat.sequence
    machine.recent_launches.record(AttemptKey(attempt.job.spec.id, attempt.index, attempt.number), now)
    return Command(CommandKind.START, attempt.job.spec.id, attempt.index, attempt.number)


def must_not_launch(attempt: TaskAttempt, machine: Machine) -> bool:
    """Whether the attempt must not be launched: its job is cancelled, or its machine will be reclaimed or deleted."""
    return attempt.job.cancelled or machine.reclaim_at is not None or machine.deleting


def stop_command(attempt: TaskAttempt, task: TaskStatus) -> Command | None:
    """Return the command to stop a listed attempt, or None when it need not stop or is saving a checkpoint.

    A second stop command would interrupt the saving.
    """
    if attempt.job.cancelled:
        attempt.stop_grace_s = 0.0
    if attempt.stop_grace_s is None or (task.state is TaskState.SAVING and attempt.stop_grace_s > 0):
        return None
    return command_for(CommandKind.STOP, task, attempt.stop_grace_s)


def can_restart_in_place(attempt: TaskAttempt, task: TaskStatus) -> bool:
    """Whether a gang member whose wait for the gang timed out may restart on its machine, as others still fetch.

    Members of a gang take very different times to fetch large images. When the whole gang was stopped at each
    member's time-out, it fetched and waited again and again.
    """
    if (
        task.exit_reason is not ExitReason.GANG_INCOMPLETE
        or attempt.stop_grace_s is not None
        or attempt.job.cancelled
    ):
        return False
    members = list(attempt.job.attempts())
    started = any(member.running_since is not None for member in members)
    return not started and len(members) == attempt.job.spec.task_count
