"""Declares a worker or a place lost, in two steps.

The first step returns the consequence and a token, which the second step presents.
The token is a digest of the time and of what would be declared, so any entry can
check it. It expires, and it is valid only while the same workers are affected. It
does not authorise anything, since the caller has already been authorised; it proves
that the caller was shown the current consequence.
"""

import hashlib
from dataclasses import dataclass
from typing import Final

from almondspan_admin.fleet_view import SILENT_AFTER_S, AgentSummary
from almondspan_decisions.ids import WorkerId

__all__ = ["Loss", "check_token", "find_loss", "make_token"]

TOKEN_VALID_S: Final = 300
"""How long a token is valid, in seconds."""


@dataclass(frozen=True, slots=True)
class Loss:
    """The workers that a declaration affects, and its consequence as sentences."""

    kind: str
    name: str
    workers: tuple[WorkerId, ...]
    consequence: tuple[str, ...]


def find_loss(kind: str, name: str, agents: tuple[AgentSummary, ...]) -> Loss:
    """Return the workers and the consequence of declaring `name` lost.

    `kind` is ``worker`` or ``place``.
    """
    affected = [
        agent
        for agent in agents
        if agent.worker_id
        and name == (agent.worker_id if kind == "worker" else agent.place)
    ]
    workers = tuple(sorted({agent.worker_id for agent in affected}))
    if kind == "worker" and not workers:
        # A shard may still wait for a worker whose agent is no longer known.
        workers = (WorkerId(name),)
    return Loss(kind, name, workers, _consequence(kind, name, workers, affected))


def _consequence(
    kind: str, name: str, workers: tuple[WorkerId, ...], agents: list[AgentSummary]
) -> tuple[str, ...]:
    lines = [
        f"{kind} {name}: {len(workers)} worker(s): {', '.join(workers) or 'none'}",
        f"{sum(agent.n_tasks for agent in agents)} task(s) were last reported there",
        "each is treated as ended at once, without waiting for its lease to expire",
        "an idempotent task is restarted elsewhere; any other ends as unknown",
        "if one of these workers is still running, a task may run in two places: "
        "make sure that they are shut down or isolated from the network",
    ]
    alive = sorted(a.worker_id for a in agents if a.silent_s <= SILENT_AFTER_S)
    if alive:
        names = ", ".join(alive)
        lines.append(f"WARNING: reported within the last {SILENT_AFTER_S:g} s: {names}")
    return tuple(lines)


def make_token(loss: Loss, issued_unix_s: int) -> str:
    """Return the token that confirms `loss`."""
    text = "\n".join([str(issued_unix_s), loss.kind, loss.name, *loss.workers])
    return f"{issued_unix_s}.{hashlib.sha256(text.encode()).hexdigest()[:32]}"


def check_token(token: str, loss: Loss, now_unix_s: float) -> str | None:
    """Return why a token does not confirm `loss`, or None when it does."""
    issued, _, _ = token.partition(".")
    if not issued.isascii() or not issued.isdigit() or len(issued) > 12:
        return "the token is malformed"
    age_s = now_unix_s - int(issued)
    if not -TOKEN_VALID_S <= age_s <= TOKEN_VALID_S:
        return "the token is too old; request the consequence again"
    if token != make_token(loss, int(issued)):
        return "other workers are affected now; request the consequence again"
    return None
