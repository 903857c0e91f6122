"""An attempt to run a call at one agent, and the queue of updates about attempts."""

import asyncio
from collections import deque
from dataclasses import dataclass

from almondspan_service.call_spec import BodyFailure
from almondspan_service.runner_table import RunnerRow
from almondspan_service.send_credit import SendCredit
from almondspan_wire.service_messages import AnswerData, AnswerHead, CallEnded

__all__ = ["AgentLost", "AttemptUpdate", "Attempt", "AttemptEvent", "UpdateQueue"]


@dataclass(frozen=True, slots=True)
class AgentLost:
    """The channel to the attempt's agent was lost."""


AttemptEvent = AnswerHead | AnswerData | CallEnded | AgentLost | BodyFailure


class Attempt:
    """An attempt to run a call at one runner.

    ``call_id`` identifies it in messages to and from the agent. ``body_task`` sends
    the rest of the request's body. ``is_lost`` is set while the agent is unreachable.
    """

    __slots__ = (
        "body_task",
        "call_id",
        "is_hedge",
        "is_lost",
        "is_open",
        "next_sequence",
        "request_credit",
        "row",
        "sent_s",
        "updates",
    )

    def __init__(
        self,
        call_id: int,
        row: RunnerRow,
        updates: "UpdateQueue",
        request_credit: SendCredit,
        sent_s: float,
    ) -> None:
        self.call_id = call_id
        self.row = row
        self.updates = updates
        self.request_credit = request_credit
        self.sent_s = sent_s
        self.next_sequence = 0
        self.is_open = True
        self.is_hedge = False
        self.is_lost = False
        self.body_task: asyncio.Task[None] | None = None


@dataclass(frozen=True, slots=True)
class AttemptUpdate:
    """A message about an attempt, or a failure of it."""

    attempt: Attempt
    event: AttemptEvent


class UpdateQueue:
    """Updates about all attempts of one call, with a single reader."""

    __slots__ = ("_items", "_waiter")

    def __init__(self) -> None:
        self._items: deque[AttemptUpdate] = deque()
        self._waiter: asyncio.Future[None] | None = None

    def put(self, update: AttemptUpdate) -> None:
        """Append an update."""
        self._items.append(update)
        if self._waiter is not None:
            _wake(self._waiter)

    async def next(self, until_s: float) -> AttemptUpdate | None:
        """Return the next update, or None when there is none until `until_s`."""
        if not self._items:
            loop = asyncio.get_running_loop()
            waiter = self._waiter = loop.create_future()
            timer = loop.call_at(until_s, _wake, waiter)
            try:
                await waiter
            finally:
                timer.cancel()
                self._waiter = None
        return self._items.popleft() if self._items else None


def _wake(waiter: asyncio.Future[None]) -> None:
    if not waiter.done():
        waiter.set_result(None)
