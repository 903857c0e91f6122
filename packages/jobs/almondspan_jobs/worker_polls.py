"""Polls the worker of an agent one time after another, and forwards what it lists.

Each poll waits at the worker for a task to end. It carries the lease and the
acknowledged ends from the owner, and its result is forwarded to the owner. The first of
several failed polls is reported to the owner. Without an owner no lease is extended.
"""

import asyncio
from typing import Final

from almondspan_decisions.clock_reading import ClockReading
from almondspan_jobs.agent_state import AgentState, KnownIncarnation
from almondspan_jobs.clocks import steady_s
from almondspan_jobs.event_log import EventLog
from almondspan_jobs.listings import make_listing
from almondspan_jobs.messages import WorkerListing, WorkerUnreachable
from almondspan_jobs.metrics import Metrics
from almondspan_jobs.options import JobOptions
from almondspan_jobs.pacing import WorkerPacing
from almondspan_jobs.supervision import keep_running
from almondspan_platform.task_worker import (
    PollFailed,
    PollRequest,
    TaskWorker,
    Verdict,
    WorkerPoll,
)

__all__ = ["WorkerPolls"]


class WorkerPolls:
    """The polls of one worker."""

    def __init__(
        self,
        worker: TaskWorker,
        state: AgentState,
        pacing: WorkerPacing,
        options: JobOptions,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._worker: Final = worker
        self._state: Final = state
        self._pacing: Final = pacing
        self._options: Final = options
        self._log: Final = log
        self._metrics: Final = metrics
        self._n_listings = 0
        self._changed: Final = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to poll."""
        self._task = asyncio.create_task(
            keep_running(
                "polls", self._poll_loop, self._options.poll_retry_s, self._log
            )
        )

    async def close(self) -> None:
        """Stop polling; the worker's lease then expires."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def wake(self) -> None:
        """Take up that the incarnation, the owner or its acknowledgements changed."""
        self._changed.set()

    def send_unreachable(self, incarnation: KnownIncarnation) -> None:
        """Tell the owner of the first failed poll since the latest listing."""
        if self._state.owner is not None and self._state.owner.accepts_unreachable:
            self._state.post(
                WorkerUnreachable(
                    incarnation.state.started_ms, incarnation.failed_verdict
                )
            )

    async def _poll_loop(self) -> None:
        while True:
            incarnation = self._state.incarnation
            if incarnation is None or self._state.channel is None:
                self._changed.clear()
                await self._changed.wait()
                continue
            poll = await self._poll(incarnation)
            incarnation.is_confirmed = (
                isinstance(poll, WorkerPoll)
                and poll.started_ms == incarnation.state.started_ms
            )
            if isinstance(poll, PollFailed):
                self._log.line(
                    "look_failed",
                    worker=incarnation.state.worker_id,
                    verdict=poll.verdict.value,
                    reason=poll.reason,
                )
                self._on_poll_failed(incarnation, poll.verdict)
                await asyncio.sleep(self._options.poll_retry_s)
                continue
            if poll.started_ms != incarnation.state.started_ms:
                self._log.line(
                    "look_of_other_life",
                    born=poll.started_ms,
                    known=incarnation.state.started_ms,
                )
                self._on_poll_failed(incarnation, Verdict.OTHER_INCARNATION)
                await asyncio.sleep(self._options.poll_retry_s)
                continue
            listing = self.forward(incarnation, poll)
            await self._pacing.pace_after_poll(
                incarnation.state.worker_id, poll, self._state.epoch
            )
            await self._wait_for_acknowledgement(incarnation, listing)

    async def _poll(self, incarnation: KnownIncarnation) -> WorkerPoll | PollFailed:
        wait_ms = (
            self._options.paced_poll_wait_ms
            if self._pacing.is_needed
            else self._options.poll_wait_ms
        )
        if incarnation.until_ms == 0 or incarnation.failed_verdict:
            wait_ms = 0
        self._metrics.count("looks")
        n_acknowledged = incarnation.n_acknowledged if incarnation.is_confirmed else 0
        return await self._worker.poll(
            incarnation.state.worker_id,
            PollRequest(
                self._state.epoch, n_acknowledged, incarnation.until_ms, wait_ms
            ),
        )

    def _on_poll_failed(self, incarnation: KnownIncarnation, verdict: Verdict) -> None:
        """Report the first failed poll since the latest listing."""
        if incarnation is self._state.incarnation and not incarnation.failed_verdict:
            incarnation.failed_verdict = verdict.value
            self.send_unreachable(incarnation)

    def forward(self, incarnation: KnownIncarnation, poll: WorkerPoll) -> WorkerListing:
        """Send a poll to the owner; return what is sent of it."""
        incarnation.clock = ClockReading(poll.clock_ms, steady_s())
        incarnation.failed_verdict = ""
        self._n_listings += 1
        listing = make_listing(poll, self._n_listings, is_paced=self._pacing.is_paced)
        self._state.post(listing)
        for end in poll.ended:
            if end.number > incarnation.n_listed:
                incarnation.n_listed = end.number
                self._pacing.forget_task(end.task)
                self._metrics.count(f"ended_{end.how.value}")
        return listing

    async def _wait_for_acknowledgement(
        self, incarnation: KnownIncarnation, listing: WorkerListing
    ) -> None:
        """Wait until listed ends are acknowledged, so that the next poll can wait."""
        if not listing.ended:
            return
        last = listing.ended[-1][0]
        until_s = steady_s() + self._options.acknowledge_wait_s
        while (
            incarnation is self._state.incarnation and incarnation.n_acknowledged < last
        ):
            left_s = until_s - steady_s()
            if left_s <= 0:
                return
            self._changed.clear()
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                return
