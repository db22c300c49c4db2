"""Signals between the evaluation loop and its surroundings: requests for an evaluation, and its progress."""

from __future__ import annotations

import asyncio


class Evaluations:
    """Wakes the leader's evaluation loop, and whoever waits for what an evaluation decides.

    Attributes:
        finished_count: how many evaluations have finished in this term.
    """

    def __init__(self) -> None:
        self.finished_count = 0
        self._requested = asyncio.Event()
        self._progress = asyncio.Event()  # replaced at each progress, so that it wakes those who waited before

    def request(self) -> None:
        """Ask for an evaluation, since something has changed; several requests are served by one."""
        self._requested.set()

    async def wait_for_request(self, timeout_s: float) -> None:
        """Return at the next request, or after ``timeout_s`` without one."""
        await _is_set_within(self._requested, timeout_s)
        self._requested.clear()

    def note_finished(self) -> None:
        """An evaluation has finished."""
        self.finished_count += 1
        self.note_progress()

    def note_progress(self) -> None:
        """An evaluation has finished or its records are committed: answers that wait for either go on."""
        self._progress.set()
        self._progress = asyncio.Event()

    async def wait_for_progress(self, timeout_s: float) -> bool:
        """Whether an evaluation or a commit finishes within ``timeout_s``."""
        return await _is_set_within(self._progress, timeout_s)


async def _is_set_within(event: asyncio.Event, timeout_s: float) -> bool:
    try:
        async with asyncio.timeout(timeout_s):
            return await event.wait()
    except TimeoutError:
        return False
