"""Decoding of nested tables field by field, so that one pass reports every fault.

``msgspec`` would stop at the first fault. The reader instead continues with a placeholder of the right type; settings
that contain placeholders are never used, since ``read_settings`` raises an exception.
"""

from __future__ import annotations

from typing import Any

from passrock.settings.model import Address

PLACEHOLDER_NUMBER = 1.0
PLACEHOLDER_ADDRESS = Address("0.0.0.0", 1)
MAX_PORT = 65535
MAX_OCTET = 255


class TableReader:
    """Reads typed fields of one table, and appends faults to a list that is shared by all readers of a file."""

    def __init__(self, table: dict[str, Any], path: str, faults: list[str]) -> None:
        self.table = table
        self.path = path  # of the table, with the dot that separates it from a key; empty for the root table
        self.faults = faults

    def add_fault(self, key: str, message: str) -> None:
        """Add a fault of one field."""
        self.faults.append(f"{self.path}{key}: {message}")

    def subtable(self, key: str) -> TableReader:
        """Return a reader of a nested table; if it is missing or not a table, a reader of an empty table."""
        value = self.table.get(key)
        if not isinstance(value, dict):
            self.add_fault(key, "a table is required")
            value = {}
        return TableReader(value, f"{self.path}{key}.", self.faults)

    def rows(self, key: str) -> list[TableReader]:
        """Return a reader for each table of a list; none if the list is missing."""
        value = self.table.get(key, [])
        if not isinstance(value, list) or not all(isinstance(row, dict) for row in value):
            self.add_fault(key, "a list of tables is required")
            return []
        return [TableReader(row, f"{self.path}{key}[{i}].", self.faults) for i, row in enumerate(value)]

    def string(self, key: str, default: str | None = None) -> str:
        """Return a string, which may be empty only if the default is."""
        value = self.table.get(key, default)
        if isinstance(value, str) and (value or default == ""):
            return value
        self.add_fault(key, "a text is required")
        return ""

    def strings(self, key: str) -> tuple[str, ...]:
        """Return a list of one or more strings, none of them empty."""
        value = self.table.get(key)
        if isinstance(value, list) and value and all(isinstance(item, str) and item for item in value):
            return tuple(value)
        self.add_fault(key, "a list of names is required")
        return ("?",)

    def number(self, key: str, *, minimum: float = 0.0, default: float | None = None) -> float:
        """Return a number of at least ``minimum``."""
        value = self._unchecked_number(key, default)
        if value is None:
            return PLACEHOLDER_NUMBER
        if not value >= minimum:  # written this way so that NaN is a fault
            self.add_fault(key, f"{value} must be at least {minimum}")
            return PLACEHOLDER_NUMBER
        return float(value)

    def positive_number(self, key: str) -> float:
        """Return a number above zero."""
        value = self._unchecked_number(key, None)
        if value is None:
            return PLACEHOLDER_NUMBER
        if not value > 0.0:
            self.add_fault(key, f"{value} must be above 0.0")
            return PLACEHOLDER_NUMBER
        return float(value)

    def _unchecked_number(self, key: str, default: float | None) -> float | None:
        value = self.table.get(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float):
            self.add_fault(key, "a number is required")
            return None
        return value

    def address(self, key: str) -> Address:
        """Return an address, written as IP:port."""
        value = self.table.get(key)
        if isinstance(value, str):
            host, colon, port = value.rpartition(":")
            if colon and _is_ipv4(host) and port.isdigit() and 0 < int(port) <= MAX_PORT:
                return Address(host, int(port))
        self.add_fault(key, "an address like 10.0.0.1:8080 is required")
        return PLACEHOLDER_ADDRESS


def _is_ipv4(host: str) -> bool:
    octets = host.split(".")
    return len(octets) == 4 and all(octet.isdigit() and int(octet) <= MAX_OCTET for octet in octets)
