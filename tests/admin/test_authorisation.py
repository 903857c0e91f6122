"""Access control, for every registered route and kind of token."""

import asyncio

import pytest
from admin_api import BOOTSTRAP, FLEET, running_api

from almondspan_admin.auth import identify, token_digest
from almondspan_admin.routes import ROUTES, Access
from almondspan_decisions.fleet_document import parse_fleet

STAGE = {
    "task_class": "validate",
    "cpu_millicores": 1,
    "memory_mb": 1,
    "declared_run_s": 1,
}
BODIES = {
    "/v1/config": {"expected_revision": 1, "toml": FLEET + "# changed"},
    "/v1/config/diff": {"toml": FLEET},
    "/v1/jobs": {"jobs": [{"job_id": "j", "team": "archive", "stages": [STAGE]}]},
    "/v1/jobs/status": {"job_ids": ["j"], "team": "archive"},
    "/v1/jobs/cancel": {"job_ids": ["j"], "team": "archive"},
    "/v1/fleet/losses": {"kind": "place", "name": "suva"},
}
PATHS = {"revision": "1", "order_name": "return-2026", "agent_id": "agent-1"}
TOKENS = {
    "none": ("", 401, 401),
    "wrong": ("no-such-token", 401, 401),
    "expired bootstrap": (BOOTSTRAP, 401, 401),
    "own team": ("archive-token", 200, 403),
    "operator": ("operator-token", 200, 200),
}


@pytest.mark.parametrize("kind", TOKENS)
@pytest.mark.parametrize("route", ROUTES, ids=lambda one: f"{one.method} {one.path}")
def test_access_to_every_route(route, kind):
    token, team_status, operator_status = TOKENS[kind]
    expected = team_status if route.access is Access.TEAM else operator_status
    body = BODIES.get(route.path) if route.method == "POST" else None

    async def run():
        async with running_api() as api:
            path = route.path.format(**PATHS)
            return await api.call(route.method, path, token, json=body or None)

    status, answer = asyncio.run(run())
    assert status == expected, answer


@pytest.mark.parametrize(
    ("path", "body", "status"),
    [
        pytest.param("/v1/jobs", BODIES["/v1/jobs"], 403, id="submit"),
        pytest.param("/v1/jobs/status", BODIES["/v1/jobs/status"], 403, id="status"),
        pytest.param("/v1/jobs/cancel", BODIES["/v1/jobs/cancel"], 403, id="cancel"),
        pytest.param("/v1/orders/return-2026", None, 404, id="order"),
    ],
)
def test_other_teams_jobs_and_orders_are_not_accessible(path, body, status):
    async def run():
        async with running_api() as api:
            await api.call("POST", "/v1/jobs", "archive-token", BODIES["/v1/jobs"])
            held = dict(api.job_client.jobs)
            method = "POST" if body else "GET"
            answer = await api.call(method, path, "water-token", json=body)
            return answer, held == api.job_client.jobs, api.job_client.cancelled

    (found, answer), is_unchanged, cancelled = asyncio.run(run())
    assert found == status, answer
    assert is_unchanged
    assert not cancelled


def test_teams_use_the_same_job_id():
    """Two teams may use the same job id without seeing each other's job."""

    async def run():
        async with running_api() as api:
            states = []
            for team in ("archive", "water"):
                job = {"job_id": "nightly", "team": team, "stages": [STAGE]}
                answer = await api.call(
                    "POST", "/v1/jobs", f"{team}-token", {"jobs": [job]}
                )
                states.append(answer[1]["results"][0]["state"])
            body = {"job_ids": ["archive/nightly", "nightly"]}
            found = await api.call("POST", "/v1/jobs/status", "water-token", body)
            return states, [one["state"] for one in found[1]["jobs"]]

    states, found = asyncio.run(run())
    assert states == ["accepted", "accepted"]
    assert found == ["absent", "ended"]


@pytest.mark.parametrize(
    ("header", "team"),
    [
        pytest.param("Bearer archive-token", "archive", id="team"),
        pytest.param("bearer  archive-token ", "archive", id="case and spaces"),
        pytest.param("Basic archive-token", None, id="other scheme"),
        pytest.param("Bearer ", None, id="empty"),
        pytest.param(f"Bearer {token_digest('archive-token')}", None, id="digest"),
        pytest.param("Bearer " + "x" * 5000, None, id="long"),
        pytest.param("Bearer archive-toke", None, id="prefix"),
        pytest.param("Bearer b\udce4d", None, id="surrogate"),
    ],
)
def test_identify(header, team):
    found = identify(header, parse_fleet(FLEET), "")
    assert (found.team if found else None) == team


def test_bootstrap_token_expires_with_the_first_operator():
    async def run():
        async with running_api(toml="") as api:
            before = await api.call("GET", "/v1/config", BOOTSTRAP)
            body = {"expected_revision": 0, "toml": FLEET}
            first = await api.call("POST", "/v1/config", BOOTSTRAP, body)
            after = await api.call("GET", "/v1/config", BOOTSTRAP)
            return before[0], first[0], after[0]

    assert asyncio.run(run()) == (200, 200, 401)


def test_tokens_are_not_logged(caplog):
    caplog.set_level("DEBUG")

    async def run():
        async with running_api() as api:
            await api.call("GET", "/v1/config", "operator-token")
            await api.call("GET", "/v1/config", "wrong-secret")

    asyncio.run(run())
    assert "operator-token" not in caplog.text
    assert "wrong-secret" not in caplog.text


def test_config_accepted_by_another_entry_is_used_at_once():
    """A team or order that another entry has just accepted is known when needed."""

    async def run():
        async with running_api() as here, running_api(toml="") as there:
            there.config_client._config_store._store = here.store
            order = await there.call("GET", "/v1/orders/return-2026", "archive-token")
            shown = await there.call("GET", "/v1/config", "operator-token")
            return order[0], shown[1]["revision"]

    assert asyncio.run(run()) == (200, 1)
