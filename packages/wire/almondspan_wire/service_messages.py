"""Messages that carry callers' requests from an entry to an agent and back.

An entry numbers its calls; `incarnation` is drawn at random when the router is
made, so that (entry, incarnation, call number) never names two calls. The entry
opens a call with `CallOpen`, which holds the first part of the request's body;
the rest follows as `RequestData`. The agent answers with `AnswerHead`, which holds
the first part of the answer's body, and `AnswerData`; or with `CallEnded`.

Either side sends body bytes only as far as the other side has granted them:
`CallOpen.credit_bytes` and `AnswerCredit` for the answer, `REQUEST_WINDOW_BYTES`
and `RequestCredit` for the request.
"""

from typing import Final

from almondspan_decisions.ids import CallerId, RequestId, ServiceName
from almondspan_decisions.outcomes import OutcomeKind
from almondspan_wire.codec import Message, message

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
"""What an entry may send of a request's body before the agent grants more."""

Headers = tuple[tuple[str, str], ...]


@message
class CallOpen(Message, frozen=True, tag="call"):
    """Opens a call.

    ``timeout_ms`` is the time left of the caller's deadline. ``body_bytes`` is the
    length of the whole body, or -1 when it is not known; ``end`` says that ``data``
    is all of it. ``credit_bytes`` is what the agent may send of the answer's body.
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
    timeout_ms: float
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
    """Lets the entry send more of a request's body."""

    incarnation: int
    call_id: int
    n_bytes: int


@message
class CallCancel(Message, frozen=True, tag="call_cancel"):
    """Withdraws a call.

    One that has not been dispatched never will be. One that runs is stopped when
    it is idempotent; otherwise it runs to its end. ``superseded`` says that another
    attempt was answered: then nothing is gained by stopping the runner early.
    """

    incarnation: int
    call_id: int
    service: ServiceName
    superseded: bool = False


@message
class CallRecover(Message, frozen=True, tag="call_recover"):
    """Asks, on a new channel, what became of a call that an old one carried.

    A call that was never dispatched never will be after this.
    """

    incarnation: int
    call_id: int
    credit_bytes: int
    service: ServiceName


@message
class AnswerHead(Message, frozen=True, tag="answer"):
    """Status, headers and the first part of the body of the runner's answer.

    ``body_bytes`` is the length of the whole body, or -1 when it is not known.
    ``n_busy``, ``n_queued`` and ``latency_ms`` tell the runner's load.
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
    """Lets the agent send more of an answer's body."""

    incarnation: int
    call_id: int
    n_bytes: int


@message
class CallEnded(Message, frozen=True, tag="call_ended"):
    """Ends a call without an answer, or cuts one whose head was sent.

    With `OutcomeKind.NOT_RUN` the agent will never run this call. ``fault`` says that
    the runner failed, not its caller, its load or the deadline.
    """

    incarnation: int
    call_id: int
    kind: OutcomeKind
    reason: str
    n_busy: int
    n_queued: int
    latency_ms: float
    fault: bool = False
