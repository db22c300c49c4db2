"""Reading of all keys with given prefixes as of one revision of the key-value store.

The store lists keys page by page, and each page shows the revision at which it is read. Pages that are put together
as they are can show a state that the store never had: a job without the cancellation that was deleted with it. So the
changes that were made meanwhile are read by a watch and applied to the pages.
"""

from __future__ import annotations

import msgspec

from passrock.controller import keys
from passrock.core.instants import NEVER
from passrock.io.clock import monotonic_time
from passrock.io.store import KeyValueStoreClient
from passrock.wire.store import Change, Entry

# The store keeps 10,000 changes for watches, and one revision may have as many changes as a transaction has writes.
MAX_UNAPPLIED_REVISIONS = 200


class Snapshot(msgspec.Struct, frozen=True):
    """The state of the store at one revision.

    Attributes:
        entries: all keys that have one of the prefixes.
        revision: the store's revision that has these entries.
        read_started_at: the monotonic time before which every commit is included.
        page_count: the number of pages that were read.
        watch_count: the number of watches that were read to bring the pages to the same revision.
    """

    entries: dict[str, Entry]
    revision: int
    read_started_at: float
    page_count: int
    watch_count: int


class SnapshotReader:
    """Reads one snapshot; after an error, ``read`` may be called again and goes on where it stopped."""

    def __init__(self, store: KeyValueStoreClient, prefixes: tuple[str, ...]) -> None:
        self._store = store
        self._prefixes = prefixes
        self._entries: dict[str, Entry] = {}
        self._unread_prefixes = list(prefixes)
        self._last_key = ""  # of the first unread prefix, the last key that has been read
        self._applied_revision = 0  # up to which the entries that have been read include all changes
        self._newest_page_revision = 0
        self._read_started_at = NEVER
        self._page_count = 0
        self._watch_count = 0

    async def read(self) -> Snapshot:
        """Return the snapshot, after one request for each page and at least one watch if the store changed meanwhile.

        Raises:
            CompactedError: the store no longer keeps the changes since a page was read; begin with a new reader.
            StoreError: a request failed.
        """
        while self._unread_prefixes:
            await self._read_page(self._unread_prefixes[0])
            if self._unapplied_revisions() > MAX_UNAPPLIED_REVISIONS:
                await self._apply_changes()
        while self._unapplied_revisions() > 0:
            await self._apply_changes()
        return Snapshot(
            self._entries, self._applied_revision, self._read_started_at, self._page_count, self._watch_count
        )

    def _unapplied_revisions(self) -> int:
        return self._newest_page_revision - self._applied_revision

    async def _read_page(self, prefix: str) -> None:
        started_at = monotonic_time()
        page = await self._store.list_page(prefix, self._last_key)
        self._read_started_at = started_at
        if self._page_count == 0:
            self._applied_revision = page.revision
        self._page_count += 1
        self._newest_page_revision = max(self._newest_page_revision, page.revision)
        self._entries.update((entry.key, entry) for entry in page.entries)
        if page.truncated and page.entries:
            self._last_key = page.entries[-1].key
        else:
            self._unread_prefixes.pop(0)
            self._last_key = ""

    async def _apply_changes(self) -> None:
        """Apply all changes since ``_applied_revision``, those of keys that are still unread included."""
        started_at = monotonic_time()
        changes, revision = await self._store.watch(keys.ROOT, self._applied_revision, wait_ms=0)
        self._read_started_at = started_at
        self._watch_count += 1
        for change in changes:
            if change.key.startswith(self._prefixes):
                apply_change(self._entries, change)
        self._applied_revision = revision


def apply_change(entries: dict[str, Entry], change: Change) -> bool:
    """Apply a change unless the key's entry is newer; returns whether it was applied."""
    current = entries.get(change.key)
    if current is not None and current.mod_revision > change.mod_revision:
        return False
    if change.present:
        entries[change.key] = Entry(change.key, change.value, change.mod_revision)
    else:
        entries.pop(change.key, None)
    return True
