"""Who asks: bearer tokens of teams, compared by their digests.

A token is never stored and never logged; the configuration holds its SHA-256
digest. Every digest is compared, each in constant time, so the time of an answer
tells nothing of which came close.
"""

import hashlib
import hmac
from dataclasses import dataclass
from typing import Final

from almondspan_decisions.fleet import FleetConfig
from almondspan_decisions.ids import TeamName

__all__ = ["BOOTSTRAP_TEAM", "Identity", "identify", "token_digest"]

BOOTSTRAP_TEAM: Final = TeamName("bootstrap")
"""The name under which the very first configuration is submitted."""

MAX_TOKEN_CHARS: Final = 512
_SCHEME: Final = "bearer "


@dataclass(frozen=True, slots=True)
class Identity:
    """A team that has proved its token, and its own limit of requests."""

    team: TeamName
    operator: bool
    max_requests_per_s: float = 0.0


def token_digest(token: str) -> str:
    """Return the digest of a token as the configuration holds it."""
    return hashlib.sha256(token.encode(errors="surrogateescape")).hexdigest()


def identify(
    authorization: str, fleet: FleetConfig, bootstrap_token_sha256: str
) -> Identity | None:
    """Return whose token an ``Authorization`` header carries, if anyone's.

    The bootstrap token counts only until a configuration names an operator.
    """
    if authorization[: len(_SCHEME)].lower() != _SCHEME:
        return None
    token = authorization[len(_SCHEME) :].strip()
    if not token or len(token) > MAX_TOKEN_CHARS:
        return None
    digest = token_digest(token)
    found: Identity | None = None
    for team in fleet.teams:
        if hmac.compare_digest(digest, team.token_sha256):
            found = Identity(team.name, team.operator, team.max_requests_per_s)
    if bootstrap_token_sha256 and not any(team.operator for team in fleet.teams):
        if hmac.compare_digest(digest, bootstrap_token_sha256):
            found = Identity(BOOTSTRAP_TEAM, operator=True)
    return found
