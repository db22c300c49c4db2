"""The cloud's calls."""

from __future__ import annotations

from passrock.core.fleet import Listed
from passrock.core.model import Amount, MachineType
from passrock.wire import cbor

TYPES_PATH = "/machine_types"
RENTALS_PATH = "/rentals"
DELETE_PATH = "/rentals/delete"
PAGE = 500
MOST_PER_RENTAL = 50
MOST_PER_DELETE = 100


def parse_types(body: bytes) -> dict[str, MachineType]:
    """The machine types by name."""
    types = {}
    for row in cbor.maps(cbor.decode_map(body), "bindings"):
        name = cbor.text(row, "sku")
        types[name] = MachineType(
            name=name,
            size=Amount(cbor.number(row, "cores"), cbor.number(row, "cards"), cbor.number(row, "ramGb")),
            cache_gb=cbor.number(row, "localGb"),
            fetch_rate=cbor.number(row, "fetchGbPerS"),
            price=cbor.number(row, "price"),
            spot_price=cbor.number(row, "spotPrice"),
            boot_s=cbor.number(row, "bootS"),
            zones=cbor.texts(row, "branches"),
        )
    return types


def rental(name: str, type_name: str, zone: str, spot: bool, count: int) -> bytes:
    """A rental request."""
    return cbor.encode({"requisition": name, "binding": type_name, "branch": zone, "loaners": spot, "count": count})


def parse_rented(body: bytes) -> tuple[str, ...]:
    """The machines that a rental request got."""
    return cbor.texts(cbor.decode_map(body), "stacks")


def deletion(names: list[str]) -> bytes:
    """A request to take machines back."""
    return cbor.encode({"stacks": names})


def list_path(after: str) -> str:
    """The path of one page of the machine list."""
    return f"{RENTALS_PATH}?after={after}&page={PAGE}" if after else f"{RENTALS_PATH}?page={PAGE}"


def parse_list(body: bytes) -> tuple[list[Listed], bool]:
    """One page of the machine list, and whether more follows."""
    data = cbor.decode_map(body)
    rows = [
        Listed(
            name=cbor.text(row, "ref"),
            type=cbor.text(row, "binding"),
            zone=cbor.text(row, "branch"),
            spot=cbor.flag(row, "loaners"),
            status=cbor.text(row, "status"),
            age=cbor.number(row, "ageS"),
        )
        for row in cbor.maps(data, "stacks")
    ]
    return rows, cbor.flag(data, "truncated", False)
