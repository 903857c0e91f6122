"""Runs coroutines in virtual time: sleeping advances the clock without waiting."""

import asyncio
import selectors


class _SkippingSelector(selectors.SelectSelector):
    skipped_s = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("deadlock: every task waits without a time-out")
        self.skipped_s += max(0.0, timeout)
        return super().select(0)


class _VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self):
        self._skipping = _SkippingSelector()
        super().__init__(self._skipping)

    def time(self):
        return 1000.0 + self._skipping.skipped_s


def run_virtual(coroutine):
    """Run a coroutine to completion and return its result."""
    loop = _VirtualLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.close()
