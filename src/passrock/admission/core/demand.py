"""What users ask for: counted by each controller, gathered by the leader."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

import msgspec

from passrock.admission.core.flows import Flow

MOST_WAITING = 20_000  # refused submissions that one controller remembers


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
    life: int
    started_ms: int  # the time of day at which this life began: tells lives of a node apart by age
    number: int
    term: int
    flows: dict[Flow, FlowDemand]
    left_out: int = 0  # flows that found no room in the message

    @property
    def age_key(self) -> tuple[int, int]:
        """Larger is newer, also across lives of the node."""
        return self.started_ms, self.number


class Refused(msgspec.Struct):
    """A submission that was refused and may come again."""

    flow: Flow
    since: float
    until: float  # by then it has come again, or its user has given up


class DemandCounter:
    """Counts one controller's submissions."""

    def __init__(self) -> None:
        self._waiting: OrderedDict[str, Refused] = OrderedDict()
        self._count: dict[Flow, int] = {}  # of those waiting
        self._slot = 0
        self._arrived: dict[Flow, int] = {}
        self._arrived_before: dict[Flow, int] = {}
        self._refused: dict[Flow, int] = {}
        self._refused_before: dict[Flow, int] = {}

    def _enter(self, slot: int) -> None:
        if slot == self._slot:
            return
        follows = slot == self._slot + 1
        self._arrived_before = self._arrived if follows else {}
        self._refused_before = self._refused if follows else {}
        self._arrived, self._refused = {}, {}
        self._slot = slot

    def _forget(self, job_id: str) -> bool:
        """Wait for a submission no longer; whether it was waited for."""
        known = self._waiting.pop(job_id, None)
        if known is None:
            return False
        self._count[known.flow] -= 1
        if self._count[known.flow] == 0:
            del self._count[known.flow]
        return True

    def admitted(self, job_id: str, flow: Flow, slot: int) -> None:
        """A submission had a grant."""
        self._enter(slot)
        if not self._forget(job_id):
            self._arrived[flow] = self._arrived.get(flow, 0) + 1

    def refused(self, job_id: str, flow: Flow, slot: int, now: float, until: float) -> None:
        """A submission was refused; its user may come again by ``until``."""
        self._enter(slot)
        self._refused[flow] = self._refused.get(flow, 0) + 1
        known = self._waiting.get(job_id)
        if known is not None:
            known.until = until
            self._waiting.move_to_end(job_id)
            return
        self._arrived[flow] = self._arrived.get(flow, 0) + 1
        self._waiting[job_id] = Refused(flow, now, until)
        self._count[flow] = self._count.get(flow, 0) + 1
        if len(self._waiting) > MOST_WAITING:
            self._forget(next(iter(self._waiting)))

    def accepted_anywhere(self, job_id: str) -> None:
        """Some controller has accepted the job: it will not come again here."""
        self._forget(job_id)

    def waiting(self, flow: Flow) -> int:
        """How many of a flow wait to come again."""
        return self._count.get(flow, 0)

    def demand(self, slot: int, now: float) -> dict[Flow, FlowDemand]:
        """What each flow asks for, with those that were not heard of again left out."""
        self._enter(slot)
        for job_id in [job_id for job_id, one in self._waiting.items() if one.until < now]:
            self._forget(job_id)
        waiting = self._count
        oldest: dict[Flow, float] = {}
        for one in self._waiting.values():
            oldest[one.flow] = max(oldest.get(one.flow, 0.0), now - one.since)
        flows = {*waiting, *self._arrived, *self._arrived_before, *self._refused, *self._refused_before}
        return {
            flow: FlowDemand(
                waiting.get(flow, 0),
                max(self._arrived.get(flow, 0), self._arrived_before.get(flow, 0)),
                self._refused_before.get(flow, 0),
                oldest.get(flow, 0.0),
            )
            for flow in flows
        }


class DemandTable:
    """The newest demand of each controller, as the leader knows it."""

    def __init__(self, keep_s: float) -> None:
        self.keep_s = keep_s
        self._reports: dict[str, tuple[DemandReport, float]] = {}
        self._lives: dict[str, int] = {}

    def take(self, report: DemandReport, term: int, now: float) -> bool:
        """Take in a report; False for one of an older term, a repeated one, or one that a newer one has overtaken."""
        if report.term < term:
            return False
        known = self._reports.get(report.node)
        if known is not None and report.age_key <= known[0].age_key:
            return False
        self._reports[report.node] = (report, now)
        self._lives[report.node] = report.life
        return True

    def lives(self) -> dict[str, int]:
        """The last known life of each controller."""
        return dict(self._lives)

    def know_lives(self, lives: Iterable[tuple[str, int]]) -> None:
        """Lives that an earlier leader knew; a report counts for more."""
        for node, life in lives:
            self._lives.setdefault(node, life)

    def demand(self, now: float) -> dict[str, dict[Flow, FlowDemand]]:
        """Each controller's demand, as far as it was heard of lately."""
        return {node: report.flows for node, (report, at) in self._reports.items() if now - at <= self.keep_s}
