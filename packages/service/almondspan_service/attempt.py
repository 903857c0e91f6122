"""One sending of a call to one agent, and the mailbox of its answers."""

import asyncio
from collections import deque
from dataclasses import dataclass

from almondspan_service.call_spec import BodyBroken
from almondspan_service.credit import Credit
from almondspan_service.runner_table import RunnerRow
from almondspan_wire.service_messages import AnswerData, AnswerHead, CallEnded

__all__ = ["AgentLost", "Arrival", "Attempt", "AttemptEvent", "Mailbox"]


@dataclass(frozen=True, slots=True)
class AgentLost:
    """The channel that carried the attempt is gone."""


AttemptEvent = AnswerHead | AnswerData | CallEnded | AgentLost | BodyBroken


class Attempt:
    """One sending of a call; its answers are found by its call number."""

    __slots__ = (
        "call_id",
        "is_hedge",
        "is_open",
        "lost",
        "mailbox",
        "next_sequence",
        "pump",
        "request_credit",
        "row",
        "sent_s",
    )

    def __init__(
        self,
        call_id: int,
        row: RunnerRow,
        mailbox: "Mailbox",
        request_credit: Credit,
        sent_s: float,
    ) -> None:
        self.call_id = call_id
        self.row = row
        self.mailbox = mailbox
        self.request_credit = request_credit
        self.sent_s = sent_s
        self.next_sequence = 0
        self.is_open = True
        self.is_hedge = False
        self.lost = False
        self.pump: asyncio.Task[None] | None = None


@dataclass(frozen=True, slots=True)
class Arrival:
    """Something that happened to an attempt."""

    attempt: Attempt
    event: AttemptEvent


class Mailbox:
    """Arrivals of all attempts of one call; one reader."""

    __slots__ = ("_arrivals", "_waiter")

    def __init__(self) -> None:
        self._arrivals: deque[Arrival] = deque()
        self._waiter: asyncio.Future[None] | None = None

    def put(self, arrival: Arrival) -> None:
        """Add an arrival."""
        self._arrivals.append(arrival)
        if self._waiter is not None:
            _wake(self._waiter)

    async def next(self, until_s: float) -> Arrival | None:
        """Return the next arrival; None when there is none until `until_s`."""
        if not self._arrivals:
            loop = asyncio.get_running_loop()
            waiter = self._waiter = loop.create_future()
            timer = loop.call_at(until_s, _wake, waiter)
            try:
                await waiter
            finally:
                timer.cancel()
                self._waiter = None
        return self._arrivals.popleft() if self._arrivals else None


def _wake(waiter: asyncio.Future[None]) -> None:
    if not waiter.done():
        waiter.set_result(None)
