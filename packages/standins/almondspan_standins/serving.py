"""What the stand-ins' HTTP servers share: faults, debug pages and a life cycle.

Under an outage, and when an answer is lost, the server cuts the connection. A
delayed call takes effect although its caller may have given up.

``GET /debug`` returns what the stand-in counts, ``POST /debug/faults`` sets its
faults; both work under every fault.
"""

import argparse
import asyncio
import random
import signal
import ssl
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, Final, Protocol, TypeVar

import msgspec
from aiohttp import web
from aiohttp.typedefs import Handler, Middleware

from almondspan_standins.faults import CallFaults

__all__ = [
    "JSON_TYPE",
    "HttpServer",
    "Listening",
    "Part",
    "add_debug_routes",
    "add_interference_argument",
    "base_parser",
    "fault_middleware",
    "json_answer",
    "read_json",
    "run_until_terminated",
    "serve",
]

JSON_TYPE: Final = "application/json"
MAX_REQUEST_BYTES: Final = 4_000_000
SHUTDOWN_TIMEOUT_S: Final = 0.5

Body = TypeVar("Body")


class Part(Protocol):
    """What a program starts and closes beside its server."""

    async def start(self) -> None:
        """Begin."""
        ...

    async def close(self) -> None:
        """End."""
        ...


class Listening(msgspec.Struct, frozen=True):
    """The line that a program prints when it is ready."""

    listening: str


def json_answer(body: Any, status: int = 200) -> web.Response:
    """Return `body` as a JSON answer."""
    data = msgspec.json.encode(body)
    return web.Response(body=data, status=status, content_type=JSON_TYPE)


async def read_json(request: web.Request, body_type: type[Body]) -> Body:
    """Return the request's body.

    Raises
    ------
    web.HTTPBadRequest
        When the body is not of `body_type`.
    """
    try:
        return msgspec.json.decode(await request.read(), type=body_type)
    except msgspec.DecodeError as error:
        raise web.HTTPBadRequest(text=str(error)) from error


def fault_middleware(
    faults_of: Callable[[], CallFaults], rng: random.Random
) -> Middleware:
    """Return a middleware that applies the present faults to every call."""

    @web.middleware
    async def apply(request: web.Request, handler: Handler) -> web.StreamResponse:
        faults = faults_of()
        if request.path.startswith("/debug"):
            return await handler(request)
        if faults.outage:
            return _cut(request)
        if faults.delay_s > 0:
            # The body can't be read any more once the caller has left.
            await request.read()
            await asyncio.sleep(faults.delay_s)
        answer = await handler(request)
        return _cut(request) if faults.loses_answer(rng) else answer

    return apply


def add_debug_routes(
    app: web.Application,
    describe: Callable[[], Any],
    faults_type: type[Body],
    set_faults: Callable[[Body], None],
) -> None:
    """Add the pages that show and set the stand-in's state."""

    async def show(request: web.Request) -> web.Response:
        return json_answer(describe())

    async def post_faults(request: web.Request) -> web.Response:
        set_faults(await read_json(request, faults_type))
        return json_answer(describe())

    app.router.add_get("/debug", show)
    app.router.add_post("/debug/faults", post_faults)


class HttpServer:
    """Serves one application on one address."""

    def __init__(
        self,
        app: web.Application,
        tls: ssl.SSLContext | None = None,
        shutdown_timeout_s: float = SHUTDOWN_TIMEOUT_S,
    ) -> None:
        self._app: Final = app
        self._tls: Final = tls
        self._runner: Final = web.AppRunner(
            app, access_log=None, shutdown_timeout=shutdown_timeout_s
        )
        self.address = ""

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen; ``address`` is then the URL of the server."""
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port, ssl_context=self._tls)
        await site.start()
        bound_host, bound_port = self._runner.addresses[0][:2]
        scheme = "http" if self._tls is None else "https"
        self.address = f"{scheme}://{bound_host}:{bound_port}"

    async def close(self) -> None:
        """Close the listening socket and every connection."""
        await self._runner.cleanup()

    @property
    def n_connections(self) -> int:
        """The connections that are open."""
        server = self._runner.server
        return 0 if server is None else len(server.connections)


def base_parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the options of every stand-in."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0, help="0 takes a free one")
    parser.add_argument("--seed", type=int, default=1)
    return parser


def add_interference_argument(parser: argparse.ArgumentParser) -> None:
    """Add the option that names a parameter file of an interference model."""
    parser.add_argument("--interference", type=Path, help="a file as misc/interference")


async def serve(
    server: HttpServer, parts: Sequence[Part], options: argparse.Namespace
) -> None:
    """Run a program of one server and its parts until it is terminated."""
    await server.start(options.host, options.port)
    for part in parts:
        await part.start()
    await run_until_terminated(Listening(server.address))
    for part in reversed(parts):
        await part.close()
    await server.close()


async def run_until_terminated(ready: msgspec.Struct) -> None:
    """Print `ready` as one line of JSON and wait for SIGTERM or SIGINT."""
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    print(msgspec.json.encode(ready).decode(), flush=True)
    await ended.wait()


def _cut(request: web.Request) -> web.Response:
    """Close the connection without an answer."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)
