"""Demand as controllers tell it to each other, inside their heartbeats."""

from __future__ import annotations

import msgspec

from passrock.admission.core.demand import DemandReport, FlowDemand
from passrock.admission.core.flows import Flow

VERSION = 1
MESSAGE_BYTES = 8 * 1024  # half of what a heartbeat may have
NAME_LENGTH = 200  # of a team or class, as in a submission
MAX_COUNT = 1 << 31


class MalformedDemandError(Exception):
    """A message that is no demand report of a version known here."""


class DemandForm(msgspec.Struct, array_like=True):
    """A report in its transmitted form: version first, flows as rows of numbers with names."""

    version: int
    incarnation: int
    started_ms: int
    number: int
    term: int
    omitted_flows: int
    rows: list[tuple[str, str, int, int, int, float]] = []


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(DemandForm)


def encode_demand(report: DemandReport) -> bytes:
    """The message; flows that don't fit are left out, those that have waited least first."""
    rows = sorted(report.flows.items(), key=lambda row: (-row[1].oldest_s, -row[1].wanted, row[0]))
    form = DemandForm(VERSION, report.incarnation, report.started_ms, report.number, report.term, 0)
    size = len(_encoder.encode(form)) + 16  # counts of rows and of what is left out grow by a few bytes
    for flow, demand in rows:
        row = (flow.team, flow.job_class, demand.waiting, demand.arriving, demand.refused, demand.oldest_s)
        size += len(_encoder.encode(row))
        if size > MESSAGE_BYTES:
            form.omitted_flows = len(rows) - len(form.rows)
            break
        form.rows.append(row)
    return _encoder.encode(form)


def decode_demand(node: str, body: bytes) -> DemandReport:
    """What a node reports; raises MalformedDemandError."""
    if len(body) > MESSAGE_BYTES:
        raise MalformedDemandError("too long")
    try:
        form = _decoder.decode(body)
    except msgspec.DecodeError as problem:
        raise MalformedDemandError(str(problem)) from problem
    if form.version != VERSION:
        raise MalformedDemandError(f"version {form.version}")
    if min(form.incarnation, form.started_ms, form.number, form.term, form.omitted_flows) < 0:
        raise MalformedDemandError("a negative number")
    flows: dict[Flow, FlowDemand] = {}
    for team, job_class, waiting, arriving, refused, oldest_s in form.rows:
        if len(team) > NAME_LENGTH or len(job_class) > NAME_LENGTH:
            raise MalformedDemandError("a name that is too long")
        counts = (waiting, arriving, refused)
        if min(counts) < 0 or max(counts) > MAX_COUNT or not 0.0 <= oldest_s < float("inf"):
            raise MalformedDemandError("an amount that can't be")
        flows[Flow(team, job_class)] = FlowDemand(waiting, arriving, refused, oldest_s)
    return DemandReport(node, form.incarnation, form.started_ms, form.number, form.term, flows, form.omitted_flows)
