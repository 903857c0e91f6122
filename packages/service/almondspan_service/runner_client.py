"""Client of a runner, as an interface and over HTTP.

`RunnerClient` is the interface that admission uses; `HttpRunnerClient` implements it
with aiohttp. Failures are returned as `RunnerFault`, which says whether the runner
may have received the request.

By default aiohttp resends a request when a keep-alive connection turns out to be
closed. This could run a request twice, so it is disabled.
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
"""Headers of one connection, or set anew on each side; in lower case."""


def forwarded_headers(
    headers: Mapping[str, str], dropped: frozenset[str] = HOP_BY_HOP
) -> Headers:
    """Return the headers to forward, without those in `dropped`."""
    return tuple(
        [
            (str(name), value)
            for name, value in headers.items()
            if name.lower() not in dropped
        ]
    )


@dataclass(frozen=True, slots=True)
class RunnerRequest:
    """A request to the runner; ``body_bytes`` is -1 if the length is unknown."""

    method: str
    path: str
    headers: Headers
    body: bytes | AsyncIterator[bytes]
    body_bytes: int


@dataclass(frozen=True, slots=True)
class RunnerFault:
    """A failed request; ``may_have_run`` is False if nothing was sent."""

    may_have_run: bool
    reason: str


class RunnerAnswer(Protocol):
    """An answer whose status and headers have arrived; the body is read later."""

    status: int
    headers: Headers
    body_bytes: int
    """Length of the whole body, or -1 if unknown."""

    async def read(self, n_bytes: int) -> bytes | RunnerFault:
        """Return up to `n_bytes` of the body; returns ``b""`` at its end."""
        ...

    def close(self) -> None:
        """Release the connection; closes it if the body was not read to its end."""
        ...


class RunnerClient(Protocol):
    """Sends requests to one runner."""

    async def start(self) -> None:
        """Start the client; the runner need not be running yet."""
        ...

    async def close(self) -> None:
        """Close all connections."""
        ...

    async def send(self, request: RunnerRequest) -> RunnerAnswer | RunnerFault:
        """Send a request once; returns when the answer's headers have arrived."""
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
            return RunnerFault(True, f"the runner's answer was cut off: {error!r}")

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
    n_connections : maximum number of open connections.
    connect_timeout_s : time-out for opening a connection.
    """

    def __init__(self, url: str, n_connections: int, connect_timeout_s: float) -> None:
        self._base = url.rstrip("/")
        self._n_connections = n_connections
        self._connect_timeout_s = connect_timeout_s
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the client session."""
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
        """Send a request once; returns when the answer's headers have arrived."""
        assert self._session is not None
        # The path is appended, not joined: joining one like ``//host/x`` would change
        # the host.
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
            return RunnerFault(False, f"cannot connect to the runner: {error}")
        except (aiohttp.ClientError, OSError) as error:
            return RunnerFault(
                True, f"the connection to the runner failed before an answer: {error!r}"
            )
        except ValueError as error:
            return RunnerFault(False, f"the request is not valid HTTP: {error}")
        return _HttpRunnerAnswer(response, request.method == "HEAD")
