"""Machines rented and given back: intents written ahead, answers remembered, deletions repeated."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from passrock.controller import keys
from passrock.controller.leadership import Leadership
from passrock.core.inventory import MachineInventory
from passrock.core.machine import Machine
from passrock.core.messages import ListedMachine
from passrock.core.scaling import MOST_PER_RENTAL, MachineCatalog, Offer
from passrock.io.clock import monotonic_time
from passrock.io.cloud import CloudClient, CloudError, NoCapacityError
from passrock.io.state import Committed, StateClient, StateError
from passrock.logs import debug, info
from passrock.settings import Settings
from passrock.wire.cloud import MOST_PER_DELETE
from passrock.wire.state import Delete, Entry, Put

RETRY_S = 1.0


class Provisioner:
    """The leader's dealings with the cloud."""

    def __init__(
        self,
        settings: Settings,
        state: StateClient,
        cloud: CloudClient,
        catalog: MachineCatalog,
        inventory: MachineInventory,
        leadership: Leadership,
    ) -> None:
        self.settings = settings
        self.state = state
        self.cloud = cloud
        self.catalog = catalog
        self.inventory = inventory
        self.leadership = leadership
        self.on_machine_lost: Callable[[str], None] = lambda name: None
        self.on_change: Callable[[], None] = lambda: None
        self.pending: dict[Offer, int] = {}
        self.leaving: dict[str, None] = {}
        self.running: set[asyncio.Task[None]] = set()
        self._count = 0
        self._wake = asyncio.Event()
        self._listed_up: dict[str, float] = {}

    # -- renting ----------------------------------------------------------------------------------

    def rent(self, offer: Offer, count: int) -> None:
        """Rent, unless a request for the same kind is on its way."""
        if offer in self.pending:
            return
        self._count += 1
        name = f"{self.leadership.term}-{self._count}"
        count = min(count, MOST_PER_RENTAL)
        self.pending[offer] = count
        self._spawn(self._rent(name, offer, count, written=False))

    def resume(self, intents: list[Entry]) -> None:
        """Repeat the requests that an earlier leader may have left unanswered."""
        for entry in intents:
            value = entry.value
            offer = Offer(value["ty"], value["z"], value["sp"])
            self._spawn(self._rent(entry.key[len(keys.INTENT) :], offer, value["n"], written=True))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self.running.add(task)
        task.add_done_callback(self.running.discard)

    async def _rent(self, name: str, offer: Offer, count: int, written: bool) -> None:
        try:
            if not written:
                value = {"ty": offer.type, "z": offer.zone, "sp": offer.spot, "n": count}
                result = await self.state.commit(
                    {keys.LEADER: self.leadership.leader_revision}, [Put(keys.INTENT + name, value)]
                )
                if not isinstance(result, Committed):
                    self.leadership.step_down("leader key lost")
                    return
            await self._ask(name, offer, count)
        except StateError as problem:
            debug("provisioning_intent_failed", request=name, error=problem)
        finally:
            self.pending.pop(offer, None)
            self.on_change()

    async def _ask(self, name: str, offer: Offer, count: int) -> None:
        while self.leadership.leading:
            try:
                machines = await self.cloud.rent(name, offer.type, offer.zone, offer.spot, count)
            except NoCapacityError:
                self._refuse(offer)
                machines = ()
            except CloudError as problem:
                debug("provisioning_failed", request=name, error=problem)
                await asyncio.sleep(RETRY_S)
                continue
            info(
                "machines_provisioned", request=name, zone=offer.zone, spot=offer.spot, asked=count, got=len(machines)
            )
            if len(machines) < count:
                self._refuse(offer)
            kind = self.catalog.types[offer.type]
            for machine in machines:
                if machine not in self.inventory.deleted:
                    self.inventory.add(machine, kind, offer.zone, offer.spot, monotonic_time())
            self._spawn(self._settle(name, set(machines)))
            return

    def _refuse(self, offer: Offer) -> None:
        self.catalog.refuse(offer, monotonic_time() + self.catalog.types[offer.type].boot_s / 2)

    async def _settle(self, name: str, machines: set[str]) -> None:
        """Drop the intent once its machines would be found without it."""
        if machines:
            await asyncio.sleep(self.settings.list_lag_s * 4)
        try:
            await self.state.commit({keys.LEADER: self.leadership.leader_revision}, [Delete(keys.INTENT + name)])
        except StateError:
            debug("provisioning_intent_kept", request=name)

    # -- giving back ------------------------------------------------------------------------------

    def delete(self, machine: Machine) -> None:
        """Give a machine back; nothing is placed on it from now on."""
        machine.deleting = True
        self.delete_unknown(machine.name)

    def delete_unknown(self, name: str) -> None:
        """Have a machine deleted of which only the name is known."""
        if name not in self.leaving:
            self.leaving[name] = None
            self._wake.set()

    async def deletions(self) -> None:
        """Delete what is leaving, for ever."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self.leaving:
                names = list(self.leaving)[:MOST_PER_DELETE]
                try:
                    await self.cloud.delete(names)
                except CloudError as problem:
                    debug("machine_deletion_failed", count=len(names), error=problem)
                    await asyncio.sleep(RETRY_S)
                    continue
                for name in names:
                    self.leaving.pop(name, None)
                    self._listed_up.pop(name, None)
                    self.inventory.record_deleted(name, monotonic_time())
                    self.on_machine_lost(name)

    # -- the list -----------------------------------------------------------------------------------

    async def list_machines(self) -> None:
        """Read the machine list now and then: the only source on machines nobody knows of."""
        while True:
            try:
                self._listed(await self.cloud.machines())
                self.catalog.types = await self.cloud.machine_types()
            except CloudError as problem:
                debug("machine_list_failed", error=problem)
            await asyncio.sleep(max(self.settings.list_lag_s, 2.0))

    def _listed(self, rows: list[ListedMachine]) -> None:
        now = monotonic_time()
        for row in rows:
            kind = self.catalog.types.get(row.type)
            if row.name in self.inventory.deleted or kind is None:
                continue
            known = row.name in self.inventory.machines
            machine = self.inventory.add(row.name, kind, row.zone, row.spot, now, row.age)
            if not known:
                info("machine_discovered", machine=row.name, zone=row.zone, spot=row.spot, status=row.status)
                self.on_change()
            if row.status == "failed":
                self.delete(machine)
            elif row.status == "running" and not machine.registered:
                first = self._listed_up.setdefault(row.name, now)
                if now - first > self.settings.lease_s * 2 and not machine.deleting:
                    info("machine_unreachable_outbound", machine=row.name)
                    self.delete(machine)
