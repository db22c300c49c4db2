"""One term of leadership: the leader's books, rounds, check-ins, rentals."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Awaitable

from passrock.controller import keys
from passrock.controller.binding_rounds import BindingRounds
from passrock.controller.commit_queue import CommitQueue
from passrock.controller.failure_detector import FailureDetector
from passrock.controller.leadership import Leadership
from passrock.controller.rentals import Rentals
from passrock.controller.replica import Replica
from passrock.core.aims import Aims
from passrock.core.cancellations import Cancellations
from passrock.core.checkin import Checkins
from passrock.core.fleet import Command, Fleet, Machine, Report
from passrock.core.jobs import Book, Job, chunk_tasks
from passrock.core.model import Kind, Priority
from passrock.core.placement import Placer
from passrock.core.preemption import Preemption, stop_softly
from passrock.core.renting import Market, plan_rentals, plan_returns
from passrock.core.reservation import zone_gap
from passrock.io.clock import steady, time_of_day
from passrock.io.cloud import CloudClient
from passrock.io.state import StateClient
from passrock.logs import error, info
from passrock.settings import Settings
from passrock.wire.state import Entry

TICK_REST = 2.0  # times the time a tick took, until the next one
PLAN_EVERY = 0.4  # of the report interval, between looks at renting and displacement


class Term:
    """Everything that ends with the leadership."""

    def __init__(
        self,
        settings: Settings,
        state: StateClient,
        cloud: CloudClient,
        replica: Replica,
        cancellations: Cancellations,
        leadership: Leadership,
        market: Market,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.state = state
        self.replica = replica
        self.cancellations = cancellations
        self.leadership = leadership
        self.market = market
        self.rng = rng
        self.began = steady()
        operator = settings.operator
        self.book = Book(chunk_tasks(settings.value_bytes))
        self.fleet = Fleet(settings.report_s, settings.lease_s, operator.silent_ratio, self.began, leadership.term)
        self.checkins = Checkins(self.book, self.fleet, leadership.term)
        self.bound: dict[str, str] = {}
        keep_after = operator.begin_within_s * operator.keep_room_ratio
        aims = Aims(settings.objectives, keep_after)
        self.placer = Placer(self.book, self.fleet, settings.teams, self.bound, aims)
        self.preemption = Preemption(self.placer)
        self.commit_queue = CommitQueue(
            state,
            self.book,
            leadership.stamp,
            settings.txn_ops,
            on_final=replica.note_final,
            on_commit=self._move,
            on_lost=lambda: leadership.step_down("leader key lost"),
        )
        self.rentals = Rentals(settings, state, cloud, market, self.fleet, leadership)
        self.rentals.on_gone = self.machine_gone
        self.rentals.on_change = self.poke
        self.failure_detector = FailureDetector(
            settings, self.book, self.fleet, leadership, self.rentals, drain=self._drain
        )
        self.ready = False
        self.rounds = BindingRounds(settings, state, leadership, self.book, self.fleet, market, self.placer)
        self.tasks: list[asyncio.Task[None]] = []
        self.ticks = 0
        self._poked = asyncio.Event()
        self._moved = asyncio.Event()
        self._last_tick = self.began
        self._plan_due = 0.0

    # -- beginning and end ------------------------------------------------------------------------

    def start(self) -> None:
        """Begin the term's work."""
        self.tasks = [asyncio.ensure_future(self._guard(self._run()))]

    def stop(self) -> None:
        """End it; nothing of the term acts any more."""
        for task in self.tasks:
            task.cancel()
        self.rounds.stop()
        if self._listen in self.replica.listeners:
            self.replica.listeners.remove(self._listen)

    async def _guard(self, work: Awaitable[None]) -> None:
        try:
            await work
        except asyncio.CancelledError:
            raise
        except Exception as problem:  # a term that can't go on must not pretend to lead
            error("term_failed", problem=repr(problem))
            self.leadership.step_down("internal failure")
            raise

    async def _run(self) -> None:
        while not await self.replica.reach(self.leadership.revision, 1.0):
            pass
        while not self.market.types:
            await asyncio.sleep(0.1)
        self._load()
        self.tasks += [
            asyncio.ensure_future(self._guard(work))
            for work in (self.commit_queue.run(), self.rentals.list_machines(), self.rentals.deletions())
        ]
        self.rentals.resume(self.replica.with_prefix(keys.INTENT))
        while True:
            try:
                async with asyncio.timeout(self.settings.report_s / 4):
                    await self._poked.wait()
            except TimeoutError:
                pass
            self._poked.clear()
            began = steady()
            self.tick()
            # a look takes longer the more there is: it may have a part of the processor, never all of it
            await asyncio.sleep(max(self.settings.report_s / 20, (steady() - began) * TICK_REST))

    def _load(self) -> None:
        now = steady()
        jobs = sorted(self.replica.with_prefix(keys.JOB), key=lambda e: (e.value["at"], e.key))
        for entry in jobs:
            self.book.load(entry.value, entry.version, now, time_of_day())
        for entry in self.replica.with_prefix(keys.CHUNK):
            job_id, _, number = entry.key[len(keys.CHUNK) :].rpartition("/")
            job = self.book.jobs.get(job_id)
            if job is None:
                self.commit_queue.orphans.append(entry.key)
            else:
                self.book.load_chunk(job, int(number), entry.value, entry.version)
        for entry in self.replica.with_prefix(keys.CANCEL):
            job = self.book.jobs.get(entry.key[len(keys.CANCEL) :])
            if job is not None:
                self.book.cancel(job, self._told_at(entry))
        for job in list(self.book.jobs.values()):
            heard = self.cancellations.when(job.spec.id)
            if heard is not None:  # a peer may have told of it before the copy shows the mark
                self.book.cancel(job, heard)
            self.book.check_loaded(job)
        for prefix in (keys.RESERVATION, keys.MORE):
            for entry in self.replica.with_prefix(prefix):
                self.rounds.load(entry)
        for entry in self.replica.with_prefix(keys.HINT):
            self.fleet.load_hints(entry.value)
        self.replica.listeners.append(self._listen)
        self.ready = True
        info("term_ready", term=self.leadership.term, jobs=len(self.book.jobs), machines=len(self.book.held))
        self.commit_queue.wake.set()

    def _listen(self, key: str, entry: Entry | None) -> None:
        """A change of the state: new jobs and cancellations come this way."""
        if key.startswith(keys.JOB):
            job_id = key[len(keys.JOB) :]
            if entry is None:
                self.commit_queue.removed.discard(job_id)
            elif job_id not in self.book.jobs and job_id not in self.commit_queue.removed:
                job = self.book.load(entry.value, entry.version, steady(), time_of_day())
                self.rounds.bring_forward()
                if job.spec.priority is Priority.PRODUCTION:
                    self._plan_due = 0.0  # it displaces other work at once, best before that is launched
                info(
                    "job_new",
                    job=job_id,
                    of=job.spec.job_class,
                    kind=job.spec.kind,
                    tasks=job.spec.tasks,
                    image=job.spec.image,
                )
                self.poke()
                heard = self.cancellations.when(job_id)
                if heard is not None:
                    self.cancelled(job_id, heard)
        elif key.startswith(keys.CANCEL) and entry is not None:
            self.cancelled(key[len(keys.CANCEL) :], self._told_at(entry))

    @staticmethod
    def _told_at(mark: Entry) -> float:
        """When a cancellation may have been told at the earliest, by this process's steady clock.

        Whoever takes over counts from then, not from its own beginning.
        """
        return steady() - max(0.0, time_of_day() - mark.value["at"])

    def cancelled(self, job_id: str, at: float) -> None:
        """A cancellation is committed, as the copy of the state or a peer says."""
        job = self.book.jobs.get(job_id)
        if job is None or not self.ready:
            return
        if not job.cancelled:
            info("job_cancelled", job=job_id)
        self.book.cancel(job, at)
        self.commit_queue.wake.set()
        self.poke()

    def poke(self) -> None:
        """Something changed: look again soon."""
        self._poked.set()

    def _move(self) -> None:
        """A tick or a commit is over: answers that wait for one go on."""
        self._moved.set()
        self._moved = asyncio.Event()

    # -- check-ins ---------------------------------------------------------------------------------

    def checkin(self, report: Report) -> list[Command] | Awaitable[list[Command] | None] | None:
        """Commands for a worker, whose lease is renewed by the answer; None when it must get no answer.

        An unchanged report takes a short path: placing is the ticks' work. When the report makes room,
        its answer waits for the next tick and commit, for a small part of the report interval, so that
        what is placed there goes into it.
        """
        now = steady()
        kind = self.market.types.get(report.type)
        if not self.ready or kind is None:
            return None  # nothing is known of such a machine's tasks: no renewal that isn't noted
        known = self.fleet.machines.get(report.machine)
        was_usable = known is not None and known.up and known.confirmed
        machine = self.fleet.observe(report, kind, now)
        if machine is None:
            return None  # a late copy, or of a machine that is gone: an answer could only renew by mistake
        commands = self.checkins.handle(machine, report, now, launch=self.leadership.may_launch())
        if self.checkins.changed:
            self._log_changes(machine, now)
            self.poke()
        if self.book.dirty or self.book.finishing:
            self.commit_queue.wake.set()
        if machine.deleting:
            return None  # its deletion may take long: unanswered, its lease ends as well
        machine.answered = now
        if machine.notice_until is not None:
            self._drain(machine.name)
        if machine.confirmed and not was_usable:
            self.rounds.bring_forward()
            info("machine_up", machine=machine.name, zone=machine.zone, spot=machine.spot)
            self.poke()
        lives = self.book.held.get(machine.name)
        if self.checkins.changed or (
            lives is not None and any(live.sent_seq is None and live.mine for live in lives.values())
        ):
            return self._with_launches(machine, report, commands, self.ticks)
        return commands

    def _log_changes(self, machine: Machine, now: float) -> None:
        for live in self.checkins.begun:
            after = round(now - live.placed_at, 1) if live.mine else "?"
            info("task_runs", job=live.job.spec.id, task=live.index, machine=machine.name, after_s=after)
        for live, why in self.checkins.exits:
            job = live.job.spec.id
            info("task_end", job=job, task=live.index, attempt=live.attempt, machine=machine.name, why=why)

    async def _with_launches(
        self, machine: Machine, report: Report, commands: list[Command], tick: int
    ) -> list[Command] | None:
        end = steady() + self.settings.report_s / 4
        while steady() < end:
            lives = self.book.held.get(machine.name, {}).values()
            if self.ticks > tick and all(map(self.book.committed, lives)):
                break
            try:
                async with asyncio.timeout(end - steady()):
                    await self._moved.wait()
            except TimeoutError:
                break
        if machine.deleting or self.fleet.machines.get(machine.name) is not machine:
            return None
        if self.leadership.may_launch():
            commands += self.checkins.launches(machine, report)
        machine.answered = steady()
        return commands

    def _drain(self, name: str) -> None:
        """The cloud takes the machine soon: let its tasks save, gangs as a whole."""
        for live in list(self.book.held.get(name, {}).values()):
            for mate in list(live.job.lives()) if live.job.spec.kind == "gang" else [live]:
                stop_softly(mate, mate.job.spec.save)

    def machine_gone(self, name: str) -> None:
        """The cloud has confirmed that a machine is gone."""
        lost = self.book.machine_gone(name, steady())
        self.bound.pop(name, None)
        self.rounds.bring_forward()
        info("machine_gone", machine=name, tasks=lost)
        self.commit_queue.wake.set()
        self.poke()

    # -- the leader's look at everything ---------------------------------------------------------

    def tick(self) -> None:
        """Evidence and placement; at longer intervals preemption, renting, and a round when one is due."""
        now = steady()
        if now - self._last_tick > self.settings.report_s:
            self.fleet.began = now  # this process stood still: silence in that time proves nothing
        self._last_tick = now
        if not self.leadership.holds_lease():
            if self.leadership.may_renew():
                self.failure_detector.clear_cancelled(now)  # the time for these runs on through an outage
            return
        self.leadership.check_fence()
        planning = now >= self._plan_due
        if planning:
            self._plan_due = now + self.settings.report_s * PLAN_EVERY
            self.failure_detector.evaluate(now)
        started = self.placer.run(now)
        for live in started:
            info("place", job=live.job.spec.id, task=live.index, attempt=live.attempt, machine=live.machine)
        if self.placer.cut_short:
            self.poke()
        if planning:
            self._preempt(self.placer.waiting, now)
            self._rent(self.placer.waiting, now)
        self.rounds.run_if_due(now)
        if self.book.dirty or self.book.finishing:
            self.commit_queue.wake.set()
        self.ticks += 1
        self._move()

    def _preempt(self, queue: list[Job], now: float) -> None:
        for job in queue:
            if not self.preemption.displaces(job):
                continue
            early = now - job.order < self.settings.report_s and job.spec.priority is not Priority.PRODUCTION
            for live in self.preemption.make_room(job, now, early):
                info("preempt", job=live.job.spec.id, task=live.index, machine=live.machine, by=job.spec.id)
                stop_softly(live, self.settings.gang_peer_s)
                if self.book.unsent(live):  # nothing of it is on its way: the room is free at once
                    self.book.gone(live, now)
                    self.poke()
                machine = self.fleet.machines.get(live.machine)
                if machine is not None:
                    self.book.recount(machine, now)

    def _rent(self, queue: list[Job], now: float) -> None:
        lacking = [job for job in queue if job.spec.kind is not Kind.GANG or not self.preemption.stopping_for(job)]
        wanted = plan_rentals(lacking, self.book, self.fleet, self.settings.teams, self.market, self.placer.aims, now)
        production, room = self._zone_rooms()
        gap = zone_gap(production, room, self.settings.zones)
        if gap > 0:
            offer = self.market.buffer_offer(room, now)
            if offer is not None and offer not in wanted:
                wanted[offer] = math.ceil(gap / self.market.types[offer.type].size.gpus)
        for offer, count in wanted.items():
            self.rentals.rent(offer, count)
        if queue or self._broken_gangs():
            return
        operator = self.settings.operator
        patience = {
            name: max(operator.idle_floor_s, operator.idle_boot_ratio * kind.boot_s)
            for name, kind in self.market.types.items()
        }
        for machine in plan_returns(self.fleet, self.book, patience, now):
            room[machine.zone] -= machine.type.size.gpus
            if not machine.spot and zone_gap(production, room, self.settings.zones) > 0:
                room[machine.zone] += machine.type.size.gpus  # part of the buffer for a lost zone
                continue
            info("machine_return", machine=machine.name)
            self.rentals.delete(machine)

    def _broken_gangs(self) -> bool:
        """Whether a gang waits for the last of its old attempt to be gone: it needs the room of its mates again.

        Gangs with tasks on machines that were cut off were in no queue, and the machines of the others went back.
        """
        return any(
            job.spec.kind is Kind.GANG and job.live_count > 0 and job.waiting > 0 and not job.cancelled
            for job in self.book.jobs.values()
        )

    def _zone_rooms(self) -> tuple[dict[str, float], dict[str, float]]:
        """GPUs of production work in each zone, and those it could take there: idle ones or lent ones."""
        production = dict.fromkeys(self.settings.zones, 0.0)
        room = dict.fromkeys(self.settings.zones, 0.0)
        for machine in self.fleet.machines.values():
            if machine.deleting or machine.spot or machine.zone not in room:
                continue
            mine = sum(
                live.job.spec.need.gpus
                for live in self.book.held.get(machine.name, {}).values()
                if live.job.spec.priority is Priority.PRODUCTION
            )
            production[machine.zone] += mine * self.settings.operator.buffer_share
            room[machine.zone] += machine.type.size.gpus - mine
        return production, room
