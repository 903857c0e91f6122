"""Pushes the configuration in force to agents that hold an earlier one.

Every entry of a region would push the same change to every agent. An entry
therefore waits a random part of `SPREAD_S` for each agent and skips those whose
status already names the revision, which another entry pushed in the meantime.
An agent that does not acknowledge is sent the configuration again. A revision
lower than the one in force is never pushed.
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
    """The entry's half of the relay; an `AgentListener`."""

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
        """Bring every agent to `push`; a lower revision changes nothing."""
        if self._push is not None and push.revision <= self._push.revision:
            return
        self._push = push
        for agent_id, agent in self._agents.items():
            # Who has not sent a status yet is scheduled by the first one.
            if agent.status is not None:
                self.on_status(agent_id, agent.status)

    def agent_joined(self, agent_id: AgentId, hello: AgentHello) -> None:
        """Wait for the agent's first status, which names its revision."""

    def on_status(self, agent_id: AgentId, status: AgentStatus) -> None:
        """Forget what the agent has acknowledged, or schedule a push."""
        if self._push is None:
            return
        if status.config_revision >= self._push.revision:
            self._due_s.pop(agent_id, None)
        elif agent_id not in self._due_s:
            self._schedule(agent_id, self._rng.random() * SPREAD_S)

    def agent_left(self, agent_id: AgentId) -> None:
        """Forget an agent."""
        self._due_s.pop(agent_id, None)

    def on_message(self, agent_id: AgentId, body: Message) -> bool:
        """Take nothing."""
        return False

    async def run(self) -> None:
        """Push what is due until cancelled."""
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
