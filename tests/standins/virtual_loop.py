"""An event loop whose time jumps to the next timer, so that a simulated hour takes seconds and replays exactly."""

import asyncio
import selectors


class _Jump(selectors.SelectSelector):
    """Never waits: what would have been waited is added to the loop's time."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("nothing is left to happen")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self):
        self._jump = _Jump()
        super().__init__(self._jump)

    def time(self):
        return self._jump.now


def run(main):
    """Run a coroutine in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
