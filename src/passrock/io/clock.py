"""The steady clock and the time of day, taken from the running loop so that tests can drive them."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable


def monotonic_time() -> float:
    """Seconds on the steady clock."""
    return asyncio.get_running_loop().time()


_wall: Callable[[], float] = time.time


def use_wall_clock(source: Callable[[], float]) -> None:
    """Take the time of day from elsewhere, as a simulation does."""
    global _wall
    _wall = source


def time_of_day() -> float:
    """Seconds since 1970."""
    return _wall()
