"""The client's result for all kinds of responses of entries and load balancers."""

import asyncio

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from almondspan.answers import Accepted, Refusal
from almondspan.client import AdminClient, Connection, NoAnswer, Refused


def respond(status, body, close=False):
    async def handle(request):
        await request.read()
        if close:
            request.transport.close()
        return web.Response(status=status, text=body)

    return handle


OK = respond(200, '{"revision": 3}')
RATE_LIMITED = respond(429, '{"kind": "rate_limited", "reason": "slow"}')
UNAVAILABLE = respond(
    503, '{"kind": "x", "reason": "no store", "may_have_applied": false}'
)
UNAVAILABLE_MAY_HAVE_APPLIED = respond(
    503, '{"kind": "x", "reason": "lost", "may_have_applied": true}'
)
CONNECTION_LOST = respond(200, "", close=True)
SERVER_ERROR = respond(500, "trace")
BAD_GATEWAY = respond(502, "<html>bad gateway</html>")
REFUSED = respond(403, '{"kind": "forbidden", "reason": "no"}')
NOT_FOUND = respond(404, "404: Not Found")
DEEP = '{"more": ' + "[" * 5_000 + "]" * 5_000 + "}"


@pytest.mark.parametrize(
    ("entries", "expected"),
    [
        pytest.param([OK], Accepted(3), id="at once"),
        pytest.param([None, OK], Accepted(3), id="first is down"),
        pytest.param([RATE_LIMITED, OK], Accepted(3), id="first is busy"),
        pytest.param(
            [CONNECTION_LOST, OK], Accepted(3), id="response lost, then repeated"
        ),
        pytest.param(
            [BAD_GATEWAY, UNAVAILABLE, OK], Accepted(3), id="third entry answers"
        ),
        pytest.param(
            [REFUSED, OK], Refused(403, Refusal("forbidden", "no")), id="refused"
        ),
        pytest.param([None], False, id="down"),
        pytest.param([RATE_LIMITED], False, id="busy"),
        pytest.param([UNAVAILABLE, None], False, id="no store"),
        pytest.param([NOT_FOUND], False, id="not an administration API"),
        pytest.param(
            [UNAVAILABLE_MAY_HAVE_APPLIED], True, id="entry reports unknown result"
        ),
        pytest.param([CONNECTION_LOST], True, id="response lost"),
        pytest.param([SERVER_ERROR], True, id="server error"),
        pytest.param([BAD_GATEWAY], True, id="load balancer"),
        pytest.param([respond(200, "{")], True, id="truncated response"),
        pytest.param([respond(200, DEEP)], True, id="nested too deeply"),
        pytest.param(
            [UNAVAILABLE_MAY_HAVE_APPLIED, UNAVAILABLE],
            True,
            id="one may have applied it",
        ),
    ],
)
def test_post(entries, expected):
    async def run():
        servers, addresses = [], []
        for handle in entries:
            app = web.Application()
            app.router.add_post("/v1/config", handle or OK)
            server = TestServer(app)
            await server.start_server(access_log=None)
            addresses.append(str(server.make_url("")).rstrip("/"))
            if handle is None:
                await server.close()
            servers.append(server)
        client = AdminClient(Connection(tuple(addresses), "token", timeout_s=0.2))
        await client.start()
        try:
            return await client.post("/v1/config", {}, Accepted)
        finally:
            await client.close()
            for server in servers:
                await server.close()

    result = asyncio.run(run())
    if isinstance(expected, bool):
        assert isinstance(result, NoAnswer)
        assert result.may_have_applied is expected, result
    else:
        assert result == expected
