"""Stopping tasks gracefully: with time to save a checkpoint, and all members of a gang together."""

from __future__ import annotations

from passrock.core.job import TaskAttempt
from passrock.core.job_table import JobTable


def stop_gracefully(attempt: TaskAttempt, min_grace_s: float) -> None:
    """Ask a task to end, unless it was asked before.

    Args:
        attempt: the attempt to stop.
        min_grace_s: the least time in seconds for a running task with checkpoints to save; others get none.
    """
    if attempt.stop_grace_s is None:
        save_s = max(min_grace_s, attempt.job.spec.checkpoint_save_s)
        attempt.stop_grace_s = save_s if attempt.can_save_checkpoint else 0.0


def drain_machine(job_table: JobTable, machine_name: str) -> None:
    """Ask all tasks on a machine, and all other members of their gangs, to save and end."""
    for attempt in list(job_table.attempts_on(machine_name)):
        for member in attempt.gang_attempts():
            stop_gracefully(member, member.job.spec.checkpoint_save_s)
