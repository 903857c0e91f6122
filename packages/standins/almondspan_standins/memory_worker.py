"""In-memory `Worker` client of a `WorkerCore` in the same process."""

import random
from collections.abc import Callable
from typing import Final, TypeVar

from almondspan_decisions.ids import TaskId
from almondspan_platform.worker import (
    StartAttempt,
    StartResult,
    WorkerAttempt,
    WorkerInfo,
    WorkerUnavailable,
    WorkerUsage,
)
from almondspan_standins.faults import CallLost, FaultyConnection
from almondspan_standins.worker_core import WorkerCore

__all__ = ["MemoryWorker"]

CALL_TIMEOUT_S: Final = 2.0

Answer = TypeVar("Answer")


class MemoryWorker:
    """An in-memory client; see `almondspan_platform.worker.Worker`."""

    def __init__(
        self,
        core: WorkerCore,
        call_timeout_s: float = CALL_TIMEOUT_S,
        rng: random.Random | None = None,
    ) -> None:
        self._core: Final = core
        self._connection: Final = FaultyConnection(
            call_timeout_s, rng or random.Random(1)
        )

    async def start(self) -> None:
        """Open the client."""

    async def close(self) -> None:
        """End pending calls."""
        self._connection.close()

    async def info(self) -> WorkerInfo | WorkerUnavailable:
        """Return the worker's capacity and lease time."""
        return await self._call(self._core.info)

    async def list_attempts(self) -> tuple[WorkerAttempt, ...] | WorkerUnavailable:
        """Return all attempts that were not forgotten."""
        return await self._call(self._core.list_attempts)

    async def start_attempt(
        self, request: StartAttempt
    ) -> StartResult | WorkerUnavailable:
        """Start an attempt; repeating the request does not start it again."""
        return await self._call(lambda: self._core.start_attempt(request))

    async def renew(
        self, attempts: tuple[tuple[TaskId, int], ...]
    ) -> tuple[tuple[TaskId, int], ...] | WorkerUnavailable:
        """Renew leases; return the attempts that do not run any more."""
        return await self._call(lambda: self._core.renew(attempts))

    async def throttle(
        self, task_id: TaskId, attempt: int, share: float
    ) -> bool | WorkerUnavailable:
        """Limit a task to a share of its shape."""
        return await self._call(lambda: self._core.throttle((task_id, attempt), share))

    async def checkpoint(
        self, task_id: TaskId, attempt: int
    ) -> bool | WorkerUnavailable:
        """Save a checkpoint, then stop the attempt."""
        return await self._call(lambda: self._core.checkpoint((task_id, attempt)))

    async def stop(self, task_id: TaskId, attempt: int) -> bool | WorkerUnavailable:
        """Stop an attempt at once."""
        return await self._call(lambda: self._core.stop((task_id, attempt)))

    async def forget(
        self, attempts: tuple[tuple[TaskId, int], ...]
    ) -> bool | WorkerUnavailable:
        """Remove ended attempts from the list."""
        return await self._call(lambda: self._core.forget(attempts))

    async def usage(self) -> WorkerUsage | WorkerUnavailable:
        """Return the resource usage, which lags behind."""
        return await self._call(self._core.usage)

    async def _call(
        self, operation: Callable[[], Answer]
    ) -> Answer | WorkerUnavailable:
        answer = await self._connection.call(self._core.faults, operation)
        if isinstance(answer, CallLost):
            return WorkerUnavailable(answer.reason, answer.may_have_applied)
        return answer
