"""Checks with the worker itself what is reported of it.

A report tells who sent it by the sender's word only, and another writer may use the
address for reports. Believing in a new incarnation releases the tasks of the one
before, so it takes the worker's own word:

- A new incarnation is confirmed once the worker, asked as that incarnation, lists its
  tasks with the reported start time. It is denied when the worker names another start
  time or refuses the call as meant for another incarnation. Without such an answer it
  stays unconfirmed and the worker is asked again.
- A departure is confirmed once nothing listens at the worker's address. It is denied
  when the worker can still be called after `JobOptions.departure_check_s`.

Only the latest unconfirmed report is kept; reports come again with every heartbeat.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from almondspan_jobs.clocks import steady_s
from almondspan_jobs.event_log import EventLog
from almondspan_jobs.options import JobOptions
from almondspan_jobs.supervision import keep_running
from almondspan_platform.task_worker import (
    PollFailed,
    TaskWorker,
    Verdict,
    WorkerPoll,
    WorkerState,
)

__all__ = ["ReportCheck"]


class ReportCheck:
    """Confirms or denies the reported incarnations and departures of one worker."""

    def __init__(
        self,
        worker: TaskWorker,
        fence: Callable[[], int | None],
        on_confirmed: Callable[[WorkerState, WorkerPoll], None],
        on_departed: Callable[[WorkerState], None],
        options: JobOptions,
        log: EventLog,
    ) -> None:
        self._worker: Final = worker
        self._fence: Final = fence
        """Returns the fence of the connected owner; None if there is none."""
        self._on_confirmed: Final = on_confirmed
        self._on_departed: Final = on_departed
        self._options: Final = options
        self._log: Final = log
        self._reported: WorkerState | None = None
        """The latest report of an incarnation that is not confirmed."""
        self._changed: Final = asyncio.Event()
        self._incarnations_task: asyncio.Task[None] | None = None
        self._departure_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to confirm reported incarnations."""
        self._incarnations_task = asyncio.create_task(
            keep_running(
                "reports", self._confirm_loop, self._options.poll_retry_s, self._log
            )
        )

    async def close(self) -> None:
        """Stop all checks."""
        tasks = (self._incarnations_task, self._departure_task)
        running = [task for task in tasks if task is not None]
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    def wake(self) -> None:
        """Check what is reported, since the owner has changed."""
        self._changed.set()

    def check_incarnation(self, state: WorkerState) -> None:
        """Confirm a reported incarnation that is not the known one."""
        before = self._reported
        if before is None or before.identity != state.identity:
            self._log.line(
                "report_unconfirmed", worker=state.worker_id, born=state.started_ms
            )
        self._reported = state
        self._changed.set()

    def check_departure(self, state: WorkerState) -> None:
        """Confirm the reported departure of the known incarnation."""
        if self._departure_task is None or self._departure_task.done():
            self._departure_task = asyncio.create_task(self._confirm_departure(state))

    # Incarnations

    async def _confirm_loop(self) -> None:
        while True:
            fence = self._fence()
            if self._reported is None or fence is None:
                self._changed.clear()
                await self._changed.wait()
                continue
            asked = self._reported
            poll = await self._worker.list_tasks(asked.worker_id, fence)
            # A report that has come meanwhile may say more of the same incarnation.
            latest = self._reported
            if latest.identity != asked.identity:
                continue
            if _is_by_other(poll, asked):
                self._reported = None
                self._log_denial(asked, poll)
            elif isinstance(poll, WorkerPoll):
                self._reported = None
                self._on_confirmed(latest, poll)
            else:
                await asyncio.sleep(self._options.poll_retry_s)

    def _log_denial(self, state: WorkerState, poll: WorkerPoll | PollFailed) -> None:
        self._log.line(
            "report_denied",
            worker=state.worker_id,
            born=state.started_ms,
            service=state.service,
            answer=poll.reason
            if isinstance(poll, PollFailed)
            else f"born {poll.started_ms}",
        )

    # Departures

    async def _confirm_departure(self, state: WorkerState) -> None:
        until_s = steady_s() + self._options.departure_check_s
        while steady_s() < until_s:
            poll = await self._worker.list_tasks(state.worker_id, self._fence() or 0)
            if isinstance(poll, PollFailed) and poll.is_absent:
                self._on_departed(state)
                return
            if _is_by_other(poll, state):
                # What has ended shows with the report of the one that answers.
                return
            await asyncio.sleep(self._options.poll_retry_s)
        self._log.line("leave_denied", worker=state.worker_id, born=state.started_ms)


def _is_by_other(poll: WorkerPoll | PollFailed, asked: WorkerState) -> bool:
    """Return whether another incarnation than the asked one has answered."""
    if isinstance(poll, WorkerPoll):
        return poll.started_ms != asked.started_ms
    return poll.verdict is Verdict.OTHER_INCARNATION
