"""One term of leadership: the components with which a leader runs the cluster, created anew for each term."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable

from passrock.controller import keys
from passrock.controller.autoscaler import Autoscaler
from passrock.controller.binding_rounds import BindingRounds
from passrock.controller.commit_queue import CommitQueue
from passrock.controller.evaluation_loop import EvaluationLoop
from passrock.controller.evaluations import EvaluationSignals
from passrock.controller.failure_detector import FailureDetector
from passrock.controller.heartbeat_handler import HeartbeatHandler
from passrock.controller.leadership import Leadership
from passrock.controller.provisioner import Provisioner
from passrock.controller.record_loader import load_records
from passrock.controller.renewal_policy import RenewalPolicy
from passrock.controller.replica import Replica
from passrock.controller.state_events import StateEvents
from passrock.controller.term_fence import TermFence
from passrock.core.cancellations import CancellationLog
from passrock.core.inventory import MachineInventory
from passrock.core.job_table import JobTable
from passrock.core.machine_catalog import MachineCatalog
from passrock.core.machine_health import MachineHealth
from passrock.core.objectives import ServiceLevelObjectives
from passrock.core.preemption import Preemption
from passrock.core.records import tasks_per_page
from passrock.core.scheduler import Scheduler
from passrock.io.clock import monotonic_time
from passrock.io.cloud import CloudClient
from passrock.io.peers import PeerTable
from passrock.io.store import KeyValueStoreClient
from passrock.logs import error, info
from passrock.settings import Settings

REPLICA_TIMEOUT_S = 1.0  # of one wait for the replica; the wait is repeated until it succeeds
MACHINE_TYPES_POLL_INTERVAL_S = 0.1


class LeaderTerm:
    """The components and state of one term; ``ready`` is set once the records of earlier terms are loaded."""

    def __init__(
        self,
        settings: Settings,
        store: KeyValueStoreClient,
        cloud: CloudClient,
        replica: Replica,
        cancellations: CancellationLog,
        leadership: Leadership,
        renewal: RenewalPolicy,
        peers: PeerTable,
        catalog: MachineCatalog,
    ) -> None:
        self.replica = replica
        self.cancellations = cancellations
        self.leadership = leadership
        self.renewal = renewal
        self.peers = peers
        self.fence = TermFence(leadership, peers, settings.node_count)
        self.catalog = catalog
        self.ready = False
        self.tasks: list[asyncio.Task[None]] = []
        self._build_tables(settings)
        self._build_scheduler(settings)
        self._build_writers(settings, store, cloud)
        self._build_evaluation(settings)
        self._build_event_handlers(settings)

    # -- construction, in the order of dependencies ------------------------------------------------------

    def _build_tables(self, settings: Settings) -> None:
        self.job_table = JobTable(tasks_per_page(settings.value_bytes))
        health = MachineHealth(
            settings.report_s, settings.lease_s, settings.operator.silent_ratio, observing_since=monotonic_time()
        )
        self.inventory = MachineInventory(health, self.leadership.term)
        self.assignments: dict[str, str] = {}  # machine -> team, updated by binding rounds
        self.evaluations = EvaluationSignals()

    def _build_scheduler(self, settings: Settings) -> None:
        operator = settings.operator
        starvation_threshold_s = operator.begin_within_s * operator.keep_room_ratio
        objectives = ServiceLevelObjectives(settings.objectives, starvation_threshold_s, operator.begin_within_s)
        self.scheduler = Scheduler(self.job_table, self.inventory, settings.teams, self.assignments, objectives)
        self.preemption = Preemption(self.scheduler)

    def _build_writers(self, settings: Settings, store: KeyValueStoreClient, cloud: CloudClient) -> None:
        leadership = self.leadership
        self.commit_queue = CommitQueue(
            store,
            self.job_table,
            leadership.leader_revision,
            settings.txn_ops,
            on_finalized=self.replica.cache_final_status,
            on_committed=self.evaluations.notify_progress,
            on_leadership_lost=lambda: leadership.step_down("leader key lost"),
        )
        self.provisioner = Provisioner(
            settings,
            store,
            cloud,
            self.catalog,
            self.inventory,
            leadership,
            on_machine_lost=self._on_machine_lost,
            on_change=self.evaluations.request,
        )
        self.binding_rounds = BindingRounds(
            settings, store, leadership, self.job_table, self.inventory, self.catalog, self.scheduler
        )

    def _build_evaluation(self, settings: Settings) -> None:
        self.failure_detector = FailureDetector(
            settings,
            self.job_table,
            self.inventory,
            self.leadership,
            self.fence,
            self.peers,
            self.provisioner,
            on_machine_lost=self._on_machine_lost,
        )
        autoscaler = Autoscaler(
            settings, self.job_table, self.inventory, self.catalog, self.scheduler, self.preemption, self.provisioner
        )
        self.evaluation_loop = EvaluationLoop(
            settings,
            self.leadership,
            self.renewal,
            self.fence,
            self.job_table,
            self.inventory,
            self.scheduler,
            self.preemption,
            self.failure_detector,
            autoscaler,
            self.binding_rounds,
            self.commit_queue,
            self.evaluations,
        )

    def _build_event_handlers(self, settings: Settings) -> None:
        self.state_events = StateEvents(
            self.cancellations,
            self.job_table,
            self.assignments,
            self.binding_rounds,
            self.commit_queue,
            self.evaluations,
            plan_now=self.evaluation_loop.plan_now,
        )
        self.heartbeat_handler = HeartbeatHandler(
            settings,
            self.leadership,
            self.renewal,
            self.job_table,
            self.inventory,
            self.catalog,
            self.commit_queue,
            self.binding_rounds,
            self.evaluations,
        )

    # -- lifecycle ---------------------------------------------------------------------------------------

    def start(self) -> None:
        """Start the background tasks of the term."""
        self.tasks = [asyncio.create_task(self._step_down_on_failure(self._run()))]

    def stop(self) -> None:
        """Cancel the background tasks and subscriptions of the term."""
        for task in self.tasks:
            task.cancel()
        self.binding_rounds.stop()
        self.replica.unsubscribe(self.state_events.on_change)

    def on_cancellation(self, job_id: str, confirmed_at: float) -> None:
        """Apply a committed cancellation; until ``ready`` this is left to the loading of the records."""
        if self.ready:
            self.state_events.on_cancellation(job_id, confirmed_at)

    def _on_machine_lost(self, name: str) -> None:
        # looks up the attribute when called: the callers are created before state_events
        self.state_events.on_machine_lost(name)

    async def _step_down_on_failure(self, work: Awaitable[None]) -> None:
        """Step down if ``work`` fails: a leader whose background task has ended must not keep the leader key."""
        try:
            await work
        except asyncio.CancelledError:
            raise
        except Exception as exc:
            error("leader_term_failed", error=repr(exc))
            self.leadership.step_down("internal failure")
            raise

    async def _run(self) -> None:
        while not await self.replica.wait_for_revision(self.leadership.leader_revision, REPLICA_TIMEOUT_S):
            pass
        while not self.catalog.types:
            await asyncio.sleep(MACHINE_TYPES_POLL_INTERVAL_S)
        self._load_records()
        self.tasks += [
            asyncio.create_task(self._step_down_on_failure(work))
            for work in (
                self.commit_queue.run(),
                self.provisioner.poll_machine_list(),
                self.provisioner.run_deletions(),
            )
        ]
        self.provisioner.resume_requests(self.replica.with_prefix(keys.PROVISIONING_INTENT))
        await self.evaluation_loop.run()

    def _load_records(self) -> None:
        load_records(
            self.replica, self.cancellations, self.job_table, self.inventory, self.binding_rounds, self.commit_queue
        )
        self.replica.subscribe(self.state_events.on_change)
        self.ready = True
        info(
            "leader_term_ready",
            term=self.leadership.term,
            jobs=len(self.job_table.jobs),
            machines=len(self.job_table.attempts_by_machine),
        )
        self.commit_queue.commit_requested.set()
