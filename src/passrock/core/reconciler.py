"""A worker's report against the records: what has changed, and what to tell the worker."""

from __future__ import annotations

from passrock.core.inventory import MachineInventory
from passrock.core.jobs import Job, JobTable, TaskAttempt
from passrock.core.machine import Machine
from passrock.core.messages import Command, Op, TaskState, TaskStatus, WorkerHeartbeat
from passrock.core.model import ZERO_RESOURCES, Resources

ERROR_BACKOFF_S = 2.0
ERROR_BACKOFF_MOST = 60.0


class Reconciler:
    """Turns reports into changes of the book and commands."""

    def __init__(self, job_table: JobTable, inventory: MachineInventory, term: int) -> None:
        self.job_table = job_table
        self.inventory = inventory
        self.term = term
        self.changed = False
        self.unheeded = False
        self.exits: list[tuple[TaskAttempt, str]] = []
        self.begun: list[TaskAttempt] = []

    def handle(self, machine: Machine, heartbeat: WorkerHeartbeat, now: float, launch: bool) -> list[Command]:
        """Commands in answer to a report that the fleet has just taken in."""
        self.changed = False
        self.exits = []
        self.begun = []
        commands: list[Command] = []
        held = self.job_table.attempts_by_machine.get(machine.name, {})
        for attempt in [one for one in held.values() if one.incarnation < heartbeat.incarnation]:
            self._gone(attempt, now)  # a later session has forgotten every task of the earlier ones
        orphans: dict[tuple[str, int], Resources] = {}
        fetching: dict[str, float] = {}
        listed: set[tuple[str, int, int]] = set()
        for row in heartbeat.tasks:
            listed.add((row.job, row.index, row.attempt_number))
            recorded = self.job_table.attempts_by_machine.get(machine.name, {}).get((row.job, row.index))
            match = (
                recorded is not None
                and recorded.number == row.attempt_number
                and recorded.incarnation == heartbeat.incarnation
            )
            if row.state is TaskState.EXITED:
                commands += self._ended(recorded if match else None, row, machine, heartbeat, launch, now)
            elif match and recorded is not None:
                self._present(recorded, row, machine, now)
                if row.state is TaskState.FETCHING:
                    fetching[recorded.job.spec.image] = recorded.job.spec.image_gb
                commands += self._stop(recorded, row)
            else:
                job = self.job_table.jobs.get(row.job)
                orphans[(row.job, row.index)] = ZERO_RESOURCES if job is None else job.spec.resources
                commands.append(Command(Op.STOP, row.job, row.index, row.attempt_number))
        machine.orphans = orphans
        self.unheeded = False
        for attempt in list(self.job_table.attempts_by_machine.get(machine.name, {}).values()):
            if (attempt.job.spec.id, attempt.index, attempt.number) not in listed:
                commands += self._absent(attempt, heartbeat, machine, launch, now)
                if attempt.state is None:
                    fetching.setdefault(attempt.job.spec.image, attempt.job.spec.image_gb)
        if self.unheeded:
            machine.record_unacknowledged_answer(now)
        machine.fetching = {image: gb for image, gb in fetching.items() if image not in machine.images}
        self.job_table.recompute_usage(machine, now)
        return commands

    def _ended(
        self,
        attempt: TaskAttempt | None,
        row: TaskStatus,
        machine: Machine,
        heartbeat: WorkerHeartbeat,
        launch: bool,
        now: float,
    ) -> list[Command]:
        """An exited task; ``attempt`` is its attempt if that is the recorded one."""
        if attempt is not None:
            # a report of an older term may have been held up while its attempt was started again, as
            # a gang's impatient task is; only completion is final whenever it is heard of
            if heartbeat.token != self.term and row.why != "done":
                return []
            if launch and self._wait_on(attempt, row):
                attempt.launch_sequence = heartbeat.sequence
                attempt.reported = False
                attempt.state = None
                return [Command(op, row.job, row.index, row.attempt_number) for op in (Op.FORGET, Op.START)]
            self._exited(attempt, row, machine, now)
        if self.job_table.task_committed(row.job, row.index) and launch:
            return [Command(Op.FORGET, row.job, row.index, row.attempt_number)]
        return []

    def launches(self, machine: Machine, heartbeat: WorkerHeartbeat) -> list[Command]:
        """Starts whose records were committed while the answer to this report was being made."""
        commands = []
        for attempt in list(self.job_table.attempts_by_machine.get(machine.name, {}).values()):
            if (
                attempt.launch_sequence is None
                and not attempt.reported
                and attempt.stop_grace_s is None
                and attempt.incarnation == heartbeat.incarnation
            ):
                commands += self._absent(attempt, heartbeat, machine, launch=True)
        return commands

    def _gone(self, attempt: TaskAttempt, now: float) -> None:
        self.changed = True
        self.job_table.attempt_lost(attempt, now)

    def _present(self, attempt: TaskAttempt, row: TaskStatus, machine: Machine, now: float) -> None:
        if not attempt.reported:
            attempt.reported = True
            machine.unacknowledged_answers = 0
        if attempt.state is not row.state:
            self.changed = True
            attempt.state = row.state
            if row.state is TaskState.RUNNING and attempt.running_since is None:
                attempt.running_since = now
                self.begun.append(attempt)
        if row.state is not TaskState.FETCHING:
            machine.record_image_fetched(attempt.job.spec)

    def _stop(self, attempt: TaskAttempt, row: TaskStatus) -> list[Command]:
        if attempt.job.cancelled:
            attempt.stop_grace_s = 0.0
        if attempt.stop_grace_s is None or (row.state is TaskState.SAVING and attempt.stop_grace_s > 0):
            return []
        return [Command(Op.STOP, row.job, row.index, row.attempt_number, attempt.stop_grace_s)]

    def _absent(
        self,
        attempt: TaskAttempt,
        heartbeat: WorkerHeartbeat,
        machine: Machine,
        launch: bool,
        now: float | None = None,
    ) -> list[Command]:
        """A recorded attempt that the report does not list.

        Only a report that carries this leader's own term proves absence: an older one may have been
        held up on its way while a former leader still launched on the machine.
        """
        proof = heartbeat.token == self.term and (
            attempt.launch_sequence is None or heartbeat.sequence > attempt.launch_sequence
        )
        unwanted = (
            attempt.stop_grace_s is not None
            or attempt.job.cancelled
            or machine.reclaim_at is not None
            or machine.deleting
        )
        if proof and (unwanted or attempt.reported) and now is not None:
            self._gone(attempt, now)
            return []
        if unwanted or not launch or not self.job_table.attempt_committed(attempt):
            return []
        if proof and attempt.launch_sequence is not None:
            self.unheeded = True  # the launch was sent, and the next report shows nothing of it
        attempt.launch_sequence = heartbeat.sequence
        return [Command(Op.START, attempt.job.spec.id, attempt.index, attempt.number)]

    def _exited(self, attempt: TaskAttempt, row: TaskStatus, machine: Machine, now: float) -> None:
        self.changed = True
        self.exits.append((attempt, row.why + ("+saved" if row.saved else "")))
        job = attempt.job
        if row.why == "done":
            machine.failed_jobs.pop(job.spec.id, None)
            job.errors = 0
            self.job_table.attempt_completed(attempt)
            return
        if row.why == "error":
            self._failed(job, machine, now)
        elif row.why in ("no_room", "busy"):
            machine.quarantined_until = now + self.inventory.health.heartbeat_interval_s * 2
        elif row.why == "unknown":
            job.not_before = now + self.inventory.health.heartbeat_interval_s * 2
        self.job_table.attempt_lost(attempt, now)

    def _wait_on(self, attempt: TaskAttempt, row: TaskStatus) -> bool:
        """A gang task gave up waiting while its mates still fetch their image: start it again there.

        Mates need very different times for large images. Giving the whole gang up each time the
        first ones lost patience made it fetch and wait over and over.
        """
        if row.why != "alone" or attempt.stop_grace_s is not None or attempt.job.cancelled:
            return False
        mates = list(attempt.job.attempts())
        started = any(mate.running_since is not None for mate in mates)
        return not started and len(mates) == attempt.job.spec.tasks

    def _failed(self, job: Job, machine: Machine, now: float) -> None:
        """A task failed: mostly the machine is at fault, but a job may fail wherever it is started.

        A suspect job costs no machine its place: one faulty array once blocked every machine that it tried.
        """
        if not job.is_suspect:
            machine.quarantined_until = max(machine.quarantined_until, now + self.inventory.health.lease_s)
        machine.failed_jobs[job.spec.id] = now
        job.avoid.add(machine.name)
        job.errors += 1
        if len(job.avoid) > 1:
            backoff = ERROR_BACKOFF_S * 2 ** min(job.errors, 6)
            job.not_before = now + min(backoff, ERROR_BACKOFF_MOST)
