"""Executes the owner's commands at the worker of an agent.

Commands run concurrently with the polls; `CommandSlots` limits how many. A start that
waits is sent only if it still may be, and a stop of its attempt withdraws it. A
revocation is answered only when a poll that began after the worker's answer to the stop
lists all ends, and the attempt as running no longer. The fence of a command is the
epoch of the owner that sent it, and only that owner gets the answer.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any, Final, NamedTuple

from almondspan_jobs.agent_state import AgentState, KnownIncarnation
from almondspan_jobs.clocks import steady_s
from almondspan_jobs.command_slots import CommandSlots
from almondspan_jobs.event_log import EventLog
from almondspan_jobs.messages import (
    AttemptRevoked,
    StartCommand,
    StartReply,
    StopCommand,
)
from almondspan_jobs.metrics import Metrics
from almondspan_jobs.options import JobOptions
from almondspan_jobs.pacing import WorkerPacing
from almondspan_jobs.worker_polls import WorkerPolls
from almondspan_platform.task_worker import (
    StartAnswer,
    StartTask,
    TaskWorker,
    Verdict,
    WorkerPoll,
)
from almondspan_wire.codec import Message

__all__ = ["WorkerCommands"]


DRAIN_S: Final = 0.6
"""How long commands may take at the worker when the agent shuts down."""


class _AttemptKey(NamedTuple):
    """Identifies the start of an attempt by the owner of an epoch."""

    task: str
    attempt: int
    epoch: int


class WorkerCommands:
    """The commands of one worker."""

    def __init__(
        self,
        worker: TaskWorker,
        state: AgentState,
        polls: WorkerPolls,
        pacing: WorkerPacing,
        options: JobOptions,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._worker: Final = worker
        self._state: Final = state
        self._polls: Final = polls
        self._pacing: Final = pacing
        self._options: Final = options
        self._log: Final = log
        self._metrics: Final = metrics
        n_slots = options.max_concurrent_commands
        self._start_slots: Final[CommandSlots[_AttemptKey]] = CommandSlots(n_slots)
        self._stop_slots: Final[CommandSlots[tuple[StopCommand, int]]] = CommandSlots(
            n_slots
        )
        self._tasks: Final[set[asyncio.Task[None]]] = set()
        self._is_draining = False

    async def drain(self) -> None:
        """Refuse starts that are not sent yet, and wait for the commands at the worker.

        Without their answers the owner would not know what became of them.
        """
        self._is_draining = True
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=DRAIN_S)

    async def close(self) -> None:
        """Cancel the commands under way."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def on_start(self, command: StartCommand, epoch: int) -> None:
        """Execute a start command of the owner of an epoch."""
        self._spawn(self._start_task(command, epoch))

    def on_stop(self, command: StopCommand, epoch: int) -> None:
        """Execute a stop command of the owner of an epoch."""
        self._spawn(self._stop_task(command, epoch))

    def _spawn(self, body: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(body)
        self._tasks.add(task)
        task.add_done_callback(self._on_command_done)

    def _on_command_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.line("order_broken", error=repr(task.exception()))

    def _reply(self, epoch: int, body: Message) -> None:
        """Answer a command, unless its owner has been replaced.

        The later owner would take the answer for that to a command of its own.
        """
        if epoch == self._state.epoch:
            self._state.post(body)
        else:
            self._log.line(
                "reply_dropped",
                kind=type(body).__name__,
                epoch=epoch,
                known=self._state.epoch,
            )

    async def _start_task(self, command: StartCommand, epoch: int) -> None:
        incarnation = self._state.incarnation
        name = command.traits.task
        key = _AttemptKey(name, command.attempt, epoch)
        if self._start_slots.is_waiting(key):
            # The command was sent again; the one that waits gets the answer.
            return
        verdict, is_proven = self._refusal(command), False
        if verdict is None:
            verdict, is_proven = await self._send_in_turn(command, key)
        self._metrics.count(f"start_{verdict.value}")
        self._log.line(
            "start_answered",
            task=name,
            attempt=command.attempt,
            born=command.started_ms,
            fence=epoch,
            verdict=verdict.value,
            proven=is_proven,
        )
        reply = StartReply(
            command.started_ms, name, command.attempt, verdict.value, is_proven
        )
        self._reply(epoch, reply)
        if verdict is Verdict.DONE and incarnation is not None:
            await self._pacing.pace_after_start(
                incarnation.state.worker_id,
                command.traits,
                command.attempt,
                epoch,
            )
            if command.is_trial:
                await self._list_after_trial(incarnation, epoch)

    async def _send_in_turn(
        self, command: StartCommand, key: _AttemptKey
    ) -> tuple[Verdict, bool]:
        """Send a start once it has a slot; return its verdict and if that is proven."""
        if not await self._start_slots.acquire(key):
            return Verdict.NOT_TAKEN, False
        try:
            # What allowed the start before the wait may have changed.
            verdict = self._refusal(command)
            if verdict is not None:
                return verdict, False
            incarnation = self._state.incarnation
            sent_s = steady_s()
            answer = await self._send_start(command, key.epoch)
            return answer.verdict, self._is_proven(incarnation, answer, sent_s)
        finally:
            self._start_slots.release()

    def _refusal(self, command: StartCommand) -> Verdict | None:
        """Return why a start must not be sent to the worker; None if it may be."""
        incarnation = self._state.incarnation
        if incarnation is None or incarnation.state.started_ms != command.started_ms:
            return Verdict.OTHER_INCARNATION
        is_silent = bool(incarnation.failed_verdict)
        if incarnation.state.is_leaving or is_silent or self._state.channel is None:
            return Verdict.NOT_TAKEN
        if self._is_draining or incarnation.state.place in self._state.evacuated:
            return Verdict.NOT_TAKEN
        return None

    def _is_proven(
        self, incarnation: KnownIncarnation | None, answer: StartAnswer, sent_s: float
    ) -> bool:
        """Return whether the answer to a start came from this incarnation."""
        if incarnation is None or incarnation.clock is None:
            return False
        return answer.verdict is Verdict.DONE and incarnation.clock.is_continued(
            answer.clock_ms, sent_s, self._options.clock_drift
        )

    async def _send_start(self, command: StartCommand, epoch: int) -> StartAnswer:
        incarnation = self._state.incarnation
        assert incarnation is not None
        return await self._worker.start_task(
            incarnation.state.worker_id,
            StartTask(
                command.traits.task,
                command.attempt,
                command.payload,
                command.checkpoint,
                command.until_ms,
                epoch,
            ),
        )

    async def _list_after_trial(
        self, incarnation: KnownIncarnation, epoch: int
    ) -> None:
        """List the worker's tasks once a task on trial has run long enough."""
        await asyncio.sleep(self._options.trial_list_s)
        poll = await self._worker.list_tasks(incarnation.state.worker_id, epoch)
        if isinstance(poll, WorkerPoll):
            if poll.started_ms == incarnation.state.started_ms:
                self._polls.forward(incarnation, poll)

    async def _stop_task(self, command: StopCommand, epoch: int) -> None:
        self._withdraw_starts(command)
        incarnation = self._state.incarnation
        key = (command, epoch)
        if incarnation is None or self._stop_slots.is_waiting(key):
            return
        await self._stop_slots.acquire(key)
        try:
            verdict = await self._worker.stop_task(
                incarnation.state.worker_id, command.task, command.attempt, epoch
            )
        finally:
            self._stop_slots.release()
        self._log.line(
            "stop_answered",
            task=command.task,
            attempt=command.attempt,
            void=command.is_revocation,
            verdict=verdict.value,
        )
        if command.is_revocation and verdict is Verdict.DONE:
            await self._confirm_revocation(incarnation, command, epoch)

    def _withdraw_starts(self, stop: StopCommand) -> None:
        """Withdraw the waiting starts of an attempt that is to be stopped."""
        withdrawn = self._start_slots.withdraw(
            lambda start: start.task == stop.task and start.attempt <= stop.attempt
        )
        for start in withdrawn:
            self._log.line(
                "start_withdrawn",
                task=start.task,
                attempt=start.attempt,
                fence=start.epoch,
            )

    async def _confirm_revocation(
        self, incarnation: KnownIncarnation, command: StopCommand, epoch: int
    ) -> None:
        """Answer a revocation if a new poll shows that the attempt is absent.

        An attempt that is in neither list may have ended if some ends are not listed.
        The owner asks again.
        """
        poll = await self._worker.list_tasks(incarnation.state.worker_id, epoch)
        if (
            not isinstance(poll, WorkerPoll)
            or poll.started_ms != incarnation.state.started_ms
        ):
            return
        listing = self._polls.forward(incarnation, poll)
        is_running = any(
            (task.task, task.attempt) == (command.task, command.attempt)
            for task in poll.running
        )
        if listing.lists_all_ends and not is_running:
            self._reply(
                epoch, AttemptRevoked(poll.started_ms, command.task, command.attempt)
            )
