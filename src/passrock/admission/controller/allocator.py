"""The leader's part: decides each slot's allocation ahead, and commits it once."""

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

DECIDE_AT = 0.5  # of a slot: from then on the next one is decided
TOO_LATE = 0.9  # of a slot without an allocation: from then on it isn't worth one
PACING_TARGET = 2.0  # heartbeat intervals: a task's start waits for a heartbeat of its machine anyway
TICKS = 16  # in a slot, between looks whether one has to be decided
SETTLED_AFTER = 2  # slots: by then everything admitted in a slot is in the replica of the store


class SlotAllocator:
    """Decides slots while this node leads."""

    def __init__(
        self,
        settings: Settings,
        admission: AdmissionSettings,
        store: KeyValueStoreClient,
        leadership: Leadership,
        allocations: AllocationStore,
        outcomes: SlotOutcomes,
        own_demand: Callable[[], DemandReport],
        write_delay: Callable[[], float],
    ) -> None:
        self.settings = settings
        self.admission = admission
        self.store = store
        self.leadership = leadership
        self.allocations = allocations
        self.outcomes = outcomes
        self.own_demand = own_demand
        self.write_delay = write_delay
        self.pacer = RatePacer(settings.report_s * PACING_TARGET)
        self.clock = outcomes.clock
        self.demand = outcomes.demand
        self.watch = outcomes.dispatch.watch
        self.shares = CapacityShares(admission.interactive_share, admission.burst_share, admission.interactive_most)
        self._resumed = False
        self._last_sent = -math.inf  # the last slot of which a record was sent

    async def run(self) -> None:
        """Decide for ever; a decision that fails is taken up again at the next look."""
        while True:
            slot = self.due()
            if slot is not None and self.leadership.holds_lease():
                try:
                    await self.decide(slot)
                except StoreError as problem:
                    debug("allocation_failed", slot=slot, error=problem)
                except Exception as problem:  # noqa: BLE001 - admission must never end the term of a leader that can place
                    error("allocation_failed", slot=slot, error=repr(problem))
            await asyncio.sleep(self.clock.length_s / TICKS)

    def due(self) -> int | None:
        """The slot that has to be decided now, if any."""
        now = time_of_day()
        slot = self.clock.number(now)
        elapsed = self.clock.elapsed(now)
        latest = self.allocations.latest()
        if elapsed >= (TOO_LATE if latest is None or latest.allocation.slot < slot else DECIDE_AT):
            slot += 1
        if latest is None:
            # Without a record before it, a transaction that is applied late could write a slot again after its record
            # was deleted. So no slot is sent twice; with one before it, that one's deletion makes it fail.
            return slot if slot > self._last_sent else None
        return slot if latest.allocation.slot < slot else None

    async def decide(self, slot: int) -> None:
        """Allocate a slot and commit it, unless any leader has done so before: what is committed stays."""
        latest = self.allocations.latest()
        if latest is not None and not self._resumed:
            self.pacer.share = latest.allocation.pacing_share
            self.watch.resume(latest.allocation.started)
            self.demand.learn_incarnations(
                (node, grant.incarnation) for node, grant in latest.allocation.node_grants.items()
            )
        self._resumed = True
        self.pacer.record_delay(self.write_delay())
        self.demand.update(self.own_demand(), self.leadership.term, monotonic_time())
        over = self.allocations.up_to(slot - SETTLED_AFTER)
        allocation = self._allocate(slot, latest, over)
        conditions = {keys.LEADER: self.leadership.leader_revision}
        if latest is not None:
            conditions[keys.allocation(latest.allocation.slot, 0)] = latest.mod_revision
        writes: list[Write] = []
        pages = self._pages(allocation)
        for page, value in enumerate(pages):
            conditions[keys.allocation(slot, page)] = 0
            writes.append(Put(keys.allocation(slot, page), value))
        self._last_sent = slot
        writes += self._deletions(over, self.settings.txn_ops - len(writes))
        result = await self.store.commit(conditions, writes)
        if isinstance(result, Committed):
            self.allocations.put(allocation, result.revision, len(pages))
        else:
            debug("allocation_conflict", slot=slot, failed=result.conflicting_keys)

    def _allocate(self, slot: int, latest: StoredAllocation | None, over: list[StoredAllocation]) -> Allocation:
        """What the controllers may admit in a slot, with the service that flows have received."""
        demand = self.demand.demand(monotonic_time())
        service = ReceivedService() if latest is None else self.outcomes.settle(latest, over)
        self.outcomes.note_wanted(slot, demand.values())
        incarnations = self.demand.incarnations()
        capacity = self._capacity(slot, sorted(incarnations))
        node_grants = FairShareAllocator(capacity, demand, service, self.outcomes.weights, self.shares).run()
        for node, grant in node_grants.items():
            grant.incarnation = incarnations[node]
        node, term = self.settings.node, self.leadership.term
        settled, started = slot - SETTLED_AFTER, dict(self.watch.started)
        return Allocation(slot, term, node, node_grants, service, settled, started, self.pacer.share)

    def _capacity(self, slot: int, nodes: list[str]) -> dict[str, int]:
        """How many submissions each controller's part of the store's write rate carries in the slot, or its rest."""
        wall_clock_now = time_of_day()
        rest = 1.0 - self.clock.elapsed(wall_clock_now) if self.clock.number(wall_clock_now) == slot else 1.0
        writes = self.settings.state_write_rps * self.clock.length_s * rest * self.pacer.share
        count = self.settings.nodes
        follower = writes * rate_share(leading=False, nodes=count) * self.admission.intake_share
        leader = writes * rate_share(leading=True, nodes=count) * self.admission.leader_intake_share
        return {node: max(1, math.floor(leader if node == self.settings.node else follower)) for node in nodes}

    def _pages(self, allocation: Allocation) -> list[dict[str, Any]]:
        """The record's pages, with half of its rows left out for as long as no transaction could hold it."""
        while True:
            pages = encode_allocation(allocation, self.settings.value_bytes)
            if len(pages) <= max(1, self.settings.txn_ops // 2):
                return pages
            shorten(allocation)

    def _deletions(self, over: list[StoredAllocation], limit: int) -> list[Write]:
        """Records that nobody may admit against any more, oldest first and each as a whole."""
        deletions: list[Write] = []
        for stored in over:
            if len(deletions) + stored.pages > limit:
                break  # the rest goes with the next slot
            deletions += [Delete(keys.allocation(stored.allocation.slot, page)) for page in range(stored.pages)]
        return deletions


def shorten(allocation: Allocation) -> None:
    """Leave out half of an allocation's rows; grants that are left out go to the common reserve."""
    service = sorted(allocation.service.flows.items(), key=lambda row: -row[1])
    allocation.service.flows = dict(service[: len(service) // 2])
    started = sorted(allocation.started.items(), key=lambda row: row[1])
    allocation.started = dict(started[: len(started) // 2])
    for grant in allocation.node_grants.values():
        grants = list(grant.flows.items())
        grant.flows = dict(grants[: len(grants) // 2])
        grant.shared += sum(units for _, units in grants[len(grants) // 2 :])
