"""The steady clock and the time of day, taken from the running loop so that tests can drive them."""

from __future__ import annotations

import asyncio
import time


def steady() -> float:
    """Seconds on the steady clock."""
    return asyncio.get_running_loop().time()


def time_of_day() -> float:
    """Seconds since 1970."""
    return time.time()
