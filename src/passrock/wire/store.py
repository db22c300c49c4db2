"""Requests to the key-value store (the platform's state service) and its answers: paths, bodies and their types."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from passrock.wire import cbor

LEASES_PATH = "/leases"
COMMIT_PATH = "/commit"
MAX_PAGE_KEYS = 1000
TRANSACTION_VALUE_BYTES = 56 * 1024  # for values; the limit of 64 KiB also covers keys and conditions


class Entry(msgspec.Struct, frozen=True):
    """A key with its value and the revision of the store at which the key was last changed."""

    key: str
    value: Any
    mod_revision: int


class Change(msgspec.Struct, frozen=True):
    """A change of a key, as reported by a watch; if ``present`` is false, the key was deleted."""

    key: str
    present: bool
    value: Any
    mod_revision: int


class Put(msgspec.Struct, frozen=True):
    """A write that sets a key, attached to a lease if one is given."""

    key: str
    value: Any
    lease: int | None = None


class Delete(msgspec.Struct, frozen=True):
    """A write that deletes a key."""

    key: str


Write = Put | Delete


class EntryPage(NamedTuple):
    """One page of the keys with a given prefix."""

    entries: list[Entry]
    truncated: bool  # whether more keys follow
    revision: int  # of the store when it read the page


class ChangeBatch(NamedTuple):
    """All changes between the start revision of a watch and ``revision``, in the order of their revisions."""

    changes: list[Change]
    revision: int


class _LeaseAnswer(msgspec.Struct, rename={"lease": "loan"}):
    lease: cbor.Count


class _RevisionAnswer(msgspec.Struct, rename={"revision": "ledger"}):
    revision: cbor.Count


class _ConflictAnswer(msgspec.Struct, rename={"conflicting_keys": "failed"}):
    conflicting_keys: tuple[cbor.TextOrEmpty, ...]


class _EntryAnswer(msgspec.Struct, rename={"mod_revision": "stamp", "value": "v"}):
    key: cbor.Text
    mod_revision: cbor.Count
    value: object = None

    def to_entry(self) -> Entry:
        return Entry(self.key, self.value, self.mod_revision)


class _PageAnswer(msgspec.Struct, rename={"revision": "ledger"}):
    entries: list[_EntryAnswer]
    revision: cbor.Count
    truncated: bool | None = None


class _Event(msgspec.Struct, rename={"mod_revision": "stamp", "put_key": "set", "deleted_key": "drop", "value": "v"}):
    mod_revision: cbor.Count
    put_key: cbor.Text | None = None
    deleted_key: cbor.Text | None = None
    value: object = None

    def to_change(self) -> Change:
        key = self.deleted_key if self.put_key is None else self.put_key
        if key is None:
            raise cbor.MalformedBodyError("events: neither set nor drop")
        return Change(key, self.put_key is not None, self.value, self.mod_revision)


class _WatchAnswer(msgspec.Struct, rename={"revision": "ledger"}):
    events: list[_Event]
    revision: cbor.Count


class _Condition(msgspec.Struct, rename={"mod_revision": "stamp"}):
    key: str
    mod_revision: int


class _PutRequest(msgspec.Struct, omit_defaults=True, rename={"key": "set", "value": "v", "lease": "loan"}):
    key: str
    value: Any
    lease: int | None = None


class _DeleteRequest(msgspec.Struct, rename={"key": "drop"}):
    key: str


class _Transaction(msgspec.Struct, rename={"conditions": "if", "writes": "apply"}):
    conditions: list[_Condition]
    writes: list[_PutRequest | _DeleteRequest]


class _LeaseRequest(msgspec.Struct, rename={"ttl_ms": "lifeMs"}):
    ttl_ms: int


def get_path(key: str) -> str:
    """Return the path of a key."""
    return f"/kv/{key}"


def list_path(prefix: str, after: str = "", limit: int = MAX_PAGE_KEYS) -> str:
    """Return the path of the page of keys that follows the key ``after``; empty: of the first page."""
    tail = f"&after={after}" if after else ""
    return f"/kv?prefix={prefix}{tail}&page={limit}"


def watch_path(prefix: str, after: int, wait_ms: int) -> str:
    """Return the path of a watch request, which waits up to ``wait_ms`` for changes after the revision ``after``."""
    return f"/changes?prefix={prefix}&after={after}&holdMs={wait_ms}"


def renew_path(lease: int) -> str:
    """Return the path that renews a lease."""
    return f"{LEASES_PATH}/{lease}/extend"


def lease_path(lease: int) -> str:
    """Return the path of a lease."""
    return f"{LEASES_PATH}/{lease}"


def encode_transaction(conditions: dict[str, int], writes: list[Write]) -> bytes:
    """Encode a transaction, which is applied if the keys still have the ``mod_revision`` in ``conditions``."""
    transaction = _Transaction(
        [_Condition(key, mod_revision) for key, mod_revision in conditions.items()],
        [_write_request(write) for write in writes],
    )
    return cbor.encode_message(transaction)


def _write_request(write: Write) -> _PutRequest | _DeleteRequest:
    if isinstance(write, Delete):
        return _DeleteRequest(write.key)
    return _PutRequest(write.key, write.value, write.lease)


def encode_lease_request(ttl_s: float) -> bytes:
    """Encode a request for a new lease."""
    return cbor.encode_message(_LeaseRequest(int(ttl_s * 1000)))


def parse_lease(body: bytes) -> int:
    """Return the id of a new lease."""
    return cbor.decode(body, _LeaseAnswer).lease


def parse_entry(body: bytes) -> Entry:
    """Return one key with its value."""
    return cbor.decode(body, _EntryAnswer).to_entry()


def parse_revision(body: bytes) -> int:
    """Return the store's revision, from any answer that contains it."""
    return cbor.decode(body, _RevisionAnswer).revision


def parse_conflicting_keys(body: bytes) -> tuple[str, ...]:
    """Return the keys whose conditions were not met."""
    return cbor.decode(body, _ConflictAnswer).conflicting_keys


def parse_page(body: bytes) -> EntryPage:
    """Return one page of keys."""
    page = cbor.decode(body, _PageAnswer)
    return EntryPage([row.to_entry() for row in page.entries], page.truncated is True, page.revision)


def parse_changes(body: bytes) -> ChangeBatch:
    """Return the changes that a watch request reports."""
    answer = cbor.decode(body, _WatchAnswer)
    changes = [event.to_change() for event in answer.events]
    changes.sort(key=lambda change: change.mod_revision)  # the interface does not define their order
    return ChangeBatch(changes, answer.revision)
