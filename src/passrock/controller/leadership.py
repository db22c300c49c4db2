"""Who leads: a leased key, taken together with a new term in one commit."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable

from passrock.controller import keys
from passrock.controller.replica import Replica
from passrock.core.cancellations import Cancellations, renewal_horizon, whole_until
from passrock.core.lost_workers import LostWorkers
from passrock.core.machine_health import CLOCK_DRIFT_FACTOR, unresponsive_after
from passrock.io.clock import monotonic_time
from passrock.io.peers import PeerHeartbeat, Peers
from passrock.io.state import Committed, LeaseEndedError, StateClient, StateError, UnknownOutcomeError
from passrock.logs import info
from passrock.settings import Settings
from passrock.wire.state import Entry, Put

LAUNCH_PART = 2.0  # of the time that a leader's key lives: a watch over a quiet state answers about so often

RUN_MASK = (1 << 48) - 1


class Leadership:
    """This node's part in the leadership."""

    def __init__(
        self,
        settings: Settings,
        state: StateClient,
        replica: Replica,
        cancellations: Cancellations,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.state = state
        self.replica = replica
        self.cancellations = cancellations
        self.rng = rng
        self.run_id = hash(rng.getstate()[1]) & RUN_MASK  # tells this life of the process from its former ones
        self.horizon_s = renewal_horizon(settings.cancel_s, settings.lease_s, settings.report_s)
        self.peers: Peers | None = None
        self.ttl = settings.leader_lease_s
        self.term = 0  # the term this node leads or last led, 0 for none
        self.leading = False
        self.leader_revision = 0
        self.deadline = -1e9
        self.known_term = 0
        self.fenced_at: float | None = None
        self.changed: list[Callable[[], None]] = []
        self._lease = 0
        self._rest_until = -1e9
        self._ending: asyncio.Task[None] | None = None
        self.lost_workers = LostWorkers(
            settings.report_s,
            settings.lease_s,
            unresponsive_after(settings.report_s, settings.lease_s, settings.operator.silent_ratio),
        )
        self._support_s = max(1.0, settings.report_s)
        replica.listeners.append(self._listen)

    def _listen(self, key: str, entry: Entry | None) -> None:
        """A term that the copy of the state shows counts at once, before any worker is sent to its old leader."""
        if key == keys.TERM and entry is not None and isinstance(entry.value, int):
            self.observe_term(entry.value)

    # -- what others may rely on ------------------------------------------------------------

    def holds_lease(self) -> bool:
        """Whether this node surely leads now: its key can't have run out."""
        return self.leading and monotonic_time() < self.deadline

    def cancellations_whole_until(self, now: float) -> float:
        """Every cancellation that any controller has told a user before this time is known here."""
        knowledge = [] if self.peers is None else self.peers.knowledge
        return whole_until(self.replica.read_at, knowledge, now)

    def knows_cancellations(self, within_s: float) -> bool:
        """Whether every cancellation told to a user more than ``within_s`` ago is known here."""
        now = monotonic_time()
        if now - self.replica.read_at <= within_s:
            return True  # the ordinary case: a read of the state alone proves it
        return now - self.cancellations_whole_until(now) <= within_s

    def may_launch(self) -> bool:
        """Whether tasks may be launched: by the leader, and on knowledge that is not much older than its key."""
        return self.holds_lease() and self.knows_cancellations(min(self.ttl * LAUNCH_PART, self.horizon_s))

    def may_renew(self) -> bool:
        """Whether check-ins may be answered: as leader, or as the last one while the state is down.

        Through an outage of the state service the key runs out for everyone, and tasks must live.
        So the last leader goes on renewing worker leases, without launching anything, while a
        majority of controllers also see the service down and know of no higher term.

        Never without knowledge of the cancellations: other controllers may have told users of some that this
        one's copy lacks, and what it renews would run on. Any that it doesn't know is so young that the lease
        given now ends within the time allowed.
        """
        if not self.knows_cancellations(self.horizon_s):
            return False
        if self.holds_lease():
            return True
        if not self.leading or self.peers is None or self.known_term > self.term:
            return False
        if not self.state.down(monotonic_time(), 0.0):
            return False
        votes = 1
        for heartbeat, _ in self.peers.answers(monotonic_time() - self._support_s):
            if heartbeat.term > self.term:
                return False
            if heartbeat.has_read and heartbeat.state_down and heartbeat.term == self.term:
                votes += 1
        return votes * 2 > self.settings.nodes

    def may_renew_leaderless(self, token: int) -> bool:
        """Whether a worker with this token may be kept alive although nobody leads.

        When the leader ends while the state service is away, nobody can take over and every task
        would end with its worker's lease. Renewing with the worker's own token, and nothing else, is
        safe while every single controller says that it does not lead, knows no higher term and sees
        the service down: a majority is not enough, since those that restarted have forgotten what
        they acknowledged. A later leader's fence outlasts these renewals like those of a last leader.

        Knowledge of the cancellations is needed as for a leader. After a restart of all nobody has it: a
        cancellation may have been told just before, and the last leases were given on knowledge up to
        ``horizon_s`` old, so no time is left to spend, and the leases run out unless the service is back.
        """
        now = monotonic_time()
        if not self.knows_cancellations(self.horizon_s):
            return False
        if self.leading or self.peers is None or token < self.known_term or token == 0:
            return False
        if not self.state.down(now, self.ttl / 4):
            return False
        answers = self.peers.answers(now - self._support_s)
        if len(answers) + 1 < self.settings.nodes:
            return False
        return all(h.state_down and not h.leading and h.term <= token for h, _ in answers)

    def leader(self) -> str | None:
        """The node that leads, as far as is known here lately.

        A peer that says so itself comes first. The copy of the state counts only while the service is
        heard of: a node cut off from it would otherwise send workers to a leader of long ago.
        """
        now = monotonic_time()
        if self.peers is not None:
            leading = [h for h, _ in self.peers.answers(now - self.ttl) if h.leading and h.term >= self.known_term]
            if leading:
                return max(leading, key=lambda heartbeat: heartbeat.term).node
        entry = self.replica.get(keys.LEADER)
        if entry is None or not isinstance(entry.value, dict) or self.state.down(now, self.ttl):
            return None
        node, term = entry.value.get("node"), entry.value.get("term")
        if not isinstance(node, str) or not isinstance(term, int) or term < self.known_term:
            return None  # the copy lags: that leader has been replaced
        return node

    def view(self) -> PeerHeartbeat:
        """What the peers are told."""
        return PeerHeartbeat(
            node=self.settings.node,
            term=self.known_term,
            leading=self.leading,
            state_down=self.state.down(monotonic_time(), self.ttl / 4),
            has_read=self.replica.loaded,
            redirects=self.lost_workers.count(self.known_term, monotonic_time()),
            run=self.run_id,
            whole_age=self._whole_age(),
        )

    def _whole_age(self) -> float | None:
        now = monotonic_time()
        until = self.cancellations_whole_until(now)
        return max(0.0, now - until) if math.isfinite(until) else None

    def redirect(self, machine: str, token: int) -> str | None:
        """Where a worker that this node can't serve should go; None when nobody can be named.

        One that knows the present term has lost its leader, or it would not have come. It goes to another
        follower while the leader may be about to step down: every attempt at one that can't be reached costs
        a large part of the worker's lease.
        """
        now = monotonic_time()
        leader = self.leader()
        lost = self.lost_workers
        if token and not self.leading:
            lost.note(machine, token, leader, self.known_term, now)
        still_lost = leader is None or (leader == lost.leader and self.known_term <= lost.leader_term)
        if still_lost and lost.keep_away(machine, now):
            return lost.alternative(self._followers(now), self.settings.node)
        return leader if leader != self.settings.node else None

    def _followers(self, now: float) -> list[str]:
        """The other controllers that answered lately and don't lead."""
        if self.peers is None:
            return []
        return [heartbeat.node for heartbeat, _ in self.peers.answers(now - self._support_s) if not heartbeat.leading]

    def workers_elsewhere(self) -> int:
        """How many workers came to other controllers lately instead of this one."""
        if self.peers is None:
            return 0
        return sum(heartbeat.redirects for heartbeat, _ in self.peers.answers(monotonic_time() - self._support_s))

    def peer_hangs(self) -> bool:
        """Whether a controller stands still or is cut off, so that workers may be waiting for its answer."""
        return self.peers is not None and self.peers.hanging(monotonic_time(), self.settings.report_s / 2)

    def abdicate(self) -> None:
        """Leave the leadership to a node that the workers reach, before their leases end."""
        self.step_down("workers reach other controllers only")
        self._rest_until = monotonic_time() + self.settings.lease_s / 2
        self._ending = asyncio.ensure_future(self._end(self._lease))

    async def _end(self, lease: int) -> None:
        try:
            await self.state.end_lease(lease)
        except StateError as problem:
            info("leader_lease_revocation_failed", error=problem)  # it runs out by itself

    def heard(self, heartbeat: PeerHeartbeat) -> None:
        """A peer told its view."""
        self.observe_term(heartbeat.term)

    def observe_term(self, term: int) -> None:
        """A term was seen anywhere: a higher one than ours ends our leadership at once."""
        if term > self.known_term:
            self.known_term = term
        if self.leading and term > self.term:
            self.step_down("higher term")

    def check_fence(self) -> None:
        """Note when a majority had taken in our term, and older support had run out."""
        if not self.leading or self.fenced_at is not None or self.peers is None:
            return
        votes = 1 + sum(1 for heartbeat, _ in self.peers.answers(-1e8) if heartbeat.term >= self.term)
        if votes * 2 > self.settings.nodes:
            self.fenced_at = monotonic_time() + self._support_s * CLOCK_DRIFT_FACTOR

    # -- the life of a leadership -------------------------------------------------------------

    def step_down(self, why: str) -> None:
        """Lead no longer."""
        if self.leading:
            info("leadership_lost", term=self.term, reason=why)
            self.leading = False
            self.deadline = -1e9
            self._tell()

    def _tell(self) -> None:
        for callback in self.changed:
            callback()

    async def run(self) -> None:
        """Renew while leading, else take over whenever the key is free."""
        while True:
            try:
                if self.leading:
                    await self._renew()
                    await asyncio.sleep(self.ttl / 4)
                else:
                    await self._maybe_take()
                    await asyncio.sleep(self.ttl / 20)
            except StateError:
                await asyncio.sleep(self.ttl / 10)

    async def _renew(self) -> None:
        started = monotonic_time()
        try:
            await self.state.renew(self._lease, timeout=self.ttl / 3)
        except LeaseEndedError:
            self.step_down("lease ended")
            return
        if started >= self.deadline:  # was out of time: make sure that the key is still ours
            entry, _ = await self.state.get(keys.LEADER, timeout=self.ttl / 3)
            if entry is None or entry.mod_revision != self.leader_revision:
                self.step_down("key lost")
                return
        if self.leading:
            self.deadline = started + self.ttl / CLOCK_DRIFT_FACTOR

    async def _maybe_take(self) -> None:
        if not self.replica.loaded or monotonic_time() < self._rest_until:
            return
        entry = self.replica.get(keys.LEADER)
        term_entry = self.replica.get(keys.TERM)
        if term_entry is not None:
            self.observe_term(int(term_entry.value))
        if entry is not None and not (
            isinstance(entry.value, dict) and entry.value.get("node") == self.settings.node
        ):
            return
        # a key that names this very node is from before its restart: that process is dead
        await asyncio.sleep(self.rng.random() * self.ttl / 40)
        started = monotonic_time()
        lease = await self.state.new_lease(self.ttl)
        term = max(self.known_term, int(term_entry.value) if term_entry else 0) + 1
        conditions = {
            keys.LEADER: entry.mod_revision if entry else 0,
            keys.TERM: term_entry.mod_revision if term_entry else 0,
        }
        writes = [Put(keys.LEADER, {"node": self.settings.node, "term": term}, lease), Put(keys.TERM, term)]
        try:
            result = await self.state.commit(conditions, list(writes))
        except UnknownOutcomeError:
            # may have been applied, or may be later: ending its lease makes it fail, or takes the key away
            await self.state.end_lease(lease)
            return
        if not isinstance(result, Committed):
            await self.state.end_lease(lease)
            return
        self._lease, self.leader_revision = lease, result.revision
        self.term = self.known_term = term
        self.fenced_at = None
        self.leading = True
        self.deadline = started + self.ttl / CLOCK_DRIFT_FACTOR
        info("leadership_acquired", term=term)
        self._tell()
