"""One controller's grants: what it may still admit in each slot."""

from __future__ import annotations

from enum import Enum, auto

import msgspec

from passrock.admission.core.allocation import Allocation, NodeGrant
from passrock.admission.core.flows import Flow

SLOTS_KEPT = 4


class GrantSource(Enum):
    """Which part of a controller's grant a submission was admitted on."""

    FLOW = auto()
    INTERACTIVE = auto()
    SHARED = auto()


class ConsumedGrant(msgspec.Struct, frozen=True):
    """One unit that was consumed, so that it can be restored."""

    slot: int
    flow: Flow
    source: GrantSource


class GrantLedger:
    """The grants of one incarnation of a controller, by slot. Each unit is consumed once."""

    def __init__(self, node: str, incarnation: int) -> None:
        self.node = node
        self.incarnation = incarnation
        self._remaining: dict[int, NodeGrant] = {}

    def add(self, allocation: Allocation) -> None:
        """Add this controller's grants in an allocation; the first one read for a slot is the only one there is."""
        if allocation.slot in self._remaining:
            return
        grant = allocation.node_grants.get(self.node)
        if grant is None or grant.incarnation != self.incarnation:
            return  # meant for a former incarnation, which may still have submissions under way
        self._remaining[allocation.slot] = NodeGrant(
            grant.incarnation, grant.interactive, grant.shared, dict(grant.flows)
        )
        while len(self._remaining) > SLOTS_KEPT:
            del self._remaining[min(self._remaining)]

    def has(self, slot: int) -> bool:
        """Whether this incarnation has any grants for the slot."""
        return slot in self._remaining

    def consume(self, slot: int, flow: Flow, *, interactive: bool) -> ConsumedGrant | None:
        """Consume one unit: the flow's own grant first, then the reserves that are open to it."""
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
        """Nothing was accepted on this unit, which is certain: it can be consumed again while its slot lasts."""
        grant = self._remaining.get(consumed.slot)
        if grant is None:
            return
        if consumed.source is GrantSource.FLOW:
            grant.flows[consumed.flow] += 1
        elif consumed.source is GrantSource.INTERACTIVE:
            grant.interactive += 1
        else:
            grant.shared += 1

    def granted(self, slot: int, flow: Flow) -> int:
        """What is left of a flow's own grant."""
        grant = self._remaining.get(slot)
        return 0 if grant is None else grant.flows.get(flow, 0)
