"""Generates an OpenAPI document from the registered routes.

``python -m almondspan_admin.openapi`` prints the document. The package ships it as
``openapi.json``; a test checks that the file is up to date.
"""

import json
import re
import sys
from typing import Any, Final

import msgspec

from almondspan_admin import config_routes, fleet_routes, job_routes
from almondspan_admin.messages import ErrorBody
from almondspan_admin.routes import ROUTES, Route

__all__ = ["openapi_document", "openapi_text"]

ROUTE_MODULES: Final = (config_routes, fleet_routes, job_routes)
"""Modules that register their routes when they are imported."""

_REF: Final = "#/components/schemas/{name}"
_ERRORS: Final = {
    "400": "the body is malformed",
    "401": "missing or invalid bearer token",
    "403": "the team is not authorised to do this",
    "404": "not found, or it belongs to another team",
    "409": "conflict with the current state; read it again",
    "413": "the body is too large",
    "422": "the content is invalid",
    "429": "the team's rate limit is exceeded",
    "503": "unavailable or timed out; see may_have_applied",
}


def openapi_document() -> dict[str, Any]:
    """Return the document that describes every registered route."""
    types: set[type] = {ErrorBody}
    for route in ROUTES:
        types.add(route.answer)
        if route.body is not None:
            types.add(route.body)
    ordered = sorted(types, key=lambda cls: cls.__name__)
    schemas, components = msgspec.json.schema_components(ordered, ref_template=_REF)
    refs = dict(zip(ordered, schemas, strict=True))
    paths: dict[str, dict[str, Any]] = {}
    for route in sorted(ROUTES, key=lambda item: (item.path, item.method)):
        paths.setdefault(route.path, {})[route.method.lower()] = _operation(route, refs)
    return {
        "openapi": "3.1.0",
        "info": {"title": "almondspan administration", "version": "1"},
        "paths": paths,
        "components": {
            "schemas": components,
            "securitySchemes": {"team": {"type": "http", "scheme": "bearer"}},
        },
    }


def openapi_text() -> str:
    """Return the document as JSON, as shipped in ``openapi.json``."""
    return json.dumps(openapi_document(), indent=1, sort_keys=True) + "\n"


def _operation(route: Route, refs: dict[type, dict[str, Any]]) -> dict[str, Any]:
    operation: dict[str, Any] = {
        "operationId": route.handler.__name__,
        "summary": route.summary,
        "x-access": route.access.value,
        "security": [{"team": []}],
        "responses": _responses(route, refs),
    }
    names = re.findall(r"{(\w+)}", route.path)
    if names:
        operation["parameters"] = [
            {"name": name, "in": "path", "required": True, "schema": {"type": "string"}}
            for name in names
        ]
    if route.body is not None:
        operation["requestBody"] = {
            "required": True,
            "content": _json(refs[route.body]),
        }
    return operation


def _responses(route: Route, refs: dict[type, dict[str, Any]]) -> dict[str, Any]:
    responses = {
        code: {"description": text, "content": _json(refs[ErrorBody])}
        for code, text in _ERRORS.items()
    }
    responses["200"] = {"description": "done", "content": _json(refs[route.answer])}
    return responses


def _json(schema: dict[str, Any]) -> dict[str, Any]:
    return {"application/json": {"schema": schema}}


if __name__ == "__main__":
    sys.stdout.write(openapi_text())
