"""Messages that carry service calls from an entry to an agent and back.

An entry numbers its calls. `incarnation` is a random number of the entry's router, so
that entry, incarnation and call number together identify a call uniquely. The entry
opens a call with `CallOpen`, which holds the first part of the request's body; the rest
follows in `RequestData`. The agent answers with `AnswerHead`, which holds the first
part of the answer's body, followed by `AnswerData`, or it answers with `CallEnded`.

Flow control: either side sends no more body bytes than the other has granted. The
answer is granted by `CallOpen.credit_bytes` and `AnswerCredit`, the request by
`REQUEST_WINDOW_BYTES` and `RequestCredit`.
"""

from typing import Final

from almondspan_decisions.ids import CallerId, RequestId, ServiceName
from almondspan_decisions.outcomes import OutcomeKind
from almondspan_wire.codec import Message, message
from almondspan_wire.fields import Measure

__all__ = [
    "REQUEST_WINDOW_BYTES",
    "AnswerCredit",
    "AnswerData",
    "AnswerHead",
    "CallCancel",
    "CallEnded",
    "CallOpen",
    "CallRecover",
    "Headers",
    "RequestCredit",
    "RequestData",
]

REQUEST_WINDOW_BYTES: Final = 64 * 1024
"""Number of bytes of a request's body that an entry may send without further credit."""

Headers = tuple[tuple[str, str], ...]


@message
class CallOpen(Message, frozen=True, tag="call"):
    """Opens a call.

    ``timeout_ms`` is the time left until the caller's deadline. ``body_bytes`` is the
    length of the whole body, or -1 if unknown; ``end`` is set if ``data`` is the whole
    body. ``credit_bytes`` is the initial credit for the answer's body.
    """

    incarnation: int
    call_id: int
    service: ServiceName
    request_id: RequestId
    caller: CallerId
    method: str
    path: str
    headers: Headers
    idempotent: bool
    timeout_ms: Measure
    credit_bytes: int
    data: bytes = b""
    body_bytes: int = 0
    end: bool = True


@message
class RequestData(Message, frozen=True, tag="call_data"):
    """The next part of a request's body; ``sequence`` counts from 0."""

    incarnation: int
    call_id: int
    sequence: int
    data: bytes
    end: bool


@message
class RequestCredit(Message, frozen=True, tag="call_credit"):
    """Grants the entry ``n_bytes`` more of a request's body."""

    incarnation: int
    call_id: int
    n_bytes: int


@message
class CallCancel(Message, frozen=True, tag="call_cancel"):
    """Cancels a call.

    A call that has not been dispatched to the runner never will be. A running call is
    stopped if it is idempotent and otherwise runs to completion. ``superseded`` is set
    if another attempt was answered, so that stopping the runner early has no benefit.
    """

    incarnation: int
    call_id: int
    service: ServiceName
    superseded: bool = False


@message
class CallRecover(Message, frozen=True, tag="call_recover"):
    """Requests, on a new channel, the outcome of a call that a closed channel carried.

    A call that has not been dispatched by then never will be.
    """

    incarnation: int
    call_id: int
    credit_bytes: int
    service: ServiceName


@message
class AnswerHead(Message, frozen=True, tag="answer"):
    """Status, headers and the first part of the body of the runner's answer.

    ``body_bytes`` is the length of the whole body, or -1 if unknown. ``n_busy``,
    ``n_queued`` and ``latency_ms`` report the runner's load.
    """

    incarnation: int
    call_id: int
    status: int
    headers: Headers
    body_bytes: int
    data: bytes
    end: bool
    n_busy: int
    n_queued: int
    latency_ms: float


@message
class AnswerData(Message, frozen=True, tag="answer_data"):
    """The next part of an answer's body; ``sequence`` counts from 0."""

    incarnation: int
    call_id: int
    sequence: int
    data: bytes
    end: bool


@message
class AnswerCredit(Message, frozen=True, tag="answer_credit"):
    """Grants the agent ``n_bytes`` more of an answer's body."""

    incarnation: int
    call_id: int
    n_bytes: int


@message
class CallEnded(Message, frozen=True, tag="call_ended"):
    """Ends a call without an answer, or aborts one after its `AnswerHead`.

    With `OutcomeKind.NOT_RUN` the agent will never run this call. ``fault`` is set if
    the cause was a failure of the runner, not the caller, the load or the deadline.
    """

    incarnation: int
    call_id: int
    kind: OutcomeKind
    reason: str
    n_busy: int
    n_queued: int
    latency_ms: float
    fault: bool = False
