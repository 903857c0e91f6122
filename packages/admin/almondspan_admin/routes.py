"""The registry of the administration API's routes.

The `route` decorator registers a handler in `ROUTES` with its HTTP method, path,
required access, and the types of its request and response bodies. The module `api`
serves the registered routes; `openapi` documents them.
"""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from http import HTTPStatus
from typing import Final, TypeVar

from msgspec import Struct

from almondspan_admin.active_config import ActiveConfig
from almondspan_admin.auth import Identity
from almondspan_admin.config_client import ConfigClient
from almondspan_admin.fleet_view import FleetView
from almondspan_admin.messages import ErrorBody
from almondspan_decisions.fleet import FleetConfig
from almondspan_tasks.job_client import JobClient

__all__ = [
    "ROUTES",
    "Access",
    "ApiCall",
    "ApiContext",
    "Reply",
    "Route",
    "refuse",
    "route",
]

Body = TypeVar("Body", bound=Struct)


class Access(Enum):
    """Who may call a route."""

    TEAM = "team"
    OPERATOR = "operator"


@dataclass(frozen=True, slots=True)
class ApiContext:
    """The components that the handlers use."""

    job_client: JobClient
    config_client: ConfigClient
    fleet_view: FleetView
    wall_clock: Callable[[], float]
    active_config: ActiveConfig = field(default_factory=ActiveConfig)

    def fleet(self) -> FleetConfig:
        """Return the configuration that this entry holds."""
        push = self.config_client.current()
        if push is not None and push.revision > self.active_config.revision:
            self.active_config.accept(push)
        return self.active_config.fleet

    async def fresh_fleet(self) -> FleetConfig:
        """Return the configuration after reading the store.

        Another entry may just have accepted a newer revision.
        """
        await self.config_client.refresh()
        return self.fleet()


@dataclass(frozen=True, slots=True)
class ApiCall:
    """An authorised request."""

    identity: Identity
    path: Mapping[str, str] = field(default_factory=dict)
    body: Struct | None = None

    def read(self, cls: type[Body]) -> Body:
        """Return the body as `cls`, the body type that the route declares."""
        assert isinstance(self.body, cls)
        return self.body


@dataclass(frozen=True, slots=True)
class Reply:
    """The status and body of a response."""

    body: Struct
    status: HTTPStatus = HTTPStatus.OK


Handler = Callable[[ApiContext, ApiCall], Awaitable[Reply]]


@dataclass(frozen=True, slots=True)
class Route:
    """A registered handler with its method, path, access and body types."""

    method: str
    path: str
    access: Access
    handler: Handler
    answer: type[Struct]
    body: type[Struct] | None = None

    @property
    def summary(self) -> str:
        """The first line of the handler's docstring."""
        return (self.handler.__doc__ or "").strip().splitlines()[0]


ROUTES: Final[list[Route]] = []


def route(
    method: str,
    path: str,
    access: Access,
    answer: type[Struct],
    body: type[Struct] | None = None,
) -> Callable[[Handler], Handler]:
    """Return a decorator that registers a handler in `ROUTES`."""

    def register(handler: Handler) -> Handler:
        ROUTES.append(Route(method, path, access, handler, answer, body))
        return handler

    return register


def refuse(
    status: HTTPStatus, kind: str, reason: str, *, may_have_applied: bool = False
) -> Reply:
    """Return an error response."""
    return Reply(ErrorBody(kind, reason, may_have_applied=may_have_applied), status)
