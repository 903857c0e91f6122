"""A set of asyncio tasks that run until their owner closes them.

An exception in such a task is a violated invariant: it is passed to the event loop's
exception handler, which stops the process.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any

__all__ = ["BackgroundTasks"]


class BackgroundTasks:
    """Starts asyncio tasks and cancels them together."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        return len(self._tasks)

    def spawn(self, work: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
        """Start a task that runs `work`."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    async def close(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = [task for task in self._tasks if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_done(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            context = {
                "message": "unhandled exception in a background task",
                "exception": error,
                "task": task,
            }
            task.get_loop().call_exception_handler(context)
