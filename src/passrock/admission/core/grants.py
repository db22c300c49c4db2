"""One controller's grants: what it may still admit in each slot."""

from __future__ import annotations

from enum import Enum, auto

import msgspec

from passrock.admission.core.allocation import Allocation, Column
from passrock.admission.core.flows import Flow

SLOTS_KEPT = 4


class Source(Enum):
    """Which part of a column a submission was admitted on."""

    FLOW = auto()
    INTERACTIVE = auto()
    SHARED = auto()


class Spent(msgspec.Struct, frozen=True):
    """One unit taken, so that it can be given back."""

    slot: int
    flow: Flow
    source: Source


class Grants:
    """The grants of one life of a controller, by slot. Each unit is spent once."""

    def __init__(self, node: str, life: int) -> None:
        self.node = node
        self.life = life
        self._left: dict[int, Column] = {}

    def open(self, allocation: Allocation) -> None:
        """Take in an allocation; the first one read for a slot is the only one there is."""
        if allocation.slot in self._left:
            return
        column = allocation.columns.get(self.node)
        if column is None or column.life != self.life:
            return  # meant for a former life, which may still have submissions under way
        self._left[allocation.slot] = Column(column.life, column.interactive, column.shared, dict(column.flows))
        while len(self._left) > SLOTS_KEPT:
            del self._left[min(self._left)]

    def has(self, slot: int) -> bool:
        """Whether this life has any grants for the slot."""
        return slot in self._left

    def take(self, slot: int, flow: Flow, interactive: bool) -> Spent | None:
        """Spend one unit: the flow's own grant first, then the reserves that are open to it."""
        column = self._left.get(slot)
        if column is None:
            return None
        if column.flows.get(flow, 0) > 0:
            column.flows[flow] -= 1
            return Spent(slot, flow, Source.FLOW)
        if interactive and column.interactive > 0:
            column.interactive -= 1
            return Spent(slot, flow, Source.INTERACTIVE)
        if column.shared > 0:
            column.shared -= 1
            return Spent(slot, flow, Source.SHARED)
        return None

    def give_back(self, spent: Spent) -> None:
        """Nothing was accepted on this unit, which is certain: it can be spent again while its slot lasts."""
        column = self._left.get(spent.slot)
        if column is None:
            return
        if spent.source is Source.FLOW:
            column.flows[spent.flow] += 1
        elif spent.source is Source.INTERACTIVE:
            column.interactive += 1
        else:
            column.shared += 1

    def granted(self, slot: int, flow: Flow) -> int:
        """What is left of a flow's own grant."""
        column = self._left.get(slot)
        return 0 if column is None else column.flows.get(flow, 0)
