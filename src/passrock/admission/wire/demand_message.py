"""Encoding of demand reports, which controllers send to their peers inside heartbeats."""

from __future__ import annotations

import msgspec

from passrock.admission.core.demand import DemandReport, FlowDemand
from passrock.admission.core.flows import Flow

VERSION = 1
MAX_MESSAGE_BYTES = 8 * 1024  # half of the limit for a heartbeat
MAX_NAME_LENGTH = 200  # of a team or class; the same limit as in a submission
MAX_COUNT = 1 << 31


class MalformedDemandError(Exception):
    """A message that is not a valid demand report of a supported version."""


class DemandMessage(msgspec.Struct, array_like=True):
    """The transmitted form of a demand report.

    Attributes:
        rows: team, class, waiting, arriving, refused and oldest_age_s of each flow.
    """

    version: int
    incarnation: int
    started_ms: int
    sequence_number: int
    term: int
    omitted_flows: int
    rows: list[tuple[str, str, int, int, int, float]] = []


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(DemandMessage)


def encode_demand(report: DemandReport) -> bytes:
    """Return the message; of flows that do not fit, those with the shortest waits are omitted first."""
    rows = sorted(report.flows.items(), key=lambda row: (-row[1].oldest_age_s, -row[1].wanted, row[0]))
    message = DemandMessage(VERSION, report.incarnation, report.started_ms, report.sequence_number, report.term, 0)
    size = len(_encoder.encode(message)) + 16  # the encoded numbers of rows and of omitted flows grow by a few bytes
    for flow, demand in rows:
        row = (flow.team, flow.job_class, demand.waiting, demand.arriving, demand.refused, demand.oldest_age_s)
        size += len(_encoder.encode(row))
        if size > MAX_MESSAGE_BYTES:
            message.omitted_flows = len(rows) - len(message.rows)
            break
        message.rows.append(row)
    return _encoder.encode(message)


def decode_demand(node: str, body: bytes) -> DemandReport:
    """Decode a node's demand report; raises MalformedDemandError."""
    if len(body) > MAX_MESSAGE_BYTES:
        raise MalformedDemandError(f"message has {len(body)} bytes, limit {MAX_MESSAGE_BYTES}")
    try:
        message = _decoder.decode(body)
    except msgspec.DecodeError as exc:
        raise MalformedDemandError(str(exc)) from exc
    if message.version != VERSION:
        raise MalformedDemandError(f"version {message.version}, expected {VERSION}")
    if min(message.incarnation, message.started_ms, message.sequence_number, message.term, message.omitted_flows) < 0:
        raise MalformedDemandError("negative number in the header")
    flows: dict[Flow, FlowDemand] = {}
    for team, job_class, waiting, arriving, refused, oldest_age_s in message.rows:
        if len(team) > MAX_NAME_LENGTH or len(job_class) > MAX_NAME_LENGTH:
            raise MalformedDemandError(f"name of a team or class is longer than {MAX_NAME_LENGTH} characters")
        counts = (waiting, arriving, refused)
        if min(counts) < 0 or max(counts) > MAX_COUNT or not 0.0 <= oldest_age_s < float("inf"):
            raise MalformedDemandError(f"count or age of {team}/{job_class} out of range: {counts}, {oldest_age_s} s")
        flows[Flow(team, job_class)] = FlowDemand(waiting, arriving, refused, oldest_age_s)
    return DemandReport(
        node,
        message.incarnation,
        message.started_ms,
        message.sequence_number,
        message.term,
        flows,
        message.omitted_flows,
    )
