"""The background tasks of a controller process, and their supervision."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable, Iterable

from passrock.controller import keys
from passrock.core.machine_catalog import MachineCatalog
from passrock.io.clock import monotonic_time
from passrock.io.cloud import CloudClient
from passrock.io.errors import CloudError, StoreError
from passrock.io.store import KeyValueStoreClient
from passrock.logs import debug, error
from passrock.settings import Settings

MACHINE_TYPES_RETRY_DELAY_S = 1.0

BackgroundTask = Callable[[], Awaitable[None]]


async def run_supervised(tasks: Iterable[BackgroundTask], restart_delay_s: float) -> None:
    """Run tasks concurrently until all return; a task that fails is restarted after a delay."""
    async with asyncio.TaskGroup() as group:
        for task in tasks:
            group.create_task(_restart_on_failure(task, restart_delay_s))


async def _restart_on_failure(task: BackgroundTask, restart_delay_s: float) -> None:
    """Log an unexpected error and restart the task: a malformed external answer must not end the process."""
    while True:
        try:
            await task()
            return
        except Exception as exc:  # noqa: BLE001 - no external answer may end the process
            error("background_task_failed", error=repr(exc))
            await asyncio.sleep(restart_delay_s)


async def load_machine_types(
    settings: Settings, cloud: CloudClient, catalog: MachineCatalog, max_sockets: int
) -> None:
    """Request the cloud's machine types until it answers; scheduling and scaling depend on them."""
    while not catalog.types:
        try:
            catalog.types = await cloud.list_machine_types()
        except CloudError as exc:
            debug("machine_types_unavailable", error=exc)
            await asyncio.sleep(MACHINE_TYPES_RETRY_DELAY_S)
    _check_socket_limit(settings, catalog, max_sockets)


def _check_socket_limit(settings: Settings, catalog: MachineCatalog, max_sockets: int) -> None:
    """Log an error if the socket limit is too low for the number of machines that the guarantees need."""
    largest = max((machine_type.capacity.gpus for machine_type in catalog.types.values()), default=0.0)
    guaranteed = sum(team.guaranteed_gpus for team in settings.teams.values())
    if largest > 0 and guaranteed / largest > max_sockets:
        machines = math.ceil(guaranteed / largest)
        error("socket_limit_below_quota", sockets=max_sockets, machines_guaranteed=machines)


async def probe_store(store: KeyValueStoreClient, interval_s: float) -> None:
    """Probe the key-value store after each interval in which no request was served."""
    while True:
        await asyncio.sleep(interval_s)
        if monotonic_time() - store.last_success_at > interval_s:
            try:
                await store.get(keys.PROBE, timeout=interval_s)
            except StoreError:
                continue
