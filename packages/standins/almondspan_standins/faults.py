"""Faults that tests inject into the stand-ins.

A `FaultyConnection` simulates the connection of one in-memory client under these
faults. A call is applied after ``delay_s``. The client stops waiting after its own
timeout, but the call still takes effect later, as it would on a real service.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final, TypeVar

__all__ = ["CallFaults", "CallLost", "FaultyConnection", "StoreFaults", "WorkerFaults"]

Answer = TypeVar("Answer")


@dataclass(frozen=True, slots=True)
class CallFaults:
    """Faults that every service can have.

    Attributes
    ----------
    outage : bool
        No call reaches the service.
    delay_s : float
        Time from sending a call until it takes effect.
    lose_answer_share : float
        Share of calls, 0 to 1, that take effect without a response.
    """

    outage: bool = False
    delay_s: float = 0.0
    lose_answer_share: float = 0.0

    def loses_answer(self, rng: random.Random) -> bool:
        """Return whether the response to the next call is lost."""
        return self.lose_answer_share > 0 and rng.random() < self.lose_answer_share


@dataclass(frozen=True, slots=True)
class StoreFaults(CallFaults):
    """Faults of the store; ``watch_silent`` stops events and progress notices."""

    watch_silent: bool = False


@dataclass(frozen=True, slots=True)
class WorkerFaults(CallFaults):
    """Faults of a worker; with ``fail_all`` every attempt ends as failed."""

    fail_all: bool = False


@dataclass(frozen=True, slots=True)
class CallLost:
    """A call without a response."""

    reason: str
    may_have_applied: bool


class FaultyConnection:
    """Delivers the calls of one in-memory client, with delays and losses."""

    def __init__(self, timeout_s: float, rng: random.Random) -> None:
        self._timeout_s: Final = timeout_s
        self._rng: Final = rng
        self._waiters: set[asyncio.Future[Any]] = set()
        self._is_closed = False

    async def call(
        self, faults: CallFaults, operation: Callable[[], Answer]
    ) -> Answer | CallLost:
        """Apply `operation` under `faults` and return its result."""
        await asyncio.sleep(0)
        if self._is_closed:
            return CallLost("the client is closed", may_have_applied=False)
        if faults.outage:
            return CallLost("outage", may_have_applied=False)
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[Answer | CallLost] = loop.create_future()
        self._waiters.add(waiter)
        lost = CallLost("no response within the timeout", may_have_applied=True)
        timer = loop.call_later(self._timeout_s, _resolve, waiter, lost)
        loop.call_later(faults.delay_s, self._apply, faults, operation, waiter)
        try:
            return await waiter
        finally:
            timer.cancel()
            self._waiters.discard(waiter)

    def close(self) -> None:
        """End all pending calls, which may still take effect."""
        self._is_closed = True
        for waiter in self._waiters:
            _resolve(waiter, CallLost("the client was closed", may_have_applied=True))

    def _apply(
        self,
        faults: CallFaults,
        operation: Callable[[], Answer],
        waiter: "asyncio.Future[Answer | CallLost]",
    ) -> None:
        answer = operation()
        if faults.loses_answer(self._rng):
            lost = CallLost("the response was lost", may_have_applied=True)
            _resolve(waiter, lost)
        else:
            _resolve(waiter, answer)


def _resolve(waiter: "asyncio.Future[Any]", answer: object) -> None:
    if not waiter.done():
        waiter.set_result(answer)
