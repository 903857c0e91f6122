"""The worker adapter ``http_json``: a worker's API as JSON over HTTP.

A call without an answer is sent once more over a new connection if its deadline
permits; if that is not answered either, the call returns `WorkerUnavailable` and may
have taken effect. A start is sent again only if the first send cannot have taken
effect: the worker could refuse the second send and then accept the delayed first one,
and the caller would believe that a running attempt was refused.
"""

from dataclasses import dataclass, field
from typing import Any, Final, TypeVar

import msgspec

from almondspan_decisions.decoding import DECODE_ERRORS, decode_reason
from almondspan_decisions.ids import TaskId
from almondspan_platform.http_calls import CallFailed, HttpCaller, HttpOptions
from almondspan_platform.registry import (
    DEFAULT_LIMITS,
    CallLimits,
    TlsSource,
    worker_adapter,
)
from almondspan_platform.worker import (
    StartAttempt,
    StartResult,
    Worker,
    WorkerAttempt,
    WorkerInfo,
    WorkerUnavailable,
    WorkerUsage,
)
from almondspan_platform.worker_messages import (
    AttemptRef,
    AttemptRefs,
    ChangeResult,
    Started,
    ThrottleRequest,
)

__all__ = ["HttpJsonWorker", "HttpJsonWorkerOptions"]

N_TRIES: Final = 2
"""Maximum number of sends of one call."""

START_PATH: Final = "attempts/start"

Response = TypeVar("Response")


def _http_options() -> HttpOptions:
    return HttpOptions(n_connections=8)


@dataclass(frozen=True, slots=True)
class HttpJsonWorkerOptions:
    """Limits of one client; ``try_timeout_s`` is the time limit of one send."""

    limits: CallLimits = field(default_factory=CallLimits)
    try_timeout_s: float = 1.0
    http: HttpOptions = field(default_factory=_http_options)


class HttpJsonWorker:
    """A client that implements `almondspan_platform.worker.Worker`."""

    def __init__(
        self,
        address: str,
        options: HttpJsonWorkerOptions = HttpJsonWorkerOptions(),
        tls: TlsSource | None = None,
    ) -> None:
        self._address: Final = address
        self._options: Final = options
        self._caller: Final = HttpCaller(options.limits, options.http, tls)
        self.n_failed = 0

    @property
    def n_sent(self) -> int:
        """Return the number of sends, including repetitions."""
        return self._caller.n_calls

    async def start(self) -> None:
        """Open the client."""
        await self._caller.start()

    async def close(self) -> None:
        """Close all connections."""
        await self._caller.close()

    async def info(self) -> WorkerInfo | WorkerUnavailable:
        """Return the worker's capacity and lease time."""
        return await self._call("GET", "info", None, WorkerInfo)

    async def list_attempts(self) -> tuple[WorkerAttempt, ...] | WorkerUnavailable:
        """Return all running attempts and the ended ones that were not forgotten."""
        return await self._call("GET", "attempts", None, tuple[WorkerAttempt, ...])

    async def start_attempt(
        self, request: StartAttempt
    ) -> StartResult | WorkerUnavailable:
        """Start an attempt; repeated calls start it only once."""
        answer = await self._call("POST", START_PATH, request, Started)
        return answer if isinstance(answer, WorkerUnavailable) else answer.result

    async def renew(
        self, attempts: tuple[tuple[TaskId, int], ...]
    ) -> tuple[tuple[TaskId, int], ...] | WorkerUnavailable:
        """Renew leases; return those of the attempts that no longer run."""
        body = AttemptRefs.of(attempts)
        answer = await self._call("POST", "attempts/renew", body, AttemptRefs)
        return answer if isinstance(answer, WorkerUnavailable) else answer.keys()

    async def throttle(
        self, task_id: TaskId, attempt: int, share: float
    ) -> bool | WorkerUnavailable:
        """Limit a task to a share of its shape."""
        return await self._change("throttle", ThrottleRequest(task_id, attempt, share))

    async def checkpoint(
        self, task_id: TaskId, attempt: int
    ) -> bool | WorkerUnavailable:
        """Save a checkpoint, then stop."""
        return await self._change("checkpoint", AttemptRef(task_id, attempt))

    async def stop(self, task_id: TaskId, attempt: int) -> bool | WorkerUnavailable:
        """Stop at once."""
        return await self._change("stop", AttemptRef(task_id, attempt))

    async def forget(
        self, attempts: tuple[tuple[TaskId, int], ...]
    ) -> bool | WorkerUnavailable:
        """Remove ended attempts from the list."""
        return await self._change("forget", AttemptRefs.of(attempts))

    async def usage(self) -> WorkerUsage | WorkerUnavailable:
        """Return the latest measured usage."""
        return await self._call("GET", "usage", None, WorkerUsage)

    async def _change(
        self, verb: str, request: msgspec.Struct
    ) -> bool | WorkerUnavailable:
        answer = await self._call("POST", f"attempts/{verb}", request, ChangeResult)
        return answer if isinstance(answer, WorkerUnavailable) else answer.took

    async def _call(
        self, method: str, path: str, request: Any, response_type: type[Response]
    ) -> Response | WorkerUnavailable:
        body = None if request is None else msgspec.json.encode(request)
        deadline_s = self._caller.deadline_s()
        may_have_applied = False
        reason = ""
        for _ in range(N_TRIES):
            answer = await self._send(method, path, body, deadline_s)
            if not isinstance(answer, CallFailed):
                return self._decode(answer, response_type)
            reason = answer.reason
            may_have_applied |= answer.may_have_applied
            is_settled = bool(answer.status) or not answer.was_sent
            is_unsafe = path == START_PATH and may_have_applied
            if is_settled or is_unsafe or self._caller.has_passed(deadline_s):
                break
        self.n_failed += 1
        return WorkerUnavailable(reason, may_have_applied)

    async def _send(
        self, method: str, path: str, body: bytes | None, deadline_s: float
    ) -> bytes | CallFailed:
        url = f"{self._address}/v1/{path}"
        try_timeout_s = self._options.try_timeout_s
        return await self._caller.call(method, url, body, deadline_s, try_timeout_s)

    def _decode(
        self, answer: bytes, response_type: type[Response]
    ) -> Response | WorkerUnavailable:
        try:
            found = msgspec.json.decode(answer, type=response_type)
            # Messages hold numbers of 64 bits; JSON holds longer ones.
            msgspec.msgpack.encode(found)
            return found
        except DECODE_ERRORS as error:
            self.n_failed += 1
            reason = f"invalid answer from the worker: {decode_reason(error)}"
            return WorkerUnavailable(reason)


@worker_adapter("http_json")
def _make_worker(
    address: str,
    tls: TlsSource | None = None,
    limits: CallLimits = DEFAULT_LIMITS,
) -> Worker:
    return HttpJsonWorker(address, HttpJsonWorkerOptions(limits), tls)
