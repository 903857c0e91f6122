"""The shipped OpenAPI document describes exactly the routes that are served."""

import asyncio
import json
from importlib import resources

import pytest
from admin_api import running_api

from almondspan import answers
from almondspan_admin.openapi import openapi_text
from almondspan_admin.routes import ROUTES

SHIPPED = resources.files("almondspan_admin").joinpath("openapi.json").read_text()


def test_shipped_document_is_current():
    """To update it: python -m almondspan_admin.openapi > .../openapi.json."""
    assert openapi_text() == SHIPPED


def test_served_without_a_token():
    async def run():
        async with running_api() as api:
            return await api.call("GET", "/v1/openapi.json", token="")

    assert asyncio.run(run()) == (200, json.loads(SHIPPED))


def test_every_route_is_served_and_described():
    async def run():
        async with running_api() as api:
            return {
                (route.method, route.resource.canonical)
                for route in api.client.app.router.routes()
                if route.method != "HEAD"
            }

    paths = json.loads(SHIPPED)["paths"]
    described = {
        (method.upper(), path) for path, methods in paths.items() for method in methods
    }
    served = asyncio.run(run())
    assert served == described | {("GET", "/v1/openapi.json")}
    assert described == {(route.method, route.path) for route in ROUTES}


@pytest.mark.parametrize(
    ("name", "schema"),
    [
        ("Config", "ConfigBody"),
        ("Refusal", "ErrorBody"),
        ("Accepted", "AcceptedBody"),
        ("ConfigRevision", "ConfigRevisionBody"),
        ("ConfigStatus", "ConfigStatusBody"),
        ("RevisionShare", "RevisionShareBody"),
        ("SubmitResult", "SubmitResult"),
        ("Job", "JobStatus"),
        ("OrderTerms", "OrderConfig"),
        ("Ledger", "LedgerBody"),
        ("Agent", "AgentSummary"),
        ("Runner", "RunnerSummary"),
        ("Shard", "ShardSummary"),
        ("Service", "ServiceBurn"),
        ("Window", "WindowBurn"),
        ("Pair", "InterferingPair"),
        ("Loss", "LossAnswerBody"),
    ],
)
def test_command_line_reads_documented_fields(name, schema):
    """Every field that the command line decodes is in the OpenAPI document."""
    described = json.loads(SHIPPED)["components"]["schemas"][schema]["properties"]
    read = getattr(answers, name).__struct_fields__
    assert set(read) <= set(described)
