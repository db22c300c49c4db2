"""The message that controllers exchange: a msgpack map of a heartbeat's fields, each behind its length."""

from __future__ import annotations

import math

import msgspec

LENGTH_BYTES = 4  # of the big-endian length in front of each message
MESSAGE_LIMIT_BYTES = 16 * 1024

# The names on the wire are older than the terms used here; controllers of both releases talk to each other.
WIRE_NAMES = {
    "store_down": "state_down",
    "replica_loaded": "has_read",
    "redirected_workers": "redirects",
    "incarnation": "run",
    "staleness_s": "whole_age",
    "applied_incarnation": "taken_run",
    "applied": "taken",
}


class PeerHeartbeat(msgspec.Struct, frozen=True, rename=WIRE_NAMES):
    """A controller's heartbeat to a peer, as a request and as an answer.

    Attributes:
        node: the sender.
        term: the highest term it knows.
        leading: whether it leads.
        store_down: whether the key-value store does not serve it.
        replica_loaded: whether it has read the key-value store since its start.
        redirected_workers: how many workers that know ``term`` came to it lately and were sent elsewhere.
        incarnation: distinguishes this process of the node from its former ones.
        staleness_s: it knows every cancellation that anyone confirmed this many seconds ago or earlier; None when
            it can't say.
        applied_incarnation: the incarnation of the receiver whose log of cancellations the sender applies.
        applied: how many entries of that log it has applied.
        first: index of the first entry in ``cancelled``.
        total: the number of entries in the sender's own log so far.
        cancelled: a slice of that log, as job ids.
        extensions: what subsystems add, by name; absent unless one is switched on.
    """

    node: str
    term: int
    leading: bool
    store_down: bool
    replica_loaded: bool
    redirected_workers: int = 0
    incarnation: int = 0
    staleness_s: float | None = None
    applied_incarnation: int = 0
    applied: int = 0
    first: int = 0
    total: int = 0
    cancelled: tuple[str, ...] = ()
    extensions: dict[str, bytes] | msgspec.UnsetType = msgspec.UNSET

    def extension(self, name: str) -> bytes | None:
        """The part of a subsystem of the sender, or None where it is switched off there."""
        return None if self.extensions is msgspec.UNSET else self.extensions.get(name)

    def fault(self) -> str | None:
        """What in this message is impossible, or None."""
        counts = (
            self.term,
            self.redirected_workers,
            self.incarnation,
            self.applied_incarnation,
            self.applied,
            self.first,
            self.total,
        )
        if min(counts) < 0:
            return "a negative number"
        if self.first + len(self.cancelled) > self.total:
            return "more entries than there are"
        if self.staleness_s is not None and not 0.0 <= self.staleness_s < math.inf:
            return "an age that can't be"
        return None


class MalformedMessageError(Exception):
    """What a peer sent is not a heartbeat; the text says why."""


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(PeerHeartbeat)


def frame(message: PeerHeartbeat) -> bytes:
    """A message behind its length."""
    body = _encoder.encode(message)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


def split_frame(buffer: bytes) -> tuple[bytes, bytes] | None:
    """The body of the first message and what follows it; None while it is incomplete.

    Raises:
        MalformedMessageError: the message is announced as longer than the limit.
    """
    if len(buffer) < LENGTH_BYTES:
        return None
    end = LENGTH_BYTES + int.from_bytes(buffer[:LENGTH_BYTES], "big")
    if end > LENGTH_BYTES + MESSAGE_LIMIT_BYTES:
        raise MalformedMessageError("too long")
    if len(buffer) < end:
        return None
    return buffer[LENGTH_BYTES:end], buffer[end:]


def decode(body: bytes) -> PeerHeartbeat:
    """The heartbeat in a message's body.

    Raises:
        MalformedMessageError: it is no heartbeat, or its values are impossible.
    """
    try:
        message = _decoder.decode(body)
    except msgspec.DecodeError as error:
        raise MalformedMessageError(str(error)) from error
    fault = message.fault()
    if fault is not None:
        raise MalformedMessageError(fault)
    return message
