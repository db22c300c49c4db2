"""Allocates slots on the leader: decides the allocation of each slot ahead of time and commits it once."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Any

from passrock.admission.controller.allocation_store import AllocationStore, StoredAllocation
from passrock.admission.controller.outcomes import SlotOutcomes
from passrock.admission.core.allocation import Allocation, CapacityShares, FairShareAllocator, ReceivedService
from passrock.admission.core.demand import DemandReport
from passrock.admission.core.rate_pacer import RatePacer
from passrock.admission.settings import AdmissionSettings
from passrock.admission.wire.allocation_record import encode_allocation
from passrock.controller import keys
from passrock.controller.leadership import Leadership
from passrock.core.token_bucket import rate_share
from passrock.io.clock import monotonic_time, time_of_day
from passrock.io.errors import StoreError
from passrock.io.store import Committed, KeyValueStoreClient
from passrock.logs import debug, error
from passrock.settings import Settings
from passrock.wire.store import Delete, Put, Write

DECISION_START_FRACTION = 0.5  # elapsed part of a slot from which on the next slot is decided
LATEST_DECISION_FRACTION = 0.9  # elapsed part of a slot after which an allocation for it is no longer useful
PACING_TARGET_HEARTBEATS = 2.0  # acceptable write delay; a task's start waits for its machine's heartbeat anyway
CHECKS_PER_SLOT = 16  # how often the leader checks whether a slot has to be decided
SETTLEMENT_DELAY_SLOTS = 2  # after this many slots, the replica contains every job admitted in a slot


class SlotAllocator:
    """Decides and commits the allocations of slots while this node leads."""

    def __init__(
        self,
        settings: Settings,
        admission: AdmissionSettings,
        store: KeyValueStoreClient,
        leadership: Leadership,
        allocations: AllocationStore,
        outcomes: SlotOutcomes,
        own_demand: Callable[[], DemandReport],
        write_delay_s: Callable[[], float],
    ) -> None:
        self.settings = settings
        self.admission = admission
        self.store = store
        self.leadership = leadership
        self.allocations = allocations
        self.outcomes = outcomes
        self.own_demand = own_demand
        self.write_delay_s = write_delay_s
        self.pacer = RatePacer(settings.report_s * PACING_TARGET_HEARTBEATS)
        self.clock = outcomes.clock
        self.demand = outcomes.demand
        self.start_tracker = outcomes.dispatch.start_tracker
        self.shares = CapacityShares(admission.interactive_share, admission.burst_share, admission.interactive_most)
        self._restored = False
        self._last_sent_slot = -math.inf  # the last slot for which this leader sent a transaction

    async def run(self) -> None:
        """Decide slots as they become due; a decision that fails is retried at the next check.

        No failure ends the term, since a leader that cannot allocate slots can still place tasks.
        """
        while True:
            slot = self.due_slot()
            if slot is not None and self.leadership.holds_lease():
                try:
                    await self.decide(slot)
                except StoreError as exc:
                    debug("allocation_failed", slot=slot, error=exc)
                except Exception as exc:  # noqa: BLE001 - a fault of admission must not end the term
                    error("allocation_failed", slot=slot, error=repr(exc))
            await asyncio.sleep(self.clock.length_s / CHECKS_PER_SLOT)

    def due_slot(self) -> int | None:
        """Return the slot that has to be decided now, if any."""
        wall_clock_now = time_of_day()
        slot = self.clock.slot_at(wall_clock_now)
        elapsed = self.clock.elapsed_fraction(wall_clock_now)
        latest = self.allocations.latest()
        if elapsed >= (
            LATEST_DECISION_FRACTION if latest is None or latest.allocation.slot < slot else DECISION_START_FRACTION
        ):
            slot += 1
        if latest is None:
            # A transaction may be applied late, when the slot's record has already been deleted. If it is
            # conditional on the record of an earlier slot, it fails then, since that record is deleted too. Without
            # such a condition it would write the slot again, so no slot is sent twice.
            return slot if slot > self._last_sent_slot else None
        return slot if latest.allocation.slot < slot else None

    async def decide(self, slot: int) -> None:
        """Allocate a slot and commit it; the commit fails if the slot has an allocation, which is never replaced."""
        latest = self.allocations.latest()
        if latest is not None and not self._restored:
            self.pacer.share = latest.allocation.pacing_share
            self.start_tracker.restore(latest.allocation.last_start_at)
            self.demand.restore_incarnations(
                (node, grant.incarnation) for node, grant in latest.allocation.node_grants.items()
            )
        self._restored = True
        self.pacer.record_delay(self.write_delay_s())
        self.demand.update(self.own_demand(), self.leadership.term, monotonic_time())
        ended = self.allocations.up_to(slot - SETTLEMENT_DELAY_SLOTS)
        allocation = self._allocate(slot, latest, ended)
        conditions = {keys.LEADER: self.leadership.leader_revision}
        if latest is not None:
            conditions[keys.allocation(latest.allocation.slot, 0)] = latest.mod_revision
        writes: list[Write] = []
        pages = self._encode_pages(allocation)
        for page, value in enumerate(pages):
            conditions[keys.allocation(slot, page)] = 0
            writes.append(Put(keys.allocation(slot, page), value))
        self._last_sent_slot = slot
        writes += self._deletions(ended, self.settings.txn_ops - len(writes))
        result = await self.store.commit(conditions, writes)
        if isinstance(result, Committed):
            self.allocations.put(allocation, result.revision, len(pages))
        else:
            debug("allocation_conflict", slot=slot, failed=result.conflicting_keys)

    def _allocate(self, slot: int, latest: StoredAllocation | None, ended: list[StoredAllocation]) -> Allocation:
        """Return the allocation of a slot, from the reported demand and the service that flows have received."""
        demand = self.demand.demand(monotonic_time())
        service = ReceivedService() if latest is None else self.outcomes.settle(latest, ended)
        self.outcomes.record_demand(slot, demand.values())
        incarnations = self.demand.incarnations()
        capacity = self._capacity(slot, sorted(incarnations))
        node_grants = FairShareAllocator(capacity, demand, service, self.outcomes.weights, self.shares).run()
        for node, grant in node_grants.items():
            grant.incarnation = incarnations[node]
        node, term = self.settings.node, self.leadership.term
        settled_through, last_start_at = slot - SETTLEMENT_DELAY_SLOTS, dict(self.start_tracker.last_start_at)
        return Allocation(slot, term, node, node_grants, service, settled_through, last_start_at, self.pacer.share)

    def _capacity(self, slot: int, nodes: list[str]) -> dict[str, int]:
        """Return how many submissions each controller can write in the slot, or in the remaining part of it.

        Each controller has a share of the store's write rate, of which submissions may use a configured part.
        """
        wall_clock_now = time_of_day()
        remaining_fraction = (
            1.0 - self.clock.elapsed_fraction(wall_clock_now) if self.clock.slot_at(wall_clock_now) == slot else 1.0
        )
        writes = self.settings.state_write_rps * self.clock.length_s * remaining_fraction * self.pacer.share
        node_count = self.settings.node_count
        follower = writes * rate_share(leading=False, node_count=node_count) * self.admission.intake_share
        leader = writes * rate_share(leading=True, node_count=node_count) * self.admission.leader_intake_share
        return {node: max(1, math.floor(leader if node == self.settings.node else follower)) for node in nodes}

    def _encode_pages(self, allocation: Allocation) -> list[dict[str, Any]]:
        """Return the record's pages; rows are dropped by halves until the pages fit into a transaction."""
        while True:
            pages = encode_allocation(allocation, self.settings.value_bytes)
            if len(pages) <= max(1, self.settings.txn_ops // 2):
                return pages
            halve_rows(allocation)

    def _deletions(self, ended: list[StoredAllocation], limit: int) -> list[Write]:
        """Return up to ``limit`` deletions of ended slots, oldest first; a record is deleted as a whole."""
        deletions: list[Write] = []
        for stored in ended:
            if len(deletions) + stored.pages > limit:
                break  # the others are deleted with the next slot
            deletions += [Delete(keys.allocation(stored.allocation.slot, page)) for page in range(stored.pages)]
        return deletions


def halve_rows(allocation: Allocation) -> None:
    """Drop half of an allocation's rows: the smallest services, the latest last starts, and half of the grants.

    The units of dropped grants are added to the shared reserve of their controller.
    """
    service = sorted(allocation.service.flows.items(), key=lambda row: -row[1])
    allocation.service.flows = dict(service[: len(service) // 2])
    last_start_at = sorted(allocation.last_start_at.items(), key=lambda row: row[1])
    allocation.last_start_at = dict(last_start_at[: len(last_start_at) // 2])
    for grant in allocation.node_grants.values():
        grants = list(grant.flows.items())
        grant.flows = dict(grants[: len(grants) // 2])
        grant.shared += sum(units for _, units in grants[len(grants) // 2 :])
