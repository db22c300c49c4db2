"""The leader's evaluation loop: failure detection, scheduling, preemption, scaling and binding rounds."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from passrock.controller.autoscaler import Autoscaler
from passrock.controller.binding_rounds import BindingRounds
from passrock.controller.commit_queue import CommitQueue
from passrock.controller.evaluations import EvaluationSignals
from passrock.controller.failure_detector import FailureDetector
from passrock.controller.leadership import Leadership
from passrock.controller.renewal_policy import RenewalPolicy
from passrock.controller.term_fence import TermFence
from passrock.core.graceful_stop import stop_gracefully
from passrock.core.inventory import MachineInventory
from passrock.core.job import Job, TaskAttempt
from passrock.core.job_table import JobTable
from passrock.core.model import Priority
from passrock.core.preemption import Preemption
from passrock.core.scheduler import Scheduler
from passrock.io.clock import monotonic_time
from passrock.logs import info
from passrock.settings import Settings

PAUSE_RATIO = 2.0  # the pause after an evaluation, as a multiple of its duration
MAX_EVALUATIONS_PER_HEARTBEAT = 20  # sets the shortest pause between two evaluations
IDLE_EVALUATIONS_PER_HEARTBEAT = 4  # without a request
PLAN_INTERVAL_HEARTBEATS = 0.4  # between two evaluations that detect failures and plan

EvaluationObserver = Callable[[Scheduler, list[TaskAttempt], float], None]


class EvaluationLoop:
    """Runs evaluations on request and at intervals.

    Failure detection and the planning of preemption and scaling cost more and run in only some evaluations.
    """

    def __init__(
        self,
        settings: Settings,
        leadership: Leadership,
        renewal: RenewalPolicy,
        fence: TermFence,
        job_table: JobTable,
        inventory: MachineInventory,
        scheduler: Scheduler,
        preemption: Preemption,
        failure_detector: FailureDetector,
        autoscaler: Autoscaler,
        binding_rounds: BindingRounds,
        commit_queue: CommitQueue,
        evaluations: EvaluationSignals,
    ) -> None:
        self.settings = settings
        self.leadership = leadership
        self.renewal = renewal
        self.fence = fence
        self.job_table = job_table
        self.inventory = inventory
        self.scheduler = scheduler
        self.preemption = preemption
        self.failure_detector = failure_detector
        self.autoscaler = autoscaler
        self.binding_rounds = binding_rounds
        self.commit_queue = commit_queue
        self.evaluations = evaluations
        self._observers: list[EvaluationObserver] = []
        self._last_evaluated_at = monotonic_time()
        self._plan_due_at = 0.0

    def subscribe(self, observer: EvaluationObserver) -> None:
        """Call ``observer`` after each scheduling pass with the scheduler, the new attempts and ``now``."""
        self._observers.append(observer)

    def plan_now(self) -> None:
        """Make the next evaluation include failure detection and planning."""
        self._plan_due_at = 0.0

    async def run(self) -> None:
        """Evaluate until cancelled.

        The pause after an evaluation grows with its duration, so that evaluations of a large cluster leave processor
        time for other work.
        """
        heartbeat_interval = self.settings.report_s
        while True:
            await self.evaluations.wait_for_request(heartbeat_interval / IDLE_EVALUATIONS_PER_HEARTBEAT)
            started_at = monotonic_time()
            self.evaluate()
            pause = (monotonic_time() - started_at) * PAUSE_RATIO
            await asyncio.sleep(max(heartbeat_interval / MAX_EVALUATIONS_PER_HEARTBEAT, pause))

    def evaluate(self) -> None:
        """Run one evaluation; without the leader's lease, only what must continue through an outage of the store."""
        now = monotonic_time()
        self._detect_process_pause(now)
        if not self.leadership.holds_lease():
            if self.renewal.may_renew():
                # cancel_s also applies during an outage
                self.failure_detector.delete_machines_with_cancelled_tasks(now)
            return
        self.fence.update()
        plan_due = now >= self._plan_due_at
        if plan_due:
            self._plan_due_at = now + self.settings.report_s * PLAN_INTERVAL_HEARTBEATS
            self.failure_detector.evaluate(now)
        self._schedule(now)
        if plan_due:
            self._preempt(self.scheduler.waiting_jobs, now)
            self.autoscaler.adjust(self.scheduler.waiting_jobs, now)
        self.binding_rounds.run_if_due(now)
        if self.job_table.uncommitted or self.job_table.finalizing:
            self.commit_queue.commit_requested.set()
        self.evaluations.record_finished()

    def _detect_process_pause(self, now: float) -> None:
        """Restart the observation of machines after a pause of this process.

        Heartbeats missed during the pause do not show that a machine has failed.
        """
        if now - self._last_evaluated_at > self.settings.report_s:
            self.inventory.health.observing_since = now
        self._last_evaluated_at = now

    def _schedule(self, now: float) -> None:
        placed = self.scheduler.run(now)
        for attempt in placed:
            info(
                "task_placed",
                job=attempt.job.spec.id,
                task=attempt.index,
                attempt=attempt.number,
                machine=attempt.machine,
            )
        for job in self.scheduler.deferrals.newly_exhausted:
            waited_s = round(now - job.waiting_since)
            info("job_deferral_exhausted", job=job.spec.id, waited_s=waited_s, held=len(self.scheduler.holds))
        for observer in self._observers:
            observer(self.scheduler, placed, now)
        if self.scheduler.truncated:
            self.evaluations.request()

    def _preempt(self, queue: list[Job], now: float) -> None:
        """Stop tasks of lower rank for the waiting jobs that may preempt them."""
        for job in queue:
            if not self.preemption.policy.can_preempt(job):
                continue
            is_new = now - job.submitted_at_monotonic < self.settings.report_s
            elastic_only = is_new and job.spec.priority is not Priority.PRODUCTION
            for victim in self.preemption.select_victims(job, now, elastic_only=elastic_only):
                self._stop(victim, job, now)

    def _stop(self, victim: TaskAttempt, job: Job, now: float) -> None:
        info("task_preempted", job=victim.job.spec.id, task=victim.index, machine=victim.machine, by=job.spec.id)
        stop_gracefully(victim, self.settings.gang_peer_s)
        if victim.is_unlaunched:  # its launch was never sent: the capacity is free at once
            self.job_table.record_attempt_lost(victim, now)
            self.evaluations.request()
        machine = self.inventory.machines.get(victim.machine)
        if machine is not None:
            self.job_table.recompute_usage(machine, now)
