"""What users ask for: counted by each controller, gathered by the leader."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

import msgspec

from passrock.admission.core.flows import Flow

MAX_WAITING = 20_000  # refused submissions that one controller remembers


class FlowDemand(msgspec.Struct, frozen=True):
    """What a flow asks of one controller."""

    waiting: int = 0  # submissions that were refused and will come again
    arriving: int = 0  # new ones in a slot
    refused: int = 0  # answers that refused, in the slot before
    oldest_s: float = 0.0  # since the first refusal of the oldest that waits

    @property
    def wanted(self) -> int:
        """How many it could use in the next slot."""
        return self.waiting + self.arriving


class DemandReport(msgspec.Struct, frozen=True):
    """One controller's demand; a later one replaces it."""

    node: str
    incarnation: int
    started_ms: int  # the time of day at which this incarnation began: tells incarnations of a node apart by age
    number: int
    term: int
    flows: dict[Flow, FlowDemand]
    omitted_flows: int = 0  # flows that didn't fit into the message

    @property
    def age_key(self) -> tuple[int, int]:
        """Larger is newer, also across incarnations of the node."""
        return self.started_ms, self.number


class DeferredSubmission(msgspec.Struct):
    """A submission that was refused and may come again."""

    flow: Flow
    since: float
    until: float  # by then it has come again, or its user has given up


class DemandCounter:
    """Counts one controller's submissions."""

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
        follows = slot == self._slot + 1
        self._arrived_previous = self._arrived if follows else {}
        self._refused_previous = self._refused if follows else {}
        self._arrived, self._refused = {}, {}
        self._slot = slot

    def _stop_waiting(self, job_id: str) -> bool:
        """Expect a submission no longer; whether it was expected."""
        known = self._waiting.pop(job_id, None)
        if known is None:
            return False
        self._waiting_by_flow[known.flow] -= 1
        if self._waiting_by_flow[known.flow] == 0:
            del self._waiting_by_flow[known.flow]
        return True

    def record_admitted(self, job_id: str, flow: Flow, slot: int) -> None:
        """A submission had a grant."""
        self._advance_to(slot)
        if not self._stop_waiting(job_id):
            self._arrived[flow] = self._arrived.get(flow, 0) + 1

    def record_refused(self, job_id: str, flow: Flow, slot: int, now: float, until: float) -> None:
        """A submission was refused; its user may come again by ``until``."""
        self._advance_to(slot)
        self._refused[flow] = self._refused.get(flow, 0) + 1
        known = self._waiting.get(job_id)
        if known is not None:
            known.until = until
            self._waiting.move_to_end(job_id)
            return
        self._arrived[flow] = self._arrived.get(flow, 0) + 1
        self._waiting[job_id] = DeferredSubmission(flow, now, until)
        self._waiting_by_flow[flow] = self._waiting_by_flow.get(flow, 0) + 1
        if len(self._waiting) > MAX_WAITING:
            self._stop_waiting(next(iter(self._waiting)))

    def accepted_anywhere(self, job_id: str) -> None:
        """Some controller has accepted the job: it will not come again here."""
        self._stop_waiting(job_id)

    def waiting(self, flow: Flow) -> int:
        """How many of a flow wait to come again."""
        return self._waiting_by_flow.get(flow, 0)

    def demand(self, slot: int, now: float) -> dict[Flow, FlowDemand]:
        """What each flow asks for, with those that were not heard of again left out."""
        self._advance_to(slot)
        for job_id in [job_id for job_id, one in self._waiting.items() if one.until < now]:
            self._stop_waiting(job_id)
        waiting = self._waiting_by_flow
        oldest: dict[Flow, float] = {}
        for one in self._waiting.values():
            oldest[one.flow] = max(oldest.get(one.flow, 0.0), now - one.since)
        flows = {*waiting, *self._arrived, *self._arrived_previous, *self._refused, *self._refused_previous}
        return {
            flow: FlowDemand(
                waiting.get(flow, 0),
                max(self._arrived.get(flow, 0), self._arrived_previous.get(flow, 0)),
                self._refused_previous.get(flow, 0),
                oldest.get(flow, 0.0),
            )
            for flow in flows
        }


class DemandTable:
    """The newest demand of each controller, as the leader knows it."""

    def __init__(self, max_age_s: float) -> None:
        self.max_age_s = max_age_s
        self._reports: dict[str, tuple[DemandReport, float]] = {}
        self._incarnations: dict[str, int] = {}

    def update(self, report: DemandReport, term: int, now: float) -> bool:
        """Take in a report; False for one of an older term, a repeated one, or one that a newer one has overtaken."""
        if report.term < term:
            return False
        known = self._reports.get(report.node)
        if known is not None and report.age_key <= known[0].age_key:
            return False
        self._reports[report.node] = (report, now)
        self._incarnations[report.node] = report.incarnation
        return True

    def incarnations(self) -> dict[str, int]:
        """The last known incarnation of each controller."""
        return dict(self._incarnations)

    def learn_incarnations(self, incarnations: Iterable[tuple[str, int]]) -> None:
        """Lives that an earlier leader knew; a report counts for more."""
        for node, incarnation in incarnations:
            self._incarnations.setdefault(node, incarnation)

    def demand(self, now: float) -> dict[str, dict[Flow, FlowDemand]]:
        """Each controller's demand, as far as it was heard of lately."""
        return {node: report.flows for node, (report, at) in self._reports.items() if now - at <= self.max_age_s}
