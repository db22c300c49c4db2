"""Stored hints on which machines have which images, for a new leader that has not received their heartbeats yet.

A record is ``{"i": [[image, size in GB], ...], "m": {machine: [position of an image in "i", ...]}}``; a machine's
images are ordered by last use, least recently used first.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from passrock.core.machine import Machine


def encode_image_hints(machines: Iterable[Machine], max_machines: int) -> list[dict[str, Any]]:
    """Return records of up to ``max_machines`` machines each, sorted by name; machines without images are omitted."""
    with_images = sorted((machine for machine in machines if machine.images), key=lambda machine: machine.name)
    return [
        _encode_record(with_images[first : first + max_machines])
        for first in range(0, len(with_images), max_machines)
    ]


def _encode_record(machines: list[Machine]) -> dict[str, Any]:
    sizes = {image: gb for machine in machines for image, gb in machine.images.items()}
    position_of = {image: position for position, image in enumerate(sizes)}
    return {
        "i": [[image, gb] for image, gb in sizes.items()],
        "m": {machine.name: [position_of[image] for image in machine.images] for machine in machines},
    }


def decode_image_hints(record: dict[str, Any]) -> dict[str, dict[str, float]]:
    """Return the images of each machine with their sizes in GB, least recently used first.

    Raises:
        KeyError: if the record lacks a field.
    """
    images = record["i"]
    return {
        name: {images[position][0]: images[position][1] for position in positions}
        for name, positions in record["m"].items()
    }
