"""An event loop with virtual time and simulated processes that can pause and die.

Time does not advance while callbacks run; it jumps to the next timer when no callback
is ready. A callback belongs to the process in whose context it was scheduled. While
that process is paused its callbacks are held back; when it resumes they all run, in
order, including late timers and answers. Callbacks of a dead process never run.
"""

import asyncio
import contextvars
import selectors
from collections.abc import Callable
from typing import Any

TIMER_STEP_S = 1e-12

PROCESS: contextvars.ContextVar["Process | None"] = contextvars.ContextVar(
    "process", default=None
)


class Process:
    """A process of the simulated system."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.is_paused = False
        self.is_dead = False
        self.held: list[_Call] = []
        self._context = contextvars.copy_context()
        self._context.run(PROCESS.set, self)

    def new_context(self) -> contextvars.Context:
        """Return a context in which callbacks belong to this process."""
        return self._context.copy()


class _Call:
    """A callback with the process that it belongs to."""

    __slots__ = ("args", "callback", "context", "handle", "process")

    def __init__(
        self,
        process: Process,
        callback: Callable[..., Any],
        args: tuple[Any, ...],
        context: contextvars.Context | None,
    ) -> None:
        self.process = process
        self.callback = callback
        self.args = args
        self.context = context
        self.handle: asyncio.Handle | None = None

    def run(self) -> None:
        if self.process.is_dead:
            return
        if self.process.is_paused:
            self.process.held.append(self)
            return
        self.callback(*self.args)


class _Selector(selectors.SelectSelector):
    """Advances the virtual time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.loop: VirtualLoop | None = None

    def select(self, timeout: float | None = None) -> list[Any]:
        assert self.loop is not None
        if timeout is None:
            raise RuntimeError("deadlock: no callback is ready and no timer is set")
        self.loop.now_s += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """The event loop with virtual time; its clock starts at 1000 s."""

    def __init__(self) -> None:
        selector = _Selector()
        super().__init__(selector)
        selector.loop = self
        self.now_s = 1000.0
        self._n_timers = 0
        self.errors: list[str] = []
        self.set_exception_handler(self._record_error)

    def time(self) -> float:
        return self.now_s

    def call_soon(self, callback, *args, context=None):  # type: ignore[no-untyped-def]
        if self.is_closed():
            # Coroutines of dead processes are garbage-collected after the loop closes.
            return asyncio.Handle(callback, args, self, context)
        call = _call_of(callback, args, context)
        if call is None:
            return super().call_soon(callback, *args, context=context)
        call.handle = super().call_soon(call.run, context=context)
        return call.handle

    def call_at(self, when, callback, *args, context=None):  # type: ignore[no-untyped-def]
        # Timers of one moment run in the order in which they were set.
        self._n_timers += 1
        when += self._n_timers * TIMER_STEP_S
        call = _call_of(callback, args, context)
        if call is None:
            return super().call_at(when, callback, *args, context=context)
        call.handle = super().call_at(when, call.run, context=context)
        return call.handle

    def resume(self, process: Process) -> None:
        """Resume a process: run the callbacks that were held back."""
        process.is_paused = False
        held, process.held = process.held, []
        for call in held:
            if call.handle is not None and not call.handle.cancelled():
                super().call_soon(call.run, context=call.context)

    def _record_error(self, loop: Any, context: dict[str, Any]) -> None:
        error = context.get("exception")
        if error is not None:
            self.errors.append(f"{context.get('message')}: {error!r}")


def _call_of(
    callback: Callable[..., Any],
    args: tuple[Any, ...],
    context: contextvars.Context | None,
) -> _Call | None:
    process = PROCESS.get() if context is None else context.get(PROCESS)
    if process is None:
        return None
    return _Call(process, callback, args, context)
