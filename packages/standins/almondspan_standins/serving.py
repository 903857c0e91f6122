"""Common parts of the stand-ins' HTTP servers: faults, debug pages and life cycle.

During an outage, and when a response is lost, the server aborts the connection. A
delayed call takes effect even if its caller has stopped waiting.

``GET /debug`` returns the counters of the stand-in, ``POST /debug/faults`` sets its
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
    "Component",
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


class Component(Protocol):
    """Something that a program starts and closes besides its server."""

    async def start(self) -> None:
        """Start the component."""
        ...

    async def close(self) -> None:
        """Stop the component."""
        ...


class Listening(msgspec.Struct, frozen=True):
    """The line that a program prints when its server listens."""

    listening: str


def json_answer(body: Any, status: int = 200) -> web.Response:
    """Return a JSON response with `body`."""
    data = msgspec.json.encode(body)
    return web.Response(body=data, status=status, content_type=JSON_TYPE)


async def read_json(request: web.Request, body_type: type[Body]) -> Body:
    """Return the decoded body of a request.

    Raises
    ------
    web.HTTPBadRequest
        When the body is not valid JSON of `body_type`.
    """
    try:
        return msgspec.json.decode(await request.read(), type=body_type)
    except msgspec.DecodeError as error:
        raise web.HTTPBadRequest(text=str(error)) from error


def fault_middleware(
    faults_of: Callable[[], CallFaults], rng: random.Random
) -> Middleware:
    """Return a middleware that applies the current faults to every call."""

    @web.middleware
    async def apply(request: web.Request, handler: Handler) -> web.StreamResponse:
        faults = faults_of()
        if request.path.startswith("/debug"):
            return await handler(request)
        if faults.outage:
            return _abort(request)
        if faults.delay_s > 0:
            # The body can't be read after the caller has disconnected.
            await request.read()
            await asyncio.sleep(faults.delay_s)
        answer = await handler(request)
        return _abort(request) if faults.loses_answer(rng) else answer

    return apply


def add_debug_routes(
    app: web.Application,
    describe: Callable[[], Any],
    faults_type: type[Body],
    set_faults: Callable[[Body], None],
) -> None:
    """Add the pages that show the stand-in's state and set its faults."""

    async def show(request: web.Request) -> web.Response:
        return json_answer(describe())

    async def post_faults(request: web.Request) -> web.Response:
        set_faults(await read_json(request, faults_type))
        return json_answer(describe())

    app.router.add_get("/debug", show)
    app.router.add_post("/debug/faults", post_faults)


class HttpServer:
    """HTTP server of one application on one address."""

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
        """Start listening and set ``address`` to the URL of the server."""
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
        """The number of open connections."""
        server = self._runner.server
        return 0 if server is None else len(server.connections)


def base_parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the options common to all stand-ins."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0, help="0 chooses a free port")
    parser.add_argument("--seed", type=int, default=1)
    return parser


def add_interference_argument(parser: argparse.ArgumentParser) -> None:
    """Add the option for the parameter file of an interference model."""
    parser.add_argument(
        "--interference", type=Path, help="a parameter file as in misc/interference"
    )


async def serve(
    server: HttpServer, components: Sequence[Component], options: argparse.Namespace
) -> None:
    """Run a server and further components until the program is terminated."""
    await server.start(options.host, options.port)
    for component in components:
        await component.start()
    await run_until_terminated(Listening(server.address))
    for component in reversed(components):
        await component.close()
    await server.close()


async def run_until_terminated(ready: msgspec.Struct) -> None:
    """Print `ready` as one line of JSON and wait for SIGTERM or SIGINT."""
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    print(msgspec.json.encode(ready).decode(), flush=True)
    await ended.wait()


def _abort(request: web.Request) -> web.Response:
    """Abort the connection without a response."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)
