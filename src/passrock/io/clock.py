"""The monotonic clock and the wall clock, behind functions so that tests can control both."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable


def monotonic_time() -> float:
    """Return seconds on the running loop's monotonic clock; only differences are meaningful."""
    return asyncio.get_running_loop().time()


_wall_clock: Callable[[], float] = time.time


def use_wall_clock(source: Callable[[], float]) -> None:
    """Replace the source of the wall clock, as a simulation does."""
    global _wall_clock
    _wall_clock = source


def time_of_day() -> float:
    """Return seconds since the epoch on the wall clock, which may step; stored records contain these."""
    return _wall_clock()
