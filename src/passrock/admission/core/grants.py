"""The remaining grants of one controller in each slot."""

from __future__ import annotations

from enum import Enum, auto

import msgspec

from passrock.admission.core.allocation import Allocation, NodeGrant
from passrock.admission.core.flows import Flow

RETAINED_SLOTS = 4


class GrantSource(Enum):
    """The part of a controller's grant from which a unit was consumed."""

    FLOW = auto()
    INTERACTIVE = auto()
    SHARED = auto()


class ConsumedGrant(msgspec.Struct, frozen=True):
    """A consumed unit of a grant, with what is needed to restore it."""

    slot: int
    flow: Flow
    source: GrantSource


class GrantLedger:
    """The remaining grants of one incarnation of a controller, by slot. Each unit is consumed at most once."""

    def __init__(self, node: str, incarnation: int) -> None:
        self.node = node
        self.incarnation = incarnation
        self._remaining: dict[int, NodeGrant] = {}

    def add(self, allocation: Allocation) -> None:
        """Add this controller's grants in an allocation, unless the slot's grants have been added before.

        A slot has only one committed allocation.
        """
        if allocation.slot in self._remaining:
            return
        grant = allocation.node_grants.get(self.node)
        if grant is None or grant.incarnation != self.incarnation:
            return  # granted to a former incarnation, whose submissions may still reach the store
        self._remaining[allocation.slot] = NodeGrant(
            grant.incarnation, grant.interactive, grant.shared, dict(grant.flows)
        )
        while len(self._remaining) > RETAINED_SLOTS:
            del self._remaining[min(self._remaining)]

    def has(self, slot: int) -> bool:
        """Whether this incarnation has any grants for the slot."""
        return slot in self._remaining

    def consume(self, slot: int, flow: Flow, *, interactive: bool) -> ConsumedGrant | None:
        """Consume one unit: of the flow's own grant if any is left, else of the reserves that the flow may use.

        Returns None when no unit is left.
        """
        grant = self._remaining.get(slot)
        if grant is None:
            return None
        if grant.flows.get(flow, 0) > 0:
            grant.flows[flow] -= 1
            return ConsumedGrant(slot, flow, GrantSource.FLOW)
        if interactive and grant.interactive > 0:
            grant.interactive -= 1
            return ConsumedGrant(slot, flow, GrantSource.INTERACTIVE)
        if grant.shared > 0:
            grant.shared -= 1
            return ConsumedGrant(slot, flow, GrantSource.SHARED)
        return None

    def restore(self, consumed: ConsumedGrant) -> None:
        """Make a unit available again while its slot lasts; only if certainly no submission was accepted with it."""
        grant = self._remaining.get(consumed.slot)
        if grant is None:
            return
        if consumed.source is GrantSource.FLOW:
            grant.flows[consumed.flow] += 1
        elif consumed.source is GrantSource.INTERACTIVE:
            grant.interactive += 1
        else:
            grant.shared += 1

    def remaining(self, slot: int, flow: Flow) -> int:
        """Return how many units are left of a flow's own grant."""
        grant = self._remaining.get(slot)
        return 0 if grant is None else grant.flows.get(flow, 0)
