"""An event loop with virtual time, which advances only while all tasks wait."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class _SkippingSelector(selectors.SelectSelector):
    """Advances the virtual time instead of sleeping."""

    skipped_s = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("deadlock: every task waits and no timer is set")
        self.skipped_s += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time starts at 1000 s and which never sleeps."""

    def __init__(self) -> None:
        self._skipping = _SkippingSelector()
        super().__init__(self._skipping)

    def time(self) -> float:
        return 1000.0 + self._skipping.skipped_s


def run_virtual(work: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to its end in virtual time."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(work)
    finally:
        loop.run_until_complete(_cancel_rest())
        loop.close()


async def _cancel_rest() -> None:
    rest = asyncio.all_tasks() - {asyncio.current_task()}
    for task in rest:
        task.cancel()
    await asyncio.gather(*rest, return_exceptions=True)
