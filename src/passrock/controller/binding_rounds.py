"""The leader's binding rounds: machines are assigned to the teams' reservations, and the records written."""

from __future__ import annotations

import asyncio
import math
from typing import Any

from passrock.controller import keys
from passrock.controller.leadership import Leadership
from passrock.core.image_hints import encode_image_hints
from passrock.core.inventory import MachineInventory
from passrock.core.jobs import JobTable
from passrock.core.messages import TaskState
from passrock.core.reservation import Binding, Claim, Unit, bind, pages
from passrock.core.scaling import MachineCatalog
from passrock.core.scheduler import Scheduler
from passrock.io.clock import monotonic_time
from passrock.io.state import Committed, StateClient, StateError
from passrock.logs import info
from passrock.settings import Settings
from passrock.wire.state import TXN_BYTES, Entry, Put, Write

EARLY_ROUND = 0.25  # of the round interval, the least time between two rounds
RECORD_SPARE = 0.6  # of the burst of writes must be free before a round's records are written
RECORD_FILL = 0.9  # of a record's largest size is filled with names of machines
HINT_BYTES = 160  # a machine with its images in a hint record, at its longest


class BindingRounds:
    """Binds machines to reservations at intervals, and earlier when demand or machines change."""

    def __init__(
        self,
        settings: Settings,
        state: StateClient,
        leadership: Leadership,
        job_table: JobTable,
        inventory: MachineInventory,
        catalog: MachineCatalog,
        scheduler: Scheduler,
    ) -> None:
        self.settings = settings
        self.state = state
        self.leadership = leadership
        self.job_table = job_table
        self.inventory = inventory
        self.catalog = catalog
        self.scheduler = scheduler
        self.assignments = scheduler.assignments  # machine -> team, as the last round left it
        self._due = 0.0
        self._last = -math.inf
        self._recorded: dict[str, Any] = {}
        self._recording: asyncio.Task[None] | None = None

    def load(self, reservation: Entry) -> None:
        """Take in one record of an earlier leader."""
        self._recorded[reservation.key] = reservation.value
        self.assignments.update(dict.fromkeys(reservation.value["m"], keys.reservation_team(reservation.key)))

    def stop(self) -> None:
        """Write nothing more."""
        if self._recording is not None:
            self._recording.cancel()

    def bring_forward(self) -> None:
        """Demand or machines changed: the next round comes early, though not at once again."""
        early = self._last + self.settings.operator.round_s * EARLY_ROUND
        self._due = min(self._due, max(monotonic_time(), early))

    def run_if_due(self, now: float) -> None:
        """Hold a round when its time has come."""
        if now >= self._due:
            self._run(now)

    def _run(self, now: float) -> None:
        early = now - self._last < self.settings.operator.round_s
        self._due = now + self.settings.operator.round_s
        self._last = now
        result = self._bind()
        self.assignments.clear()
        self.assignments.update(result.owner)
        records: dict[str, list[str]] = {team: [] for team in self.settings.teams}
        for name, team in sorted(result.owner.items()):
            records[team].append(name)
        writes: dict[str, Any] = {}
        for team, names in records.items():
            for page, part in enumerate(pages(names, self.settings.value_bytes * RECORD_FILL)):
                writes[keys.reservation(team, page)] = {"m": part}
        for key in self._recorded:
            if key.startswith(keys.MORE) and key not in writes:
                writes[key] = {"m": []}  # a reservation that has shrunk leaves an empty page
        if not early:
            hints = encode_image_hints(
                self.inventory.machines.values(), max(1, self.settings.value_bytes // HINT_BYTES)
            )
            writes.update({f"{keys.HINT}{i}": record for i, record in enumerate(hints)})
        changed = {key: value for key, value in writes.items() if value != self._recorded.get(key)}
        info("binding_round_completed", short=len(result.short), changed=len(changed), **self._census())
        if changed:
            self.stop()  # this round's records stand for those not yet written
            self._recording = asyncio.ensure_future(self._record(changed))

    def _census(self) -> dict[str, object]:
        """Where the machines' GPUs are, for the log."""
        sums = dict.fromkeys(("booting", "idle", "placed", "running", "stranded"), 0.0)
        for machine in self.inventory.machines.values():
            attempts = self.job_table.attempts_by_machine.get(machine.name, {}).values()
            placed = sum(attempt.job.spec.resources.gpus for attempt in attempts)
            if not machine.registered:
                sums["booting"] += machine.type.size.gpus
            elif not attempts:
                sums["idle"] += machine.type.size.gpus
            else:
                sums["stranded"] += machine.type.size.gpus - placed
            running = sum(
                attempt.job.spec.resources.gpus for attempt in attempts if attempt.state is TaskState.RUNNING
            )
            sums["running"] += running
            sums["placed"] += placed - running
        waiting = sum(
            job.spec.resources.gpus * job.waiting for job in self.job_table.jobs.values() if not job.cancelled
        )
        return {"machines": len(self.inventory.machines), "waiting": waiting, **sums}

    def _bind(self) -> Binding:
        whole = max((kind.size.gpus for kind in self.catalog.types.values()), default=1.0) or 1.0
        units = []
        for machine in self.inventory.machines.values():
            if machine.deleting or machine.reclaim_at is not None:
                continue
            attempts = self.job_table.attempts_by_machine.get(machine.name, {})
            teams = frozenset(attempt.job.spec.team for attempt in attempts.values())
            units.append(Unit(machine.name, machine.zone, machine.type.size.gpus / whole, not attempts, teams))
        claims = []
        for team in self.settings.teams.values():
            asked = self.scheduler.demand(team.name).gpus
            if team.gpus_max > 0:
                asked = min(asked, team.gpus_max)
            desired = asked / whole
            claims.append(Claim(team.name, desired, team.gpus / whole, desired * self.settings.operator.buffer_share))
        return bind(units, claims, self.assignments, self.settings.zones, self.settings.operator.alpha_extra)

    async def _record(self, changed: dict[str, Any]) -> None:
        """Write the reservations and hints that changed, with what jobs leave of the write rate.

        On a large fleet there are dozens, enough to hold up launches and completions for seconds.
        """
        writes = self.state.writes
        names = sorted(changed, key=lambda key: (key.startswith(keys.HINT), key))
        while names:
            while writes.available_fraction(monotonic_time()) < RECORD_SPARE:
                await asyncio.sleep(self.settings.report_s / 4)
            count = max(1, min(self.settings.txn_ops, int(writes.burst * RECORD_SPARE / 2)))
            count = min(count, max(1, TXN_BYTES // self.settings.value_bytes))
            part, names = names[:count], names[count:]
            changes: list[Write] = [Put(key, changed[key]) for key in part]
            try:
                result = await self.state.commit({keys.LEADER: self.leadership.leader_revision}, changes)
            except StateError:
                return  # the next round writes what still differs
            if not isinstance(result, Committed):
                self.leadership.step_down("leader key lost")
                return
            for key in part:
                self._recorded[key] = changed[key]
