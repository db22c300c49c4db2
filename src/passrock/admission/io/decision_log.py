"""The decision log: Avro files, compressed, bounded in size, written by a thread of their own.

Any tool for Avro object container files reads them. Each decision carries a checksum, since the format's own marks
show a file that was cut off but not every byte that has changed.
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
FILES = 4  # in a full log; the oldest one goes when another is begun
BATCH = 16  # decisions in a block; they compress together
MAX_QUEUED = 4  # blocks that await the thread; a disk that doesn't keep up loses decisions, not memory
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
    """A log that can't be read on; names the file and what is wrong with it."""


def _checksum(row: dict[str, Any]) -> int:
    return zlib.crc32(msgspec.msgpack.encode([row[name] for name in Decision.__struct_fields__]))


def _row(decision: Decision) -> dict[str, Any]:
    row: dict[str, Any] = msgspec.to_builtins(decision)
    row["flows"] = list(row["flows"])
    row["checksum"] = _checksum(row)
    return row


class DecisionLog:
    """Writes decisions to files in one directory; never holds up the event loop."""

    def __init__(self, directory: str, most_bytes: int, begun_ms: int) -> None:
        self.directory = directory
        self.file_bytes = max(1, most_bytes // FILES)
        self.begun_ms = begun_ms
        self.lost = 0
        self._batch: list[Decision] = []
        self._number = 0
        self._queued: list[Future[None]] = []
        self._thread = ThreadPoolExecutor(1, "decision-log")

    def add(self, decision: Decision) -> None:
        """Keep a decision; it is written with the next block."""
        self._batch.append(decision)
        if len(self._batch) >= BATCH:
            self.flush()

    def flush(self) -> None:
        """Have what was added written."""
        batch, self._batch = self._batch, []
        self._queued = [one for one in self._queued if not one.done()]
        if not batch:
            return
        if len(self._queued) >= MAX_QUEUED:
            self.lost += len(batch)
            return
        self._queued.append(self._thread.submit(self._write, batch))

    def close(self) -> None:
        """Write the rest and wait for it."""
        self.flush()
        self._thread.shutdown()

    def _write(self, batch: list[Decision]) -> None:
        try:
            os.makedirs(self.directory, exist_ok=True)
            path = self._current()
            rows = [_row(decision) for decision in batch]
            with open(path, "ab+") as file:
                fastavro.writer(file, SCHEMA, rows, codec=CODEC)
            for old in log_files(self.directory)[:-FILES]:
                os.unlink(old)
        except Exception as problem:  # noqa: BLE001 - the log must never harm what it tells of
            error("decision_log_failed", error=repr(problem))

    def _current(self) -> str:
        path = self._path()
        if os.path.exists(path) and os.path.getsize(path) >= self.file_bytes:
            self._number += 1
            path = self._path()
        return path

    def _path(self) -> str:
        return os.path.join(self.directory, f"{PREFIX}{self.begun_ms:015d}-{self._number:05d}{SUFFIX}")


def log_files(directory: str) -> list[str]:
    """The files of a log, oldest first."""
    names = sorted(name for name in os.listdir(directory) if name.startswith(PREFIX) and name.endswith(SUFFIX))
    return [os.path.join(directory, name) for name in names]


def read_file(path: str) -> Iterator[Decision]:
    """The decisions of one file; raises DecisionLogError where it can't be read on."""
    count = 0
    try:
        with open(path, "rb") as file:
            for row in fastavro.reader(file, SCHEMA):
                decision = _decision(row)
                count += 1
                yield decision
    except GeneratorExit:
        raise
    except Exception as problem:  # the parser raises many kinds, all of which mean an unreadable file
        raise DecisionLogError(f"{path}: unreadable after {count} decisions: {problem}") from problem


def _decision(row: object) -> Decision:
    if not isinstance(row, dict):
        raise TypeError("a row that is no decision")
    if row.pop("checksum") != _checksum(row):
        raise ValueError("a decision whose checksum doesn't match")
    flows = tuple(FlowOutcome(**flow) for flow in row.pop("flows"))
    return Decision(flows=flows, **row)
