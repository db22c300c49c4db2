"""Decoding of nested tables field by field, so that one pass names every fault.

``msgspec`` would stop at the first one. After a fault the reader goes on with a stand-in value of the right type; the
settings made of it are never used, since ``read_settings`` raises.
"""

from __future__ import annotations

from typing import Any

from passrock.settings.model import Address

NUMBER_STAND_IN = 1.0
ADDRESS_STAND_IN = Address("0.0.0.0", 1)
LARGEST_PORT = 65535
LARGEST_OCTET = 255


class TableReader:
    """Typed fields of one table; faults are appended to a list that all readers of a file share."""

    def __init__(self, table: dict[str, Any], path: str, faults: list[str]) -> None:
        self.table = table
        self.path = path  # of the table, up to and with the last dot: what faults put before a key
        self.faults = faults

    def fault(self, key: str, text: str) -> None:
        """Note a fault of one field."""
        self.faults.append(f"{self.path}{key}: {text}")

    def subtable(self, key: str) -> TableReader:
        """A reader of a table below this one; of an empty one where it is missing or something else."""
        value = self.table.get(key)
        if not isinstance(value, dict):
            self.fault(key, "a table is required")
            value = {}
        return TableReader(value, f"{self.path}{key}.", self.faults)

    def rows(self, key: str) -> list[TableReader]:
        """Readers of a list of tables; a missing list is an empty one."""
        value = self.table.get(key, [])
        if not isinstance(value, list) or not all(isinstance(row, dict) for row in value):
            self.fault(key, "a list of tables is required")
            return []
        return [TableReader(row, f"{self.path}{key}[{i}].", self.faults) for i, row in enumerate(value)]

    def text(self, key: str, default: str | None = None) -> str:
        """A text, which may be empty only where that is the default."""
        value = self.table.get(key, default)
        if isinstance(value, str) and (value or default == ""):
            return value
        self.fault(key, "a text is required")
        return ""

    def texts(self, key: str) -> tuple[str, ...]:
        """A list of texts, none of them empty, at least one."""
        value = self.table.get(key)
        if isinstance(value, list) and value and all(isinstance(item, str) and item for item in value):
            return tuple(value)
        self.fault(key, "a list of names is required")
        return ("?",)

    def number(self, key: str, *, minimum: float = 0.0, default: float | None = None) -> float:
        """A number of at least ``minimum``."""
        value = self._any_number(key, default)
        if value is None:
            return NUMBER_STAND_IN
        if not value >= minimum:  # so that NaN is a fault
            self.fault(key, f"{value} must be at least {minimum}")
            return NUMBER_STAND_IN
        return float(value)

    def positive(self, key: str) -> float:
        """A number above zero."""
        value = self._any_number(key, None)
        if value is None:
            return NUMBER_STAND_IN
        if not value > 0.0:
            self.fault(key, f"{value} must be above 0.0")
            return NUMBER_STAND_IN
        return float(value)

    def _any_number(self, key: str, default: float | None) -> float | None:
        value = self.table.get(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            self.fault(key, "a number is required")
            return None
        return value

    def address(self, key: str) -> Address:
        """An address written as IP:port."""
        value = self.table.get(key)
        if isinstance(value, str):
            host, colon, port = value.rpartition(":")
            if colon and _is_ipv4(host) and port.isdigit() and 0 < int(port) <= LARGEST_PORT:
                return Address(host, int(port))
        self.fault(key, "an address like 10.0.0.1:8080 is required")
        return ADDRESS_STAND_IN


def _is_ipv4(host: str) -> bool:
    octets = host.split(".")
    return len(octets) == 4 and all(octet.isdigit() and int(octet) <= LARGEST_OCTET for octet in octets)
