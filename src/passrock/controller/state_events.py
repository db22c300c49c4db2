"""Handling of a term's events: new jobs and cancellations from the store, deleted machines from the cloud."""

from __future__ import annotations

from collections.abc import Callable

from passrock.controller import keys
from passrock.controller.binding_rounds import BindingRounds
from passrock.controller.commit_queue import CommitQueue
from passrock.controller.evaluations import EvaluationSignals
from passrock.controller.record_loader import earliest_confirmed_at
from passrock.core.cancellations import CancellationLog
from passrock.core.job_table import JobTable
from passrock.core.model import Priority
from passrock.core.records import JobRecord, decode_record
from passrock.io.clock import monotonic_time, time_of_day
from passrock.logs import info
from passrock.wire.store import Entry


class StateEvents:
    """Applies events to the leader's tables and requests commits, evaluations and binding rounds."""

    def __init__(
        self,
        cancellations: CancellationLog,
        job_table: JobTable,
        assignments: dict[str, str],
        binding_rounds: BindingRounds,
        commit_queue: CommitQueue,
        evaluations: EvaluationSignals,
        plan_now: Callable[[], None],
    ) -> None:
        """``plan_now`` makes the next evaluation plan preemption and scaling."""
        self.cancellations = cancellations
        self.job_table = job_table
        self.assignments = assignments
        self.binding_rounds = binding_rounds
        self.commit_queue = commit_queue
        self.evaluations = evaluations
        self.plan_now = plan_now

    def on_change(self, key: str, entry: Entry | None) -> None:
        """Handle a changed key of the replica; ``entry`` is None if the key was deleted."""
        if key.startswith(keys.JOB):
            self._on_job_change(key[len(keys.JOB) :], entry)
        elif key.startswith(keys.CANCELLATION) and entry is not None:
            self.on_cancellation(key[len(keys.CANCELLATION) :], earliest_confirmed_at(entry))

    def _on_job_change(self, job_id: str, entry: Entry | None) -> None:
        if entry is None:
            self.commit_queue.finalized.discard(job_id)
        elif job_id not in self.job_table.jobs and job_id not in self.commit_queue.finalized:
            self._load_job(job_id, entry)

    def _load_job(self, job_id: str, entry: Entry) -> None:
        record = decode_record(entry.value, JobRecord)
        job = self.job_table.load(record, entry.mod_revision, monotonic_time(), time_of_day())
        self.binding_rounds.bring_forward()
        if job.spec.priority is Priority.PRODUCTION:
            self.plan_now()  # a production job preempts at once, ideally before its victims are launched
        info(
            "job_loaded",
            job=job_id,
            job_class=job.spec.job_class,
            kind=job.spec.kind,
            tasks=job.spec.task_count,
            image=job.spec.image,
        )
        self.evaluations.request()
        added_at = self.cancellations.added_at(job_id)
        if added_at is not None:
            self.on_cancellation(job_id, added_at)

    def on_cancellation(self, job_id: str, confirmed_at: float) -> None:
        """Cancel a job whose cancellation was committed at ``confirmed_at`` (monotonic) or later."""
        job = self.job_table.jobs.get(job_id)
        if job is None:
            return
        if not job.cancelled:
            info("job_cancelled", job=job_id)
        self.job_table.cancel(job, confirmed_at)
        self.commit_queue.commit_requested.set()
        self.evaluations.request()

    def on_machine_lost(self, name: str) -> None:
        """Release the tasks of a machine that the cloud has confirmed as deleted."""
        lost = self.job_table.record_machine_lost(name, monotonic_time())
        self.assignments.pop(name, None)
        self.binding_rounds.bring_forward()
        info("machine_lost", machine=name, tasks=lost)
        self.commit_queue.commit_requested.set()
        self.evaluations.request()
