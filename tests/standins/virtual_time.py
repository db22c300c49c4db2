"""An event loop whose virtual time jumps to the next timer: a simulated hour takes seconds and replays exactly."""

import asyncio
import contextvars
import selectors

# the simulated process that a callback belongs to; while the process is frozen, its callbacks don't run
OWNER = contextvars.ContextVar("owner", default=None)


class _VirtualTimeSelector(selectors.SelectSelector):
    """Selector that never blocks: it advances the virtual time by each timeout instead."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("deadlock in the simulation: no callback is ready and no timer is set")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self):
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self):
        return self._virtual_selector.now

    def call_soon(self, callback, *args, context=None):
        return self._schedule_for_owner(super().call_soon, (), callback, args, context)

    def call_at(self, when, callback, *args, context=None):
        return self._schedule_for_owner(super().call_at, (when,), callback, args, context)

    def _schedule_for_owner(self, schedule, when, callback, args, context):
        owner = OWNER.get() if context is None else context.get(OWNER)
        if owner is None:
            return schedule(*when, callback, *args, context=context)
        handles = []
        handles.append(schedule(*when, self._run_or_defer, owner, handles, callback, args, context=context))
        return handles[0]

    def _run_or_defer(self, owner, handles, callback, args):
        """Run a callback, or defer it to the end of its process's freeze; clocks advance meanwhile."""
        if handles[0].cancelled():
            return
        if owner.frozen_until > self.time():
            super().call_at(owner.frozen_until, self._run_or_defer, owner, handles, callback, args)
        else:
            callback(*args)


def run(main):
    """Run a coroutine in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
