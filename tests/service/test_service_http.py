"""Calls from caller to runner, with HTTP at both ends."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from aiohttp import ClientError, ClientSession, web
from aiohttp.test_utils import TestServer
from service_path import SERVICE, ServicePath
from yarl import URL

from almondspan_decisions.ids import AgentId
from almondspan_service.admission_options import AdmissionOptions
from almondspan_service.runner_admission import RunnerAdmission
from almondspan_service.runner_client import HttpRunnerClient, RunnerRequest

COMPLETE_UPLOADS: list[int] = []
ENDLESS_PARTS: list[int] = []


async def runner_echo(request: web.Request) -> web.Response:
    body = await request.read()
    text = f"{request.method} {request.raw_path} {request.headers['X-Caller']} "
    return web.Response(body=text.encode() + body, headers={"X-From": "runner"})


async def runner_truncating(request: web.Request) -> web.StreamResponse:
    response = web.StreamResponse()
    response.content_length = 200_000
    await response.prepare(request)
    await response.write(b"x" * 100_000)
    request.transport.abort()
    return response


async def runner_truncating_chunked(request: web.Request) -> web.StreamResponse:
    response = web.StreamResponse()
    await response.prepare(request)
    await response.write(b"x" * 100_000)
    request.transport.abort()
    return response


async def runner_stream(request: web.Request) -> web.StreamResponse:
    response = web.StreamResponse()
    await response.prepare(request)
    async for part in request.content.iter_any():
        await response.write(part)
    await response.write_eof()
    return response


async def runner_hanging(request: web.Request) -> web.Response:
    await asyncio.sleep(60.0)
    return web.Response()


async def runner_counting(request: web.Request) -> web.Response:
    COMPLETE_UPLOADS.append(len(await request.read()))
    return web.Response()


async def runner_endless(request: web.Request) -> web.StreamResponse:
    response = web.StreamResponse()
    await response.prepare(request)
    ENDLESS_PARTS.clear()
    while len(ENDLESS_PARTS) < 100_000:
        await response.write(b"x" * 65_536)
        ENDLESS_PARTS.append(1)
    return response


async def wait_until(condition) -> None:
    for _ in range(1000):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("the condition was not met within 10 s")


async def final_count(count) -> int:
    """Wait until a count has stopped growing; returns it."""
    n_same = 0
    n_last = -1
    for _ in range(1000):
        n_same = n_same + 1 if count() == n_last > 0 else 0
        n_last = count()
        if n_same == 20:
            return n_last
        await asyncio.sleep(0.01)
    raise AssertionError("the count did not stop growing within 10 s")


def runner_app() -> web.Application:
    app = web.Application(client_max_size=10_000_000)
    app.router.add_route("*", "/cut", runner_truncating)
    app.router.add_route("*", "/cut-chunked", runner_truncating_chunked)
    app.router.add_route("*", "/stream", runner_stream)
    app.router.add_route("*", "/hang", runner_hanging)
    app.router.add_route("*", "/count", runner_counting)
    app.router.add_route("*", "/endless", runner_endless)
    app.router.add_route("*", "/{path:.*}", runner_echo)
    return app


@asynccontextmanager
async def http_path():
    """Yield a client session, an entry's URL for `SERVICE`, and the path."""
    path = ServicePath({})
    async with TestServer(runner_app()) as runner, path, ClientSession() as session:
        agent_id = AgentId("a")
        admission = RunnerAdmission(
            SERVICE,
            str(runner.make_url("/")),
            path._sender_of(agent_id),
            AdmissionOptions(),
        )
        path.admissions[agent_id] = admission
        await admission.start()
        path.connect(agent_id)
        app = web.Application()
        path.router.add_routes(app)
        async with TestServer(app) as entry:
            yield session, str(entry.make_url(f"/call/{SERVICE}")), path


@pytest.mark.parametrize(
    ("method", "target", "body", "answer"),
    [
        pytest.param("GET", "/a?x=%20y", b"", b"GET /a?x=%20y school ", id="get"),
        pytest.param("GET", "/a%2Fb", b"", b"GET /a%2Fb school ", id="escaped"),
        pytest.param("POST", "/", b"hi", b"POST / school hi", id="post"),
        pytest.param("GET", "", b"", b"GET / school ", id="no-path"),
        pytest.param("GET", "?x=1", b"", b"GET /?x=1 school ", id="only-query"),
        pytest.param(
            "GET", "//127.0.0.2:9/x", b"", b"GET //127.0.0.2:9/x school ", id="host"
        ),
        pytest.param(
            "GET",
            "/http://127.0.0.2:9/",
            b"",
            b"GET /http://127.0.0.2:9/ school ",
            id="address",
        ),
        pytest.param("GET", "/a/../b", b"", b"GET /a/../b school ", id="dots"),
        pytest.param("PUT", "/p", b"z" * 300_000, None, id="large"),
        pytest.param("POST", "/stream", b"z" * 3_000_000, None, id="stream"),
    ],
)
def test_request_and_answer_pass_unchanged(method, target, body, answer) -> None:
    async def run() -> None:
        async with http_path() as (session, base, _):
            url = URL(base + target, encoded=True)
            headers = {"X-Caller": "school", "X-Request-Id": "r-1"}
            async with session.request(
                method, url, data=body or None, headers=headers
            ) as reply:
                read = await reply.read()
                assert reply.status == 200
                assert reply.headers["X-Outcome"] == "done"
                assert reply.headers["X-Request-Id"] == "r-1"
                assert read == answer if answer else read.endswith(body)

    asyncio.run(run())


@pytest.mark.parametrize("target", ["/cut", "/cut-chunked"])
def test_truncated_answer_is_an_error_for_the_caller(target: str) -> None:
    async def run() -> None:
        async with http_path() as (session, base, _):
            with pytest.raises(ClientError):
                async with session.get(base + target) as reply:
                    await reply.read()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("headers", "status"),
    [
        pytest.param({"X-Timeout-Ms": "soon"}, 400, id="timeout-word"),
        pytest.param({"X-Timeout-Ms": "-1"}, 400, id="timeout-negative"),
        pytest.param({"X-Timeout-Ms": "nan"}, 400, id="timeout-nan"),
        pytest.param({"X-Idempotent": "maybe"}, 400, id="idempotent"),
        pytest.param({"X-Request-Id": "x" * 201}, 400, id="long-id"),
        pytest.param({"X-Idempotent": "TRUE"}, 200, id="fine"),
    ],
)
def test_headers_are_checked(headers: dict[str, str], status: int) -> None:
    async def run() -> None:
        async with http_path() as (session, base, _):
            async with session.get(base + "/x", headers=headers) as reply:
                assert reply.status == status

    asyncio.run(run())


def test_disconnected_caller_cancels_its_call() -> None:
    async def run() -> None:
        async with http_path() as (_, base, path):
            admission = path.admissions[AgentId("a")]
            url = URL(base)
            reader, writer = await asyncio.open_connection(url.host, url.port)
            writer.write(f"GET {url.path}/hang HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            await wait_until(lambda: admission.status().n_busy == 1)
            writer.close()
            await wait_until(lambda: admission.status().n_busy == 0)
            assert path.router.n_in_flight() == 0
            assert reader

    asyncio.run(run())


def test_truncated_upload_reaches_no_runner_as_complete() -> None:
    async def run() -> None:
        async with http_path() as (_, base, path):
            url = URL(base)
            _, writer = await asyncio.open_connection(url.host, url.port)
            head = f"PUT {url.path}/count HTTP/1.1\r\nHost: x\r\n"
            writer.write(
                head.encode() + b"Content-Length: 200000\r\n\r\n" + b"x" * 150000
            )
            admission = path.admissions[AgentId("a")]
            await wait_until(lambda: admission.status().n_busy == 1)
            writer.close()
            await wait_until(lambda: admission.status().n_busy == 0)
            assert COMPLETE_UPLOADS == []

    asyncio.run(run())


def test_slow_reader_causes_back_pressure() -> None:
    """The entry and the agent buffer only a bounded part of an endless answer."""

    async def run() -> None:
        async with http_path() as (session, base, path):
            async with session.get(base + "/endless") as reply:
                n_before = await final_count(lambda: len(ENDLESS_PARTS))
                for _ in range(200):
                    assert await reply.content.read(65_536)
                assert len(ENDLESS_PARTS) > n_before
            await wait_until(lambda: path.admissions[AgentId("a")].status().n_busy == 0)

    asyncio.run(run())


def test_a_repeated_request_id_is_refused_with_its_first_outcome() -> None:
    async def run() -> None:
        async with http_path() as (session, base, _):
            headers = {"X-Request-Id": "once", "X-Caller": "school"}
            async with session.post(base + "/x", headers=headers) as reply:
                assert reply.status == 200
            await asyncio.sleep(0.05)
            async with session.post(base + "/x", headers=headers) as reply:
                assert reply.status == 409
                result = await reply.json()
                assert result["kind"] == "done"
                assert result["result"] == "POST /x school "
                assert reply.headers["X-Outcome"] == "done"

    asyncio.run(run())


def test_call_to_another_service_is_refused() -> None:
    async def run() -> None:
        async with http_path() as (session, base, path):
            other = base.replace(SERVICE, "other")
            async with session.get(other + "/x") as reply:
                assert reply.status == 503
                assert reply.headers["Retry-After"]
                assert (await reply.json())["kind"] == "not_run"
            assert path.router.n_in_flight() == 0
            assert path.admissions[AgentId("a")].status().n_busy == 0

    asyncio.run(run())


def test_a_request_is_not_sent_again_on_a_closed_connection() -> None:
    """By default aiohttp resends a GET on a broken connection and runs it twice."""

    async def run() -> None:
        runs = []

        async def drop(request: web.Request) -> web.Response:
            runs.append(request.path)
            request.transport.abort()
            return web.Response()

        app = web.Application()
        app.router.add_route("*", "/{path:.*}", drop)
        async with TestServer(app) as server:
            client = HttpRunnerClient(str(server.make_url("/")), 8, 1.0)
            await client.start()
            fault = await client.send(RunnerRequest("GET", "/pay", (), b"", 0))
            await client.close()
            assert fault.may_have_run
            assert runs == ["/pay"]

    asyncio.run(run())
