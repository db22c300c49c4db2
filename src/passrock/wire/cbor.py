"""CBOR bodies: maps keyed by text; anything malformed is a MalformedBodyError."""

from __future__ import annotations

from typing import Any

import cbor2

TEXT_LIMIT = 200  # characters; longer names fit no record and no log line


class MalformedBodyError(Exception):
    """A body that is not what the interface says."""


def encode(value: object) -> bytes:
    """A value as CBOR."""
    return cbor2.dumps(value)


def decode_map(body: bytes) -> dict[str, Any]:
    """A body that must be one CBOR map with text keys."""
    try:
        value = cbor2.loads(body)
    except Exception as error:  # the decoder raises many kinds on hostile input, all of them bad bodies
        raise MalformedBodyError("not CBOR") from error
    if not isinstance(value, dict) or not all(isinstance(key, str) for key in value):
        raise MalformedBodyError("not a map keyed by text")
    return value


def text(body: dict[str, Any], key: str) -> str:
    """A required text."""
    value = body.get(key)
    if not isinstance(value, str) or not 0 < len(value) <= TEXT_LIMIT:
        raise MalformedBodyError(f"{key}: a text of 1 to {TEXT_LIMIT} characters is required")
    return value


def opt_text(body: dict[str, Any], key: str) -> str | None:
    """A text or nothing."""
    return None if body.get(key) is None else text(body, key)


def texts(body: dict[str, Any], key: str) -> tuple[str, ...]:
    """A required list of texts."""
    value = body.get(key)
    if not isinstance(value, list) or not all(isinstance(item, str) and len(item) <= TEXT_LIMIT for item in value):
        raise MalformedBodyError(f"{key}: a list of texts is required")
    return tuple(value)


def number(body: dict[str, Any], key: str, low: float = 0.0, high: float = 1e9) -> float:
    """A required number in a range."""
    value = body.get(key)
    if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
        raise MalformedBodyError(f"{key}: a number from {low} to {high} is required")
    return float(value)


def opt_number(body: dict[str, Any], key: str) -> float | None:
    """A number or nothing."""
    return None if body.get(key) is None else number(body, key)


def count(body: dict[str, Any], key: str, low: int = 0, high: int = 2**64 - 1) -> int:
    """A required integer in a range."""
    value = body.get(key)
    if isinstance(value, bool) or not isinstance(value, int) or not low <= value <= high:
        raise MalformedBodyError(f"{key}: an integer from {low} to {high} is required")
    return value


def flag(body: dict[str, Any], key: str, default: bool | None = None) -> bool:
    """A boolean; required where there is no default."""
    value = body.get(key)
    if value is None and default is not None:
        return default
    if not isinstance(value, bool):
        raise MalformedBodyError(f"{key}: true or false is required")
    return value


def maps(body: dict[str, Any], key: str) -> list[dict[str, Any]]:
    """A required list of maps."""
    value = body.get(key)
    if not isinstance(value, list) or not all(isinstance(item, dict) for item in value):
        raise MalformedBodyError(f"{key}: a list of maps is required")
    return value
