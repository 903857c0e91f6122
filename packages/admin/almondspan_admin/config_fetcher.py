"""Lets an entry learn the configuration from agents while the store is down.

An entry that starts during an outage knows no configuration, and so no team and no
policy; the agents still hold one. When an agent's status names a higher revision
than the entry holds, the entry asks that agent for it, one agent at a time.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from almondspan_admin.config_client import ConfigClient
from almondspan_decisions.ids import AgentId
from almondspan_wire.codec import Message, message
from almondspan_wire.membership import AgentHello, AgentStatus, ConfigPush

__all__ = ["ConfigRequest", "ConfigFetcher"]

ASK_S: Final = 2.0
"""How long the entry waits for one agent before it asks another, in seconds."""


@message
class ConfigRequest(Message, frozen=True, tag="config?"):
    """Asks an agent for the configuration that it holds; `ConfigPush` answers."""


class ConfigFetcher:
    """The entry's half; a listener of its agents.

    Parameters
    ----------
    relay : ConfigRelay
    post : Callable[[AgentId, Message], bool]
        Sends a message to an agent; False when it is not connected.
    """

    def __init__(
        self, config_client: ConfigClient, post: Callable[[AgentId, Message], bool]
    ) -> None:
        self._config_client = config_client
        self._post = post
        self._asked_s = float("-inf")
        self.n_asked = 0
        self.n_learned = 0

    def agent_joined(self, agent_id: AgentId, hello: AgentHello) -> None:
        """Take no note; the agent's status says what it holds."""

    def on_status(self, agent_id: AgentId, status: AgentStatus) -> None:
        """Ask the agent for a configuration that is newer than the entry's."""
        held = self._config_client.current()
        if status.config_revision <= (held.revision if held is not None else 0):
            return
        now_s = asyncio.get_running_loop().time()
        if now_s - self._asked_s >= ASK_S and self._post(agent_id, ConfigRequest()):
            self._asked_s = now_s
            self.n_asked += 1

    def agent_left(self, agent_id: AgentId) -> None:
        """Take no note."""

    def on_message(self, agent_id: AgentId, body: Message) -> bool:
        """Take the configuration that an agent sends."""
        if not isinstance(body, ConfigPush):
            return False
        self.n_learned += self._config_client.adopt(body)
        return True
