"""What became of a slot: service is charged for what was admitted, and the decision log gets it."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from passrock.admission.controller.allocation_store import StoredAllocation
from passrock.admission.controller.dispatch import Dispatch
from passrock.admission.core.admitted import AdmittedJobs
from passrock.admission.core.allocation import ReceivedService
from passrock.admission.core.decision import Decision, FlowOutcome
from passrock.admission.core.demand import DemandTable, FlowDemand
from passrock.admission.core.flows import Flow, Weights
from passrock.admission.core.slots import SlotClock
from passrock.io.clock import monotonic_time, time_of_day
from passrock.logs import debug, info


class SlotOutcomes:
    """Settles slots that are over."""

    def __init__(
        self,
        clock: SlotClock,
        weights: Weights,
        admitted: AdmittedJobs,
        demand: DemandTable,
        dispatch: Dispatch,
        on_decision: Callable[[Decision], None],
    ) -> None:
        self.clock = clock
        self.weights = weights
        self.admitted = admitted
        self.demand = demand
        self.dispatch = dispatch
        self.on_decision = on_decision
        self._wanted: dict[int, dict[Flow, FlowDemand]] = {}  # by slot, when this leader allocated it

    def note_wanted(self, slot: int, demand: Iterable[dict[Flow, FlowDemand]]) -> None:
        """What the controllers asked for when a slot was allocated."""
        self._wanted[slot] = _sum_of(demand)

    def settle(self, latest: StoredAllocation, over: list[StoredAllocation]) -> ReceivedService:
        """The service received, counting what was admitted and not what was granted in slots that are over."""
        before = latest.allocation
        service = ReceivedService(dict(before.service.teams), dict(before.service.flows))
        for stored in over:
            if stored.allocation.slot > before.settled:
                self._settle(stored, service)
        return service

    def _settle(self, stored: StoredAllocation, service: ReceivedService) -> None:
        admitted = self.admitted.of(stored.allocation.slot)
        for flow in {*stored.granted, *admitted}:
            service.charge(flow, admitted.get(flow, 0) - stored.granted.get(flow, 0), self.weights)
        decision = self._decision(stored, admitted)
        _log_decision(decision)
        self.on_decision(decision)

    def _decision(self, stored: StoredAllocation, admitted: dict[Flow, int]) -> Decision:
        allocation = stored.allocation
        wanted = self._wanted.pop(allocation.slot, {})
        reported = _sum_of(self.demand.demand(monotonic_time()).values())
        waits = {wait.flow: wait for wait in self.dispatch.waits}
        starts = self.dispatch.take_starts()
        refused = {flow: one.refused for flow, one in reported.items() if one.refused}
        wall_clock_now = time_of_day()
        outcomes = []
        for flow in sorted({*wanted, *stored.granted, *admitted, *refused, *waits, *starts}):
            wait = waits.get(flow)
            outcomes.append(
                FlowOutcome(
                    flow.team,
                    flow.job_class,
                    wanted[flow].wanted if flow in wanted else 0,
                    stored.granted.get(flow, 0),
                    admitted.get(flow, 0),
                    refused.get(flow, 0),
                    starts.get(flow, 0),
                    wait.jobs if wait is not None else 0,
                    max(0.0, wall_clock_now - wait.since) if wait is not None else 0.0,
                    wait.obstacle.value if wait is not None else "",
                )
            )
        began_at = self.clock.start(allocation.slot)
        return Decision(
            allocation.slot, began_at, allocation.term, allocation.leader, allocation.capacity, tuple(outcomes)
        )


def _sum_of(demands: Iterable[dict[Flow, FlowDemand]]) -> dict[Flow, FlowDemand]:
    """The demand of several controllers."""
    total: dict[Flow, FlowDemand] = {}
    for demand in demands:
        for flow, one in demand.items():
            known = total.get(flow, FlowDemand())
            total[flow] = FlowDemand(
                known.waiting + one.waiting,
                known.arriving + one.arriving,
                known.refused + one.refused,
                max(known.oldest_s, one.oldest_s),
            )
    return total


def _log_decision(decision: Decision) -> None:
    """The metric of a slot: a line at ``info`` when something was refused, else at ``debug``."""
    refused = sum(flow.refused for flow in decision.flows)
    log = info if refused else debug
    log(
        "admission_slot",
        slot=decision.slot,
        capacity=decision.capacity,
        granted=sum(flow.granted for flow in decision.flows),
        admitted=sum(flow.admitted for flow in decision.flows),
        refused=refused,
        waiting=sum(flow.waiting_jobs for flow in decision.flows),
        longest_wait_s=round(max((flow.waited_s for flow in decision.flows), default=0.0)),
    )
