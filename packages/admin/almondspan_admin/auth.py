"""Authenticates teams by their bearer tokens.

Tokens are never stored or logged; the configuration holds their SHA-256 digests.
The digest of a presented token is compared with every team's digest, each time in
constant time, so the response time does not reveal a partial match.
"""

import hashlib
import hmac
from dataclasses import dataclass
from typing import Final

from almondspan_decisions.fleet import FleetConfig
from almondspan_decisions.ids import TeamName

__all__ = ["BOOTSTRAP_TEAM", "Identity", "identify", "token_digest"]

BOOTSTRAP_TEAM: Final = TeamName("bootstrap")
"""The author recorded for the first configuration."""

MAX_TOKEN_CHARS: Final = 512
_SCHEME: Final = "bearer "


@dataclass(frozen=True, slots=True)
class Identity:
    """An authenticated team.

    ``max_requests_per_s`` is the team's own rate limit; 0 means the default limit.
    """

    team: TeamName
    operator: bool
    max_requests_per_s: float = 0.0


def token_digest(token: str) -> str:
    """Return the SHA-256 digest of a token, as the configuration stores it."""
    return hashlib.sha256(token.encode(errors="surrogateescape")).hexdigest()


def identify(
    authorization: str, fleet: FleetConfig, bootstrap_token_sha256: str
) -> Identity | None:
    """Return the team whose token an ``Authorization`` header carries, or None.

    The bootstrap token is valid only until a configuration declares an operator.
    """
    if authorization[: len(_SCHEME)].lower() != _SCHEME:
        return None
    token = authorization[len(_SCHEME) :].strip()
    if not token or len(token) > MAX_TOKEN_CHARS:
        return None
    digest = token_digest(token)
    identity: Identity | None = None
    for team in fleet.teams:
        if hmac.compare_digest(digest, team.token_sha256):
            identity = Identity(team.name, team.operator, team.max_requests_per_s)
    if bootstrap_token_sha256 and not any(team.operator for team in fleet.teams):
        if hmac.compare_digest(digest, bootstrap_token_sha256):
            identity = Identity(BOOTSTRAP_TEAM, operator=True)
    return identity
