"""CBOR bodies: maps keyed by text, decoded into typed messages; anything malformed is a MalformedBodyError."""

from __future__ import annotations

from typing import Annotated, TypeVar

import cbor2
import msgspec

TEXT_LIMIT = 200  # characters; longer names fit no record and no log line
NUMBER_LIMIT = 1e9  # far above every amount and duration that makes sense
COUNT_BITS = 64  # counts, versions, tokens and attempts are smaller than two to this power

Text = Annotated[str, msgspec.Meta(min_length=1, max_length=TEXT_LIMIT)]
TextOrEmpty = Annotated[str, msgspec.Meta(max_length=TEXT_LIMIT)]
Number = Annotated[float, msgspec.Meta(ge=0.0, le=NUMBER_LIMIT)]
Count = Annotated[int, msgspec.Meta(ge=0)]

Message = TypeVar("Message")


class MalformedBodyError(Exception):
    """A body that is not what the interface says."""


def encode(value: object) -> bytes:
    """A value as CBOR."""
    return cbor2.dumps(value)


def encode_message(message: msgspec.Struct) -> bytes:
    """A message as a map under its names on the wire, in the order of its fields."""
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


def decode(body: bytes, kind: type[Message]) -> Message:
    """A body as a message of this type; fields that the type doesn't name are ignored."""
    try:
        value = cbor2.loads(body)
    except Exception as error:  # the decoder raises many kinds on hostile input, all of them bad bodies
        raise MalformedBodyError("not CBOR") from error
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        raise MalformedBodyError(str(error)) from error


def check_counts(*counts: int) -> None:
    """Refuse counts that are too large, which a message type can't express."""
    if max(counts) >> COUNT_BITS:
        raise MalformedBodyError(f"an integer of more than {COUNT_BITS} bits")
