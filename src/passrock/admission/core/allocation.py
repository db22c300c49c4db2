"""The allocation of a slot: how many submissions of each flow each controller may admit."""

from __future__ import annotations

import math
from collections.abc import Mapping
from heapq import heapify, heappop, heappush

import msgspec

from passrock.admission.core.demand import FlowDemand
from passrock.admission.core.flows import Flow, Weights

MAX_QUANTA = 256  # a slot's capacity is granted in at most about this many equal steps
SMALL_FLOW_SUBMISSIONS = 2  # per controller: a flow that wants no more than this is small
WEIGHT_DOUBLING_AGE_S = 60.0  # a class whose oldest submission has waited for this long has double weight


class NodeGrant(msgspec.Struct):
    """What one incarnation of a controller may admit in a slot."""

    incarnation: int
    interactive: int  # submissions of any interactive flows, in addition to the grants by flow
    shared: int  # submissions of any flows, in addition to the grants by flow
    flows: dict[Flow, int] = msgspec.field(default_factory=dict)

    @property
    def total(self) -> int:
        """The number of submissions that this controller may admit."""
        return self.interactive + self.shared + sum(self.flows.values())


class ReceivedService(msgspec.Struct):
    """The weighted service that teams and flows have received, in excess of the least served.

    The least served team or flow is the one with the least service among those with unmet demand. The excess is the
    deficit of the less served flows. It is carried over from slot to slot and, with the allocations, from leader to
    leader.

    Attributes:
        teams: grants received in proportion to the team's weight.
        flows: grants received in proportion to the weight of the class within its team.
    """

    teams: dict[str, float] = msgspec.field(default_factory=dict)
    flows: dict[Flow, float] = msgspec.field(default_factory=dict)

    def charge(self, flow: Flow, units: float, weights: Weights, age_s: float = 0.0) -> None:
        """Add ``units`` granted to a flow; a negative number credits back grants that were not used."""
        team = self.teams.get(flow.team, 0.0) + units / weights.of_team(flow.team)
        self.teams[flow.team] = max(0.0, team)
        weight = weights.of_class(flow.job_class) * age_factor(age_s)
        self.flows[flow] = max(0.0, self.flows.get(flow, 0.0) + units / weight)

    def rebase(self, unmet_flows: set[Flow]) -> None:
        """Subtract the least service among teams and flows with unmet demand.

        Less service than that becomes 0, so that no team or flow accumulates credit while it has no demand.
        """
        unmet_teams = {flow.team for flow in unmet_flows}
        floor = min((self.teams.get(team, 0.0) for team in unmet_teams), default=math.inf)
        self.teams = {team: left for team, used in self.teams.items() if (left := used - floor) > 0}
        floors: dict[str, float] = {}
        for flow in unmet_flows:
            floors[flow.team] = min(floors.get(flow.team, math.inf), self.flows.get(flow, 0.0))
        self.flows = {
            flow: left for flow, used in self.flows.items() if (left := used - floors.get(flow.team, math.inf)) > 0
        }


class Allocation(msgspec.Struct):
    """What the controllers may admit in one slot, as decided by one leader; final once it is committed."""

    slot: int
    term: int
    leader: str
    node_grants: dict[str, NodeGrant]
    service: ReceivedService = msgspec.field(default_factory=ReceivedService)
    settled_through: int = 0  # up to this slot, service counts admitted instead of granted submissions
    last_start_at: dict[Flow, float] = msgspec.field(default_factory=dict)  # wall clock; flows with waiting jobs only
    pacing_share: float = 1.0  # share of the capacity that RatePacer allows

    def granted(self) -> dict[Flow, int]:
        """Return the grants of each flow, summed over all controllers."""
        total: dict[Flow, int] = {}
        for grant in self.node_grants.values():
            for flow, units in grant.flows.items():
                total[flow] = total.get(flow, 0) + units
        return total

    @property
    def capacity(self) -> int:
        """The number of submissions that all controllers together may admit in the slot."""
        return sum(grant.total for grant in self.node_grants.values())


class CapacityShares(msgspec.Struct, frozen=True):
    """How capacity is divided between reserves and grants by flow.

    Attributes:
        interactive: share of a controller's capacity that is reserved for interactive flows.
        burst: share of a controller's capacity that is reserved for demand not yet reported.
        max_interactive: share of the capacity left after the reserves up to which interactive flows are granted
            first.
    """

    interactive: float
    burst: float
    max_interactive: float


def age_factor(age_s: float) -> float:
    """Return the factor by which a class's weight grows with the age of its oldest submission."""
    return 1.0 + age_s / WEIGHT_DOUBLING_AGE_S


class FairShareAllocator:
    """Divides the capacity of one slot by start-time fair queueing over teams, and over the classes of each team.

    The next units go to the team, and within it to the class, that has received least in proportion to its weight.
    They are granted at the controller that has capacity left and the largest unmet demand of the class.
    """

    def __init__(
        self,
        capacity: Mapping[str, int],
        demand: Mapping[str, Mapping[Flow, FlowDemand]],
        service: ReceivedService,
        weights: Weights,
        shares: CapacityShares,
    ) -> None:
        self.service = service
        self.weights = weights
        self.shares = shares
        self.node_grants: dict[str, NodeGrant] = {}
        self.ungranted: dict[str, int] = {}
        self.unmet_demand: dict[Flow, dict[str, int]] = {}
        self.flow_age_s: dict[Flow, float] = {}
        for node, units in capacity.items():
            self._add_node(node, units)
        for node, flows in demand.items():
            if node in self.ungranted:
                self._add_demand(node, flows)
        self._spread_small_flows()

    def _add_node(self, node: str, units: int) -> None:
        share = self.shares.interactive if self.weights.any_interactive else 0.0
        interactive = min(units, math.ceil(units * share))
        shared = min(units - interactive, math.ceil(units * self.shares.burst))
        self.node_grants[node] = NodeGrant(0, interactive, shared)
        self.ungranted[node] = units - interactive - shared

    def _add_demand(self, node: str, flows: Mapping[Flow, FlowDemand]) -> None:
        for flow, demand in flows.items():
            if demand.wanted > 0:
                self.unmet_demand.setdefault(flow, {})[node] = demand.wanted
                self.flow_age_s[flow] = max(self.flow_age_s.get(flow, 0.0), demand.oldest_age_s)

    def _spread_small_flows(self) -> None:
        """Request at least one unit of each small flow at every controller, since retries may reach any of them.

        A retry in a flow of few submissions would otherwise reach the controller with the grant only by chance, and
        its user might stop retrying before that. Large flows have demand at every controller, or are retried at the
        controller that refused them.
        """
        for demand_by_node in self.unmet_demand.values():
            if sum(demand_by_node.values()) > SMALL_FLOW_SUBMISSIONS * len(self.ungranted):
                continue
            for node in self.ungranted:
                demand_by_node.setdefault(node, 1)

    def run(self) -> dict[str, NodeGrant]:
        """Grant the whole capacity: first to interactive flows up to their limit, then to all flows.

        Ungranted units are added to the shared reserve of their controller.
        """
        interactive = {flow for flow in self.unmet_demand if self.weights.is_interactive(flow)}
        total = sum(self.ungranted.values())
        self._grant_fairly(interactive, math.floor(total * self.shares.max_interactive))
        self._grant_fairly(set(self.unmet_demand), sum(self.ungranted.values()))
        self.service.rebase(
            {flow for flow, demand_by_node in self.unmet_demand.items() if any(demand_by_node.values())}
        )
        for node, left in self.ungranted.items():
            self.node_grants[node].shared += left
        return self.node_grants

    def _grant_fairly(self, flows: set[Flow], limit: int) -> None:
        """Grant up to ``limit`` units to ``flows`` by fair queueing."""
        flow_heaps: dict[str, list[tuple[float, Flow]]] = {}
        for flow in flows:
            if flow in self.unmet_demand:
                flow_heaps.setdefault(flow.team, []).append((self.service.flows.get(flow, 0.0), flow))
        for flow_heap in flow_heaps.values():
            heapify(flow_heap)
        team_heap = [(self.service.teams.get(team, 0.0), team) for team in flow_heaps]
        heapify(team_heap)
        quantum = max(1, limit // MAX_QUANTA)
        while team_heap and limit > 0:
            _, team = heappop(team_heap)
            _, flow = heappop(flow_heaps[team])
            units = self._grant(flow, min(quantum, limit))
            limit -= units
            if units:
                self.service.charge(flow, units, self.weights, self.flow_age_s[flow])
                heappush(flow_heaps[team], (self.service.flows[flow], flow))
            if flow_heaps[team]:
                heappush(team_heap, (self.service.teams.get(team, 0.0), team))

    def _grant(self, flow: Flow, units: int) -> int:
        """Grant up to ``units`` at the controller that has capacity left and the most unmet demand.

        Returns the number granted; 0 if there is no such controller.
        """
        demand_by_node = self.unmet_demand[flow]
        candidates = [
            (count, node) for node, count in demand_by_node.items() if count > 0 and self.ungranted[node] > 0
        ]
        if not candidates:
            return 0
        count, node = max(candidates)
        units = min(units, count, self.ungranted[node])
        demand_by_node[node] -= units
        self.ungranted[node] -= units
        flows = self.node_grants[node].flows
        flows[flow] = flows.get(flow, 0) + units
        return units
