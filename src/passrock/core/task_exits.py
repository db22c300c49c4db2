"""Effects of a task's exit: completion, or a retry that accounts for a faulty machine or job."""

from __future__ import annotations

from passrock.core.inventory import MachineInventory
from passrock.core.job import Job, TaskAttempt
from passrock.core.job_table import JobTable
from passrock.core.machine import Machine
from passrock.core.messages import ExitReason

FAILURE_BACKOFF_S = 2.0  # doubles with each consecutive failure of the job
MAX_FAILURE_BACKOFF_DOUBLINGS = 6
MAX_FAILURE_BACKOFF_S = 60.0
REFUSAL_BACKOFF_HEARTBEATS = 2  # until a refused start is retried


def record_exit(
    attempt: TaskAttempt,
    reason: ExitReason,
    machine: Machine,
    job_table: JobTable,
    inventory: MachineInventory,
    now: float,
) -> None:
    """Record the exit of an attempt; the task waits again unless it has completed."""
    job = attempt.job
    retry_refused_at = now + inventory.health.heartbeat_interval_s * REFUSAL_BACKOFF_HEARTBEATS
    match reason:
        case ExitReason.COMPLETED:
            machine.failed_jobs.pop(job.spec.id, None)
            job.consecutive_failures = 0
            job_table.record_attempt_completed(attempt)
            return
        case ExitReason.FAILED:
            _record_failure(job, machine, inventory, now)
        case ExitReason.INSUFFICIENT_CAPACITY | ExitReason.ATTEMPT_IN_USE:
            machine.quarantined_until = retry_refused_at
        case ExitReason.JOB_UNKNOWN:
            job.retry_not_before = retry_refused_at
    job_table.record_attempt_lost(attempt, now)


def _record_failure(job: Job, machine: Machine, inventory: MachineInventory, now: float) -> None:
    """Record the failure of a task, which is usually due to the machine, though some jobs fail on any machine.

    Failures of a job that is presumed faulty don't quarantine machines: otherwise a faulty array had every machine
    quarantined on which one of its tasks started.
    """
    if not job.is_presumed_faulty:
        machine.quarantined_until = max(machine.quarantined_until, now + inventory.health.lease_s)
    machine.failed_jobs[job.spec.id] = now
    job.avoided_machines.add(machine.name)
    job.consecutive_failures += 1
    if len(job.avoided_machines) > 1:
        backoff = FAILURE_BACKOFF_S * 2 ** min(job.consecutive_failures, MAX_FAILURE_BACKOFF_DOUBLINGS)
        job.retry_not_before = now + min(backoff, MAX_FAILURE_BACKOFF_S)
