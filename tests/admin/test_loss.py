"""Declaring a loss requires the token of its current consequence."""

import asyncio

import pytest
from admin_api import NOW_UNIX_S, agent, running_api

from almondspan_admin.loss import check_token, find_loss, make_token

AGENTS = (agent("a"), agent("b", place="nadi", silent_s=90.0))
PLACE = find_loss("place", "nadi", AGENTS)
ISSUED = int(NOW_UNIX_S)
TOKEN = make_token(PLACE, ISSUED)
GROWN = find_loss("place", "nadi", (*AGENTS, agent("c", place="nadi")))


@pytest.mark.parametrize(
    ("token", "loss", "age_s", "error"),
    [
        pytest.param(TOKEN, PLACE, 0, None, id="fresh"),
        pytest.param(TOKEN, PLACE, 299, None, id="nearly too old"),
        pytest.param(TOKEN, PLACE, 301, "too old", id="too old"),
        pytest.param(TOKEN, PLACE, -400, "too old", id="from the future"),
        pytest.param(TOKEN, GROWN, 0, "other workers", id="another worker joined"),
        pytest.param(
            TOKEN, find_loss("worker", "nadi", ()), 0, "other workers", id="other kind"
        ),
        pytest.param(TOKEN[:-1], PLACE, 0, "other workers", id="cut off"),
        pytest.param("", PLACE, 0, "malformed", id="empty"),
        pytest.param("x.y", PLACE, 0, "malformed", id="invalid"),
        pytest.param("9" * 400 + ".y", PLACE, 0, "malformed", id="long"),
    ],
)
def test_token(token, loss, age_s, error):
    result = check_token(token, loss, ISSUED + age_s)
    assert (result is None) if error is None else (error in result)


@pytest.mark.parametrize(
    ("kind", "name", "workers", "warned"),
    [
        pytest.param("place", "suva", ("worker-of-a",), True, id="answers"),
        pytest.param("place", "nadi", ("worker-of-b",), False, id="silent"),
        pytest.param("worker", "worker-of-b", ("worker-of-b",), False, id="worker"),
        pytest.param("worker", "forgotten", ("forgotten",), False, id="forgotten"),
        pytest.param("place", "lautoka", (), False, id="no such place"),
    ],
)
def test_consequence(kind, name, workers, warned):
    loss = find_loss(kind, name, AGENTS)
    assert loss.workers == workers
    assert any("WARNING" in line for line in loss.consequence) == warned


def test_unknown_place_is_not_found():
    async def run():
        async with running_api() as api:
            body = {"kind": "place", "name": "atlantis"}
            answer = await api.call("POST", "/v1/fleet/losses", json=body)
            return answer[0], api.fleet.lost

    assert asyncio.run(run()) == (404, [])
