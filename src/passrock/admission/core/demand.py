"""Demand by flow: counted by each controller, and collected by the leader from demand reports."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

import msgspec

from passrock.admission.core.flows import Flow

MAX_DEFERRED_SUBMISSIONS = 20_000  # refused submissions that one controller keeps track of


class FlowDemand(msgspec.Struct, frozen=True):
    """The demand of a flow at one controller."""

    waiting: int = 0  # submissions that were refused and are expected to be retried
    arriving: int = 0  # new submissions per slot
    refused: int = 0  # refusals in the previous slot
    oldest_age_s: float = 0.0  # seconds since the first refusal of the oldest waiting submission

    @property
    def wanted(self) -> int:
        """The number of grants that the flow could use in the next slot."""
        return self.waiting + self.arriving


class DemandReport(msgspec.Struct, frozen=True):
    """One controller's demand; a later report of the same controller replaces it."""

    node: str
    incarnation: int
    started_ms: int  # wall-clock start time of this incarnation, by which incarnations of a node are ordered
    sequence_number: int
    term: int
    flows: dict[Flow, FlowDemand]
    omitted_flows: int = 0  # number of flows that did not fit into the message

    @property
    def recency_key(self) -> tuple[int, int]:
        """A key that is larger for a newer report, also across incarnations of the node."""
        return self.started_ms, self.sequence_number


class DeferredSubmission(msgspec.Struct):
    """A submission that was refused and may be retried."""

    flow: Flow
    first_refused_at: float
    retry_by: float  # without a retry by then, the user is assumed to have stopped retrying


class DemandCounter:
    """Counts one controller's submissions by flow. All times are wall-clock seconds since the epoch."""

    def __init__(self) -> None:
        self._waiting: OrderedDict[str, DeferredSubmission] = OrderedDict()
        self._waiting_by_flow: dict[Flow, int] = {}
        self._slot = 0
        self._arrived: dict[Flow, int] = {}
        self._arrived_previous: dict[Flow, int] = {}
        self._refused: dict[Flow, int] = {}
        self._refused_previous: dict[Flow, int] = {}

    def _advance_to(self, slot: int) -> None:
        if slot == self._slot:
            return
        is_next_slot = slot == self._slot + 1
        self._arrived_previous = self._arrived if is_next_slot else {}
        self._refused_previous = self._refused if is_next_slot else {}
        self._arrived, self._refused = {}, {}
        self._slot = slot

    def _stop_waiting(self, job_id: str) -> bool:
        """Stop expecting a retry of a submission; returns whether one was expected."""
        deferred = self._waiting.pop(job_id, None)
        if deferred is None:
            return False
        self._waiting_by_flow[deferred.flow] -= 1
        if self._waiting_by_flow[deferred.flow] == 0:
            del self._waiting_by_flow[deferred.flow]
        return True

    def record_admitted(self, job_id: str, flow: Flow, slot: int) -> None:
        """Count a submission that was admitted."""
        self._advance_to(slot)
        if not self._stop_waiting(job_id):
            self._arrived[flow] = self._arrived.get(flow, 0) + 1

    def record_refused(self, job_id: str, flow: Flow, slot: int, wall_clock_now: float, retry_by: float) -> None:
        """Count a submission that was refused and may be retried until ``retry_by``."""
        self._advance_to(slot)
        self._refused[flow] = self._refused.get(flow, 0) + 1
        deferred = self._waiting.get(job_id)
        if deferred is not None:
            deferred.retry_by = retry_by
            self._waiting.move_to_end(job_id)
            return
        self._arrived[flow] = self._arrived.get(flow, 0) + 1
        self._waiting[job_id] = DeferredSubmission(flow, wall_clock_now, retry_by)
        self._waiting_by_flow[flow] = self._waiting_by_flow.get(flow, 0) + 1
        if len(self._waiting) > MAX_DEFERRED_SUBMISSIONS:
            self._stop_waiting(next(iter(self._waiting)))

    def record_accepted(self, job_id: str) -> None:
        """Stop expecting a retry of a job that some controller has accepted."""
        self._stop_waiting(job_id)

    def waiting_count(self, flow: Flow) -> int:
        """Return how many submissions of a flow were refused and are expected to be retried."""
        return self._waiting_by_flow.get(flow, 0)

    def demand(self, slot: int, wall_clock_now: float) -> dict[Flow, FlowDemand]:
        """Return the demand of each flow, without submissions whose time for a retry has passed."""
        self._advance_to(slot)
        for job_id in [
            job_id for job_id, submission in self._waiting.items() if submission.retry_by < wall_clock_now
        ]:
            self._stop_waiting(job_id)
        waiting = self._waiting_by_flow
        oldest_age_s: dict[Flow, float] = {}
        for submission in self._waiting.values():
            oldest_age_s[submission.flow] = max(
                oldest_age_s.get(submission.flow, 0.0), wall_clock_now - submission.first_refused_at
            )
        flows = {*waiting, *self._arrived, *self._arrived_previous, *self._refused, *self._refused_previous}
        return {
            flow: FlowDemand(
                waiting.get(flow, 0),
                max(self._arrived.get(flow, 0), self._arrived_previous.get(flow, 0)),
                self._refused_previous.get(flow, 0),
                oldest_age_s.get(flow, 0.0),
            )
            for flow in flows
        }


class DemandTable:
    """The newest demand report of each controller."""

    def __init__(self, max_age_s: float) -> None:
        self.max_age_s = max_age_s
        self._reports: dict[str, tuple[DemandReport, float]] = {}
        self._incarnations: dict[str, int] = {}

    def update(self, report: DemandReport, term: int, now: float) -> bool:
        """Store a report, and return whether it was stored.

        A report of an older term, a duplicate, and a report older than the stored one are dropped.
        """
        if report.term < term:
            return False
        stored = self._reports.get(report.node)
        if stored is not None and report.recency_key <= stored[0].recency_key:
            return False
        self._reports[report.node] = (report, now)
        self._incarnations[report.node] = report.incarnation
        return True

    def incarnations(self) -> dict[str, int]:
        """Return the last known incarnation of each controller."""
        return dict(self._incarnations)

    def restore_incarnations(self, incarnations: Iterable[tuple[str, int]]) -> None:
        """Add incarnations from an earlier leader's allocation; those from demand reports take precedence."""
        for node, incarnation in incarnations:
            self._incarnations.setdefault(node, incarnation)

    def demand(self, now: float) -> dict[str, dict[Flow, FlowDemand]]:
        """Return the demand of each controller whose last report is at most ``max_age_s`` old."""
        return {
            node: report.flows
            for node, (report, received_at) in self._reports.items()
            if now - received_at <= self.max_age_s
        }
