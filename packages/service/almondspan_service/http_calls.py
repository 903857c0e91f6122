"""The caller's side of a call over HTTP: requests, answers and error responses.

`parse_request` turns a request into a `CallSpec`, or rejects its headers. `HttpSink`
sends the runner's answer. `error_response` and `duplicate_response` make the response
to a call without an answer.
"""

import asyncio
import json
import os
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Final

from aiohttp import ClientError, web
from multidict import CIMultiDict

from almondspan_decisions.ids import CallerId, RequestId, ServiceName
from almondspan_decisions.outcomes import Outcome, OutcomeKind
from almondspan_service.call_spec import BodyFailure, CallSpec
from almondspan_service.entry_call import outcome_of_status
from almondspan_service.runner_client import HOP_BY_HOP, forwarded_headers
from almondspan_wire.service_messages import AnswerHead

__all__ = [
    "BadRequest",
    "HttpBody",
    "HttpSink",
    "error_response",
    "parse_request",
    "duplicate_response",
]

OUTCOME_HEADER: Final = "X-Outcome"
REQUEST_ID_HEADER: Final = "X-Request-Id"
CALLER_HEADER: Final = "X-Caller"
TIMEOUT_HEADER: Final = "X-Timeout-Ms"
IDEMPOTENT_HEADER: Final = "X-Idempotent"

NOT_FORWARDED_HEADERS: Final = HOP_BY_HOP | {
    "x-request-id",
    "x-caller",
    "x-timeout-ms",
    "x-idempotent",
}
IDEMPOTENT_METHODS: Final = frozenset(
    {"GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"}
)
IDEMPOTENT_VALUES: Final = {"true": True, "false": False}
MAX_ID_CHARS: Final = 200
ID_BYTES: Final = 16
RETRY_AFTER_S: Final = 1


@dataclass(frozen=True, slots=True)
class BadRequest:
    """Why a request is invalid; it was not run."""

    reason: str


def parse_request(
    request: web.Request, default_timeout_ms: float, max_timeout_ms: float
) -> CallSpec | BadRequest:
    """Return the call that a request describes, or why it is invalid."""
    headers = request.headers
    request_id = headers.get(REQUEST_ID_HEADER) or _generate_id()
    caller = headers.get(CALLER_HEADER) or request.remote or ""
    if len(request_id) > MAX_ID_CHARS or len(caller) > MAX_ID_CHARS:
        return BadRequest(f"the request id or caller exceeds {MAX_ID_CHARS} characters")
    timeout_ms = _timeout_ms(headers.get(TIMEOUT_HEADER), default_timeout_ms)
    if timeout_ms is None:
        return BadRequest(f"{TIMEOUT_HEADER} is not a positive number")
    idempotent = _idempotent(headers.get(IDEMPOTENT_HEADER), request.method)
    if idempotent is None:
        return BadRequest(f"{IDEMPOTENT_HEADER} is neither true nor false")
    if "upgrade" in headers:
        return BadRequest("protocol upgrades are not supported")
    now_s = asyncio.get_running_loop().time()
    return CallSpec(
        service=ServiceName(request.match_info["service"]),
        request_id=RequestId(request_id),
        caller=CallerId(caller),
        method=request.method,
        path=_path(request),
        headers=forwarded_headers(headers, NOT_FORWARDED_HEADERS),
        idempotent=idempotent,
        deadline_s=now_s + min(timeout_ms, max_timeout_ms) / 1000.0,
        body_bytes=_body_bytes(request),
        generated_id=not headers.get(REQUEST_ID_HEADER),
    )


def _generate_id() -> str:
    return os.urandom(ID_BYTES).hex()


def _timeout_ms(value: str | None, default_ms: float) -> float | None:
    if value is None:
        return default_ms
    try:
        timeout_ms = float(value)
    except ValueError:
        return None
    return timeout_ms if 0.0 < timeout_ms < float("inf") else None


def _idempotent(value: str | None, method: str) -> bool | None:
    if value is None:
        return method in IDEMPOTENT_METHODS
    return IDEMPOTENT_VALUES.get(value.strip().lower())


def _path(request: web.Request) -> str:
    """Return the path and query as sent, still escaped, without the route's prefix."""
    parts = request.rel_url.raw_path_qs.split("/", 3)
    if len(parts) > 3:
        return "/" + parts[3]
    _, mark, query = parts[2].partition("?")
    return "/" + mark + query


def _body_bytes(request: web.Request) -> int:
    if not request.body_exists:
        return 0
    return -1 if request.content_length is None else request.content_length


class HttpBody:
    """The body of a caller's request."""

    def __init__(self, request: web.Request) -> None:
        self._content = request.content

    async def read(self, n_bytes: int) -> bytes | BodyFailure:
        """Return up to `n_bytes`; returns ``b""`` at the end."""
        try:
            return await self._content.read(n_bytes)
        except (OSError, ClientError, web.PayloadAccessError, web.HTTPException) as e:
            return BodyFailure(f"the request's body was cut off: {e!r}")
        except Exception as error:
            return BodyFailure(f"the request's body cannot be read: {error!r}")


class HttpSink:
    """Sends the answer to one HTTP request; an `AnswerSink`."""

    def __init__(self, request: web.Request, spec: CallSpec) -> None:
        self._request = request
        self._spec = spec
        self.response: web.StreamResponse | None = None

    async def send_whole(self, head: AnswerHead) -> bool:
        """Set a complete answer as the response, which the HTTP server sends."""
        self.response = web.Response(
            status=head.status, headers=self._headers(head), body=head.data
        )
        return not self.is_disconnected()

    async def send_head(self, head: AnswerHead) -> bool:
        """Send status and headers."""
        headers = self._headers(head)
        response = web.StreamResponse(status=head.status, headers=headers)
        if head.body_bytes >= 0:
            response.content_length = head.body_bytes
        self.response = response
        try:
            await response.prepare(self._request)
        except (OSError, ClientError):
            return False
        return True

    async def write(self, data: bytes) -> bool:
        """Send the next part; waits while the connection's send buffer is full."""
        assert self.response is not None
        try:
            await self.response.write(data)
        except (OSError, ClientError):
            return False
        return True

    async def finish(self) -> bool:
        """Send the end of the body."""
        assert self.response is not None
        try:
            await self.response.write_eof()
        except (OSError, ClientError):
            return False
        return True

    def abort(self) -> None:
        """Abort the connection, so that the caller sees a truncated response."""
        transport = self._request.transport
        if transport is not None:
            transport.abort()

    def is_disconnected(self) -> bool:
        """Return whether the caller has closed its connection."""
        transport = self._request.transport
        return transport is None or transport.is_closing()

    def _headers(self, head: AnswerHead) -> CIMultiDict[str]:
        headers = CIMultiDict(head.headers)
        headers[OUTCOME_HEADER] = outcome_of_status(head.status).value
        headers[REQUEST_ID_HEADER] = self._spec.request_id
        return headers


ErrorStatus = Callable[[Outcome], HTTPStatus]

ERROR_STATUSES: Final[dict[OutcomeKind, ErrorStatus]] = {}


def error_status(kind: OutcomeKind) -> Callable[[ErrorStatus], ErrorStatus]:
    """Register the HTTP status for calls that ended with `kind`, without an answer."""

    def register(status: ErrorStatus) -> ErrorStatus:
        ERROR_STATUSES[kind] = status
        return status

    return register


@error_status(OutcomeKind.NOT_RUN)
def not_run_status(outcome: Outcome) -> HTTPStatus:
    """Return the status of a call that was not run and may be retried."""
    return HTTPStatus.SERVICE_UNAVAILABLE


@error_status(OutcomeKind.UNKNOWN)
def unknown_status(outcome: Outcome) -> HTTPStatus:
    """Return 504 if the call may have run, 503 if it was not sent this time."""
    if outcome.may_have_run:
        return HTTPStatus.GATEWAY_TIMEOUT
    return HTTPStatus.SERVICE_UNAVAILABLE


@error_status(OutcomeKind.CANCELLED)
def cancelled_status(outcome: Outcome) -> HTTPStatus:
    """Return the status of a call whose caller cut off its request."""
    return HTTPStatus.BAD_REQUEST


def error_response(spec: CallSpec, outcome: Outcome) -> web.Response:
    """Build the response to a call that ended without a runner's answer."""
    status = ERROR_STATUSES[outcome.kind](outcome)
    return _outcome_response(spec, outcome, status)


def duplicate_response(spec: CallSpec, first: Outcome | None) -> web.Response:
    """Build the response to a request whose id was claimed by an earlier one."""
    reason = "the request id was used by an earlier request with unknown outcome"
    outcome = first or Outcome(OutcomeKind.UNKNOWN, reason, b"", True)
    return _outcome_response(spec, outcome, HTTPStatus.CONFLICT)


def _outcome_response(
    spec: CallSpec, outcome: Outcome, status: HTTPStatus
) -> web.Response:
    body = {
        "kind": outcome.kind.value,
        "reason": outcome.reason,
        "request_id": spec.request_id,
        "idempotent": spec.idempotent,
        "may_have_run": outcome.may_have_run,
    }
    if outcome.result:
        body["result"] = outcome.result.decode("utf-8", "replace")
    headers = {OUTCOME_HEADER: outcome.kind.value, REQUEST_ID_HEADER: spec.request_id}
    if status is HTTPStatus.SERVICE_UNAVAILABLE:
        headers["Retry-After"] = str(RETRY_AFTER_S)
    return web.Response(
        status=status,
        headers=headers,
        body=json.dumps(body).encode(),
        content_type="application/json",
    )
