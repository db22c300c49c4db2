"""Numbered slots: fixed-length intervals of wall-clock time."""

from __future__ import annotations

import math

import msgspec


class SlotClock(msgspec.Struct, frozen=True):
    """Divides wall-clock time into numbered slots of equal length, identically on every controller."""

    length_s: float

    def slot_at(self, wall_clock_now: float) -> int:
        """Return the number of the slot that contains this time."""
        return math.floor(wall_clock_now / self.length_s)

    def start_of(self, slot: int) -> float:
        """Return the wall-clock time at which a slot begins."""
        return slot * self.length_s

    def elapsed_fraction(self, wall_clock_now: float) -> float:
        """Return the fraction of the current slot that has elapsed, from 0 to 1."""
        return min(1.0, max(0.0, wall_clock_now / self.length_s - self.slot_at(wall_clock_now)))

    def seconds_until(self, slot: int, wall_clock_now: float) -> float:
        """Return the seconds until a slot begins; 0 if it has begun."""
        return max(0.0, self.start_of(slot) - wall_clock_now)
