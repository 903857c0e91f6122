"""Declaring a worker or a place lost, in two steps.

The first step answers with the consequence and a token. The token is a digest
over the time and what would be declared, so that any entry can check it: it is
valid for a while and only as long as the same workers are concerned. It proves no
right, since the caller has proved that already; it proves that the consequence as
it stands was shown.
"""

import hashlib
from dataclasses import dataclass
from typing import Final

from almondspan_admin.fleet_view import SILENT_AFTER_S, AgentSummary
from almondspan_decisions.ids import WorkerId

__all__ = ["Loss", "check_token", "find_loss", "make_token"]

TOKEN_VALID_S: Final = 300
"""How long a token confirms, in seconds."""


@dataclass(frozen=True, slots=True)
class Loss:
    """The workers that a declaration is about, and what it does, in sentences."""

    kind: str
    name: str
    workers: tuple[WorkerId, ...]
    consequence: tuple[str, ...]


def find_loss(kind: str, name: str, agents: tuple[AgentSummary, ...]) -> Loss:
    """Return what declaring the worker or place `name` lost would mean."""
    concerned = [
        agent
        for agent in agents
        if agent.worker_id
        and name == (agent.worker_id if kind == "worker" else agent.place)
    ]
    workers = tuple(sorted({agent.worker_id for agent in concerned}))
    if kind == "worker" and not workers:
        # Its agent may be long forgotten while a shard still waits for it.
        workers = (WorkerId(name),)
    return Loss(kind, name, workers, _consequence(kind, name, workers, concerned))


def _consequence(
    kind: str, name: str, workers: tuple[WorkerId, ...], agents: list[AgentSummary]
) -> tuple[str, ...]:
    lines = [
        f"{kind} {name}: {len(workers)} worker(s): {', '.join(workers) or 'none'}",
        f"{sum(agent.n_tasks for agent in agents)} task(s) were last seen there",
        "each is taken for ended at once, without waiting for its lease",
        "an idempotent task starts again elsewhere; any other ends as unknown",
        "if one of these workers still runs, a task may run in two places: "
        "make sure that they are off or cut off from everything",
    ]
    alive = sorted(a.worker_id for a in agents if a.silent_s <= SILENT_AFTER_S)
    if alive:
        names = ", ".join(alive)
        lines.append(f"WARNING: heard of within the last {SILENT_AFTER_S:g} s: {names}")
    return tuple(lines)


def make_token(loss: Loss, issued_unix_s: int) -> str:
    """Return the token that confirms `loss`."""
    text = "\n".join([str(issued_unix_s), loss.kind, loss.name, *loss.workers])
    return f"{issued_unix_s}.{hashlib.sha256(text.encode()).hexdigest()[:32]}"


def check_token(token: str, loss: Loss, now_unix_s: float) -> str | None:
    """Return why a token does not confirm `loss`, or None when it does."""
    issued, _, _ = token.partition(".")
    if not issued.isascii() or not issued.isdigit() or len(issued) > 12:
        return "the token was not made here"
    age_s = now_unix_s - int(issued)
    if not -TOKEN_VALID_S <= age_s <= TOKEN_VALID_S:
        return "the token is too old; ask for the consequence again"
    if token != make_token(loss, int(issued)):
        return "other workers are concerned now; ask for the consequence again"
    return None
