"""Signals to and from the evaluation loop: requests for an evaluation, and progress."""

from __future__ import annotations

import asyncio


class EvaluationSignals:
    """Passes requests to the leader's evaluation loop, and its progress to coroutines that wait for it.

    Attributes:
        finished_count: the number of evaluations finished in this term.
    """

    def __init__(self) -> None:
        self.finished_count = 0
        self._requested = asyncio.Event()
        self._progress = asyncio.Event()  # replaced when set, so that later waits block again

    def request(self) -> None:
        """Request an evaluation; one evaluation serves all requests made before it."""
        self._requested.set()

    async def wait_for_request(self, timeout_s: float) -> None:
        """Return at the next request, or after ``timeout_s`` without one."""
        await _is_set_within(self._requested, timeout_s)
        self._requested.clear()

    def record_finished(self) -> None:
        """Count a finished evaluation and notify the waiting coroutines."""
        self.finished_count += 1
        self.notify_progress()

    def notify_progress(self) -> None:
        """Resume the coroutines that wait for a finished evaluation or a commit of its records."""
        self._progress.set()
        self._progress = asyncio.Event()

    async def wait_for_progress(self, timeout_s: float) -> bool:
        """Wait for progress; return whether an evaluation or a commit finished within ``timeout_s``."""
        return await _is_set_within(self._progress, timeout_s)


async def _is_set_within(event: asyncio.Event, timeout_s: float) -> bool:
    try:
        async with asyncio.timeout(timeout_s):
            return await event.wait()
    except TimeoutError:
        return False
