"""Leader election: a key under a lease, acquired in the same commit as a term one higher than any before."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from passrock.controller import keys
from passrock.controller.replica import Replica
from passrock.core.instants import NEVER
from passrock.core.machine_health import CLOCK_DRIFT_RATIO
from passrock.io.clock import monotonic_time
from passrock.io.errors import LeaseExpiredError, StoreError, UnknownOutcomeError
from passrock.io.peer_messages import PeerHeartbeat
from passrock.io.store import Committed, KeyValueStoreClient
from passrock.logs import info
from passrock.settings import Settings
from passrock.wire.store import Entry, Put, Write

RENEWALS_PER_LEASE = 4
RENEWAL_TIMEOUTS_PER_LEASE = 3
CAMPAIGN_CHECKS_PER_LEASE = 20  # a free key is noticed within a small part of the lease
RETRIES_PER_LEASE = 10  # after a request that failed
JITTER_PER_LEASE = 40  # campaigns of several nodes begin apart by up to this part of the lease

INCARNATION_MASK = (1 << 48) - 1  # 48 bits
RESIGN_WORKER_LEASES = 0.5  # worker leases for which a controller that has resigned does not campaign


class Leadership:
    """This controller's part in leader election: its role, its term and its lease on the leader key.

    Attributes:
        term: the term that this node leads or last led, which is its fencing token; 0 for none.
        known_term: the highest term seen anywhere.
        leading: whether this node has won a campaign and not stepped down since. Its lease may have expired:
            see ``holds_lease``.
        leader_revision: the leader key's revision in that term; every write of the leader is conditional on it.
        lease_deadline: until when nobody else can hold the key, by the monotonic clock.
        lease_ttl_s: how long the leader key lives without a renewal.
        incarnation: tells this process of the node from its former ones.
    """

    def __init__(self, settings: Settings, store: KeyValueStoreClient, replica: Replica, rng: random.Random) -> None:
        self.settings = settings
        self.store = store
        self.replica = replica
        self.rng = rng
        # from the generator's state, not drawn from it: a draw would shift all later ones that a seed replays
        self.incarnation = hash(rng.getstate()[1]) & INCARNATION_MASK
        self.lease_ttl_s = settings.leader_lease_s
        self.term = 0
        self.known_term = 0
        self.leading = False
        self.leader_revision = 0
        self.lease_deadline = NEVER
        self._lease_id = 0
        self._campaign_not_before = NEVER
        self._role_listeners: list[Callable[[], None]] = []
        self._background_tasks: set[asyncio.Task[None]] = set()  # the event loop itself keeps no reference to a task
        replica.subscribe(self._on_change)

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Have ``listener`` called whenever this node begins or ceases to lead."""
        self._role_listeners.append(listener)

    def holds_lease(self) -> bool:
        """Whether this node certainly leads now: its lease on the leader key can't have expired."""
        return self.leading and monotonic_time() < self.lease_deadline

    # -- terms ------------------------------------------------------------------------------------

    def observe_term(self, term: int) -> None:
        """A term was seen anywhere: one higher than this node's own ends its leadership at once."""
        if term > self.known_term:
            self.known_term = term
        if self.leading and term > self.term:
            self.step_down("higher term")

    def on_peer_heartbeat(self, heartbeat: PeerHeartbeat) -> None:
        """Observe the highest term that a peer knows."""
        self.observe_term(heartbeat.term)

    def _on_change(self, key: str, entry: Entry | None) -> None:
        """A term that the replica shows counts at once, before any worker is redirected to its old leader."""
        if key == keys.TERM and entry is not None and isinstance(entry.value, int):
            self.observe_term(entry.value)

    # -- the end of a leadership ------------------------------------------------------------------

    def step_down(self, reason: str) -> None:
        """Give up the leadership, if this node leads; ``reason`` goes into the log."""
        if self.leading:
            info("leadership_lost", term=self.term, reason=reason)
            self.leading = False
            self.lease_deadline = NEVER
            self._notify()

    def resign(self) -> None:
        """Yield to a controller that the workers reach, before their leases expire.

        The lease is revoked so that another can campaign at once, and this node doesn't for a while.
        """
        self.step_down("workers reach other controllers only")
        self._campaign_not_before = monotonic_time() + self.settings.lease_s * RESIGN_WORKER_LEASES
        task = asyncio.create_task(self._revoke_lease(self._lease_id))
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    async def _revoke_lease(self, lease_id: int) -> None:
        try:
            await self.store.end_lease(lease_id)
        except StoreError as problem:
            info("leader_lease_revocation_failed", error=problem)  # it expires by itself

    def _notify(self) -> None:
        for listener in self._role_listeners:
            listener()

    # -- renewal and campaigns --------------------------------------------------------------------

    async def run(self) -> None:
        """Renew the lease while leading, else campaign whenever the leader key is free."""
        while True:
            try:
                if self.leading:
                    await self._renew_lease()
                    await asyncio.sleep(self.lease_ttl_s / RENEWALS_PER_LEASE)
                else:
                    await self._campaign_if_free()
                    await asyncio.sleep(self.lease_ttl_s / CAMPAIGN_CHECKS_PER_LEASE)
            except StoreError:
                await asyncio.sleep(self.lease_ttl_s / RETRIES_PER_LEASE)

    async def _renew_lease(self) -> None:
        started = monotonic_time()
        timeout = self.lease_ttl_s / RENEWAL_TIMEOUTS_PER_LEASE
        try:
            await self.store.renew(self._lease_id, timeout=timeout)
        except LeaseExpiredError:
            self.step_down("lease ended")
            return
        if started >= self.lease_deadline:  # the lease may have expired meanwhile: make sure that the key is ours
            entry, _ = await self.store.get(keys.LEADER, timeout=timeout)
            if entry is None or entry.mod_revision != self.leader_revision:
                self.step_down("key lost")
                return
        if self.leading:
            self.lease_deadline = self._deadline(started)

    def _deadline(self, started: float) -> float:
        """Until when a lease that was granted or renewed by a request sent at ``started`` lives by any clock."""
        return started + self.lease_ttl_s / CLOCK_DRIFT_RATIO

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
        """Whether the key is of a former incarnation of this node: that process has ended."""
        return isinstance(leader.value, dict) and leader.value.get("node") == self.settings.node

    async def _campaign(self, leader: Entry | None, stored_term: Entry | None) -> None:
        """Try to acquire the leader key, as the replica shows it, together with the next term."""
        await asyncio.sleep(self.rng.random() * self.lease_ttl_s / JITTER_PER_LEASE)
        started = monotonic_time()
        lease_id = await self.store.new_lease(self.lease_ttl_s)
        term = max(self.known_term, int(stored_term.value) if stored_term else 0) + 1
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
            # it may have been applied, or may be later: ending the lease makes it fail, or removes the key
            await self.store.end_lease(lease_id)
            return
        if not isinstance(result, Committed):
            await self.store.end_lease(lease_id)
            return
        self._lead(term, lease_id, result.revision, started)

    def _lead(self, term: int, lease_id: int, revision: int, started: float) -> None:
        self._lease_id = lease_id
        self.leader_revision = revision
        self.term = self.known_term = term
        self.leading = True
        self.lease_deadline = self._deadline(started)
        info("leadership_acquired", term=term)
        self._notify()
