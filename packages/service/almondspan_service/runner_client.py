"""How an agent speaks HTTP with its runner.

`RunnerClient` is the narrow interface that the gate needs; `HttpRunnerClient` is
the one over aiohttp. Faults are values: a `RunnerFault` says whether the runner may
have seen the request.

The HTTP library repeats a request by itself when a kept connection turns out to be
closed. That would run a request twice, so it is switched off.
"""

from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass
from typing import Final, Protocol

import aiohttp
from yarl import URL

from almondspan_wire.service_messages import Headers

__all__ = [
    "HOP_BY_HOP",
    "HttpRunnerClient",
    "RunnerAnswer",
    "RunnerClient",
    "RunnerFault",
    "RunnerRequest",
    "forwarded_headers",
]

HOP_BY_HOP: Final = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-outcome",
    }
)
"""Headers that belong to one connection or are made anew, in lower case."""


def forwarded_headers(
    headers: Mapping[str, str], dropped: frozenset[str] = HOP_BY_HOP
) -> Headers:
    """Return the headers that go on to the other side."""
    return tuple(
        [
            (str(name), value)
            for name, value in headers.items()
            if name.lower() not in dropped
        ]
    )


@dataclass(frozen=True, slots=True)
class RunnerRequest:
    """A request to the runner; ``body_bytes`` is -1 when it is not known."""

    method: str
    path: str
    headers: Headers
    body: bytes | AsyncIterator[bytes]
    body_bytes: int


@dataclass(frozen=True, slots=True)
class RunnerFault:
    """No whole answer; ``may_have_run`` is False when nothing was sent."""

    may_have_run: bool
    reason: str


class RunnerAnswer(Protocol):
    """An answer whose status and headers have arrived."""

    status: int
    headers: Headers
    body_bytes: int
    """Length of the whole body, or -1 when it is not known."""

    async def read(self, n_bytes: int) -> bytes | RunnerFault:
        """Return up to `n_bytes` of the body; ``b""`` at its end."""
        ...

    def close(self) -> None:
        """Release the connection; it is closed when the body is not read."""
        ...


class RunnerClient(Protocol):
    """Sends requests to one runner."""

    async def start(self) -> None:
        """Open the client; does not need the runner to be up."""
        ...

    async def close(self) -> None:
        """Release every connection."""
        ...

    async def send(self, request: RunnerRequest) -> RunnerAnswer | RunnerFault:
        """Send a request once and return when the answer's headers are there."""
        ...


class _HttpRunnerAnswer:
    """A `RunnerAnswer` over aiohttp."""

    __slots__ = ("_response", "body_bytes", "headers", "status")

    def __init__(self, response: aiohttp.ClientResponse, bodiless: bool) -> None:
        self._response = response
        self.status = response.status
        self.headers = forwarded_headers(response.headers)
        length = response.content_length
        self.body_bytes = 0 if bodiless else -1 if length is None else length

    async def read(self, n_bytes: int) -> bytes | RunnerFault:
        try:
            return await self._response.content.read(n_bytes)
        except (aiohttp.ClientError, OSError) as error:
            return RunnerFault(True, f"the answer broke off: {error!r}")

    def close(self) -> None:
        if self._response.content.at_eof():
            self._response.release()
        else:
            self._response.close()


class HttpRunnerClient:
    """A `RunnerClient` over aiohttp.

    Parameters
    ----------
    url : the runner's address (``http://ip:port``).
    n_connections : the most connections that are open at once.
    connect_timeout_s : how long a connection may take to open.
    """

    def __init__(self, url: str, n_connections: int, connect_timeout_s: float) -> None:
        self._base = url.rstrip("/")
        self._n_connections = n_connections
        self._connect_timeout_s = connect_timeout_s
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the session."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=self._n_connections),
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=self._connect_timeout_s
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=("User-Agent", "Content-Type", "Accept-Encoding"),
        )
        self._session._retry_connection = False

    async def close(self) -> None:
        """Close the session and its connections."""
        if self._session is not None:
            await self._session.close()

    async def send(self, request: RunnerRequest) -> RunnerAnswer | RunnerFault:
        """Send a request once and return when the answer's headers are there."""
        assert self._session is not None
        # A path is appended and not joined: it may begin like another host.
        url = URL(self._base + request.path, encoded=True)
        headers = list(request.headers)
        if request.body_bytes > 0:
            headers.append(("Content-Length", str(request.body_bytes)))
        try:
            response = await self._session.request(
                request.method,
                url,
                headers=headers,
                data=request.body or None,
                allow_redirects=False,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return RunnerFault(False, f"the runner takes no connection: {error}")
        except (aiohttp.ClientError, OSError) as error:
            return RunnerFault(True, f"the runner gave no answer: {error!r}")
        except ValueError as error:
            return RunnerFault(False, f"the request cannot be sent: {error}")
        return _HttpRunnerAnswer(response, request.method == "HEAD")
