"""Restarts the tasks that run as long as their process.

Input is checked where it is decoded. Should a task fail on it all the same, it is run
again after a pause: a link, a watch or a poll that ended would stop the work of its
process without ending the process.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from almondspan_jobs.event_log import EventLog

__all__ = ["MAX_ERROR_CHARS", "keep_running"]

MAX_ERROR_CHARS: Final = 400
"""Longest error in a log line; an error may quote the whole input."""


async def keep_running(
    name: str, body: Callable[[], Awaitable[None]], pause_s: float, log: EventLog
) -> None:
    """Run `body` until it returns, again after each error."""
    while True:
        try:
            await body()
            return
        except Exception as error:
            log.line("task_failed", task=name, error=repr(error)[:MAX_ERROR_CHARS])
        await asyncio.sleep(pause_s)
