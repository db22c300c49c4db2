"""Encoding of allocations in the store: compressed text, split into pages of bounded size.

With a thousand flows an allocation is several times as large as the limit on a stored value. The names of teams and
classes repeat, so that it compresses to a fraction of its size.
"""

from __future__ import annotations

import base64
import math
from typing import Any

import msgspec
from backports import zstd

from passrock.admission.core.allocation import Allocation, NodeGrant, ReceivedService
from passrock.admission.core.flows import Flow

VERSION = 1
COMPRESSION_LEVEL = 6
PAGE_OVERHEAD_BYTES = 200  # of the limit on a value, for the page's other fields and its encoding
MAX_UNCOMPRESSED_BYTES = 1 << 20  # limit on a decompressed allocation; a longer one is unreadable


class UnreadableAllocationError(Exception):
    """A stored record that is not an allocation of a supported version."""


class NodeGrantRecord(msgspec.Struct, array_like=True):
    """The stored form of a controller's grants, with counts by team and class."""

    incarnation: int
    interactive: int
    shared: int
    flows: dict[str, dict[str, int]]


class AllocationRecord(msgspec.Struct, array_like=True):
    """The stored form of an allocation, version 1. Later versions add fields at the end."""

    slot: int
    term: int
    leader: str
    settled_through: int
    node_grants: dict[str, NodeGrantRecord]
    team_service: dict[str, float]
    flow_service: dict[str, dict[str, float]]
    last_start_at: dict[str, dict[str, int]]
    pacing_share: float


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(AllocationRecord)


def encode_allocation(allocation: Allocation, value_bytes: int) -> list[dict[str, Any]]:
    """Return the allocation's pages; the first one contains their number."""
    record = AllocationRecord(
        allocation.slot,
        allocation.term,
        allocation.leader,
        allocation.settled_through,
        {
            node: NodeGrantRecord(grant.incarnation, grant.interactive, grant.shared, _by_team(grant.flows))
            for node, grant in allocation.node_grants.items()
        },
        {team: round(service, 3) for team, service in allocation.service.teams.items()},
        _by_team({flow: round(service, 3) for flow, service in allocation.service.flows.items()}),
        _by_team({flow: math.floor(at) for flow, at in allocation.last_start_at.items()}),
        round(allocation.pacing_share, 3),
    )
    text = base64.b85encode(zstd.compress(_encoder.encode(record), COMPRESSION_LEVEL)).decode()
    chunk_size = value_bytes - PAGE_OVERHEAD_BYTES
    chunks = [text[at : at + chunk_size] for at in range(0, len(text), chunk_size)]
    head = {"v": VERSION, "pages": len(chunks), "z": chunks[0]}
    return [head, *({"z": chunk} for chunk in chunks[1:])]


def page_count(head: object) -> int:
    """Return the number of pages of an allocation, which its first page contains."""
    if not isinstance(head, dict) or head.get("v") != VERSION:
        raise UnreadableAllocationError(f"first page is not of version {VERSION}")
    pages = head.get("pages")
    if not isinstance(pages, int) or not 0 < pages < MAX_UNCOMPRESSED_BYTES:
        raise UnreadableAllocationError(f"invalid number of pages: {pages!r}")
    return pages


def decode_allocation(pages: list[Any]) -> Allocation:
    """Decode what ``encode_allocation`` returned; raises UnreadableAllocationError."""
    if page_count(pages[0]) != len(pages):
        raise UnreadableAllocationError(f"number of pages on the first page differs from the {len(pages)} found")
    try:
        packed = base64.b85decode("".join(page["z"] for page in pages))
        body = zstd.ZstdDecompressor().decompress(packed, MAX_UNCOMPRESSED_BYTES)
        record = _decoder.decode(body)
    except (TypeError, KeyError, ValueError, zstd.ZstdError, EOFError) as exc:
        raise UnreadableAllocationError(str(exc)) from exc
    node_grants = {
        node: NodeGrant(grant.incarnation, grant.interactive, grant.shared, _by_flow(grant.flows))
        for node, grant in record.node_grants.items()
    }
    if any(min(grant.interactive, grant.shared, *grant.flows.values()) < 0 for grant in node_grants.values()):
        raise UnreadableAllocationError("negative grant")
    return Allocation(
        record.slot,
        record.term,
        record.leader,
        node_grants,
        ReceivedService(record.team_service, _by_flow(record.flow_service)),
        record.settled_through,
        {flow: float(at) for flow, at in _by_flow(record.last_start_at).items()},
        record.pacing_share,
    )


def _by_team(amounts: dict[Flow, Any]) -> dict[str, dict[str, Any]]:
    """Return the amounts nested by team and class, so that each team's name is stored once."""
    nested: dict[str, dict[str, Any]] = {}
    for flow, amount in amounts.items():
        nested.setdefault(flow.team, {})[flow.job_class] = amount
    return nested


def _by_flow(nested: dict[str, dict[str, Any]]) -> dict[Flow, Any]:
    return {Flow(team, name): amount for team, classes in nested.items() for name, amount in classes.items()}
