"""The allocations in the store, assembled from their pages."""

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
    """An allocation with the revision of its record; all its pages have the same revision."""

    allocation: Allocation
    mod_revision: int
    granted: dict[Flow, int]
    pages: int  # number of pages


class AllocationStore:
    """Collects allocations from the replica of the store; the first one read for a slot is kept."""

    def __init__(
        self, entries: Callable[[], Mapping[str, Entry]], on_allocation: Callable[[Allocation], None]
    ) -> None:
        self._entries = entries
        self._on_allocation = on_allocation
        self._stored: dict[int, StoredAllocation] = {}

    def on_change(self, key: str, entry: Entry | None) -> None:
        """Process the change of a page; ``entry`` is None if it was deleted."""
        slot_and_page = keys.allocation_slot(key)
        if slot_and_page is None:
            return
        slot, _ = slot_and_page
        if entry is None:
            self._stored.pop(slot, None)
        elif slot not in self._stored:
            self._assemble(slot, entry)

    def put(self, allocation: Allocation, mod_revision: int, pages: int) -> None:
        """Add an allocation that this node has committed, before its replica contains it."""
        if allocation.slot not in self._stored:
            self._add(allocation, mod_revision, pages)

    def _assemble(self, slot: int, changed: Entry) -> None:
        entries = self._entries()
        head = changed if changed.key == keys.allocation(slot, 0) else entries.get(keys.allocation(slot, 0))
        if head is None:
            return
        try:
            pages = [entries.get(keys.allocation(slot, page)) for page in range(page_count(head.value))]
            complete = [page for page in pages if page is not None and page.mod_revision == head.mod_revision]
            if len(complete) < len(pages):
                return  # the other pages have not been received yet
            allocation = _decode_for_slot(slot, complete)
        except UnreadableAllocationError as exc:
            error("allocation_unreadable", key=head.key, error=exc)
            return
        self._add(allocation, head.mod_revision, len(pages))

    def _add(self, allocation: Allocation, mod_revision: int, pages: int) -> None:
        self._stored[allocation.slot] = StoredAllocation(allocation, mod_revision, allocation.granted(), pages)
        self._on_allocation(allocation)

    def get(self, slot: int) -> StoredAllocation | None:
        """Return the allocation of a slot."""
        return self._stored.get(slot)

    def latest(self) -> StoredAllocation | None:
        """Return the allocation of the highest slot."""
        return self._stored[max(self._stored)] if self._stored else None

    def up_to(self, slot: int) -> list[StoredAllocation]:
        """Return the allocations of this slot and earlier ones, oldest first."""
        return [self._stored[slot_number] for slot_number in sorted(self._stored) if slot_number <= slot]


def _decode_for_slot(slot: int, pages: list[Entry]) -> Allocation:
    """Decode these pages; raises UnreadableAllocationError if they are not an allocation of ``slot``."""
    allocation = decode_allocation([page.value for page in pages])
    if allocation.slot != slot:
        raise UnreadableAllocationError(
            f"the record holds the allocation of slot {allocation.slot}, expected slot {slot}"
        )
    return allocation
