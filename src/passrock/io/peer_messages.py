"""Messages between controllers: a heartbeat's fields as a msgpack map, preceded by the length of the message."""

from __future__ import annotations

import math

import msgspec

LENGTH_BYTES = 4  # of the big-endian length before each message
MESSAGE_LIMIT_BYTES = 16 * 1024

# The names on the wire are those of earlier releases, since controllers of different releases run side by side.
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
        term: the highest term observed by the sender.
        leading: whether the sender is the leader.
        store_down: whether the key-value store is unavailable to the sender.
        replica_loaded: whether the sender has read the key-value store since its start.
        redirected_workers: how many workers that have observed ``term`` the sender redirected recently.
        incarnation: distinguishes this process of the node from its earlier processes.
        staleness_s: the sender has every cancellation that any controller confirmed this many seconds ago or earlier;
            None when it has no such bound.
        applied_incarnation: the incarnation of the receiver whose log of cancellations the sender applies.
        applied: how many entries of that log the sender has applied.
        first: index of the first entry in ``cancelled``.
        total: the number of entries in the sender's own log so far.
        cancelled: a slice of that log, as job ids.
        extensions: the data of subsystems, by name; absent unless a subsystem is enabled.
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
        """Return the data of a subsystem of the sender, or None when that subsystem is disabled there."""
        return None if self.extensions is msgspec.UNSET else self.extensions.get(name)

    def validation_error(self) -> str | None:
        """Return why the values of this message are invalid, or None."""
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
            return "a count, term or incarnation is negative"
        if self.first + len(self.cancelled) > self.total:
            return f"cancellations {self.first} to {self.first + len(self.cancelled)} of a log of {self.total}"
        if self.staleness_s is not None and not 0.0 <= self.staleness_s < math.inf:
            return f"staleness of {self.staleness_s} s is not a finite number of at least 0"
        return None


class MalformedMessageError(Exception):
    """A message from a peer is not a valid heartbeat."""


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(PeerHeartbeat)


def frame(message: PeerHeartbeat) -> bytes:
    """Encode a message, preceded by its length."""
    body = _encoder.encode(message)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


def split_frame(buffer: bytes) -> tuple[bytes, bytes] | None:
    """Return the body of the first message and the bytes after it; None while the message is incomplete.

    Raises:
        MalformedMessageError: the announced length exceeds the limit.
    """
    if len(buffer) < LENGTH_BYTES:
        return None
    end = LENGTH_BYTES + int.from_bytes(buffer[:LENGTH_BYTES], "big")
    if end > LENGTH_BYTES + MESSAGE_LIMIT_BYTES:
        raise MalformedMessageError(f"message of {end - LENGTH_BYTES} bytes exceeds {MESSAGE_LIMIT_BYTES} bytes")
    if len(buffer) < end:
        return None
    return buffer[LENGTH_BYTES:end], buffer[end:]


def decode(body: bytes) -> PeerHeartbeat:
    """Return the heartbeat in a message's body.

    Raises:
        MalformedMessageError: the body is not a heartbeat, or its values are invalid.
    """
    try:
        message = _decoder.decode(body)
    except msgspec.DecodeError as exc:
        raise MalformedMessageError(str(exc)) from exc
    reason = message.validation_error()
    if reason is not None:
        raise MalformedMessageError(reason)
    return message
