"""The job table: all unfinished jobs of a leader's term, their attempts by machine, and uncommitted records."""

from __future__ import annotations

from collections.abc import ValuesView

from passrock.core.job import Job, TaskAttempt, TaskKey, TaskPage
from passrock.core.machine import Machine
from passrock.core.model import ZERO_RESOURCES, JobKind, Resources
from passrock.core.records import JobRecord, TaskPageRecord


class JobTable:
    """The leader's working copy of the job records; a change of stored state marks the record as uncommitted.

    Attributes:
        page_size: the number of tasks on a page.
        jobs: the unfinished jobs by id.
        attempts_by_machine: the attempts by machine name and task; machines without attempts have no entry.
        usage: the resources that the attempts of each team request.
        demand_version: increases with each change of the set of uncompleted tasks.
        uncommitted: job ids and page numbers of the records to write, oldest change first.
        finalizing: ids of the completed or cancelled jobs whose final record has to be written.
        cancelled: the cancelled jobs that are not removed yet, by id; their tasks may still be on machines.
    """

    def __init__(self, page_size: int) -> None:
        self.page_size = page_size
        self.jobs: dict[str, Job] = {}
        self.attempts_by_machine: dict[str, dict[TaskKey, TaskAttempt]] = {}
        self.usage: dict[str, Resources] = {}
        self.demand_version = 0
        self.uncommitted: dict[tuple[str, int], None] = {}
        self.finalizing: dict[str, None] = {}
        self.cancelled: dict[str, Job] = {}

    # -- loading records --------------------------------------------------------------------

    def load(self, record: JobRecord, mod_revision: int, now: float, wall_clock_now: float) -> Job:
        """Load a job from its record.

        The age of the job is computed from the wall-clock time of its submission. If it were counted from the
        time of loading, the age of every waiting job would restart at each failover.
        """
        spec = record.spec.to_spec()
        age = max(0.0, wall_clock_now - record.submitted_at)
        job = Job(spec, record.submitted_at, self.page_size, now - age)
        self.jobs[spec.id] = job
        self.demand_version += 1
        self.load_page(job, 0, record, mod_revision)
        return job

    def load_page(self, job: Job, number: int, record: TaskPageRecord | JobRecord, mod_revision: int) -> None:
        """Load one page of a job from its record."""
        page = job.page(number * self.page_size)
        page.attempt_number = record.attempt_number
        page.completed = int(record.completed_bitmap, 16)
        page.mod_revision = mod_revision
        job.completed_count += page.completed.bit_count()
        self.demand_version += 1
        for index, stored in record.attempts.items():
            attempt = TaskAttempt(
                job, index, stored.number, stored.machine, stored.incarnation, placed_this_term=False
            )
            page.attempts[index] = attempt
            self._track(attempt)

    def finish_loading(self, job: Job) -> None:
        """Stop an incomplete gang and finalize a job that has ended; called once all pages of the job are loaded."""
        if job.spec.kind is JobKind.GANG and 0 < job.attempt_count < job.spec.task_count - job.completed_count:
            self._stop_gang(job)
        self._finalize_if_ended(job)

    # -- queries ----------------------------------------------------------------------------

    def attempts_on(self, machine_name: str) -> ValuesView[TaskAttempt]:
        """Return a view of the attempts that are or may be on a machine; copy it before attempts start or end."""
        return self.attempts_by_machine.get(machine_name, {}).values()

    def is_task_committed(self, job_id: str, index: int) -> bool:
        """Whether every change of the task's page is committed, so that a worker may drop an exited task."""
        job = self.jobs.get(job_id)
        if job is None:
            return True
        page = job.pages.get(index // self.page_size)
        return page is None or page.committed_version >= page.version

    def failed_job_count(self, machine: Machine) -> int:
        """Return how many unfinished jobs have failed on a machine, without those that are presumed faulty."""
        failed = [self.jobs[job_id] for job_id in machine.failed_jobs if job_id in self.jobs]
        return sum(not job.is_presumed_faulty for job in failed)

    # -- changes of attempts ----------------------------------------------------------------

    def add_attempt(self, job: Job, index: int, machine: Machine, attempt_number: int, now: float) -> TaskAttempt:
        """Add an attempt of a task; it may be launched once its record is committed."""
        page = job.page(index)
        page.attempt_number = max(page.attempt_number, attempt_number)
        self._mark_uncommitted(job, page)
        attempt = TaskAttempt(
            job, index, attempt_number, machine.name, machine.incarnation, page_version=page.version, placed_at=now
        )
        page.attempts[index] = attempt
        job.requeued.discard(index)
        self._track(attempt)
        machine.used = machine.used + job.spec.resources
        machine.idle_since = None
        if job.spec.image not in machine.images:
            machine.fetching.setdefault(job.spec.image, job.spec.image_gb)
        return attempt

    def record_attempt_lost(self, attempt: TaskAttempt, now: float) -> None:
        """Record that an attempt is proved to be on no machine any more, so that its task waits again.

        A gang can't continue without one of its tasks, hence the other tasks are stopped.
        """
        job = attempt.job
        page = job.page(attempt.index)
        if page.attempts.get(attempt.index) is not attempt:
            return
        del page.attempts[attempt.index]
        self._untrack(attempt)
        self._mark_uncommitted(job, page)
        if not job.is_completed(attempt.index):
            job.requeued.add(attempt.index)
            job.waiting_since = now
            if job.spec.kind is JobKind.GANG:
                self._stop_gang(job)
        self._finalize_if_ended(job)

    def record_attempt_completed(self, attempt: TaskAttempt) -> None:
        """Record that a task has completed; a gang as a whole is complete once the first of its tasks is."""
        job = attempt.job
        for ended in attempt.gang_attempts():
            del job.page(ended.index).attempts[ended.index]
            self._untrack(ended)
        indexes = range(job.spec.task_count) if job.spec.kind is JobKind.GANG else [attempt.index]
        for index in indexes:
            self._mark_completed(job, index)
        self._finalize_if_ended(job)

    def record_lease_expired(self, machine_name: str, now: float) -> int:
        """Record that the lease of the machine's worker has expired, and return the number of lost attempts.

        The tasks have ended, or end when a hung worker resumes. Attempts of cancelled jobs stay recorded until a
        heartbeat or the deletion of the machine proves that they have ended: the time within which these tasks have
        to end also passes while the machine hangs, and a next leader finds them by these records alone.
        """
        return self._lose_all(
            [attempt for attempt in self.attempts_on(machine_name) if not attempt.job.cancelled], now
        )

    def record_machine_lost(self, machine_name: str, now: float) -> int:
        """Record that the machine no longer exists, and return the number of lost attempts."""
        return self._lose_all(list(self.attempts_on(machine_name)), now)

    def _lose_all(self, attempts: list[TaskAttempt], now: float) -> int:
        for attempt in attempts:
            self.record_attempt_lost(attempt, now)
        return len(attempts)

    def recompute_usage(self, machine: Machine, now: float) -> None:
        """Recompute the resources in use on a machine from its attempts, and the start of its idle time."""
        used = ZERO_RESOURCES
        attempts = self.attempts_by_machine.get(machine.name, {})
        for attempt in attempts.values():
            used = used + attempt.job.spec.resources
        machine.used = used
        if attempts or machine.orphans:
            machine.idle_since = None
        elif machine.idle_since is None:
            machine.idle_since = now

    # -- changes of jobs --------------------------------------------------------------------

    def cancel(self, job: Job, confirmed_at: float) -> None:
        """Cancel a job whose cancellation was confirmed to its user at ``confirmed_at`` (monotonic) or later."""
        job.cancelled = True
        self.demand_version += 1
        self.cancelled[job.spec.id] = job
        job.cancelled_at = min(job.cancelled_at, confirmed_at)
        for attempt in list(job.attempts()):
            attempt.stop_grace_s = 0.0
            if attempt.is_unlaunched:
                self.record_attempt_lost(attempt, job.waiting_since)
        self._finalize_if_ended(job)

    def remove(self, job: Job) -> None:
        """Remove a job whose final record is committed."""
        self.jobs.pop(job.spec.id, None)
        self.demand_version += 1
        self.cancelled.pop(job.spec.id, None)
        self.finalizing.pop(job.spec.id, None)
        for number in job.pages:
            self.uncommitted.pop((job.spec.id, number), None)

    def _stop_gang(self, job: Job) -> None:
        """Stop the remaining tasks of a gang, all of which have to end before its next attempt."""
        for attempt in list(job.attempts()):
            if attempt.stop_grace_s is None:
                attempt.stop_grace_s = 0.0
            if attempt.is_unlaunched:
                self.record_attempt_lost(attempt, job.waiting_since)

    def _mark_completed(self, job: Job, index: int) -> None:
        page = job.page(index)
        bit = 1 << (index - page.first)
        if not page.completed & bit:
            page.completed |= bit
            job.completed_count += 1
            self.demand_version += 1
            self._mark_uncommitted(job, page)
        job.requeued.discard(index)

    def _finalize_if_ended(self, job: Job) -> None:
        has_ended = job.cancelled or job.completed_count == job.spec.task_count
        if has_ended and job.attempt_count == 0 and job.final_status is None:
            self.finalizing[job.spec.id] = None

    # -- bookkeeping ------------------------------------------------------------------------

    def _track(self, attempt: TaskAttempt) -> None:
        attempt.job.attempt_count += 1
        self.attempts_by_machine.setdefault(attempt.machine, {})[attempt.key] = attempt
        team = attempt.job.spec.team
        self.usage[team] = self.usage.get(team, ZERO_RESOURCES) + attempt.job.spec.resources

    def _untrack(self, attempt: TaskAttempt) -> None:
        attempt.job.attempt_count -= 1
        attempts = self.attempts_by_machine[attempt.machine]
        del attempts[attempt.key]
        if not attempts:
            del self.attempts_by_machine[attempt.machine]
        team = attempt.job.spec.team
        self.usage[team] = self.usage[team] - attempt.job.spec.resources

    def _mark_uncommitted(self, job: Job, page: TaskPage) -> None:
        page.version += 1
        self.uncommitted[(job.spec.id, page.first // self.page_size)] = None
