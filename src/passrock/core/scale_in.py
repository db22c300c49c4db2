"""Scale-in: the idle machines to delete."""

from __future__ import annotations

from passrock.core.interface_times import MINIMUM_CHARGE_S
from passrock.core.inventory import MachineInventory
from passrock.core.job_table import JobTable
from passrock.core.machine import Machine


def plan_scale_in(
    inventory: MachineInventory, job_table: JobTable, idle_timeout_s: dict[str, float], now: float
) -> list[Machine]:
    """Return the machines whose idle time-out has expired: on-demand machines first, of each kind the longest idle.

    ``idle_timeout_s`` is by machine type and holds for on-demand machines; for a spot instance it is multiplied by
    the ratio of the on-demand price to the spot price. No machine is deleted within its minimum charge.
    """
    surplus = []
    for machine in inventory.machines.values():
        if not machine.heartbeat_received or machine.deleting or machine.idle_since is None:
            continue
        if machine.name in job_table.attempts_by_machine:
            continue
        price = machine.type.price_for(spot=machine.spot)
        timeout_s = idle_timeout_s[machine.type.name] * (machine.type.price / price if price > 0 else 1.0)
        if now - machine.idle_since >= timeout_s and now - machine.requested_at >= MINIMUM_CHARGE_S:
            surplus.append(machine)
    return sorted(surplus, key=lambda machine: (machine.spot, machine.idle_since or 0.0))
