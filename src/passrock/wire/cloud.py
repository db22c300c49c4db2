"""Requests to the cloud and its answers: paths, bodies and their types."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from passrock.core.messages import ListedMachine
from passrock.core.model import MachineType, Resources
from passrock.wire import cbor

MACHINE_TYPES_PATH = "/machine_types"
RENTALS_PATH = "/rentals"
DELETE_PATH = "/rentals/delete"
MAX_PAGE_MACHINES = 500
MAX_MACHINES_PER_DELETION = 100


class MachinePage(NamedTuple):
    """One page of the machine list, in the order of the machines' names."""

    machines: list[ListedMachine]
    truncated: bool  # whether more machines follow


class _MachineTypeRow(
    msgspec.Struct,
    rename={
        "name": "sku",
        "cpus": "cores",
        "gpus": "cards",
        "memory_gb": "ramGb",
        "cache_gb": "localGb",
        "fetch_gb_per_s": "fetchGbPerS",
        "spot_price": "spotPrice",
        "boot_s": "bootS",
        "zones": "branches",
    },
):
    name: cbor.Text
    cpus: cbor.Number
    gpus: cbor.Number
    memory_gb: cbor.Number
    cache_gb: cbor.Number
    fetch_gb_per_s: cbor.Number
    price: cbor.Number
    spot_price: cbor.Number
    boot_s: cbor.Number
    zones: tuple[cbor.TextOrEmpty, ...]


class _MachineTypesAnswer(msgspec.Struct, rename={"types": "bindings"}):
    types: list[_MachineTypeRow]


class _ProvisioningAnswer(msgspec.Struct, rename={"machines": "stacks"}):
    machines: tuple[cbor.TextOrEmpty, ...]


class _MachineRow(
    msgspec.Struct, rename={"name": "ref", "type": "binding", "zone": "branch", "spot": "loaners", "age_s": "ageS"}
):
    name: cbor.Text
    type: cbor.Text
    zone: cbor.Text
    spot: bool
    status: cbor.Text
    age_s: cbor.Number


class _MachinePageAnswer(msgspec.Struct, rename={"machines": "stacks"}):
    machines: list[_MachineRow]
    truncated: bool | None = None


class _ProvisioningRequest(
    msgspec.Struct, rename={"name": "requisition", "type": "binding", "zone": "branch", "spot": "loaners"}
):
    name: str
    type: str
    zone: str
    spot: bool
    count: int


class _DeletionRequest(msgspec.Struct, rename={"machines": "stacks"}):
    machines: list[str]


def parse_machine_types(body: bytes) -> dict[str, MachineType]:
    """Return the machine types by name."""
    return {
        row.name: MachineType(
            name=row.name,
            capacity=Resources(row.cpus, row.gpus, row.memory_gb),
            cache_gb=row.cache_gb,
            fetch_gb_per_s=row.fetch_gb_per_s,
            price=row.price,
            spot_price=row.spot_price,
            boot_s=row.boot_s,
            zones=row.zones,
        )
        for row in cbor.decode(body, _MachineTypesAnswer).types
    }


def encode_provisioning_request(name: str, type_name: str, zone: str, spot: bool, count: int) -> bytes:
    """Encode a request for ``count`` machines; repeated under the same name, it provisions no further machines."""
    return cbor.encode_message(_ProvisioningRequest(name, type_name, zone, spot, count))


def parse_provisioned_machines(body: bytes) -> tuple[str, ...]:
    """Return the names of the machines that a request has provisioned."""
    return cbor.decode(body, _ProvisioningAnswer).machines


def encode_deletion_request(names: list[str]) -> bytes:
    """Encode a request to delete machines."""
    return cbor.encode_message(_DeletionRequest(names))


def list_path(after: str) -> str:
    """Return the path of the page of the machine list after the machine ``after``; empty: of the first page."""
    return (
        f"{RENTALS_PATH}?after={after}&page={MAX_PAGE_MACHINES}"
        if after
        else f"{RENTALS_PATH}?page={MAX_PAGE_MACHINES}"
    )


def parse_machine_page(body: bytes) -> MachinePage:
    """Return one page of the machine list."""
    page = cbor.decode(body, _MachinePageAnswer)
    machines = [ListedMachine(row.name, row.type, row.zone, row.spot, row.status, row.age_s) for row in page.machines]
    return MachinePage(machines, page.truncated is True)
