"""Leader election: one transaction acquires the leader key under a lease and stores a new highest term."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from passrock.controller import keys
from passrock.controller.replica import Replica
from passrock.core.instants import NEVER
from passrock.core.interface_times import CLOCK_DRIFT_RATIO
from passrock.io.clock import monotonic_time
from passrock.io.errors import LeaseExpiredError, StoreError, UnknownOutcomeError
from passrock.io.peer_messages import PeerHeartbeat
from passrock.io.store import Committed, KeyValueStoreClient
from passrock.logs import info
from passrock.settings import Settings
from passrock.wire.store import Entry, Put, Write

RENEWALS_PER_LEASE = 4
RENEWAL_TIMEOUT_DIVISOR = 3  # a renewal times out after this fraction of the lease
CAMPAIGN_CHECKS_PER_LEASE = 20  # so that a free leader key is detected within a small part of the lease
RETRY_DELAY_DIVISOR = 10  # the delay after a failed request is this fraction of the lease
CAMPAIGN_JITTER_DIVISOR = 40  # random delay of up to this fraction of the lease, so that nodes campaign apart

INCARNATION_MASK = (1 << 48) - 1
CAMPAIGN_PAUSE_WORKER_LEASES = 0.5  # worker leases during which a controller that resigned does not campaign


class Leadership:
    """This controller's role in leader election, its term and its lease on the leader key.

    Attributes:
        term: the term that this node leads or last led, which is its fencing token; 0 for none.
        highest_term: the highest term observed in the store or in any message.
        leading: whether this node has won a campaign and not stepped down since. Its lease may nevertheless have
            expired: see ``holds_lease``.
        leader_revision: the leader key's revision in that term; every write of the leader is conditional on it.
        lease_deadline: the monotonic time before which no other node can hold the leader key.
        lease_ttl_s: how long the leader key exists without a renewal.
        incarnation: distinguishes this process of the node from its earlier processes.
    """

    def __init__(self, settings: Settings, store: KeyValueStoreClient, replica: Replica, rng: random.Random) -> None:
        self.settings = settings
        self.store = store
        self.replica = replica
        self.rng = rng
        # derived from the generator's state without a draw: a draw would change all later values of a seeded run
        self.incarnation = hash(rng.getstate()[1]) & INCARNATION_MASK
        self.lease_ttl_s = settings.leader_lease_s
        self.term = 0
        self.highest_term = 0
        self.leading = False
        self.leader_revision = 0
        self.lease_deadline = NEVER
        self._lease_id = 0
        self._campaign_not_before = NEVER
        self._role_listeners: list[Callable[[], None]] = []
        self._background_tasks: set[asyncio.Task[None]] = set()  # the event loop keeps only weak references
        replica.subscribe(self._on_key_change)

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` whenever this node begins or ceases to lead."""
        self._role_listeners.append(listener)

    def holds_lease(self) -> bool:
        """Whether this node leads and its lease on the leader key cannot have expired."""
        return self.leading and monotonic_time() < self.lease_deadline

    # -- terms ------------------------------------------------------------------------------------

    def observe_term(self, term: int) -> None:
        """Record a term from the store or a message; one higher than this node's own ends its leadership at once."""
        if term > self.highest_term:
            self.highest_term = term
        if self.leading and term > self.term:
            self.step_down("higher term")

    def on_peer_heartbeat(self, heartbeat: PeerHeartbeat) -> None:
        """Observe the highest term that a peer reports."""
        self.observe_term(heartbeat.term)

    def _on_key_change(self, key: str, entry: Entry | None) -> None:
        """Observe a new stored term at once, before any worker is redirected to the previous leader."""
        if key == keys.TERM and entry is not None and isinstance(entry.value, int):
            self.observe_term(entry.value)

    # -- end of the leadership ---------------------------------------------------------------------

    def step_down(self, reason: str) -> None:
        """End the leadership, if this node leads; ``reason`` is logged."""
        if self.leading:
            info("leadership_lost", term=self.term, reason=reason)
            self.leading = False
            self.lease_deadline = NEVER
            self._notify_listeners()

    def resign(self) -> None:
        """Step down in favour of a controller that the workers can reach, before their leases expire.

        The leader lease is revoked so that another controller can campaign at once; this node pauses its own
        campaigns for a part of the workers' lease.
        """
        self.step_down("workers reach other controllers only")
        self._campaign_not_before = monotonic_time() + self.settings.lease_s * CAMPAIGN_PAUSE_WORKER_LEASES
        task = asyncio.create_task(self._revoke_lease(self._lease_id))
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    async def _revoke_lease(self, lease_id: int) -> None:
        try:
            await self.store.revoke_lease(lease_id)
        except StoreError as exc:
            info("leader_lease_revocation_failed", error=exc)  # the lease expires by itself

    def _notify_listeners(self) -> None:
        for listener in self._role_listeners:
            listener()

    # -- renewal and campaigns --------------------------------------------------------------------

    async def run(self) -> None:
        """Renew the lease while leading; otherwise campaign whenever the leader key is free. Runs until cancelled."""
        while True:
            try:
                if self.leading:
                    await self._renew_lease()
                    await asyncio.sleep(self.lease_ttl_s / RENEWALS_PER_LEASE)
                else:
                    await self._campaign_if_free()
                    await asyncio.sleep(self.lease_ttl_s / CAMPAIGN_CHECKS_PER_LEASE)
            except StoreError:
                await asyncio.sleep(self.lease_ttl_s / RETRY_DELAY_DIVISOR)

    async def _renew_lease(self) -> None:
        requested_at = monotonic_time()
        timeout = self.lease_ttl_s / RENEWAL_TIMEOUT_DIVISOR
        try:
            await self.store.renew_lease(self._lease_id, timeout=timeout)
        except LeaseExpiredError:
            self.step_down("lease ended")
            return
        if requested_at >= self.lease_deadline:  # the lease may have expired before: check that the key is unchanged
            entry, _ = await self.store.get(keys.LEADER, timeout=timeout)
            if entry is None or entry.mod_revision != self.leader_revision:
                self.step_down("key lost")
                return
        if self.leading:
            self.lease_deadline = self._lease_deadline_after(requested_at)

    def _lease_deadline_after(self, requested_at: float) -> float:
        """Return the time until which a lease granted or renewed by a request sent then is valid by any clock."""
        return requested_at + self.lease_ttl_s / CLOCK_DRIFT_RATIO

    async def _campaign_if_free(self) -> None:
        if not self.replica.loaded or monotonic_time() < self._campaign_not_before:
            return
        leader = self.replica.get(keys.LEADER)
        term = self.replica.get(keys.TERM)
        if term is not None:
            self.observe_term(int(term.value))
        if leader is None or self._names_this_node(leader):
            await self._campaign(leader, term)

    def _names_this_node(self, leader: Entry) -> bool:
        """Whether an earlier incarnation of this node, whose process has ended, holds the leader key."""
        return isinstance(leader.value, dict) and leader.value.get("node") == self.settings.node

    async def _campaign(self, leader: Entry | None, stored_term: Entry | None) -> None:
        """Try to acquire the leader key and the next term, conditional on the revisions in the replica."""
        await asyncio.sleep(self.rng.random() * self.lease_ttl_s / CAMPAIGN_JITTER_DIVISOR)
        requested_at = monotonic_time()
        lease_id = await self.store.create_lease(self.lease_ttl_s)
        term = max(self.highest_term, int(stored_term.value) if stored_term else 0) + 1
        conditions = {
            keys.LEADER: leader.mod_revision if leader else 0,
            keys.TERM: stored_term.mod_revision if stored_term else 0,
        }
        writes: list[Write] = [
            Put(keys.LEADER, {"node": self.settings.node, "term": term}, lease_id),
            Put(keys.TERM, term),
        ]
        try:
            result = await self.store.commit(conditions, writes)
        except UnknownOutcomeError:
            # the commit may be applied already or later: revoking the lease removes the key or makes the commit fail
            await self.store.revoke_lease(lease_id)
            return
        if not isinstance(result, Committed):
            await self.store.revoke_lease(lease_id)
            return
        self._begin_term(term, lease_id, result.revision, requested_at)

    def _begin_term(self, term: int, lease_id: int, revision: int, requested_at: float) -> None:
        self._lease_id = lease_id
        self.leader_revision = revision
        self.term = self.highest_term = term
        self.leading = True
        self.lease_deadline = self._lease_deadline_after(requested_at)
        info("leadership_acquired", term=term)
        self._notify_listeners()
