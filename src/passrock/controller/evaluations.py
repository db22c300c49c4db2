"""Requests for an evaluation of all jobs and machines, and news of those that are over."""

from __future__ import annotations

import asyncio


class Evaluations:
    """Wakes the leader's evaluation loop, and those who wait for what it has decided."""

    def __init__(self) -> None:
        self.count = 0  # how many are over
        self._requested = asyncio.Event()
        self._progress = asyncio.Event()

    def request(self) -> None:
        """Something changed: evaluate again soon."""
        self._requested.set()

    async def requested(self, timeout: float) -> None:
        """Wait for a request, but no longer than ``timeout``."""
        await _happened(self._requested, timeout)
        self._requested.clear()

    def finished(self) -> None:
        """One evaluation is over."""
        self.count += 1
        self.progressed()

    def progressed(self) -> None:
        """An evaluation or a commit is over: answers that wait for one go on."""
        self._progress.set()
        self._progress = asyncio.Event()

    async def progress(self, timeout: float) -> bool:
        """Whether an evaluation or a commit ended within ``timeout``."""
        return await _happened(self._progress, timeout)


async def _happened(event: asyncio.Event, timeout: float) -> bool:
    try:
        async with asyncio.timeout(timeout):
            return await event.wait()
    except TimeoutError:
        return False
