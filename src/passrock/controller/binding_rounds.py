"""The leader's binding rounds: assign machines to the teams' reservations and write the records."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec

from passrock.controller import keys
from passrock.controller.leadership import Leadership
from passrock.core.image_hints import encode_image_hints
from passrock.core.instants import NEVER
from passrock.core.inventory import MachineInventory
from passrock.core.job_table import JobTable
from passrock.core.machine import Machine
from passrock.core.machine_catalog import MachineCatalog
from passrock.core.messages import TaskState
from passrock.core.model import Team
from passrock.core.reservation import BindingResult, MachineView, ReservationRequest, bind, split_into_pages
from passrock.core.scheduler import Scheduler
from passrock.io.clock import monotonic_time
from passrock.io.errors import StoreError
from passrock.io.store import Committed, KeyValueStoreClient
from passrock.logs import info
from passrock.settings import Settings
from passrock.wire.store import TRANSACTION_VALUE_BYTES, Entry, Put, Write

MIN_ROUND_GAP_RATIO = 0.25  # of the round interval: the shortest time between two rounds
MIN_FREE_WRITE_FRACTION = 0.6  # of the write burst: required before records of a round are written
WRITE_POLL_HEARTBEATS = 0.25  # between two checks of the available writes
MAX_RECORD_FILL_FRACTION = 0.9  # of a record's size limit: used for names of machines
MAX_HINT_BYTES_PER_MACHINE = 160  # the longest entry of a machine with its images in a hint record


class ClusterGpus(msgspec.Struct):
    """GPUs of the cluster by use, in the order in which the log shows them.

    Attributes:
        machines: the number of machines.
        waiting: requested by waiting tasks.
        booting: of machines that have not yet sent a heartbeat.
        idle: of machines without attempts.
        placed: of attempts that are not yet running.
        running: of running attempts.
        stranded: unused on machines with attempts.
    """

    machines: int
    waiting: float
    booting: float = 0.0
    idle: float = 0.0
    placed: float = 0.0
    running: float = 0.0
    stranded: float = 0.0


class BindingRounds:
    """Binds machines to reservations at intervals, and earlier when demand or machines change."""

    def __init__(
        self,
        settings: Settings,
        store: KeyValueStoreClient,
        leadership: Leadership,
        job_table: JobTable,
        inventory: MachineInventory,
        catalog: MachineCatalog,
        scheduler: Scheduler,
    ) -> None:
        self.settings = settings
        self.store = store
        self.leadership = leadership
        self.job_table = job_table
        self.inventory = inventory
        self.catalog = catalog
        self.scheduler = scheduler
        self.assignments = scheduler.assignments  # machine -> team, as of the last round
        self._due_at = 0.0
        self._last_round_at = NEVER
        self._stored_records: dict[str, Any] = {}
        self._write_task: asyncio.Task[None] | None = None

    def load(self, reservation: Entry) -> None:
        """Load one reservation record of an earlier leader."""
        self._stored_records[reservation.key] = reservation.value
        self.assignments.update(dict.fromkeys(reservation.value["m"], keys.reservation_team(reservation.key)))

    def stop(self) -> None:
        """Cancel the writing of records."""
        if self._write_task is not None:
            self._write_task.cancel()

    def bring_forward(self) -> None:
        """Schedule the next round earlier after a change of demand or machines, but not within the minimum gap."""
        earliest = self._last_round_at + self.settings.operator.round_s * MIN_ROUND_GAP_RATIO
        self._due_at = min(self._due_at, max(monotonic_time(), earliest))

    def run_if_due(self, now: float) -> None:
        """Run a round if it is due."""
        if now >= self._due_at:
            self._run(now)

    def _run(self, now: float) -> None:
        early = now - self._last_round_at < self.settings.operator.round_s
        self._due_at = now + self.settings.operator.round_s
        self._last_round_at = now
        result = self._bind()
        self.assignments.clear()
        self.assignments.update(result.assignments)
        records = self._reservation_records(result)
        if not early:
            records.update(self._hint_records())
        changed = {key: value for key, value in records.items() if value != self._stored_records.get(key)}
        info(
            "binding_round_completed",
            short=len(result.shortfalls),
            changed=len(changed),
            **msgspec.structs.asdict(self._cluster_gpus()),
        )
        if changed:
            self.stop()  # this round's records replace those not yet written
            self._write_task = asyncio.create_task(self._write(changed))

    # -- binding ------------------------------------------------------------------------------------

    def _bind(self) -> BindingResult:
        machine_types = self.catalog.types.values()
        gpus_per_unit = max((machine_type.capacity.gpus for machine_type in machine_types), default=1.0) or 1.0
        machines = [
            self._view(machine, gpus_per_unit)
            for machine in self.inventory.machines.values()
            if not machine.deleting and machine.reclaim_at is None
        ]
        requests = [self._request(team, gpus_per_unit) for team in self.settings.teams.values()]
        return bind(machines, requests, self.assignments, self.settings.zones, self.settings.operator.alpha_extra)

    def _view(self, machine: Machine, gpus_per_unit: float) -> MachineView:
        attempts = self.job_table.attempts_by_machine.get(machine.name, {})
        teams = frozenset(attempt.job.spec.team for attempt in attempts.values())
        return MachineView(
            name=machine.name,
            zone=machine.zone,
            capacity_units=machine.type.capacity.gpus / gpus_per_unit,
            idle=not attempts,
            teams=teams,
        )

    def _request(self, team: Team, gpus_per_unit: float) -> ReservationRequest:
        """Return the demand of a team within its quota, in units of the largest machine."""
        gpus = self.scheduler.quotas.demand(team.name).gpus
        if team.max_gpus > 0:
            gpus = min(gpus, team.max_gpus)
        desired = gpus / gpus_per_unit
        return ReservationRequest(
            team.name, desired, team.guaranteed_gpus / gpus_per_unit, desired * self.settings.operator.buffer_share
        )

    def _cluster_gpus(self) -> ClusterGpus:
        waiting = sum(
            job.spec.resources.gpus * job.waiting_count for job in self.job_table.jobs.values() if not job.cancelled
        )
        cluster_gpus = ClusterGpus(machines=len(self.inventory.machines), waiting=waiting)
        for machine in self.inventory.machines.values():
            attempts = self.job_table.attempts_on(machine.name)
            used = sum(attempt.job.spec.resources.gpus for attempt in attempts)
            if not machine.heartbeat_received:
                cluster_gpus.booting += machine.type.capacity.gpus
            elif not attempts:
                cluster_gpus.idle += machine.type.capacity.gpus
            else:
                cluster_gpus.stranded += machine.type.capacity.gpus - used
            running = sum(
                attempt.job.spec.resources.gpus for attempt in attempts if attempt.state is TaskState.RUNNING
            )
            cluster_gpus.running += running
            cluster_gpus.placed += used - running
        return cluster_gpus

    # -- records of a round -------------------------------------------------------------------------

    def _reservation_records(self, result: BindingResult) -> dict[str, Any]:
        names_by_team: dict[str, list[str]] = {team: [] for team in self.settings.teams}
        for name, team in sorted(result.assignments.items()):
            names_by_team[team].append(name)
        records: dict[str, Any] = {}
        for team, names in names_by_team.items():
            for number, page in enumerate(
                split_into_pages(names, self.settings.value_bytes * MAX_RECORD_FILL_FRACTION)
            ):
                records[keys.reservation(team, number)] = {"m": page}
        for key in self._stored_records:
            if key.startswith(keys.RESERVATION_PAGE) and key not in records:
                records[key] = {"m": []}  # a reservation that has shrunk leaves an empty page
        return records

    def _hint_records(self) -> dict[str, Any]:
        max_machines = max(1, self.settings.value_bytes // MAX_HINT_BYTES_PER_MACHINE)
        hints = encode_image_hints(self.inventory.machines.values(), max_machines)
        return {f"{keys.IMAGE_HINTS}{number}": record for number, record in enumerate(hints)}

    async def _write(self, changed: dict[str, Any]) -> None:
        """Write the changed records, reservations first, with the part of the write rate that job records leave.

        A large cluster has dozens of changed records, enough to delay launches and completions for seconds.
        """
        pending = sorted(changed, key=lambda key: (key.startswith(keys.IMAGE_HINTS), key))
        while pending:
            while self.store.write_bucket.available_fraction(monotonic_time()) < MIN_FREE_WRITE_FRACTION:
                await asyncio.sleep(self.settings.report_s * WRITE_POLL_HEARTBEATS)
            count = self._records_per_commit()
            batch, pending = pending[:count], pending[count:]
            changes: list[Write] = [Put(key, changed[key]) for key in batch]
            try:
                result = await self.store.commit({keys.LEADER: self.leadership.leader_revision}, changes)
            except StoreError:
                return  # the next round writes what still differs
            if not isinstance(result, Committed):
                self.leadership.step_down("leader key lost")
                return
            for key in batch:
                self._stored_records[key] = changed[key]

    def _records_per_commit(self) -> int:
        """Return how many records fit the limits of a transaction and leave half of the available writes to jobs."""
        max_by_rate = int(self.store.write_bucket.burst * MIN_FREE_WRITE_FRACTION / 2)
        count = max(1, min(self.settings.txn_ops, max_by_rate))
        return min(count, max(1, TRANSACTION_VALUE_BYTES // self.settings.value_bytes))
