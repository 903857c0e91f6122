"""Describes the registered routes as an OpenAPI document.

``python -m almondspan_admin.openapi`` prints the document that the package ships
as ``openapi.json``; a test compares the two.
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
"""The modules whose import fills the registry."""

_REF: Final = "#/components/schemas/{name}"
_ERRORS: Final = {
    "400": "the body is malformed",
    "401": "no valid bearer token",
    "403": "the token's team may not do this",
    "404": "there is no such thing, or it is another team's",
    "409": "the state has moved on; look again",
    "413": "the body is too large",
    "422": "the content is at fault",
    "429": "too many requests of this team",
    "503": "no answer in time; see may_have_applied",
}


def openapi_document() -> dict[str, Any]:
    """Return the document of every registered route."""
    types: set[type] = {ErrorBody}
    for entry in ROUTES:
        types.add(entry.answer)
        if entry.body is not None:
            types.add(entry.body)
    ordered = sorted(types, key=lambda cls: cls.__name__)
    schemas, components = msgspec.json.schema_components(ordered, ref_template=_REF)
    refs = dict(zip(ordered, schemas, strict=True))
    paths: dict[str, dict[str, Any]] = {}
    for entry in sorted(ROUTES, key=lambda item: (item.path, item.method)):
        paths.setdefault(entry.path, {})[entry.method.lower()] = _operation(entry, refs)
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
    """Return the document as the package ships it."""
    return json.dumps(openapi_document(), indent=1, sort_keys=True) + "\n"


def _operation(entry: Route, refs: dict[type, dict[str, Any]]) -> dict[str, Any]:
    operation: dict[str, Any] = {
        "operationId": entry.handler.__name__,
        "summary": entry.summary,
        "x-access": entry.access.value,
        "security": [{"team": []}],
        "responses": _responses(entry, refs),
    }
    names = re.findall(r"{(\w+)}", entry.path)
    if names:
        operation["parameters"] = [
            {"name": name, "in": "path", "required": True, "schema": {"type": "string"}}
            for name in names
        ]
    if entry.body is not None:
        operation["requestBody"] = {
            "required": True,
            "content": _json(refs[entry.body]),
        }
    return operation


def _responses(entry: Route, refs: dict[type, dict[str, Any]]) -> dict[str, Any]:
    responses = {
        code: {"description": text, "content": _json(refs[ErrorBody])}
        for code, text in _ERRORS.items()
    }
    responses["200"] = {"description": "done", "content": _json(refs[entry.answer])}
    return responses


def _json(schema: dict[str, Any]) -> dict[str, Any]:
    return {"application/json": {"schema": schema}}


if __name__ == "__main__":
    sys.stdout.write(openapi_text())
