"""Stored hints on which machine has which images, for a leader that has not seen a heartbeat of them yet."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

from passrock.core.machine import Machine


class ImageHints(msgspec.Struct):
    """A stored record; a machine refers to its images by their position in the list."""

    images: list[tuple[str, float]] = msgspec.field(name="i")
    """Image names with their sizes in GB."""
    machines: dict[str, list[int]] = msgspec.field(name="m")


def encode_image_hints(machines: Iterable[Machine], max_machines: int) -> list[dict[str, Any]]:
    """Records of up to ``max_machines`` machines each, sorted by name; machines without images are left out."""
    with_images = sorted((machine for machine in machines if machine.images), key=lambda machine: machine.name)
    return [
        msgspec.to_builtins(_record(with_images[first : first + max_machines]))
        for first in range(0, len(with_images), max_machines)
    ]


def _record(machines: list[Machine]) -> ImageHints:
    sizes = {image: gb for machine in machines for image, gb in machine.images.items()}
    position = {image: i for i, image in enumerate(sizes)}
    cached = {machine.name: [position[image] for image in machine.images] for machine in machines}
    return ImageHints(list(sizes.items()), cached)


def decode_image_hints(record: dict[str, Any]) -> dict[str, dict[str, float]]:
    """The images of each machine with their sizes in GB, least recently used first."""
    hints = msgspec.convert(record, ImageHints)
    return {name: dict(hints.images[i] for i in positions) for name, positions in hints.machines.items()}
