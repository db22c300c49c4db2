"""One term of leadership: joins the books, the loops and the handlers that end with it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from passrock.controller import keys
from passrock.controller.autoscaler import Autoscaler
from passrock.controller.binding_rounds import BindingRounds
from passrock.controller.commit_queue import CommitQueue
from passrock.controller.evaluations import Evaluations
from passrock.controller.failure_detector import FailureDetector
from passrock.controller.heartbeat_handler import HeartbeatHandler
from passrock.controller.leadership import Leadership
from passrock.controller.provisioner import Provisioner
from passrock.controller.record_loader import confirmed_at, load_records
from passrock.controller.replica import Replica
from passrock.core.cancellations import Cancellations
from passrock.core.inventory import MachineInventory
from passrock.core.jobs import Job, JobTable, TaskAttempt
from passrock.core.machine_catalog import MachineCatalog
from passrock.core.machine_health import MachineHealth
from passrock.core.model import Priority
from passrock.core.objectives import ServiceLevelObjectives
from passrock.core.preemption import Preemption, stop_softly
from passrock.core.records import tasks_per_page
from passrock.core.scheduler import Scheduler
from passrock.io.clock import monotonic_time, time_of_day
from passrock.io.cloud import CloudClient
from passrock.io.state import StateClient
from passrock.logs import error, info
from passrock.settings import Settings
from passrock.wire.state import Entry

EVALUATION_REST = 2.0  # times the time an evaluation took, until the next one
PLAN_EVERY = 0.4  # of the report interval, between plans of renting and preemption


class LeaderTerm:
    """Everything that ends with the leadership."""

    def __init__(
        self,
        settings: Settings,
        state: StateClient,
        cloud: CloudClient,
        replica: Replica,
        cancellations: Cancellations,
        leadership: Leadership,
        catalog: MachineCatalog,
    ) -> None:
        self.settings = settings
        self.replica = replica
        self.cancellations = cancellations
        self.leadership = leadership
        self.catalog = catalog
        began = monotonic_time()
        operator = settings.operator
        self.job_table = JobTable(tasks_per_page(settings.value_bytes))
        self.inventory = MachineInventory(
            MachineHealth(settings.report_s, settings.lease_s, operator.silent_ratio, began), leadership.term
        )
        self.evaluations = Evaluations()
        self.assignments: dict[str, str] = {}
        keep_after = operator.begin_within_s * operator.keep_room_ratio
        objectives = ServiceLevelObjectives(settings.objectives, keep_after)
        self.scheduler = Scheduler(self.job_table, self.inventory, settings.teams, self.assignments, objectives)
        self.preemption = Preemption(self.scheduler)
        self.commit_queue = CommitQueue(
            state,
            self.job_table,
            leadership.leader_revision,
            settings.txn_ops,
            on_final=replica.note_final,
            on_commit=self.evaluations.progressed,
            on_lost=lambda: leadership.step_down("leader key lost"),
        )
        self.provisioner = Provisioner(
            settings,
            state,
            cloud,
            catalog,
            self.inventory,
            leadership,
            on_machine_lost=self.machine_lost,
            on_change=self.evaluations.request,
        )
        self.failure_detector = FailureDetector(
            settings, self.job_table, self.inventory, leadership, self.provisioner, on_machine_lost=self.machine_lost
        )
        self.autoscaler = Autoscaler(
            settings, self.job_table, self.inventory, catalog, self.scheduler, self.preemption, self.provisioner
        )
        self.ready = False
        self.rounds = BindingRounds(
            settings, state, leadership, self.job_table, self.inventory, catalog, self.scheduler
        )
        self.heartbeat_handler = HeartbeatHandler(
            settings,
            leadership,
            self.job_table,
            self.inventory,
            catalog,
            self.commit_queue,
            self.rounds,
            self.evaluations,
        )
        self.tasks: list[asyncio.Task[None]] = []
        self.on_evaluated: Callable[[Scheduler, list[TaskAttempt], float], None] | None = None
        self._last_evaluation = began
        self._plan_due = 0.0

    # -- beginning and end ------------------------------------------------------------------------

    def start(self) -> None:
        """Begin the term's work."""
        self.tasks = [asyncio.ensure_future(self._guard(self._run()))]

    def stop(self) -> None:
        """End it; nothing of the term acts any more."""
        for task in self.tasks:
            task.cancel()
        self.rounds.stop()
        if self._listen in self.replica.listeners:
            self.replica.listeners.remove(self._listen)

    async def _guard(self, work: Awaitable[None]) -> None:
        try:
            await work
        except asyncio.CancelledError:
            raise
        except Exception as problem:  # a term that can't go on must not pretend to lead
            error("leader_term_failed", error=repr(problem))
            self.leadership.step_down("internal failure")
            raise

    async def _run(self) -> None:
        while not await self.replica.reach(self.leadership.leader_revision, 1.0):
            pass
        while not self.catalog.types:
            await asyncio.sleep(0.1)
        self._load()
        self.tasks += [
            asyncio.ensure_future(self._guard(work))
            for work in (
                self.commit_queue.run(),
                self.provisioner.poll_machine_list(),
                self.provisioner.run_deletions(),
            )
        ]
        self.provisioner.resume_requests(self.replica.with_prefix(keys.INTENT))
        while True:
            await self.evaluations.requested(self.settings.report_s / 4)
            began = monotonic_time()
            self.evaluate()
            # an evaluation takes longer the more there is: it may have a part of the processor, never all of it
            await asyncio.sleep(max(self.settings.report_s / 20, (monotonic_time() - began) * EVALUATION_REST))

    def _load(self) -> None:
        load_records(self.replica, self.cancellations, self.job_table, self.inventory, self.rounds, self.commit_queue)
        self.replica.listeners.append(self._listen)
        self.ready = True
        info(
            "leader_term_ready",
            term=self.leadership.term,
            jobs=len(self.job_table.jobs),
            machines=len(self.job_table.attempts_by_machine),
        )
        self.commit_queue.wake.set()

    def _listen(self, key: str, entry: Entry | None) -> None:
        """A change of the state: new jobs and cancellations come this way."""
        if key.startswith(keys.JOB):
            job_id = key[len(keys.JOB) :]
            if entry is None:
                self.commit_queue.removed.discard(job_id)
            elif job_id not in self.job_table.jobs and job_id not in self.commit_queue.removed:
                job = self.job_table.load(entry.value, entry.mod_revision, monotonic_time(), time_of_day())
                self.rounds.bring_forward()
                if job.spec.priority is Priority.PRODUCTION:
                    self._plan_due = 0.0  # it displaces other work at once, best before that is launched
                info(
                    "job_loaded",
                    job=job_id,
                    job_class=job.spec.job_class,
                    kind=job.spec.kind,
                    tasks=job.spec.tasks,
                    image=job.spec.image,
                )
                self.evaluations.request()
                heard = self.cancellations.when(job_id)
                if heard is not None:
                    self.cancelled(job_id, heard)
        elif key.startswith(keys.CANCEL) and entry is not None:
            self.cancelled(key[len(keys.CANCEL) :], confirmed_at(entry))

    def cancelled(self, job_id: str, at: float) -> None:
        """A cancellation is committed, as the copy of the state or a peer says."""
        job = self.job_table.jobs.get(job_id)
        if job is None or not self.ready:
            return
        if not job.cancelled:
            info("job_cancelled", job=job_id)
        self.job_table.cancel(job, at)
        self.commit_queue.wake.set()
        self.evaluations.request()

    def machine_lost(self, name: str) -> None:
        """The cloud has confirmed that a machine is gone."""
        lost = self.job_table.machine_lost(name, monotonic_time())
        self.assignments.pop(name, None)
        self.rounds.bring_forward()
        info("machine_lost", machine=name, tasks=lost)
        self.commit_queue.wake.set()
        self.evaluations.request()

    # -- evaluation of all jobs and machines -------------------------------------------------------

    def evaluate(self) -> None:
        """Evidence and placement; at longer intervals preemption, renting, and a round when one is due."""
        now = monotonic_time()
        if now - self._last_evaluation > self.settings.report_s:
            # this process stood still: silence in that time proves nothing
            self.inventory.health.observing_since = now
        self._last_evaluation = now
        if not self.leadership.holds_lease():
            if self.leadership.may_renew():
                self.failure_detector.delete_with_cancelled_tasks(now)  # the time for these runs on through an outage
            return
        self.leadership.check_fence()
        planning = now >= self._plan_due
        if planning:
            self._plan_due = now + self.settings.report_s * PLAN_EVERY
            self.failure_detector.evaluate(now)
        started = self.scheduler.run(now)
        for attempt in started:
            info(
                "task_placed",
                job=attempt.job.spec.id,
                task=attempt.index,
                attempt=attempt.number,
                machine=attempt.machine,
            )
        if self.on_evaluated is not None:
            self.on_evaluated(self.scheduler, started, now)
        if self.scheduler.cut_short:
            self.evaluations.request()
        if planning:
            self._preempt(self.scheduler.waiting, now)
            self.autoscaler.adjust(self.scheduler.waiting, now)
        self.rounds.run_if_due(now)
        if self.job_table.uncommitted or self.job_table.finalizing:
            self.commit_queue.wake.set()
        self.evaluations.finished()

    def _preempt(self, queue: list[Job], now: float) -> None:
        for job in queue:
            if not self.preemption.displaces(job):
                continue
            early = now - job.order < self.settings.report_s and job.spec.priority is not Priority.PRODUCTION
            for attempt in self.preemption.make_room(job, now, early):
                info(
                    "task_preempted",
                    job=attempt.job.spec.id,
                    task=attempt.index,
                    machine=attempt.machine,
                    by=job.spec.id,
                )
                stop_softly(attempt, self.settings.gang_peer_s)
                if self.job_table.is_unlaunched(attempt):  # nothing of it is on its way: the room is free at once
                    self.job_table.attempt_lost(attempt, now)
                    self.evaluations.request()
                machine = self.inventory.machines.get(attempt.machine)
                if machine is not None:
                    self.job_table.recompute_usage(machine, now)
