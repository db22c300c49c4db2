"""The allocations in the store, put together from their pages."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import msgspec

from passrock.admission.core.allocation import Allocation
from passrock.admission.core.flows import Flow
from passrock.admission.wire.allocation_record import UnreadableAllocationError, decode_allocation, page_count
from passrock.controller import keys
from passrock.logs import error
from passrock.wire.store import Entry


class StoredAllocation(msgspec.Struct, frozen=True):
    """An allocation with the revision of its record, which is that of all its pages."""

    allocation: Allocation
    mod_revision: int
    granted: dict[Flow, int]
    pages: int


class AllocationStore:
    """Follows the replica of the store; the first allocation that is read for a slot stays."""

    def __init__(
        self, entries: Callable[[], Mapping[str, Entry]], on_allocation: Callable[[Allocation], None]
    ) -> None:
        self._entries = entries
        self._on_allocation = on_allocation
        self._stored: dict[int, StoredAllocation] = {}

    def on_change(self, key: str, entry: Entry | None) -> None:
        """A page was written or deleted."""
        place = keys.allocation_slot(key)
        if place is None:
            return
        slot, _ = place
        if entry is None:
            self._stored.pop(slot, None)
        elif slot not in self._stored:
            self._assemble(slot, entry)

    def put(self, allocation: Allocation, mod_revision: int, pages: int) -> None:
        """This node's own commit, which its replica will show later."""
        if allocation.slot not in self._stored:
            self._open(allocation, mod_revision, pages)

    def _assemble(self, slot: int, arrived: Entry) -> None:
        entries = self._entries()
        head = arrived if arrived.key == keys.allocation(slot, 0) else entries.get(keys.allocation(slot, 0))
        if head is None:
            return
        try:
            pages = [entries.get(keys.allocation(slot, page)) for page in range(page_count(head.value))]
            complete = [page for page in pages if page is not None and page.mod_revision == head.mod_revision]
            if len(complete) < len(pages):
                return  # the others follow
            allocation = _decode_for_slot(slot, complete)
        except UnreadableAllocationError as problem:
            error("allocation_unreadable", key=head.key, error=problem)
            return
        self._open(allocation, head.mod_revision, len(pages))

    def _open(self, allocation: Allocation, mod_revision: int, pages: int) -> None:
        self._stored[allocation.slot] = StoredAllocation(allocation, mod_revision, allocation.granted(), pages)
        self._on_allocation(allocation)

    def get(self, slot: int) -> StoredAllocation | None:
        """The allocation of a slot."""
        return self._stored.get(slot)

    def latest(self) -> StoredAllocation | None:
        """The allocation of the highest slot."""
        return self._stored[max(self._stored)] if self._stored else None

    def up_to(self, slot: int) -> list[StoredAllocation]:
        """Allocations of this slot and earlier ones, oldest first."""
        return [self._stored[number] for number in sorted(self._stored) if number <= slot]


def _decode_for_slot(slot: int, pages: list[Entry]) -> Allocation:
    """The allocation on these pages; raises UnreadableAllocationError when it is none, or of another slot."""
    allocation = decode_allocation([page.value for page in pages])
    if allocation.slot != slot:
        raise UnreadableAllocationError(f"it is that of slot {allocation.slot}")
    return allocation
