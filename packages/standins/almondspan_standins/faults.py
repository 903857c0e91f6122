"""Faults that a test sets on a stand-in, and the path that carries calls under them.

A `CallPath` stands for the connection of one in-memory client. A call is applied
after ``delay_s``; the client gives up after its own timeout, and a call that it
gave up on still takes effect later, as it would on a real service.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final, TypeVar

__all__ = ["CallFaults", "CallLost", "CallPath", "StoreFaults", "WorkerFaults"]

Answer = TypeVar("Answer")


@dataclass(frozen=True, slots=True)
class CallFaults:
    """Faults of any service.

    Attributes
    ----------
    outage : bool
        No call reaches the service.
    delay_s : float
        Time from the send of a call until it takes effect.
    lose_answer_share : float
        The share of calls, 0 to 1, that take effect but are never answered.
    """

    outage: bool = False
    delay_s: float = 0.0
    lose_answer_share: float = 0.0

    def loses_answer(self, rng: random.Random) -> bool:
        """Tell whether the answer of the next call is lost."""
        return self.lose_answer_share > 0 and rng.random() < self.lose_answer_share


@dataclass(frozen=True, slots=True)
class StoreFaults(CallFaults):
    """Faults of the store; ``watch_silent`` stops events and progress notices."""

    watch_silent: bool = False


@dataclass(frozen=True, slots=True)
class WorkerFaults(CallFaults):
    """Faults of a worker; with ``fail_all`` every attempt that ends has failed."""

    fail_all: bool = False


@dataclass(frozen=True, slots=True)
class CallLost:
    """A call without an answer."""

    reason: str
    may_have_applied: bool


class CallPath:
    """Carries the calls of one in-memory client."""

    def __init__(self, timeout_s: float, rng: random.Random) -> None:
        self._timeout_s: Final = timeout_s
        self._rng: Final = rng
        self._waiters: set[asyncio.Future[Any]] = set()
        self._is_closed = False

    async def call(
        self, faults: CallFaults, operation: Callable[[], Answer]
    ) -> Answer | CallLost:
        """Apply `operation` under `faults` and return its answer."""
        await asyncio.sleep(0)
        if self._is_closed:
            return CallLost("the client is closed", may_have_applied=False)
        if faults.outage:
            return CallLost("outage", may_have_applied=False)
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[Answer | CallLost] = loop.create_future()
        self._waiters.add(waiter)
        lost = CallLost("no answer in time", may_have_applied=True)
        timer = loop.call_later(self._timeout_s, _settle, waiter, lost)
        loop.call_later(faults.delay_s, self._apply, faults, operation, waiter)
        try:
            return await waiter
        finally:
            timer.cancel()
            self._waiters.discard(waiter)

    def close(self) -> None:
        """End every pending call; calls under way may still take effect."""
        self._is_closed = True
        for waiter in self._waiters:
            _settle(waiter, CallLost("the client was closed", may_have_applied=True))

    def _apply(
        self,
        faults: CallFaults,
        operation: Callable[[], Answer],
        waiter: "asyncio.Future[Answer | CallLost]",
    ) -> None:
        answer = operation()
        if faults.loses_answer(self._rng):
            lost = CallLost("the answer was lost", may_have_applied=True)
            _settle(waiter, lost)
        else:
            _settle(waiter, answer)


def _settle(waiter: "asyncio.Future[Any]", answer: object) -> None:
    if not waiter.done():
        waiter.set_result(answer)
