"""Limits of the body size and of each team's request rate."""

import asyncio

import pytest
from admin_api import FLEET, running_api

from almondspan_admin.rate_limiter import RateLimiter


@pytest.mark.parametrize(
    ("n_bytes", "chunked", "status"),
    [
        pytest.param(2000, False, 400, id="at the limit"),
        pytest.param(2001, False, 413, id="over, length given"),
        pytest.param(2000, True, 400, id="at the limit, chunked"),
        pytest.param(2001, True, 413, id="over, chunked"),
        pytest.param(5_000_000, True, 413, id="far over, chunked"),
    ],
)
def test_body_size(n_bytes, chunked, status):
    async def chunks():
        for first in range(0, n_bytes, 700):
            yield b" " * min(700, n_bytes - first)

    async def run():
        async with running_api(max_body_bytes=2000, toml="") as api:
            data = chunks() if chunked else b" " * n_bytes
            answer = await api.call("POST", "/v1/jobs", "bootstrap-token", data=data)
            return answer, api.api.counters.n_oversized

    (found, answer), n_oversized = asyncio.run(run())
    assert found == status, answer
    assert n_oversized == (status == 413)


def test_rate_limit_is_per_team():
    """At these rates a bucket holds one token and takes many minutes to refill."""
    toml = FLEET.replace("max_requests_per_s = 2.0", "max_requests_per_s = 1.2")

    async def run():
        async with running_api(toml, max_requests_per_s=0.001) as api:
            statuses = {}
            for team in ("archive", "water", "nobody", "operator"):
                path = "/v1/orders/return-2026"
                answers = [await api.call("GET", path, f"{team}-token") for _ in "abc"]
                statuses[team] = [status for status, _ in answers]
            return statuses, api.api.counters.n_rate_limited

    statuses, n_limited = asyncio.run(run())
    assert statuses["archive"] == [200, 429, 429]
    assert statuses["water"][:2] == [404, 404]
    assert statuses["nobody"] == [401, 429, 429]
    assert statuses["operator"] == [200, 429, 429]
    assert n_limited >= 6


@pytest.mark.parametrize(
    ("times_s", "expected_s"),
    [
        pytest.param([0, 0, 0, 0], [0, 0, 0, 0], id="saved up"),
        pytest.param([0, 0, 0, 0, 0], [0, 0, 0, 0, 0.5], id="used up"),
        pytest.param([0, 0, 0, 0, 0, 0.5], [0, 0, 0, 0, 0.5, 0], id="filled again"),
        pytest.param([0] * 4 + [90] * 5, [0] * 8 + [0.5], id="bounded"),
    ],
)
def test_token_bucket(times_s, expected_s):
    limiter = RateLimiter()
    assert [limiter.delay_s("team", 2.0, now_s) for now_s in times_s] == expected_s
