"""Allocations as the store keeps them: compressed text on pages of bounded size.

With a thousand flows an allocation is several times as large as a value may be; names of teams and classes repeat, so
that it compresses to a fraction.
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
LEVEL = 6
PAGE_SPARE = 200  # of a value's size, for what is on a page beside the text
MAX_BYTES = 1 << 20  # of an allocation before compression; anything longer is no allocation


class UnreadableAllocationError(Exception):
    """A record that is no allocation of a version known here."""


class NodeGrantForm(msgspec.Struct, array_like=True):
    """A controller's grants in their stored form; counts by team and class."""

    incarnation: int
    interactive: int
    shared: int
    flows: dict[str, dict[str, int]]


class AllocationForm(msgspec.Struct, array_like=True):
    """An allocation in its stored form, version 1. Fields that later versions add come at the end."""

    slot: int
    term: int
    leader: str
    settled: int
    node_grants: dict[str, NodeGrantForm]
    team_service: dict[str, float]
    flow_service: dict[str, dict[str, float]]
    started: dict[str, dict[str, int]]
    pacing_share: float


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(AllocationForm)


def encode_allocation(allocation: Allocation, value_bytes: int) -> list[dict[str, Any]]:
    """The allocation's pages; the first one tells how many there are."""
    form = AllocationForm(
        allocation.slot,
        allocation.term,
        allocation.leader,
        allocation.settled,
        {
            node: NodeGrantForm(grant.incarnation, grant.interactive, grant.shared, _by_team(grant.flows))
            for node, grant in allocation.node_grants.items()
        },
        {team: round(used, 3) for team, used in allocation.service.teams.items()},
        _by_team({flow: round(used, 3) for flow, used in allocation.service.flows.items()}),
        _by_team({flow: math.floor(at) for flow, at in allocation.started.items()}),
        round(allocation.pacing_share, 3),
    )
    text = base64.b85encode(zstd.compress(_encoder.encode(form), LEVEL)).decode()
    size = value_bytes - PAGE_SPARE
    parts = [text[at : at + size] for at in range(0, len(text), size)]
    head = {"v": VERSION, "pages": len(parts), "z": parts[0]}
    return [head, *({"z": part} for part in parts[1:])]


def page_count(head: object) -> int:
    """How many pages an allocation has, by its first one."""
    if not isinstance(head, dict) or head.get("v") != VERSION:
        raise UnreadableAllocationError("not a version known here")
    pages = head.get("pages")
    if not isinstance(pages, int) or not 0 < pages < MAX_BYTES:
        raise UnreadableAllocationError("no number of pages")
    return pages


def decode_allocation(pages: list[Any]) -> Allocation:
    """The reverse of encode_allocation; raises UnreadableAllocationError."""
    if page_count(pages[0]) != len(pages):
        raise UnreadableAllocationError("pages are missing")
    try:
        packed = base64.b85decode("".join(page["z"] for page in pages))
        body = zstd.ZstdDecompressor().decompress(packed, MAX_BYTES)
        form = _decoder.decode(body)
    except (TypeError, KeyError, ValueError, zstd.ZstdError, EOFError) as problem:
        raise UnreadableAllocationError(str(problem)) from problem
    node_grants = {
        node: NodeGrant(grant.incarnation, grant.interactive, grant.shared, _flat(grant.flows))
        for node, grant in form.node_grants.items()
    }
    if any(min(grant.interactive, grant.shared, *grant.flows.values()) < 0 for grant in node_grants.values()):
        raise UnreadableAllocationError("a negative grant")
    return Allocation(
        form.slot,
        form.term,
        form.leader,
        node_grants,
        ReceivedService(form.team_service, _flat(form.flow_service)),
        form.settled,
        {flow: float(at) for flow, at in _flat(form.started).items()},
        form.pacing_share,
    )


def _by_team(amounts: dict[Flow, Any]) -> dict[str, dict[str, Any]]:
    """Nested by team and class, so that a team's name stands there once."""
    nested: dict[str, dict[str, Any]] = {}
    for flow, amount in amounts.items():
        nested.setdefault(flow.team, {})[flow.job_class] = amount
    return nested


def _flat(nested: dict[str, dict[str, Any]]) -> dict[Flow, Any]:
    return {Flow(team, name): amount for team, classes in nested.items() for name, amount in classes.items()}
