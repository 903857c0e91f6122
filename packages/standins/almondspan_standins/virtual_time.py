"""Event loops with virtual time, with and without real sockets.

`VirtualTimeLoop` never sleeps; when all tasks wait, its clock jumps to the next timer.
If all tasks wait and there is no timer, it raises, since the program would hang.

With real sockets, data may be on its way between two sockets while all tasks wait. The
clock of `SocketTimeLoop` therefore moves in small steps, each after a short real wait.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, Final, TypeVar

__all__ = [
    "SocketTimeLoop",
    "VirtualTimeLoop",
    "run_in_virtual_time",
    "run_with_sockets",
]

START_S: Final = 1000.0

SOCKET_WAIT_S: Final = 0.004
"""Real time for which sockets are polled before the virtual clock moves."""
MAX_STEP_S: Final = 0.05
"""The largest step of the virtual clock while sockets are in use."""

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


class _SteppingSelector(_SkippingSelector):
    """Polls the sockets for a short real time before it adds up a step."""

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return the ready file objects, or add a step of virtual time."""
        left_s = MAX_STEP_S if timeout is None else max(timeout, 0.0)
        ready = selectors.SelectSelector.select(self, min(left_s, SOCKET_WAIT_S))
        if not ready:
            self.skipped_s += min(left_s, MAX_STEP_S)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose virtual clock starts at `START_S`."""

    def __init__(self, selector: _SkippingSelector | None = None) -> None:
        self._skipping: Final = selector or _SkippingSelector()
        super().__init__(self._skipping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return START_S + self._skipping.skipped_s


class SocketTimeLoop(VirtualTimeLoop):
    """An event loop with virtual time for tasks that use real sockets."""

    def __init__(self) -> None:
        super().__init__(_SteppingSelector())


def run_in_virtual_time(main: Coroutine[Any, Any, Result]) -> Result:
    """Run `main`, which uses no sockets, to its end and return its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)


def run_with_sockets(main: Coroutine[Any, Any, Result]) -> Result:
    """Run `main`, which may use sockets, to its end and return its result."""
    with asyncio.Runner(loop_factory=SocketTimeLoop) as runner:
        return runner.run(main)
