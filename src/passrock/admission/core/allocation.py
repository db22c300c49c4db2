"""The allocation of a slot: which controller may admit how many submissions of which flow."""

from __future__ import annotations

import math
from collections.abc import Mapping
from heapq import heapify, heappop, heappush

import msgspec

from passrock.admission.core.demand import FlowDemand
from passrock.admission.core.flows import Flow, Weights

QUANTA = 256  # steps in which a slot's capacity is divided at the most
SMALL_FLOW = 2  # submissions for each controller
AGEING_S = 60.0  # a class's weight doubles when its oldest submission has waited for this long


class NodeGrant(msgspec.Struct):
    """What one incarnation of a controller may admit in a slot."""

    incarnation: int
    interactive: int  # of interactive flows, beside their grants
    shared: int  # of any flow, beside its grant
    flows: dict[Flow, int] = msgspec.field(default_factory=dict)

    @property
    def total(self) -> int:
        """All that this controller may admit."""
        return self.interactive + self.shared + sum(self.flows.values())


class ReceivedService(msgspec.Struct):
    """What flows have received in proportion to their weights, above the one that has received least.

    This is the deficit of the others. It is carried from slot to slot, and from leader to leader.
    """

    teams: dict[str, float] = msgspec.field(default_factory=dict)
    flows: dict[Flow, float] = msgspec.field(default_factory=dict)

    def charge(self, flow: Flow, units: float, weights: Weights, age_s: float = 0.0) -> None:
        """A flow received so many units; fewer than 0 were granted and not used."""
        team = self.teams.get(flow.team, 0.0) + units / weights.team(flow.team)
        self.teams[flow.team] = max(0.0, team)
        weight = weights.job_class(flow.job_class) * ageing(age_s)
        self.flows[flow] = max(0.0, self.flows.get(flow, 0.0) + units / weight)

    def rebase(self, unmet: set[Flow]) -> None:
        """Take off what everyone with unmet demand has received: nobody else can save up."""
        unmet_teams = {flow.team for flow in unmet}
        floor = min((self.teams.get(team, 0.0) for team in unmet_teams), default=math.inf)
        self.teams = {team: left for team, used in self.teams.items() if (left := used - floor) > 0}
        floors: dict[str, float] = {}
        for flow in unmet:
            floors[flow.team] = min(floors.get(flow.team, math.inf), self.flows.get(flow, 0.0))
        self.flows = {
            flow: left for flow, used in self.flows.items() if (left := used - floors.get(flow.team, math.inf)) > 0
        }


class Allocation(msgspec.Struct):
    """What the controllers may admit in one slot, as one leader decided it; what is committed is final."""

    slot: int
    term: int
    leader: str
    node_grants: dict[str, NodeGrant]
    service: ReceivedService = msgspec.field(default_factory=ReceivedService)
    settled: int = 0  # up to this slot, service counts what was admitted and not what was granted
    started: dict[Flow, float] = msgspec.field(default_factory=dict)  # last starts of flows with waiting jobs
    pacing_share: float = 1.0  # the part of the capacity that the leader's writes could follow

    def granted(self) -> dict[Flow, int]:
        """What each flow was granted, at all controllers together."""
        total: dict[Flow, int] = {}
        for grant in self.node_grants.values():
            for flow, units in grant.flows.items():
                total[flow] = total.get(flow, 0) + units
        return total

    @property
    def capacity(self) -> int:
        """All that may be admitted in the slot."""
        return sum(grant.total for grant in self.node_grants.values())


class CapacityShares(msgspec.Struct, frozen=True):
    """How a controller's capacity is divided."""

    interactive: float
    burst: float
    interactive_most: float


def ageing(age_s: float) -> float:
    """By what a class's weight grows with the age of its oldest submission."""
    return 1.0 + age_s / AGEING_S


class FairShareAllocator:
    """Divides the capacity of one slot by start-time fair queueing over teams, and classes within a team.

    The next units go to the team, and in it to the class, that has received least in proportion to its weight. They
    are granted at the controller where most of the class's demand is still unmet and capacity is left.
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
        self.wanted: dict[Flow, dict[str, int]] = {}
        self.age: dict[Flow, float] = {}
        for node, units in capacity.items():
            self._open_node(node, units)
        for node, flows in demand.items():
            if node in self.ungranted:
                self._note_demand(node, flows)
        self._spread_small_flows()

    def _open_node(self, node: str, units: int) -> None:
        part = self.shares.interactive if self.weights.any_interactive else 0.0
        interactive = min(units, math.ceil(units * part))
        shared = min(units - interactive, math.ceil(units * self.shares.burst))
        self.node_grants[node] = NodeGrant(0, interactive, shared)
        self.ungranted[node] = units - interactive - shared

    def _note_demand(self, node: str, flows: Mapping[Flow, FlowDemand]) -> None:
        for flow, demand in flows.items():
            if demand.wanted > 0:
                self.wanted.setdefault(flow, {})[node] = demand.wanted
                self.age[flow] = max(self.age.get(flow, 0.0), demand.oldest_s)

    def _spread_small_flows(self) -> None:
        """Who was refused by one controller may come again at another: a unit of each small flow at each of them.

        A flow of a few submissions would otherwise meet its grant by luck, until its user gives up. Large
        ones are heard of everywhere, or come again where they were refused.
        """
        for wanted in self.wanted.values():
            if sum(wanted.values()) > SMALL_FLOW * len(self.ungranted):
                continue
            for node in self.ungranted:
                wanted.setdefault(node, 1)

    def run(self) -> dict[str, NodeGrant]:
        """Grant everything: to interactive flows up to their part, to all, and the rest to common reserves."""
        interactive = {flow for flow in self.wanted if self.weights.is_interactive(flow)}
        total = sum(self.ungranted.values())
        self._fill(interactive, math.floor(total * self.shares.interactive_most))
        self._fill(set(self.wanted), sum(self.ungranted.values()))
        self.service.rebase({flow for flow, wanted in self.wanted.items() if any(wanted.values())})
        for node, left in self.ungranted.items():
            self.node_grants[node].shared += left
        return self.node_grants

    def _fill(self, flows: set[Flow], limit: int) -> None:
        """Grant up to ``limit`` units to some flows, fairly."""
        teams: dict[str, list[tuple[float, Flow]]] = {}
        for flow in flows:
            if flow in self.wanted:
                teams.setdefault(flow.team, []).append((self.service.flows.get(flow, 0.0), flow))
        for waiting in teams.values():
            heapify(waiting)
        order = [(self.service.teams.get(team, 0.0), team) for team in teams]
        heapify(order)
        quantum = max(1, limit // QUANTA)
        while order and limit > 0:
            _, team = heappop(order)
            _, flow = heappop(teams[team])
            units = self._grant(flow, min(quantum, limit))
            limit -= units
            if units:
                self.service.charge(flow, units, self.weights, self.age[flow])
                heappush(teams[team], (self.service.flows[flow], flow))
            if teams[team]:
                heappush(order, (self.service.teams.get(team, 0.0), team))

    def _grant(self, flow: Flow, units: int) -> int:
        """Grant units at the controller with the most unmet demand; how many, 0 when there is none to be had."""
        wanted = self.wanted[flow]
        unmet = [(count, node) for node, count in wanted.items() if count > 0 and self.ungranted[node] > 0]
        if not unmet:
            return 0
        count, node = max(unmet)
        units = min(units, count, self.ungranted[node])
        wanted[node] -= units
        self.ungranted[node] -= units
        flows = self.node_grants[node].flows
        flows[flow] = flows.get(flow, 0) + units
        return units
