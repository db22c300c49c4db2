"""Graceful stop of tasks: with time to save a checkpoint, and together with all members of a gang."""

from __future__ import annotations

from passrock.core.job import TaskAttempt
from passrock.core.job_table import JobTable


def stop_gracefully(attempt: TaskAttempt, min_grace_s: float) -> None:
    """Request that an attempt stops, unless this was requested before.

    Args:
        attempt: the attempt to stop.
        min_grace_s: the least time, in seconds, that a running task with checkpoints gets to save; other tasks get
            no time.
    """
    if attempt.stop_grace_s is None:
        save_s = max(min_grace_s, attempt.job.spec.checkpoint_save_s)
        attempt.stop_grace_s = save_s if attempt.can_save_checkpoint else 0.0


def drain_machine(job_table: JobTable, machine_name: str) -> None:
    """Request that all attempts on a machine, and all other members of their gangs, save and stop."""
    for attempt in list(job_table.attempts_on(machine_name)):
        for member in attempt.gang_attempts():
            stop_gracefully(member, member.job.spec.checkpoint_save_s)
