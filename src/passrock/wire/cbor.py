"""Encoding and decoding of CBOR bodies as typed messages; malformed bodies raise MalformedBodyError."""

from __future__ import annotations

from typing import Annotated, TypeVar

import cbor2
import msgspec

MAX_TEXT_CHARS = 200  # longer names fit neither in a stored record nor in a log line
MAX_NUMBER = 1e9  # far above every meaningful amount or duration
MAX_COUNT_BITS = 64  # size limit of counts, sequence numbers, fencing tokens and attempt numbers

Text = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_TEXT_CHARS)]
TextOrEmpty = Annotated[str, msgspec.Meta(max_length=MAX_TEXT_CHARS)]
Number = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_NUMBER)]
Count = Annotated[int, msgspec.Meta(ge=0)]

Message = TypeVar("Message")


class MalformedBodyError(Exception):
    """A body that does not have the form that its interface defines."""


def encode(value: object) -> bytes:
    """Encode a value as CBOR."""
    return cbor2.dumps(value)


def encode_message(message: msgspec.Struct) -> bytes:
    """Encode a message as a CBOR map, with the encoded field names in the order of the fields."""
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


def decode(body: bytes, message_type: type[Message]) -> Message:
    """Decode a body as a message of this type; fields that the type does not define are ignored.

    Raises:
        MalformedBodyError: the body is not CBOR, or not a message of this type.
    """
    try:
        value = cbor2.loads(body)
    except Exception as exc:  # the decoder raises exceptions of many types on malformed input
        raise MalformedBodyError("not CBOR") from exc
    try:
        return msgspec.convert(value, message_type)
    except msgspec.ValidationError as exc:
        raise MalformedBodyError(str(exc)) from exc


def check_counts(*counts: int) -> None:
    """Raise MalformedBodyError for counts above the limit, which message types cannot express as a constraint."""
    if max(counts) >> MAX_COUNT_BITS:
        raise MalformedBodyError(f"an integer of more than {MAX_COUNT_BITS} bits")
