"""The state service's calls."""

from __future__ import annotations

from typing import Any

import msgspec

from passrock.wire import cbor

LEASES_PATH = "/leases"
COMMIT_PATH = "/commit"
PAGE = 1000
TXN_BYTES = 56 * 1024  # of the 64 KiB that a transaction may have, keys and conditions apart


class Entry(msgspec.Struct, frozen=True):
    """A key with its value and version."""

    key: str
    value: Any
    mod_revision: int


class Change(msgspec.Struct, frozen=True):
    """A change of a key; without ``present`` the key was deleted."""

    key: str
    present: bool
    value: Any
    mod_revision: int


class Put(msgspec.Struct, frozen=True):
    """Set a key, attached to a lease where one is given."""

    key: str
    value: Any
    lease: int | None = None


class Delete(msgspec.Struct, frozen=True):
    """Remove a key."""

    key: str


Write = Put | Delete


class _Lease(msgspec.Struct):
    loan: cbor.Count


class _Revision(msgspec.Struct):
    ledger: cbor.Count


class _Conflict(msgspec.Struct):
    failed: tuple[cbor.TextOrEmpty, ...]


class _Entry(msgspec.Struct, rename={"value": "v"}):
    key: cbor.Text
    stamp: cbor.Count
    value: object = None


class _Page(msgspec.Struct):
    entries: list[_Entry]
    ledger: cbor.Count
    truncated: bool | None = None


class _Event(msgspec.Struct, rename={"put": "set", "value": "v"}):
    stamp: cbor.Count
    put: cbor.Text | None = None
    drop: cbor.Text | None = None
    value: object = None


class _Changes(msgspec.Struct):
    events: list[_Event]
    ledger: cbor.Count


def get_path(key: str) -> str:
    """The path of one key."""
    return f"/kv/{key}"


def list_path(prefix: str, after: str = "", limit: int = PAGE) -> str:
    """The path of one page of keys."""
    tail = f"&after={after}" if after else ""
    return f"/kv?prefix={prefix}{tail}&page={limit}"


def watch_path(prefix: str, after: int, wait_ms: int) -> str:
    """The path of one wait for changes."""
    return f"/changes?prefix={prefix}&after={after}&holdMs={wait_ms}"


def renew_path(lease: int) -> str:
    """The path that renews a lease."""
    return f"{LEASES_PATH}/{lease}/extend"


def lease_path(lease: int) -> str:
    """The path of a lease."""
    return f"{LEASES_PATH}/{lease}"


def commit(conditions: dict[str, int], writes: list[Write]) -> bytes:
    """A transaction."""
    apply: list[dict[str, Any]] = []
    for write in writes:
        if isinstance(write, Delete):
            apply.append({"drop": write.key})
        elif write.lease is None:
            apply.append({"set": write.key, "v": write.value})
        else:
            apply.append({"set": write.key, "v": write.value, "loan": write.lease})
    return cbor.encode(
        {"if": [{"key": key, "stamp": mod_revision} for key, mod_revision in conditions.items()], "apply": apply}
    )


def lease_request(ttl_s: float) -> bytes:
    """A request for a new lease."""
    return cbor.encode({"lifeMs": int(ttl_s * 1000)})


def parse_lease(body: bytes) -> int:
    """The number of a new lease."""
    return cbor.decode(body, _Lease).loan


def parse_entry(body: bytes) -> Entry:
    """One key."""
    return _entry(cbor.decode(body, _Entry))


def parse_revision(body: bytes) -> int:
    """The store's revision in any answer that carries it."""
    return cbor.decode(body, _Revision).ledger


def parse_failed(body: bytes) -> tuple[str, ...]:
    """The keys whose conditions failed."""
    return cbor.decode(body, _Conflict).failed


def parse_page(body: bytes) -> tuple[list[Entry], bool, int]:
    """A page of keys, whether more follow, and the revision."""
    page = cbor.decode(body, _Page)
    return [_entry(row) for row in page.entries], page.truncated is True, page.ledger


def parse_changes(body: bytes) -> tuple[list[Change], int]:
    """The changes of a watch and the revision up to which they go."""
    message = cbor.decode(body, _Changes)
    return [_change(event) for event in message.events], message.ledger


def _entry(row: _Entry) -> Entry:
    return Entry(row.key, row.value, row.stamp)


def _change(event: _Event) -> Change:
    key = event.drop if event.put is None else event.put
    if key is None:
        raise cbor.MalformedBodyError("events: neither set nor drop")
    return Change(key, event.put is not None, event.value, event.stamp)
