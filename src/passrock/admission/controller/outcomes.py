"""Settles ended slots: corrects the service received to what was admitted, and emits the decisions for the log."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from passrock.admission.controller.allocation_store import StoredAllocation
from passrock.admission.controller.dispatch import DispatchPrioritizer
from passrock.admission.core.admitted import AdmittedJobs
from passrock.admission.core.allocation import ReceivedService
from passrock.admission.core.decision import Decision, FlowOutcome
from passrock.admission.core.demand import DemandTable, FlowDemand
from passrock.admission.core.flows import Flow, Weights
from passrock.admission.core.slots import SlotClock
from passrock.io.clock import monotonic_time, time_of_day
from passrock.logs import debug, info


class SlotOutcomes:
    """Settles slots that have ended, and emits their outcomes."""

    def __init__(
        self,
        clock: SlotClock,
        weights: Weights,
        admitted: AdmittedJobs,
        demand: DemandTable,
        dispatch: DispatchPrioritizer,
        on_decision: Callable[[Decision], None],
    ) -> None:
        self.clock = clock
        self.weights = weights
        self.admitted = admitted
        self.demand = demand
        self.dispatch = dispatch
        self.on_decision = on_decision
        self._demand_by_slot: dict[int, dict[Flow, FlowDemand]] = {}  # at the time of the slot's allocation

    def record_demand(self, slot: int, demand: Iterable[dict[Flow, FlowDemand]]) -> None:
        """Record the demand at the controllers on which the allocation of a slot is based."""
        self._demand_by_slot[slot] = _sum_by_flow(demand)

    def settle(self, latest: StoredAllocation, ended: list[StoredAllocation]) -> ReceivedService:
        """Return the service received, counting admitted instead of granted submissions in slots that have ended."""
        previous = latest.allocation
        service = ReceivedService(dict(previous.service.teams), dict(previous.service.flows))
        for stored in ended:
            if stored.allocation.slot > previous.settled_through:
                self._settle(stored, service)
        return service

    def _settle(self, stored: StoredAllocation, service: ReceivedService) -> None:
        admitted = self.admitted.counts(stored.allocation.slot)
        for flow in sorted({*stored.granted, *admitted}):
            service.charge(flow, admitted.get(flow, 0) - stored.granted.get(flow, 0), self.weights)
        decision = self._decision(stored, admitted)
        _log_decision(decision)
        self.on_decision(decision)

    def _decision(self, stored: StoredAllocation, admitted: dict[Flow, int]) -> Decision:
        allocation = stored.allocation
        allocated_for = self._demand_by_slot.pop(allocation.slot, {})
        reported = _sum_by_flow(self.demand.demand(monotonic_time()).values())
        waits = {wait.flow: wait for wait in self.dispatch.waits}
        start_counts = self.dispatch.take_start_counts()
        refused = {flow: demand.refused for flow, demand in reported.items() if demand.refused}
        wall_clock_now = time_of_day()
        outcomes = []
        for flow in sorted({*allocated_for, *stored.granted, *admitted, *refused, *waits, *start_counts}):
            wait = waits.get(flow)
            outcomes.append(
                FlowOutcome(
                    flow.team,
                    flow.job_class,
                    allocated_for[flow].wanted if flow in allocated_for else 0,
                    stored.granted.get(flow, 0),
                    admitted.get(flow, 0),
                    refused.get(flow, 0),
                    start_counts.get(flow, 0),
                    wait.job_count if wait is not None else 0,
                    max(0.0, wall_clock_now - wait.waiting_since) if wait is not None else 0.0,
                    wait.obstacle.value if wait is not None else "",
                )
            )
        started_at = self.clock.start_of(allocation.slot)
        return Decision(
            allocation.slot, started_at, allocation.term, allocation.leader, allocation.capacity, tuple(outcomes)
        )


def _sum_by_flow(demands: Iterable[dict[Flow, FlowDemand]]) -> dict[Flow, FlowDemand]:
    """Return the demand at several controllers, summed by flow."""
    total: dict[Flow, FlowDemand] = {}
    for demand in demands:
        for flow, flow_demand in demand.items():
            subtotal = total.get(flow, FlowDemand())
            total[flow] = FlowDemand(
                subtotal.waiting + flow_demand.waiting,
                subtotal.arriving + flow_demand.arriving,
                subtotal.refused + flow_demand.refused,
                max(subtotal.oldest_age_s, flow_demand.oldest_age_s),
            )
    return total


def _log_decision(decision: Decision) -> None:
    """Log the outcome of a slot: at ``info`` if submissions were refused, else at ``debug``."""
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
