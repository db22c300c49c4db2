"""The cloud's calls."""

from __future__ import annotations

import msgspec

from passrock.core.messages import ListedMachine
from passrock.core.model import MachineType, Resources
from passrock.wire import cbor

TYPES_PATH = "/machine_types"
RENTALS_PATH = "/rentals"
DELETE_PATH = "/rentals/delete"
PAGE = 500
MOST_PER_DELETE = 100


class _Type(
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


class _Types(msgspec.Struct, rename={"types": "bindings"}):
    types: list[_Type]


class _Rented(msgspec.Struct, rename={"machines": "stacks"}):
    machines: tuple[cbor.TextOrEmpty, ...]


class _Machine(
    msgspec.Struct, rename={"name": "ref", "type": "binding", "zone": "branch", "spot": "loaners", "age": "ageS"}
):
    name: cbor.Text
    type: cbor.Text
    zone: cbor.Text
    spot: bool
    status: cbor.Text
    age: cbor.Number


class _Machines(msgspec.Struct, rename={"machines": "stacks"}):
    machines: list[_Machine]
    truncated: bool | None = None


def parse_types(body: bytes) -> dict[str, MachineType]:
    """The machine types by name."""
    return {
        row.name: MachineType(
            name=row.name,
            size=Resources(row.cpus, row.gpus, row.memory),
            cache_gb=row.cache_gb,
            fetch_rate=row.fetch_rate,
            price=row.price,
            spot_price=row.spot_price,
            boot_s=row.boot_s,
            zones=row.zones,
        )
        for row in cbor.decode(body, _Types).types
    }


def rental(name: str, type_name: str, zone: str, spot: bool, count: int) -> bytes:
    """A rental request."""
    return cbor.encode({"requisition": name, "binding": type_name, "branch": zone, "loaners": spot, "count": count})


def parse_rented(body: bytes) -> tuple[str, ...]:
    """The machines that a rental request got."""
    return cbor.decode(body, _Rented).machines


def deletion(names: list[str]) -> bytes:
    """A request to take machines back."""
    return cbor.encode({"stacks": names})


def list_path(after: str) -> str:
    """The path of one page of the machine list."""
    return f"{RENTALS_PATH}?after={after}&page={PAGE}" if after else f"{RENTALS_PATH}?page={PAGE}"


def parse_list(body: bytes) -> tuple[list[ListedMachine], bool]:
    """One page of the machine list, and whether more follows."""
    page = cbor.decode(body, _Machines)
    rows = [ListedMachine(row.name, row.type, row.zone, row.spot, row.status, row.age) for row in page.machines]
    return rows, page.truncated is True
