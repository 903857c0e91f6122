"""No request body or path causes a server error."""

import asyncio
import json

import pytest
from admin_api import running_api
from hypothesis import given, settings
from hypothesis import strategies as st

from almondspan_admin.routes import ROUTES

VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=6)
    | st.sampled_from(["archive", "return-2026", "AP8=", "place", "suva", "-1", "é"]),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=6), inner, max_size=3)
    ),
    max_leaves=8,
)


def bodies(route):
    """Return bodies with the route's own fields, so that some are nearly valid."""
    fields = st.sampled_from(route.body.__struct_fields__)
    return st.dictionaries(fields, VALUES, max_size=8).map(json.dumps)


@pytest.mark.parametrize(
    "route",
    [route for route in ROUTES if route.body is not None],
    ids=lambda route: route.path,
)
def test_any_body_gets_a_client_error_or_success(route):
    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(data=bodies(route).map(str.encode) | st.binary(max_size=30))
    def check(data):
        status, answer = loop.run_until_complete(
            api.call(route.method, route.path, data=data)
        )
        assert status < 500, (status, answer)
        assert status == 200 or answer["reason"]

    loop = asyncio.new_event_loop()
    manager = running_api()
    try:
        api = loop.run_until_complete(manager.__aenter__())
        check()
        loop.run_until_complete(manager.__aexit__(None, None, None))
    finally:
        loop.close()


@pytest.mark.parametrize(
    "path",
    [
        "/v1/config/history/-1",
        "/v1/config/history/99999999",
        "/v1/config/history/x",
        "/v1/config/history/%00",
        "/v1/orders/%2e%2e",
        "/v1/orders/a%2Fb",
        "/v1/orders/%ff",
        "/v1/nothing",
        "/v2/config",
    ],
)
def test_invalid_path_is_rejected(path):
    async def run():
        async with running_api() as api:
            headers = {"Authorization": "Bearer operator-token"}
            async with api.client.get(path, headers=headers) as response:
                return response.status

    assert asyncio.run(run()) in (400, 404)
