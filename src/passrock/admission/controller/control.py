"""Admission on one controller: decisions on submissions, demand told to peers, the leader's part while it leads."""

from __future__ import annotations

import asyncio
import math
import random
from typing import TYPE_CHECKING

from passrock.admission.controller.allocation_store import AllocationStore
from passrock.admission.controller.allocator import SlotAllocator
from passrock.admission.controller.dispatch import Dispatch
from passrock.admission.controller.outcomes import SlotOutcomes
from passrock.admission.controller.submission_admitter import SubmissionAdmitter
from passrock.admission.core.admitted import AdmittedJobs
from passrock.admission.core.decision import Decision
from passrock.admission.core.demand import DemandReport, DemandTable
from passrock.admission.core.flows import Flow, Weights
from passrock.admission.core.grants import GrantLedger
from passrock.admission.core.slots import SlotClock
from passrock.admission.core.starvation import StartWatch
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

NAME = "admission"
DEMAND_KEPT_SLOTS = 2.0
MALFORMED_LOG_INTERVAL_S = 10.0  # a log line on malformed reports at most this often
MESSAGE_INTERVAL_RATIO = 0.3  # of the heartbeat interval, between two messages to the peers


class AdmissionControl:
    """Everything of admission that lives as long as the process."""

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
        self.name = NAME
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
        self.demand = DemandTable(DEMAND_KEPT_SLOTS * self.clock.length_s)
        self.dispatch: Dispatch | None = None  # of the latest term that this node led
        self._deciding: asyncio.Task[None] | None = None
        self._started_ms = int(time_of_day() * 1000)
        self._report: DemandReport | None = None
        self._message_made_at = -math.inf
        self._message = b""
        self._reports = 0
        self._malformed_logged_at = -math.inf
        replica.subscribe(self._changed)
        self.log = self._open_log()

    def _open_log(self) -> DecisionLog | None:
        if not self.admission.log_dir:
            return None
        from passrock.admission.io.decision_log import DecisionLog  # not loaded where no log is kept

        return DecisionLog(self.admission.log_dir, int(self.admission.log_mb * 1e6), self._started_ms)

    # -- the replica of the store ------------------------------------------------------------------------

    def _changed(self, key: str, entry: Entry | None) -> None:
        if key.startswith(keys.ALLOCATION):
            self.allocations.on_change(key, entry)
        elif key.startswith(keys.JOB) and entry is not None:
            self._accepted(key[len(keys.JOB) :], entry)

    def _accepted(self, job_id: str, entry: Entry) -> None:
        """A job's record: whichever controller accepted it, its user will not come again here."""
        self.admitter.demand.accepted_anywhere(job_id)
        reference = entry.value.get(GRANT_REFERENCE_FIELD)
        if isinstance(reference, list) and reference and isinstance(reference[0], int):
            spec = entry.value["s"]
            self.admitted.note(job_id, Flow(spec["t"], spec["c"]), reference[0])

    # -- submissions ---------------------------------------------------------------------------------------

    def decide(self, spec: JobSpec) -> AdmissionToken | Refusal | None:
        """A token for the submission or a refusal; None where nobody decides slots."""
        return self.admitter.decide(spec) if self._in_force() else None

    def request_finished(self, spec: JobSpec, *, unused: bool) -> None:
        """A request with an admission token is over."""
        self.admitter.request_finished(spec, unused=unused)

    def _in_force(self) -> bool:
        """Whether slots are decided: not while the leader, as it says itself, does not know of them."""
        if self.leadership.leading:
            return True
        heartbeats = self.peers.heartbeats(monotonic_time() - self.leadership.lease_ttl_s)
        leading = [heartbeat for heartbeat in heartbeats if heartbeat.leading]
        if not leading:
            return True
        return max(leading, key=lambda heartbeat: heartbeat.term).extension(NAME) is not None

    # -- the peers -----------------------------------------------------------------------------------------

    def report(self) -> DemandReport:
        """This controller's demand as of now."""
        now = time_of_day()
        flows = self.admitter.demand.demand(self.clock.number(now), now)
        self._reports += 1
        return DemandReport(
            self.settings.node, self.incarnation, self._started_ms, self._reports, self.leadership.known_term, flows
        )

    def outgoing(self) -> bytes:
        """The demand for the peers, made anew at intervals."""
        now = monotonic_time()
        if now - self._message_made_at >= self.settings.report_s * MESSAGE_INTERVAL_RATIO or not self._message:
            self._message_made_at = now
            self._message = encode_demand(self.report())
        return self._message

    def received(self, node: str, data: bytes) -> None:
        """A peer's demand; one that can't be read counts as none."""
        try:
            report = decode_demand(node, data)
        except MalformedDemandError as problem:
            now = monotonic_time()
            if now - self._malformed_logged_at >= MALFORMED_LOG_INTERVAL_S:
                self._malformed_logged_at = now
                info("demand_report_malformed", node=node, error=problem)
            return
        self.demand.update(report, self.leadership.known_term, monotonic_time())

    # -- leading ---------------------------------------------------------------------------------------------

    def lead(self, term: LeaderTerm) -> None:
        """This node leads from now on."""
        admission = self.admission
        watch = StartWatch(admission.window_s * admission.favour_ratio)
        dispatch = Dispatch(
            watch, admission.window_s, admission.window_s * admission.protect_ratio, self.settings.report_s
        )
        outcomes = SlotOutcomes(self.clock, self.weights, self.admitted, self.demand, dispatch, self._keep_decision)
        allocator = SlotAllocator(
            self.settings,
            admission,
            self.store,
            self.leadership,
            self.allocations,
            outcomes,
            self.report,
            term.commit_queue.estimated_delay_s,
        )
        term.evaluation_loop.subscribe(dispatch.evaluated)
        self.dispatch = dispatch
        self._deciding = asyncio.create_task(self._decide(term, allocator))

    def _keep_decision(self, decision: Decision) -> None:
        if self.log is not None:
            self.log.add(decision)

    def lead_no_longer(self) -> None:
        """The term is over: nothing of it is decided any more."""
        if self._deciding is not None:
            self._deciding.cancel()
            self._deciding = None
        if self.log is not None:
            self.log.flush()

    async def _decide(self, term: LeaderTerm, allocator: SlotAllocator) -> None:
        while not term.ready:
            await asyncio.sleep(self.settings.report_s / 10)
        await allocator.run()
