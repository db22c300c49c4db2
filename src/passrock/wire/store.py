"""The key-value store's calls (the protocol's state service): paths, bodies, and their types on the inner side."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from passrock.wire import cbor

LEASES_PATH = "/leases"
COMMIT_PATH = "/commit"
PAGE_LIMIT = 1000  # keys
TXN_BYTES = 56 * 1024  # of the 64 KiB that a transaction may have, keys and conditions apart


class Entry(msgspec.Struct, frozen=True):
    """A key with its value and the store's revision of its last change."""

    key: str
    value: Any
    mod_revision: int


class Change(msgspec.Struct, frozen=True):
    """A change of a key as a watch reports it; without ``present`` the key was deleted."""

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


class EntryPage(NamedTuple):
    """One page of the keys below a prefix."""

    entries: list[Entry]
    truncated: bool  # more keys follow
    revision: int  # of the store when it made the page


class ChangeBatch(NamedTuple):
    """What a watch has seen: all changes after its start, up to a revision of the store."""

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

    def entry(self) -> Entry:
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

    def change(self) -> Change:
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
    """The path of one key."""
    return f"/kv/{key}"


def list_path(prefix: str, after: str = "", limit: int = PAGE_LIMIT) -> str:
    """The path of one page of keys."""
    tail = f"&after={after}" if after else ""
    return f"/kv?prefix={prefix}{tail}&page={limit}"


def watch_path(prefix: str, after: int, wait_ms: int) -> str:
    """The path of one wait for changes after a revision."""
    return f"/changes?prefix={prefix}&after={after}&holdMs={wait_ms}"


def renew_path(lease: int) -> str:
    """The path that renews a lease."""
    return f"{LEASES_PATH}/{lease}/extend"


def lease_path(lease: int) -> str:
    """The path of a lease."""
    return f"{LEASES_PATH}/{lease}"


def commit(conditions: dict[str, int], writes: list[Write]) -> bytes:
    """A transaction: the writes are applied if each key still has the revision that its condition names."""
    message = _Transaction(
        [_Condition(key, mod_revision) for key, mod_revision in conditions.items()],
        [_write_request(write) for write in writes],
    )
    return cbor.encode_message(message)


def _write_request(write: Write) -> _PutRequest | _DeleteRequest:
    if isinstance(write, Delete):
        return _DeleteRequest(write.key)
    return _PutRequest(write.key, write.value, write.lease)


def lease_request(ttl_s: float) -> bytes:
    """A request for a new lease."""
    return cbor.encode_message(_LeaseRequest(int(ttl_s * 1000)))


def parse_lease(body: bytes) -> int:
    """The number of a new lease."""
    return cbor.decode(body, _LeaseAnswer).lease


def parse_entry(body: bytes) -> Entry:
    """One key."""
    return cbor.decode(body, _EntryAnswer).entry()


def parse_revision(body: bytes) -> int:
    """The store's revision in any answer that carries it."""
    return cbor.decode(body, _RevisionAnswer).revision


def parse_failed(body: bytes) -> tuple[str, ...]:
    """The keys whose conditions failed."""
    return cbor.decode(body, _ConflictAnswer).conflicting_keys


def parse_page(body: bytes) -> EntryPage:
    """A page of keys."""
    page = cbor.decode(body, _PageAnswer)
    return EntryPage([row.entry() for row in page.entries], page.truncated is True, page.revision)


def parse_changes(body: bytes) -> ChangeBatch:
    """The changes of a watch."""
    message = cbor.decode(body, _WatchAnswer)
    return ChangeBatch([event.change() for event in message.events], message.revision)
