"""A tree of supervised asyncio tasks.

A child is a coroutine function that runs until it is cancelled. When it fails for an
external reason (an `OSError`, a timeout) or because of a bug in input handling, it is
restarted after an exponential back-off with jitter. When it breaks an invariant, the
whole tree fails and the process exits with the traceback.

Phases: `start` prepares the root; `spawn` adds a child; `close` stops the children in
reverse order, each before the next older one; `wait_failed` returns once an invariant
is broken anywhere in the process, including in tasks that no supervisor started.
"""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Final

__all__ = ["Supervisor", "is_broken_invariant", "watch_invariants"]

INITIAL_DELAY_S: Final = 0.1
MAX_DELAY_S: Final = 10.0
STABLE_S: Final = 30.0
"""Run time after which the back-off of a child starts again from the beginning."""

ChildMain = Callable[[], Awaitable[None]]

_log = logging.getLogger(__name__)


class Supervisor:
    """Runs children and restarts those that fail.

    ``parent`` counts the restarts of its child supervisors too.
    """

    def __init__(
        self, name: str, rng: random.Random, parent: "Supervisor | None" = None
    ) -> None:
        self._name = name
        self._rng = rng
        self._parent = parent
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._stopping: set[asyncio.Task[None]] = set()
        self._failure: asyncio.Future[BaseException] | None = None
        self.n_restarts = 0

    async def start(self) -> None:
        """Watch the event loop for broken invariants; only the root is started."""
        loop = asyncio.get_running_loop()
        self._failure = loop.create_future()
        watch_invariants(loop, self.fail)

    def child(self, name: str) -> "Supervisor":
        """Return a child supervisor; the caller closes it."""
        return Supervisor(f"{self._name}/{name}", self._rng, self)

    def spawn(self, name: str, main: ChildMain) -> None:
        """Run `main` as a child, replacing a child of the same name."""
        self.stop(name)
        task = asyncio.create_task(self._run_child(name, main), name=name)
        self._tasks[name] = task
        task.add_done_callback(lambda ended: self._discard(name, ended))

    def stop(self, name: str) -> None:
        """Cancel a child without waiting; `close` waits until it has ended."""
        task = self._tasks.pop(name, None)
        if task is not None:
            task.cancel()
            self._stopping.add(task)
            task.add_done_callback(self._stopping.discard)

    async def close(self) -> None:
        """Cancel the children, the youngest first, and wait for each in turn."""
        while self._tasks:
            _, task = self._tasks.popitem()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        await asyncio.gather(*self._stopping, return_exceptions=True)

    def _count_restart(self) -> None:
        self.n_restarts += 1
        if self._parent is not None:
            self._parent._count_restart()

    def _discard(self, name: str, ended: asyncio.Task[None]) -> None:
        if self._tasks.get(name) is ended:
            del self._tasks[name]

    def fail(self, error: BaseException) -> None:
        """Make `wait_failed` return `error`; only the first call has an effect."""
        if self._failure is not None and not self._failure.done():
            self._failure.set_result(error)

    async def wait_failed(self) -> BaseException:
        """Wait for a broken invariant and return its error."""
        assert self._failure is not None
        return await asyncio.shield(self._failure)

    async def _run_child(self, name: str, main: ChildMain) -> None:
        loop = asyncio.get_running_loop()
        delay_s = INITIAL_DELAY_S
        while True:
            started_s = loop.time()
            try:
                await main()
                return
            except Exception as error:
                if is_broken_invariant(error):
                    raise
                self._count_restart()
                _log.warning(
                    "child failed",
                    extra={"child": f"{self._name}/{name}", "error": repr(error)},
                    exc_info=error,
                )
            if loop.time() - started_s > STABLE_S:
                delay_s = INITIAL_DELAY_S
            await asyncio.sleep(delay_s * (0.5 + self._rng.random()))
            delay_s = min(2 * delay_s, MAX_DELAY_S)


def is_broken_invariant(error: BaseException) -> bool:
    """Return whether `error`, or an error in its group, is an `AssertionError`."""
    if isinstance(error, BaseExceptionGroup):
        return any(map(is_broken_invariant, error.exceptions))
    return isinstance(error, AssertionError)


def watch_invariants(
    loop: asyncio.AbstractEventLoop, on_broken: Callable[[BaseException], None]
) -> None:
    """Call `on_broken` with a broken invariant of any task or callback.

    Installs a task factory and an exception handler in the event loop.
    """

    def check(task: asyncio.Task[Any]) -> None:
        if task.cancelled():
            return
        error = task.exception()
        if error is not None and is_broken_invariant(error):
            on_broken(error)
        elif error is not None:
            _log.error("task failed", extra={"error": repr(error)}, exc_info=error)

    def make_task(
        loop: asyncio.AbstractEventLoop,
        main: Coroutine[Any, Any, Any],
        **options: Any,
    ) -> asyncio.Task[Any]:
        task = asyncio.Task(main, loop=loop, **options)
        task.add_done_callback(check)
        return task

    loop.set_task_factory(make_task)  # type: ignore[arg-type]

    def handle(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        if error is not None and is_broken_invariant(error):
            on_broken(error)
        loop.default_exception_handler(context)

    loop.set_exception_handler(handle)
