"""The cloud's calls: paths, bodies, and their types on the inner side."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from passrock.core.messages import ListedMachine
from passrock.core.model import MachineType, Resources
from passrock.wire import cbor

TYPES_PATH = "/machine_types"
RENTALS_PATH = "/rentals"
DELETE_PATH = "/rentals/delete"
PAGE_LIMIT = 500  # machines
MAX_PER_DELETE = 100  # machines


class MachinePage(NamedTuple):
    """One page of the list of machines, in the order of their names."""

    machines: list[ListedMachine]
    truncated: bool  # more machines follow


class _MachineTypeRow(
    msgspec.Struct,
    rename={
        "name": "sku",
        "cpus": "cores",
        "gpus": "cards",
        "memory": "ramGb",
        "cache_gb": "localGb",
        "fetch_rate": "fetchGbPerS",
        "spot_price": "spotPrice",
        "boot_s": "bootS",
        "zones": "branches",
    },
):
    name: cbor.Text
    cpus: cbor.Number
    gpus: cbor.Number
    memory: cbor.Number
    cache_gb: cbor.Number
    fetch_rate: cbor.Number
    price: cbor.Number
    spot_price: cbor.Number
    boot_s: cbor.Number
    zones: tuple[cbor.TextOrEmpty, ...]


class _TypesAnswer(msgspec.Struct, rename={"types": "bindings"}):
    types: list[_MachineTypeRow]


class _RentalAnswer(msgspec.Struct, rename={"machines": "stacks"}):
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


class _ListAnswer(msgspec.Struct, rename={"machines": "stacks"}):
    machines: list[_MachineRow]
    truncated: bool | None = None


class _RentalRequest(
    msgspec.Struct, rename={"name": "requisition", "type": "binding", "zone": "branch", "spot": "loaners"}
):
    name: str
    type: str
    zone: str
    spot: bool
    count: int


class _DeletionRequest(msgspec.Struct, rename={"machines": "stacks"}):
    machines: list[str]


def parse_types(body: bytes) -> dict[str, MachineType]:
    """The machine types by name."""
    return {
        row.name: MachineType(
            name=row.name,
            size=Resources(row.cpus, row.gpus, row.memory),
            cache_gb=row.cache_gb,
            fetch_gb_per_s=row.fetch_rate,
            price=row.price,
            spot_price=row.spot_price,
            boot_s=row.boot_s,
            zones=row.zones,
        )
        for row in cbor.decode(body, _TypesAnswer).types
    }


def rental(name: str, type_name: str, zone: str, spot: bool, count: int) -> bytes:
    """A rental request; repeated under the same name it rents nothing further."""
    return cbor.encode_message(_RentalRequest(name, type_name, zone, spot, count))


def parse_rented(body: bytes) -> tuple[str, ...]:
    """The machines that a rental request got."""
    return cbor.decode(body, _RentalAnswer).machines


def deletion(names: list[str]) -> bytes:
    """A request to delete machines."""
    return cbor.encode_message(_DeletionRequest(names))


def list_path(after: str) -> str:
    """The path of one page of the machine list."""
    return f"{RENTALS_PATH}?after={after}&page={PAGE_LIMIT}" if after else f"{RENTALS_PATH}?page={PAGE_LIMIT}"


def parse_list(body: bytes) -> MachinePage:
    """One page of the list of machines."""
    page = cbor.decode(body, _ListAnswer)
    machines = [ListedMachine(row.name, row.type, row.zone, row.spot, row.status, row.age_s) for row in page.machines]
    return MachinePage(machines, page.truncated is True)
