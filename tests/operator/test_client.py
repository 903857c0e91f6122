"""Whatever an entry or a balancer answers, the client tells what may have happened."""

import asyncio

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from almondspan.answers import Accepted, Refusal
from almondspan.client import AdminClient, Connection, NoAnswer, Refused


def answer(status, body, close=False):
    async def handle(request):
        await request.read()
        if close:
            request.transport.close()
        return web.Response(status=status, text=body)

    return handle


GOOD = answer(200, '{"revision": 3}')
BUSY = answer(429, '{"kind": "rate_limited", "reason": "slow"}')
DOWN = answer(503, '{"kind": "x", "reason": "no store", "may_have_applied": false}')
MAYBE = answer(503, '{"kind": "x", "reason": "lost", "may_have_applied": true}')
CUT = answer(200, "", close=True)
BROKEN = answer(500, "trace")
BALANCER = answer(502, "<html>bad gateway</html>")
REFUSED = answer(403, '{"kind": "forbidden", "reason": "no"}')
OTHER = answer(404, "404: Not Found")


@pytest.mark.parametrize(
    ("entries", "found"),
    [
        pytest.param([GOOD], Accepted(3), id="at once"),
        pytest.param([None, GOOD], Accepted(3), id="first is down"),
        pytest.param([BUSY, GOOD], Accepted(3), id="first is busy"),
        pytest.param([CUT, GOOD], Accepted(3), id="answer lost, then repeated"),
        pytest.param([BALANCER, DOWN, GOOD], Accepted(3), id="third answers"),
        pytest.param(
            [REFUSED, GOOD], Refused(403, Refusal("forbidden", "no")), id="refused"
        ),
        pytest.param([None], False, id="down"),
        pytest.param([BUSY], False, id="busy"),
        pytest.param([DOWN, None], False, id="no store"),
        pytest.param([OTHER], False, id="no administration port"),
        pytest.param([MAYBE], True, id="entry does not know"),
        pytest.param([CUT], True, id="answer lost"),
        pytest.param([BROKEN], True, id="entry broke"),
        pytest.param([BALANCER], True, id="balancer"),
        pytest.param([answer(200, "{")], True, id="answer cut off"),
        pytest.param([MAYBE, DOWN], True, id="one may have taken it"),
    ],
)
def test_post(entries, found):
    async def run():
        servers, addresses = [], []
        for handle in entries:
            app = web.Application()
            app.router.add_post("/v1/config", handle or GOOD)
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

    given = asyncio.run(run())
    if isinstance(found, bool):
        assert isinstance(given, NoAnswer)
        assert given.may_have_applied is found, given
    else:
        assert given == found
