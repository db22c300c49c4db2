"""Provisioning and deletion of machines; requests survive a change of leader, deletions are retried."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

import msgspec

from passrock.controller import keys
from passrock.controller.leadership import Leadership
from passrock.core.inventory import MachineInventory
from passrock.core.machine import Machine
from passrock.core.machine_catalog import MachineCatalog, MachineOffering
from passrock.core.messages import ListedMachine
from passrock.core.scale_out import MAX_MACHINES_PER_REQUEST
from passrock.io.clock import monotonic_time
from passrock.io.cloud import CloudClient
from passrock.io.errors import CloudError, NoCapacityError, StoreError
from passrock.io.store import Committed, KeyValueStoreClient
from passrock.logs import debug, info
from passrock.settings import Settings
from passrock.wire.cloud import MAX_MACHINES_PER_DELETION
from passrock.wire.store import Delete, Entry, Put

RETRY_DELAY_S = 1.0
MIN_LIST_INTERVAL_S = 2.0
UNAVAILABLE_BOOT_RATIO = 0.5  # of the type's boot time: how long an offering without capacity is not requested
OUTBOUND_TIMEOUT_LEASES = 2  # worker leases; a listed machine without a heartbeat for longer reaches no controller
LISTED_AFTER_LIST_LAGS = 4  # after this time a machine is certain to be in the cloud's list


class ProvisioningIntent(msgspec.Struct, frozen=True):
    """The stored record of a request, written before the request is sent so that the next leader can repeat it.

    The request's name makes it idempotent: the cloud answers a repeated request with the machines of the first.
    """

    offering: MachineOffering
    count: int

    def encode(self) -> dict[str, Any]:
        """Return the stored form."""
        offering = self.offering
        return {"ty": offering.machine_type, "z": offering.zone, "sp": offering.spot, "n": self.count}

    @classmethod
    def decode(cls, record: dict[str, Any]) -> ProvisioningIntent:
        """Return the intent of a stored record; raises KeyError if a field is missing."""
        return cls(MachineOffering(record["ty"], record["z"], record["sp"]), record["n"])


class Provisioner:
    """Sends the leader's requests to the cloud.

    Args:
        settings: the node's settings.
        store: where intents are stored.
        cloud: the cloud's client.
        catalog: updated with the current machine types and the offerings without capacity.
        inventory: updated with the machines that are provisioned, listed or deleted.
        leadership: requests are sent only while this node leads.
        on_machine_lost: called with a machine's name when the cloud has confirmed its deletion.
        on_change: called when a request has ended or an unknown machine was listed.
    """

    def __init__(
        self,
        settings: Settings,
        store: KeyValueStoreClient,
        cloud: CloudClient,
        catalog: MachineCatalog,
        inventory: MachineInventory,
        leadership: Leadership,
        on_machine_lost: Callable[[str], None],
        on_change: Callable[[], None],
    ) -> None:
        self.settings = settings
        self.store = store
        self.cloud = cloud
        self.catalog = catalog
        self.inventory = inventory
        self.leadership = leadership
        self.on_machine_lost = on_machine_lost
        self.on_change = on_change
        self._requested_offerings: set[MachineOffering] = set()
        self._request_tasks: set[asyncio.Task[None]] = set()
        self._request_count = 0
        self._deletion_queue: dict[str, None] = {}
        self._deletion_queued = asyncio.Event()
        self._listed_running_since: dict[str, float] = {}

    # -- provisioning -------------------------------------------------------------------------------

    def provision(self, offering: MachineOffering, count: int) -> None:
        """Request up to ``count`` machines, unless a request for the same offering is in progress."""
        if offering in self._requested_offerings:
            return
        self._request_count += 1
        name = f"{self.leadership.term}-{self._request_count}"
        intent = ProvisioningIntent(offering, min(count, MAX_MACHINES_PER_REQUEST))
        self._requested_offerings.add(offering)
        self._spawn(self._provision(name, intent, stored=False))

    def resume_requests(self, intents: list[Entry]) -> None:
        """Repeat the requests that an earlier leader may have left unanswered."""
        for entry in intents:
            intent = ProvisioningIntent.decode(entry.value)
            self._spawn(self._provision(entry.key[len(keys.PROVISIONING_INTENT) :], intent, stored=True))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._request_tasks.add(task)
        task.add_done_callback(self._request_tasks.discard)

    async def _provision(self, name: str, intent: ProvisioningIntent, *, stored: bool) -> None:
        try:
            if not stored:
                result = await self.store.commit(
                    {keys.LEADER: self.leadership.leader_revision},
                    [Put(keys.PROVISIONING_INTENT + name, intent.encode())],
                )
                if not isinstance(result, Committed):
                    self.leadership.step_down("leader key lost")
                    return
            await self._request(name, intent)
        except StoreError as exc:
            debug("provisioning_intent_failed", request=name, error=exc)
        finally:
            self._requested_offerings.discard(intent.offering)
            self.on_change()

    async def _request(self, name: str, intent: ProvisioningIntent) -> None:
        """Send a request until the cloud has answered it or the leadership has ended."""
        offering = intent.offering
        while self.leadership.leading:
            try:
                machines = await self.cloud.provision(
                    name, offering.machine_type, offering.zone, offering.spot, intent.count
                )
            except NoCapacityError:
                self._mark_unavailable(offering)
                machines = ()
            except CloudError as exc:
                debug("provisioning_failed", request=name, error=exc)
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            info(
                "machines_provisioned",
                request=name,
                zone=offering.zone,
                spot=offering.spot,
                asked=intent.count,
                got=len(machines),
            )
            if len(machines) < intent.count:
                self._mark_unavailable(offering)
            self._add_to_inventory(offering, machines)
            self._spawn(self._delete_intent(name, has_machines=bool(machines)))
            return

    def _add_to_inventory(self, offering: MachineOffering, names: Iterable[str]) -> None:
        machine_type = self.catalog.types[offering.machine_type]
        for name in names:
            if name not in self.inventory.deleted:
                self.inventory.add(name, machine_type, offering.zone, spot=offering.spot, now=monotonic_time())

    def _mark_unavailable(self, offering: MachineOffering) -> None:
        boot_s = self.catalog.types[offering.machine_type].boot_s
        self.catalog.mark_unavailable(offering, monotonic_time() + boot_s * UNAVAILABLE_BOOT_RATIO)

    async def _delete_intent(self, name: str, *, has_machines: bool) -> None:
        """Delete an intent once the next leader would find its machines in the cloud's list."""
        if has_machines:
            await asyncio.sleep(self.settings.list_lag_s * LISTED_AFTER_LIST_LAGS)
        try:
            await self.store.commit(
                {keys.LEADER: self.leadership.leader_revision}, [Delete(keys.PROVISIONING_INTENT + name)]
            )
        except StoreError:
            debug("provisioning_intent_kept", request=name)

    # -- deprovisioning -----------------------------------------------------------------------------

    def deprovision(self, machine: Machine) -> None:
        """Queue a machine for deletion; no task is placed on it from now on."""
        machine.deleting = True
        self.deprovision_by_name(machine.name)

    def deprovision_by_name(self, name: str) -> None:
        """Queue a machine for deletion by its name; it need not be in the inventory."""
        if name not in self._deletion_queue:
            self._deletion_queue[name] = None
            self._deletion_queued.set()

    async def run_deletions(self) -> None:
        """Delete queued machines until cancelled."""
        while True:
            await self._deletion_queued.wait()
            self._deletion_queued.clear()
            while self._deletion_queue:
                names = list(self._deletion_queue)[:MAX_MACHINES_PER_DELETION]
                try:
                    await self.cloud.delete_machines(names)
                except CloudError as exc:
                    debug("machine_deletion_failed", count=len(names), error=exc)
                    await asyncio.sleep(RETRY_DELAY_S)
                    continue
                for name in names:
                    self._deletion_queue.pop(name, None)
                    self._listed_running_since.pop(name, None)
                    self.inventory.record_deleted(name, monotonic_time())
                    self.on_machine_lost(name)

    # -- the cloud's list ---------------------------------------------------------------------------

    async def poll_machine_list(self) -> None:
        """Read the cloud's list at intervals until cancelled; only it shows machines that send no heartbeats."""
        while True:
            try:
                self._process_list(await self.cloud.list_machines())
                self.catalog.types = await self.cloud.list_machine_types()
            except CloudError as exc:
                debug("machine_list_failed", error=exc)
            await asyncio.sleep(max(self.settings.list_lag_s, MIN_LIST_INTERVAL_S))

    def _process_list(self, listed_machines: list[ListedMachine]) -> None:
        now = monotonic_time()
        for listed in listed_machines:
            machine_type = self.catalog.types.get(listed.type)
            if listed.name in self.inventory.deleted or machine_type is None:
                continue
            is_known = listed.name in self.inventory.machines
            machine = self.inventory.add(
                listed.name, machine_type, listed.zone, spot=listed.spot, now=now, age_s=listed.age_s
            )
            if not is_known:
                info(
                    "machine_discovered",
                    machine=listed.name,
                    zone=listed.zone,
                    spot=listed.spot,
                    status=listed.status,
                )
                self.on_change()
            if listed.status == "failed":
                self.deprovision(machine)
            elif listed.status == "running" and not machine.heartbeat_received:
                self._check_outbound(machine, now)

    def _check_outbound(self, machine: Machine, now: float) -> None:
        """Delete a machine that has run for long without sending a heartbeat: it is unreachable outbound."""
        running_since = self._listed_running_since.setdefault(machine.name, now)
        if now - running_since > self.settings.lease_s * OUTBOUND_TIMEOUT_LEASES and not machine.deleting:
            info("machine_unreachable_outbound", machine=machine.name)
            self.deprovision(machine)
