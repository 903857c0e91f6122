"""Pushes the active configuration to agents that hold an earlier revision.

Every entry of a region would push the same change to every agent. Each entry therefore
waits a random part of `SPREAD_S` per agent and skips agents whose status already names
the revision because another entry pushed it in the meantime. The push is repeated
until the agent's status acknowledges it. A revision lower than the active one is never
pushed.
"""

import asyncio
import random
from collections.abc import Callable, Mapping
from typing import Final

from almondspan_daemon.agent_directory import ConnectedAgent
from almondspan_decisions.ids import AgentId
from almondspan_wire.codec import Message
from almondspan_wire.membership import AgentHello, AgentStatus, ConfigPush

__all__ = ["ConfigPusher"]

SPREAD_S: Final = 2.0
RESEND_S: Final = 3.0
TICK_S: Final = 0.25


class ConfigPusher:
    """The entry's side of configuration distribution; an `AgentListener`."""

    def __init__(
        self,
        agents: Mapping[AgentId, ConnectedAgent],
        post: Callable[[AgentId, Message], bool],
        rng: random.Random,
    ) -> None:
        self._agents = agents
        self._post = post
        self._rng = rng
        self._push: ConfigPush | None = None
        self._due_s: dict[AgentId, float] = {}
        self.n_pushes = 0

    def set_config(self, push: ConfigPush) -> None:
        """Push a new configuration to every agent; ignore one that is not newer."""
        if self._push is not None and push.revision <= self._push.revision:
            return
        self._push = push
        for agent_id, agent in self._agents.items():
            # An agent without a status yet is scheduled when its first one arrives.
            if agent.status is not None:
                self.on_status(agent_id, agent.status)

    def agent_joined(self, agent_id: AgentId, hello: AgentHello) -> None:
        """Do nothing: the agent's first status names its revision."""

    def on_status(self, agent_id: AgentId, status: AgentStatus) -> None:
        """Schedule a push, or cancel it if the agent has the active revision."""
        if self._push is None:
            return
        if status.config_revision >= self._push.revision:
            self._due_s.pop(agent_id, None)
        elif agent_id not in self._due_s:
            self._schedule(agent_id, self._rng.random() * SPREAD_S)

    def agent_left(self, agent_id: AgentId) -> None:
        """Cancel the push to an agent that left."""
        self._due_s.pop(agent_id, None)

    def on_message(self, agent_id: AgentId, body: Message) -> bool:
        """Leave every message to the other listeners."""
        return False

    async def run(self) -> None:
        """Send due pushes until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(TICK_S)
            self._push_due(loop.time())

    def _push_due(self, now_s: float) -> None:
        if self._push is None:
            return
        for agent_id, due_s in list(self._due_s.items()):
            if due_s <= now_s:
                self._post(agent_id, self._push)
                self.n_pushes += 1
                self._due_s[agent_id] = now_s + RESEND_S

    def _schedule(self, agent_id: AgentId, delay_s: float) -> None:
        self._due_s[agent_id] = asyncio.get_running_loop().time() + delay_s
