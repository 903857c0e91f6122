"""An event loop whose time passes only while every task waits.

For tests without real sockets: the loop never sleeps, it moves its time to the next
timer instead. A loop in which every task waits without a timer raises.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, Final, TypeVar

__all__ = ["VirtualTimeLoop", "run_in_virtual_time"]

START_S: Final = 1000.0

Result = TypeVar("Result")


class _SkippingSelector(selectors.SelectSelector):
    """Skips the time that the loop would sleep."""

    skipped_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return what is ready, without waiting."""
        if timeout is None:
            raise RuntimeError("every task waits and no timer is set")
        self.skipped_s += max(timeout, 0.0)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """A loop that begins at `START_S`."""

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
