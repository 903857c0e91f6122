"""A client of the administration API.

Every request is idempotent: jobs carry their ids, configurations a submission id,
and the remaining requests either change nothing or have the same effect when
repeated. The client therefore tries the entries in turn until one answers or the
time-out expires. Entries that are down, overloaded or without access to the store
are treated as not having answered.
"""

import asyncio
import ssl
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Final, TypeVar
from urllib.parse import quote

import aiohttp
import msgspec

from almondspan.answers import Refusal
from almondspan.texts import NOT_TRUSTED
from almondspan_decisions.decoding import DECODE_ERRORS

__all__ = ["AdminClient", "Connection", "NoAnswer", "Refused", "path_of"]

RETRY_S: Final = 0.5
CONNECT_TIMEOUT_S: Final = 2.0
MIN_REQUEST_TIMEOUT_S: Final = 1.0
"""The least time allowed for one request, even past the time-out, in seconds."""

Response = TypeVar("Response", bound=msgspec.Struct)


@dataclass(frozen=True, slots=True)
class Connection:
    """The entries' addresses, the caller's token, TLS files and time-outs.

    ``addresses`` are URLs. ``ca``, ``cert`` and ``key`` are paths of PEM files, or
    empty. Every entry is tried at least once; after ``timeout_s`` no further round is
    started. ``answer_timeout_s`` limits one request.
    """

    addresses: tuple[str, ...]
    token: str
    ca: str = ""
    cert: str = ""
    key: str = ""
    timeout_s: float = 30.0
    answer_timeout_s: float = 12.0


@dataclass(frozen=True, slots=True)
class Refused:
    """An entry rejected the request."""

    status: int
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """No entry answered within the time-out.

    ``may_have_applied`` is True if the request may have taken effect nevertheless.
    """

    reason: str
    may_have_applied: bool


class AdminClient:
    """Sends requests to any entry; call `start` before use and `close` after it."""

    def __init__(self, connection: Connection) -> None:
        self._connection = connection
        self._session: aiohttp.ClientSession | None = None
        self._address_index = 0

    async def start(self) -> None:
        """Open the client session; connections are made on demand.

        Raises
        ------
        OSError
            When a certificate file cannot be read.
        """
        headers = {"Authorization": f"Bearer {self._connection.token}"}
        connector = aiohttp.TCPConnector(ssl=_ssl_context(self._connection))
        self._session = aiohttp.ClientSession(headers=headers, connector=connector)

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def get(
        self, path: str, response_type: type[Response]
    ) -> Response | Refused | NoAnswer:
        """Send a GET request and decode the response body as `response_type`."""
        return await self._request_until_answered("GET", path, None, response_type)

    async def post(
        self, path: str, body: Mapping[str, Any], response_type: type[Response]
    ) -> Response | Refused | NoAnswer:
        """Send a POST request and decode the response body as `response_type`."""
        return await self._request_until_answered(
            "POST", path, msgspec.json.encode(body), response_type
        )

    async def _request_until_answered(
        self, method: str, path: str, body: bytes | None, response_type: type[Response]
    ) -> Response | Refused | NoAnswer:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + self._connection.timeout_s
        may_have_applied = False
        n_requests = 0
        while True:
            remaining_s = max(MIN_REQUEST_TIMEOUT_S, deadline_s - loop.time())
            result = await self._request_once(
                method, path, body, response_type, remaining_s
            )
            if not isinstance(result, NoAnswer):
                return result
            may_have_applied |= result.may_have_applied and method != "GET"
            n_requests += 1
            self._address_index = (self._address_index + 1) % len(
                self._connection.addresses
            )
            if n_requests % len(self._connection.addresses) > 0:
                continue
            if loop.time() + RETRY_S >= deadline_s:
                return NoAnswer(result.reason, may_have_applied)
            await asyncio.sleep(RETRY_S)

    async def _request_once(
        self,
        method: str,
        path: str,
        body: bytes | None,
        response_type: type[Response],
        remaining_s: float,
    ) -> Response | Refused | NoAnswer:
        assert self._session is not None
        address = self._connection.addresses[self._address_index]
        timeout = aiohttp.ClientTimeout(
            total=min(remaining_s, self._connection.answer_timeout_s),
            connect=CONNECT_TIMEOUT_S,
        )
        try:
            async with self._session.request(
                method, address + path, data=body, timeout=timeout
            ) as response:
                data = await response.read()
                return _decode_response(address, response.status, data, response_type)
        except aiohttp.ClientConnectorCertificateError:
            reason = NOT_TRUSTED.format(address=address)
            return NoAnswer(reason, may_have_applied=False)
        except aiohttp.ClientConnectorError as error:
            return NoAnswer(f"{address}: {error}", may_have_applied=False)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            reason = str(error) or "timed out"
            return NoAnswer(f"{address}: {reason}", may_have_applied=True)


def _decode_response(
    address: str, status: int, data: bytes, response_type: type[Response]
) -> Response | Refused | NoAnswer:
    try:
        if status == HTTPStatus.OK:
            return msgspec.json.decode(data, type=response_type)
        refusal = msgspec.json.decode(data, type=Refusal)
    except DECODE_ERRORS:
        # A load balancer or a failing entry responded. Unless this is a client error,
        # the request may have reached an entry first and taken effect.
        is_client_error = 400 <= status < 500
        reason = f"{address}: status {status}, not an administration API response"
        return NoAnswer(reason, may_have_applied=not is_client_error)
    if status == HTTPStatus.TOO_MANY_REQUESTS:
        return NoAnswer(f"{address}: {refusal.reason}", may_have_applied=False)
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        return NoAnswer(f"{address}: {refusal.reason}", refusal.may_have_applied)
    return Refused(status, refusal)


def _ssl_context(connection: Connection) -> ssl.SSLContext | bool:
    if not connection.ca:
        return True
    context = ssl.create_default_context(cafile=connection.ca)
    if connection.cert:
        context.load_cert_chain(connection.cert, connection.key or None)
    return context


def path_of(*parts: str) -> str:
    """Return the path ``/v1/...`` with each part percent-encoded."""
    return "/v1/" + "/".join(quote(part, safe="") for part in parts)
