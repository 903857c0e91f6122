"""A client of the administration API.

Every request may be sent again: jobs carry their ids, configurations a submission
id, and the others change nothing or say the same twice. The client therefore asks
the entries in turn until one answers or the time is over; entries that are down,
overloaded, or without the store count as no answer.
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

__all__ = ["AdminClient", "Connection", "NoAnswer", "Refused", "path_of"]

RETRY_S: Final = 0.5
CONNECT_TIMEOUT_S: Final = 2.0
LEAST_ANSWER_S: Final = 1.0
"""How long an entry may take even when the command's time is over, in seconds."""

Answer = TypeVar("Answer", bound=msgspec.Struct)


@dataclass(frozen=True, slots=True)
class Connection:
    """Where the entries are, and how to speak to them.

    ``addresses`` are URLs. ``ca``, ``cert`` and ``key`` are paths of PEM files, or
    empty. Every entry is asked at least once; after ``timeout_s`` none is asked again.
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
    """An entry answered that the request was not carried out."""

    status: int
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """No entry gave an answer in time.

    ``may_have_applied`` is True when the request may have taken effect.
    """

    reason: str
    may_have_applied: bool


class AdminClient:
    """Asks any entry; use `start` and `close` around it."""

    def __init__(self, connection: Connection) -> None:
        self._connection = connection
        self._session: aiohttp.ClientSession | None = None
        self._first = 0

    async def start(self) -> None:
        """Open the client; connects when the first request is made.

        Raises
        ------
        OSError
            When a certificate file cannot be read.
        """
        headers = {"Authorization": f"Bearer {self._connection.token}"}
        connector = aiohttp.TCPConnector(ssl=_ssl_context(self._connection))
        self._session = aiohttp.ClientSession(headers=headers, connector=connector)

    async def close(self) -> None:
        """Release every connection."""
        if self._session is not None:
            await self._session.close()

    async def get(self, path: str, answer: type[Answer]) -> Answer | Refused | NoAnswer:
        """Ask for `path`, whose answer is of type `answer`."""
        return await self._repeat("GET", path, None, answer)

    async def post(
        self, path: str, body: Mapping[str, Any], answer: type[Answer]
    ) -> Answer | Refused | NoAnswer:
        """Send `body` to `path`, whose answer is of type `answer`."""
        return await self._repeat("POST", path, msgspec.json.encode(body), answer)

    async def _repeat(
        self, method: str, path: str, body: bytes | None, answer: type[Answer]
    ) -> Answer | Refused | NoAnswer:
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + self._connection.timeout_s
        may_have_applied = False
        n_asked = 0
        while True:
            left_s = max(LEAST_ANSWER_S, ends_s - loop.time())
            found = await self._ask_once(method, path, body, answer, left_s)
            if not isinstance(found, NoAnswer):
                return found
            may_have_applied |= found.may_have_applied and method != "GET"
            n_asked += 1
            self._first = (self._first + 1) % len(self._connection.addresses)
            if n_asked % len(self._connection.addresses) > 0:
                continue
            if loop.time() + RETRY_S >= ends_s:
                return NoAnswer(found.reason, may_have_applied)
            await asyncio.sleep(RETRY_S)

    async def _ask_once(
        self,
        method: str,
        path: str,
        body: bytes | None,
        answer: type[Answer],
        left_s: float,
    ) -> Answer | Refused | NoAnswer:
        assert self._session is not None
        address = self._connection.addresses[self._first]
        timeout = aiohttp.ClientTimeout(
            total=min(left_s, self._connection.answer_timeout_s),
            connect=CONNECT_TIMEOUT_S,
        )
        try:
            async with self._session.request(
                method, address + path, data=body, timeout=timeout
            ) as response:
                data = await response.read()
                return _read(address, response.status, data, answer)
        except aiohttp.ClientConnectorCertificateError:
            reason = NOT_TRUSTED.format(address=address)
            return NoAnswer(reason, may_have_applied=False)
        except aiohttp.ClientConnectorError as error:
            return NoAnswer(f"{address}: {error}", may_have_applied=False)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            reason = str(error) or "no answer in time"
            return NoAnswer(f"{address}: {reason}", may_have_applied=True)


def _read(
    address: str, status: int, data: bytes, answer: type[Answer]
) -> Answer | Refused | NoAnswer:
    try:
        if status == HTTPStatus.OK:
            return msgspec.json.decode(data, type=answer)
        refusal = msgspec.json.decode(data, type=Refusal)
    except msgspec.MsgspecError:
        # A balancer or a broken entry answered; a request that got through to an
        # entry first may have taken effect.
        is_client_error = 400 <= status < 500
        reason = f"{address}: status {status}, no answer of an administration API"
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
    """Return ``/v1/...`` with each part quoted."""
    return "/v1/" + "/".join(quote(part, safe="") for part in parts)
