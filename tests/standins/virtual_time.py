"""An event loop whose time jumps to the next timer, so that a simulated hour takes seconds and replays exactly."""

import asyncio
import contextvars
import selectors

OWNER = contextvars.ContextVar("owner", default=None)  # the process that a callback is part of; it may stand still


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

    def call_soon(self, callback, *args, context=None):
        return self._owned(super().call_soon, (), callback, args, context)

    def call_at(self, when, callback, *args, context=None):
        return self._owned(super().call_at, (when,), callback, args, context)

    def _owned(self, schedule, when, callback, args, context):
        owner = OWNER.get() if context is None else context.get(OWNER)
        if owner is None:
            return schedule(*when, callback, *args, context=context)
        handles = []
        handles.append(schedule(*when, self._run_or_hold, owner, handles, callback, args, context=context))
        return handles[0]

    def _run_or_hold(self, owner, handles, callback, args):
        """What comes due while its process stands still happens when that goes on, clocks having run on."""
        if handles[0].cancelled():
            return
        if owner.frozen_until > self.time():
            super().call_at(owner.frozen_until, self._run_or_hold, owner, handles, callback, args)
        else:
            callback(*args)


def run(main):
    """Run a coroutine in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
