"""Commands for agents and shards, draining, and declaring losses."""

from typing import Final

from almondspan.answers import Agent, Agents, Drained, Loss, Shards
from almondspan.client import AdminClient, NoAnswer, Refused, path_of
from almondspan.exit_codes import ExitCode
from almondspan.results import Result, failure
from almondspan.tables import format_table
from almondspan.texts import (
    AGENT_HEADERS,
    DRAINING,
    LOSS_DECLARED,
    LOSS_NEXT,
    RESUMED,
    SHARD_HEADERS,
)

__all__ = ["declare_loss", "drain", "list_agents", "list_shards"]

SILENT_AFTER_S: Final = 10.0
"""An agent without a status report for longer is shown as silent, in seconds."""


async def list_agents(client: AdminClient) -> Result:
    """List the agents."""
    response = await client.get("/v1/fleet/agents", Agents)
    if isinstance(response, Refused | NoAnswer):
        return failure(response)
    rows = [
        (
            agent.agent_id,
            agent.worker_id or "-",
            agent.place,
            agent.n_tasks,
            agent.n_shards,
            agent.free.cpu_millicores,
            agent.free.memory_mb,
            agent.config_revision,
            round(agent.silent_s, 1),
            _agent_state(agent),
        )
        for agent in sorted(response.agents, key=lambda agent: agent.agent_id)
    ]
    return Result(ExitCode.DONE, format_table(AGENT_HEADERS, rows), response)


def _agent_state(agent: Agent) -> str:
    states = []
    if agent.silent_s > SILENT_AFTER_S:
        states.append("SILENT")
    if agent.draining:
        states.append("draining")
    if agent.resting:
        states.append("resting")
    if agent.ladder_level:
        states.append(f"ladder {agent.ladder_level}")
    return ", ".join(states) or "ready"


async def list_shards(client: AdminClient) -> Result:
    """List the shards with their owners; `ExitCode.ATTENTION` if one has none."""
    response = await client.get("/v1/fleet/shards", Shards)
    if isinstance(response, Refused | NoAnswer):
        return failure(response)
    rows = [
        (shard.shard_id, shard.owner or "(none)", shard.epoch)
        for shard in response.shards
    ]
    is_owned = all(shard.owner for shard in response.shards)
    code = ExitCode.DONE if is_owned else ExitCode.ATTENTION
    return Result(code, format_table(SHARD_HEADERS, rows), response)


async def drain(client: AdminClient, agent_id: str, undo: bool) -> Result:
    """Make an agent drain or, with `undo`, accept work again."""
    path = path_of("fleet", "agents", agent_id, "resume" if undo else "drain")
    response = await client.post(path, {}, Drained)
    if isinstance(response, Refused | NoAnswer):
        return failure(response)
    text = RESUMED if undo else DRAINING
    return Result(ExitCode.DONE, text.format(agent_id=response.agent_id), response)


async def declare_loss(client: AdminClient, kind: str, name: str, token: str) -> Result:
    """Return the consequence of a loss or, given its token, declare the loss."""
    body = {"kind": kind, "name": name, "token": token}
    response = await client.post("/v1/fleet/losses", body, Loss)
    if isinstance(response, Refused | NoAnswer):
        return failure(response)
    if response.declared:
        text = LOSS_DECLARED.format(kind=kind, name=name)
        return Result(ExitCode.DONE, text, response)
    next_step = LOSS_NEXT.format(kind=kind, name=name, token=response.token)
    return Result(
        ExitCode.DONE, "\n".join([*response.consequence, next_step]), response
    )
