"""Numbered slots of the time of day."""

from __future__ import annotations

import math

import msgspec


class SlotClock(msgspec.Struct, frozen=True):
    """Cuts the time of day into slots of equal length, the same for every controller."""

    length_s: float

    def number(self, time_of_day: float) -> int:
        """The slot of this moment."""
        return math.floor(time_of_day / self.length_s)

    def start(self, slot: int) -> float:
        """When a slot begins."""
        return slot * self.length_s

    def elapsed(self, time_of_day: float) -> float:
        """The part of the present slot that is over, from 0 to 1."""
        return min(1.0, max(0.0, time_of_day / self.length_s - self.number(time_of_day)))

    def until(self, slot: int, time_of_day: float) -> float:
        """Seconds until a slot begins; 0 when it has begun."""
        return max(0.0, self.start(slot) - time_of_day)
