"""Event loop with virtual time, for tests without real sockets.

The loop never sleeps; when all tasks wait, its clock jumps to the next timer. If all
tasks wait and there is no timer, it raises, since the program would hang.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, Final, TypeVar

__all__ = ["VirtualTimeLoop", "run_in_virtual_time"]

START_S: Final = 1000.0

Result = TypeVar("Result")


class _SkippingSelector(selectors.SelectSelector):
    """Adds up the time that the loop would sleep instead of sleeping."""

    skipped_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return the ready file objects without waiting."""
        if timeout is None:
            raise RuntimeError("deadlock: all tasks wait and no timer is set")
        self.skipped_s += max(timeout, 0.0)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose virtual clock starts at `START_S`."""

    def __init__(self) -> None:
        self._skipping: Final = _SkippingSelector()
        super().__init__(self._skipping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return START_S + self._skipping.skipped_s


def run_in_virtual_time(main: Coroutine[Any, Any, Result]) -> Result:
    """Run `main` to its end and return its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
