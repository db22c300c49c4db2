"""Fair admission on one controller: decides on submissions, reports demand to peers, allocates slots as leader."""

from __future__ import annotations

import asyncio
import math
import random
from typing import TYPE_CHECKING

from passrock.admission.controller.allocation_store import AllocationStore
from passrock.admission.controller.allocator import SlotAllocator
from passrock.admission.controller.dispatch import DispatchPrioritizer
from passrock.admission.controller.outcomes import SlotOutcomes
from passrock.admission.controller.submission_admitter import SubmissionAdmitter
from passrock.admission.core.admitted import AdmittedJobs
from passrock.admission.core.decision import Decision
from passrock.admission.core.demand import DemandReport, DemandTable
from passrock.admission.core.flows import Flow, Weights
from passrock.admission.core.grants import GrantLedger
from passrock.admission.core.slots import SlotClock
from passrock.admission.core.starvation import StartTracker
from passrock.admission.settings import AdmissionSettings
from passrock.admission.wire.demand_message import MalformedDemandError, decode_demand, encode_demand
from passrock.controller import keys
from passrock.controller.admission_controller import Refusal
from passrock.controller.leader_term import LeaderTerm
from passrock.controller.leadership import Leadership
from passrock.controller.replica import Replica
from passrock.core.model import JobSpec
from passrock.core.records import GRANT_REFERENCE_FIELD, AdmissionToken
from passrock.io.clock import monotonic_time, time_of_day
from passrock.io.peers import PeerTable
from passrock.io.store import KeyValueStoreClient
from passrock.logs import info
from passrock.settings import Settings
from passrock.wire.store import Entry

if TYPE_CHECKING:
    from passrock.admission.io.decision_log import DecisionLog

EXTENSION_NAME = "admission"
MAX_DEMAND_AGE_SLOTS = 2.0  # older demand reports are ignored
MALFORMED_REPORT_LOG_INTERVAL_S = 10.0  # least time between two log lines on malformed demand reports
DEMAND_MESSAGE_INTERVAL_HEARTBEATS = 0.3  # least age of an encoded demand report before it is replaced


class AdmissionControl:
    """Admission on this controller, for the lifetime of the process and across terms."""

    def __init__(
        self,
        settings: Settings,
        admission: AdmissionSettings,
        store: KeyValueStoreClient,
        replica: Replica,
        leadership: Leadership,
        peers: PeerTable,
        rng: random.Random,
    ) -> None:
        self.name = EXTENSION_NAME
        self.settings = settings
        self.admission = admission
        self.store = store
        self.leadership = leadership
        self.peers = peers
        self.clock = SlotClock(admission.slot_ratio * settings.report_s)
        self.weights = Weights(
            settings.teams,
            settings.objectives,
            admission.team_weights,
            admission.class_weights,
            admission.interactive_ratio,
        )
        self.incarnation = leadership.incarnation
        self.grants = GrantLedger(settings.node, self.incarnation)
        self.allocations = AllocationStore(lambda: replica.entries, on_allocation=self.grants.add)
        self.admitter = SubmissionAdmitter(self.clock, self.grants, self.allocations, self.weights, rng)
        self.admitted = AdmittedJobs()
        self.demand = DemandTable(MAX_DEMAND_AGE_SLOTS * self.clock.length_s)
        self.dispatch: DispatchPrioritizer | None = None  # of the latest term in which this node led
        self._allocator_task: asyncio.Task[None] | None = None
        self._started_ms = int(time_of_day() * 1000)
        self._report: DemandReport | None = None
        self._message_encoded_at = -math.inf
        self._message = b""
        self._last_sequence_number = 0
        self._malformed_logged_at = -math.inf
        replica.subscribe(self._on_change)
        self.decision_log = self._open_decision_log()

    def _open_decision_log(self) -> DecisionLog | None:
        if not self.admission.log_dir:
            return None
        from passrock.admission.io.decision_log import DecisionLog  # not loaded unless a log is written

        return DecisionLog(self.admission.log_dir, int(self.admission.log_mb * 1e6), self._started_ms)

    # -- the replica of the store ------------------------------------------------------------------------

    def _on_change(self, key: str, entry: Entry | None) -> None:
        if key.startswith(keys.ALLOCATION):
            self.allocations.on_change(key, entry)
        elif key.startswith(keys.JOB) and entry is not None:
            self._on_job_record(key[len(keys.JOB) :], entry)

    def _on_job_record(self, job_id: str, entry: Entry) -> None:
        """Process a job record: its submission will not be retried, and its grant reference counts as admitted."""
        self.admitter.demand.record_accepted(job_id)
        reference = entry.value.get(GRANT_REFERENCE_FIELD)
        if isinstance(reference, list) and reference and isinstance(reference[0], int):
            spec = entry.value["s"]
            self.admitted.record(job_id, Flow(spec["t"], spec["c"]), reference[0])

    # -- submissions ---------------------------------------------------------------------------------------

    def decide(self, spec: JobSpec) -> AdmissionToken | Refusal | None:
        """Return an admission token or a refusal, or None while no leader allocates slots."""
        return self.admitter.decide(spec) if self._is_in_force() else None

    def request_finished(self, spec: JobSpec, *, unused: bool) -> None:
        """Release the admission of a request that has ended; see ``SubmissionAdmitter.request_finished``."""
        self.admitter.request_finished(spec, unused=unused)

    def _is_in_force(self) -> bool:
        """Whether slots are allocated: false while the leader's heartbeat has no admission extension.

        Such a leader runs with admission disabled. While no leader is known, admission stays in force.
        """
        if self.leadership.leading:
            return True
        heartbeats = self.peers.heartbeats(monotonic_time() - self.leadership.lease_ttl_s)
        leader_heartbeats = [heartbeat for heartbeat in heartbeats if heartbeat.leading]
        if not leader_heartbeats:
            return True
        return max(leader_heartbeats, key=lambda heartbeat: heartbeat.term).extension(EXTENSION_NAME) is not None

    # -- the peers -----------------------------------------------------------------------------------------

    def demand_report(self) -> DemandReport:
        """Return this controller's present demand."""
        wall_clock_now = time_of_day()
        flows = self.admitter.demand.demand(self.clock.slot_at(wall_clock_now), wall_clock_now)
        self._last_sequence_number += 1
        return DemandReport(
            self.settings.node,
            self.incarnation,
            self._started_ms,
            self._last_sequence_number,
            self.leadership.highest_term,
            flows,
        )

    def encode_message(self) -> bytes:
        """Return the encoded demand report for the peers, which is renewed at intervals."""
        now = monotonic_time()
        if (
            now - self._message_encoded_at >= self.settings.report_s * DEMAND_MESSAGE_INTERVAL_HEARTBEATS
            or not self._message
        ):
            self._message_encoded_at = now
            self._message = encode_demand(self.demand_report())
        return self._message

    def receive_message(self, node: str, data: bytes) -> None:
        """Store a peer's demand report; a malformed report is logged and ignored."""
        try:
            report = decode_demand(node, data)
        except MalformedDemandError as exc:
            now = monotonic_time()
            if now - self._malformed_logged_at >= MALFORMED_REPORT_LOG_INTERVAL_S:
                self._malformed_logged_at = now
                info("demand_report_malformed", node=node, error=exc)
            return
        self.demand.update(report, self.leadership.highest_term, monotonic_time())

    # -- leading ---------------------------------------------------------------------------------------------

    def start_leading(self, term: LeaderTerm) -> None:
        """Start to allocate slots and to prioritize jobs for a new term of this node."""
        admission = self.admission
        start_tracker = StartTracker(admission.window_s * admission.favour_ratio)
        dispatch = DispatchPrioritizer(
            start_tracker, admission.window_s, admission.window_s * admission.protect_ratio, self.settings.report_s
        )
        outcomes = SlotOutcomes(self.clock, self.weights, self.admitted, self.demand, dispatch, self._record_decision)
        allocator = SlotAllocator(
            self.settings,
            admission,
            self.store,
            self.leadership,
            self.allocations,
            outcomes,
            self.demand_report,
            term.commit_queue.estimated_delay_s,
        )
        term.evaluation_loop.subscribe(dispatch.on_pass_completed)
        self.dispatch = dispatch
        self._allocator_task = asyncio.create_task(self._run_allocator(term, allocator))

    def _record_decision(self, decision: Decision) -> None:
        if self.decision_log is not None:
            self.decision_log.add(decision)

    def stop_leading(self) -> None:
        """Stop allocating slots at the end of a term, and flush the decision log."""
        if self._allocator_task is not None:
            self._allocator_task.cancel()
            self._allocator_task = None
        if self.decision_log is not None:
            self.decision_log.flush()

    async def _run_allocator(self, term: LeaderTerm, allocator: SlotAllocator) -> None:
        while not term.ready:
            await asyncio.sleep(self.settings.report_s / 10)
        await allocator.run()
