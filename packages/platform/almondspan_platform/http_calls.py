"""HTTP client with deadlines, a rate limit and replacement of silent connections.

The answer to a call has to begin by the call's deadline. From then on only silence ends
the call: an answer is read for as long as its bytes keep arriving, however large it is
and however slow the link.

A pooled connection may be permanently silent while new connections work. When a call
ends without an answer, the whole pool is retired: later calls open new connections,
and the retired pool is closed when its last call has ended.

`CallFailed.may_have_applied` is False if the service cannot have applied the call: no
connection could be made, or the status of the answer is 400 to 499.
"""

import asyncio
import math
from collections.abc import AsyncIterator, Mapping
from contextlib import AbstractAsyncContextManager, AsyncExitStack
from dataclasses import dataclass
from types import MappingProxyType, SimpleNamespace
from typing import Final

import aiohttp

from almondspan_platform.registry import DEFAULT_LIMITS, CallLimits, TlsSource
from almondspan_platform.token_bucket import TokenBucket

__all__ = ["CallFailed", "HttpCaller", "HttpOptions"]

JSON_HEADERS: Final = {"Content-Type": "application/json"}
NO_HEADERS: Final[Mapping[str, str]] = MappingProxyType({})

MAX_LINE_BYTES: Final = 64_000_000
"""The longest permitted line of a streamed answer."""

_EXPECTED_ERRORS: Final = (aiohttp.ClientError, OSError, TimeoutError)


class _NotConnected(aiohttp.ClientError):
    """A call that needs an open connection found none."""


@dataclass(frozen=True, slots=True)
class HttpOptions:
    """Limits of a client's connections.

    Attributes
    ----------
    connect_timeout_s : float
        Time limit for opening a connection, in seconds.
    keepalive_s : float
        Time for which an idle connection is kept open, in seconds.
    n_connections : int
        Maximum number of open connections, including watches.
    """

    connect_timeout_s: float = 0.5
    keepalive_s: float = 10.0
    n_connections: int = 32


@dataclass(frozen=True, slots=True)
class CallFailed:
    """A call without a successful answer.

    ``status`` is 0 if there was no answer. ``was_sent`` is False if the rate limit or
    a closed client kept the call from being sent. ``was_refused`` is True if nothing
    listens at the address.
    """

    reason: str
    may_have_applied: bool
    status: int = 0
    body: bytes = b""
    was_sent: bool = True
    was_refused: bool = False


@dataclass(slots=True, eq=False)
class _Pool:
    session: aiohttp.ClientSession
    n_in_use: int = 0


class HttpCaller:
    """Sends calls to any number of addresses over one pool of connections."""

    def __init__(
        self,
        limits: CallLimits = DEFAULT_LIMITS,
        options: HttpOptions = HttpOptions(),
        tls: TlsSource | None = None,
    ) -> None:
        self._limits: Final = limits
        self._options: Final = options
        self._tls: Final = tls
        self._bucket: Final = TokenBucket(limits.calls_per_s, limits.n_burst)
        self._pool: _Pool | None = None
        self._retired: set[_Pool] = set()
        self.n_calls = 0
        self.n_pools_retired = 0

    async def start(self) -> None:
        """Open an empty pool."""
        self._pool = self._open_pool()

    async def close(self) -> None:
        """Close all connections; pending calls fail."""
        pools = [*self._retired, *([self._pool] if self._pool else [])]
        self._pool = None
        for pool in pools:
            await pool.session.close()

    def deadline_s(self) -> float:
        """Return the deadline of a call that starts now."""
        return asyncio.get_running_loop().time() + self._limits.timeout_s

    def has_passed(self, deadline_s: float) -> bool:
        """Return whether a deadline has passed."""
        return asyncio.get_running_loop().time() >= deadline_s

    async def call(
        self,
        method: str,
        url: str,
        body: bytes | None,
        deadline_s: float,
        try_timeout_s: float = math.inf,
        headers: Mapping[str, str] = NO_HEADERS,
        may_connect: bool = True,
    ) -> bytes | CallFailed:
        """Send a call once and return the body of a successful answer (status 200).

        Parameters
        ----------
        deadline_s : float
            A point in time of the running loop's clock; includes the wait for the rate
            limit. An answer that has begun by then is read to its end, unless its next
            bytes take longer than the client's time limit.
        try_timeout_s : float
            Time limit from the send until the answer begins, and for each pause while
            it arrives, in seconds.
        headers : mapping
            Headers in addition to the content type.
        may_connect : bool
            Whether a connection may be opened; otherwise the call is sent on an open
            one or not at all.
        """
        pool = await self._acquire_pool(deadline_s)
        if isinstance(pool, CallFailed):
            return pool
        loop = asyncio.get_running_loop()
        limit_s = min(deadline_s, loop.time() + try_timeout_s)
        silence_s = min(self._limits.timeout_s, try_timeout_s)
        received = bytearray()
        try:
            async with asyncio.timeout_at(limit_s) as timeout:
                request = self._request(pool, method, url, body, headers, may_connect)
                async with request as response:
                    async for chunk in response.content.iter_any():
                        received += chunk
                        # How long a transfer takes depends on its size and the link, so
                        # only a pause shows that the peer is gone.
                        timeout.reschedule(max(limit_s, loop.time() + silence_s))
        except _EXPECTED_ERRORS as error:
            return self._on_error(pool, error, len(received))
        finally:
            await self._release_pool(pool)
        data = bytes(received)
        return data if response.status == 200 else _status_failure(response, data)

    async def lines(
        self, url: str, body: bytes, silence_s: float
    ) -> AsyncIterator[bytes | CallFailed]:
        """Send a call and yield the lines of its answer as they arrive.

        The last item is a `CallFailed`. The stream fails when no byte arrives for
        `silence_s`, not counting the time that the consumer takes.
        """
        pool = await self._acquire_pool(self.deadline_s())
        if isinstance(pool, CallFailed):
            yield pool
            return
        try:
            async with AsyncExitStack() as stack:
                async with asyncio.timeout(silence_s):
                    request = self._request(pool, "POST", url, body)
                    response = await stack.enter_async_context(request)
                if response.status != 200:
                    yield _status_failure(
                        response, await _read_body(response, silence_s)
                    )
                    return
                splitter = _LineSplitter()
                while chunk := await _read_chunk(response, silence_s):
                    for line in splitter.split(chunk):
                        yield line
            failure = CallFailed("the service ended the stream", False)
        except _EXPECTED_ERRORS as error:
            failure = self._on_error(pool, error, 0)
        finally:
            await self._release_pool(pool)
        yield failure

    async def _acquire_pool(self, deadline_s: float) -> _Pool | CallFailed:
        """Wait for the rate limit, then return the pool for one call."""
        if not await self._bucket.acquire(deadline_s):
            return CallFailed("the call rate limit was reached", False, was_sent=False)
        if self._pool is None:
            return CallFailed("the client is closed", False, was_sent=False)
        self.n_calls += 1
        self._pool.n_in_use += 1
        return self._pool

    def _request(
        self,
        pool: _Pool,
        method: str,
        url: str,
        body: bytes | None,
        headers: Mapping[str, str] = NO_HEADERS,
        may_connect: bool = True,
    ) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
        return pool.session.request(
            method,
            url,
            data=body,
            headers={**JSON_HEADERS, **headers},
            ssl=self._tls() if self._tls is not None else True,
            allow_redirects=False,
            trace_request_ctx=may_connect,
        )

    def _on_error(self, pool: _Pool, error: Exception, n_bytes: int) -> CallFailed:
        """Return the failure of a call that received `n_bytes` of its answer."""
        if isinstance(error, aiohttp.ClientConnectorError):
            was_refused = isinstance(error.os_error, ConnectionRefusedError)
            return CallFailed(
                f"cannot connect: {error}", False, was_refused=was_refused
            )
        if isinstance(error, aiohttp.ConnectionTimeoutError):
            return CallFailed("timed out while connecting", may_have_applied=False)
        if isinstance(error, _NotConnected):
            return CallFailed("no open connection", False, was_sent=False)
        self._retire(pool)
        if isinstance(error, TimeoutError):
            reason = "timed out waiting for the answer"
        else:
            reason = f"no answer: {type(error).__name__} {error}"
        if n_bytes:
            reason += f", after {n_bytes} bytes of it"
        return CallFailed(reason, may_have_applied=True)

    def _open_pool(self) -> _Pool:
        options = self._options
        connector = aiohttp.TCPConnector(
            limit=options.n_connections, keepalive_timeout=options.keepalive_s
        )
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=options.connect_timeout_s
        )
        return _Pool(
            aiohttp.ClientSession(
                connector=connector,
                timeout=timeout,
                cookie_jar=aiohttp.DummyCookieJar(),
                trace_configs=[_connection_guard()],
            )
        )

    def _retire(self, pool: _Pool) -> None:
        if pool is self._pool:
            self._pool = self._open_pool()
            self._retired.add(pool)
            self.n_pools_retired += 1

    async def _release_pool(self, pool: _Pool) -> None:
        pool.n_in_use -= 1
        if pool in self._retired and pool.n_in_use == 0:
            self._retired.discard(pool)
            await pool.session.close()


def _connection_guard() -> aiohttp.TraceConfig:
    """Return the hook that keeps a call from opening a connection if it must not."""

    async def check(
        session: aiohttp.ClientSession,
        context: SimpleNamespace,
        params: aiohttp.TraceConnectionCreateStartParams,
    ) -> None:
        if context.trace_request_ctx is False:
            raise _NotConnected

    guard = aiohttp.TraceConfig()
    guard.on_connection_create_start.append(check)
    return guard


class _LineSplitter:
    """Splits a sequence of chunks into lines."""

    def __init__(self) -> None:
        self._rest = bytearray()

    def split(self, chunk: bytes) -> list[bytes]:
        """Add a chunk and return the lines that it completes.

        Raises
        ------
        aiohttp.ClientPayloadError
            When a line is longer than `MAX_LINE_BYTES`.
        """
        first, *others = chunk.split(b"\n")
        self._rest += first
        lines = []
        for other in others:
            lines.append(bytes(self._rest))
            self._rest = bytearray(other)
        if len(self._rest) > MAX_LINE_BYTES:
            raise aiohttp.ClientPayloadError("a line of the stream is too long")
        return [line for line in lines if line.strip()]


async def _read_chunk(response: aiohttp.ClientResponse, silence_s: float) -> bytes:
    async with asyncio.timeout(silence_s):
        return await response.content.readany()


async def _read_body(response: aiohttp.ClientResponse, timeout_s: float) -> bytes:
    async with asyncio.timeout(timeout_s):
        return await response.read()


def _status_failure(response: aiohttp.ClientResponse, body: bytes) -> CallFailed:
    may_have_applied = not 400 <= response.status < 500
    reason = f"status {response.status}"
    return CallFailed(reason, may_have_applied, response.status, body)
