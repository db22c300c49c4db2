"""The decision log: compressed Avro files of bounded total size, written by a separate thread.

Any tool for Avro object container files can read them. Each decision has a checksum, because the sync markers of the
format reveal a truncated file but not every changed byte.
"""

from __future__ import annotations

import os
import zlib
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

import fastavro
import msgspec

from passrock.admission.core.decision import Decision, FlowOutcome
from passrock.logs import error

PREFIX = "decisions-"
SUFFIX = ".avro"
MAX_FILES = 4  # in a full log; the oldest file is deleted when a new file is started
BLOCK_DECISIONS = 16  # decisions per Avro block; a block is compressed as a whole
MAX_QUEUED_BLOCKS = 4  # further blocks are dropped, so that a slow disk costs decisions and not memory
CODEC = "zstandard"

FLOW_SCHEMA = {
    "type": "record",
    "name": "FlowOutcome",
    "fields": [
        {"name": "team", "type": "string"},
        {"name": "job_class", "type": "string"},
        {"name": "wanted", "type": "long"},
        {"name": "granted", "type": "long"},
        {"name": "admitted", "type": "long"},
        {"name": "refused", "type": "long"},
        {"name": "started", "type": "long"},
        {"name": "waiting_jobs", "type": "long"},
        {"name": "waited_s", "type": "double"},
        {"name": "obstacle", "type": "string"},
    ],
}
SCHEMA = fastavro.parse_schema(
    {
        "type": "record",
        "name": "Decision",
        "namespace": "passrock.admission",
        "fields": [
            {"name": "slot", "type": "long"},
            {"name": "at", "type": "double"},
            {"name": "term", "type": "long"},
            {"name": "leader", "type": "string"},
            {"name": "capacity", "type": "long"},
            {"name": "flows", "type": {"type": "array", "items": FLOW_SCHEMA}},
            {"name": "checksum", "type": "long"},
        ],
    }
)


class DecisionLogError(Exception):
    """A log file that cannot be read to its end; the message names the file and the fault."""


def _checksum(row: dict[str, Any]) -> int:
    return zlib.crc32(msgspec.msgpack.encode([row[name] for name in Decision.__struct_fields__]))


def _row(decision: Decision) -> dict[str, Any]:
    row: dict[str, Any] = msgspec.to_builtins(decision)
    row["flows"] = list(row["flows"])
    row["checksum"] = _checksum(row)
    return row


class DecisionLog:
    """Writes decisions to files in one directory, without blocking the event loop."""

    def __init__(self, directory: str, max_bytes: int, started_ms: int) -> None:
        self.directory = directory
        self.file_bytes = max(1, max_bytes // MAX_FILES)
        self.started_ms = started_ms
        self.dropped = 0
        self._buffer: list[Decision] = []
        self._file_number = 0
        self._queued_writes: list[Future[None]] = []
        self._thread = ThreadPoolExecutor(1, "decision-log")

    def add(self, decision: Decision) -> None:
        """Buffer a decision; it is written with the next block."""
        self._buffer.append(decision)
        if len(self._buffer) >= BLOCK_DECISIONS:
            self.flush()

    def flush(self) -> None:
        """Queue the buffered decisions for writing; they are dropped if too many blocks are queued already."""
        batch, self._buffer = self._buffer, []
        self._queued_writes = [write for write in self._queued_writes if not write.done()]
        if not batch:
            return
        if len(self._queued_writes) >= MAX_QUEUED_BLOCKS:
            self.dropped += len(batch)
            return
        self._queued_writes.append(self._thread.submit(self._write, batch))

    def close(self) -> None:
        """Write the buffered decisions and wait until all queued blocks are written."""
        self.flush()
        self._thread.shutdown()

    def _write(self, batch: list[Decision]) -> None:
        try:
            os.makedirs(self.directory, exist_ok=True)
            path = self._writable_path()
            rows = [_row(decision) for decision in batch]
            with open(path, "ab+") as file:
                fastavro.writer(file, SCHEMA, rows, codec=CODEC)
            for old_path in log_files(self.directory)[:-MAX_FILES]:
                os.unlink(old_path)
        except Exception as exc:  # noqa: BLE001 - a log fault must not affect admission
            error("decision_log_failed", error=repr(exc))

    def _writable_path(self) -> str:
        path = self._path()
        if os.path.exists(path) and os.path.getsize(path) >= self.file_bytes:
            self._file_number += 1
            path = self._path()
        return path

    def _path(self) -> str:
        return os.path.join(self.directory, f"{PREFIX}{self.started_ms:015d}-{self._file_number:05d}{SUFFIX}")


def log_files(directory: str) -> list[str]:
    """Return the paths of the files of a log, oldest first."""
    names = sorted(name for name in os.listdir(directory) if name.startswith(PREFIX) and name.endswith(SUFFIX))
    return [os.path.join(directory, name) for name in names]


def read_file(path: str) -> Iterator[Decision]:
    """Yield the decisions of one file; raises DecisionLogError where the file cannot be read any further."""
    count = 0
    try:
        with open(path, "rb") as file:
            for row in fastavro.reader(file, SCHEMA):
                decision = _decision(row)
                count += 1
                yield decision
    except GeneratorExit:
        raise
    except Exception as exc:  # the parser raises many kinds, all of which mean an unreadable file
        raise DecisionLogError(f"{path}: unreadable after {count} decisions: {exc}") from exc


def _decision(row: object) -> Decision:
    if not isinstance(row, dict):
        raise TypeError("a row that is no decision")
    if row.pop("checksum") != _checksum(row):
        raise ValueError("a decision whose checksum doesn't match")
    flows = tuple(FlowOutcome(**flow) for flow in row.pop("flows"))
    return Decision(flows=flows, **row)
