"""Fetches the configuration from agents while the store is unavailable.

An entry that starts during a store outage has no configuration, and hence no teams
and no policies; the agents still have one. When an agent's status reports a higher
revision than the entry holds, the entry requests it from that agent, one agent at a
time.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from almondspan_admin.config_client import ConfigClient
from almondspan_decisions.ids import AgentId
from almondspan_wire.codec import Message, message
from almondspan_wire.membership import AgentHello, AgentStatus, ConfigPush

__all__ = ["ConfigRequest", "ConfigFetcher"]

REQUEST_INTERVAL_S: Final = 2.0
"""The least time between requests, to any agents, in seconds."""


@message
class ConfigRequest(Message, frozen=True, tag="config?"):
    """Requests an agent's configuration; the agent replies with `ConfigPush`."""


class ConfigFetcher:
    """Requests newer configurations; a listener of the entry's agents.

    Parameters
    ----------
    config_client : ConfigClient
        Receives the fetched configurations.
    send : Callable[[AgentId, Message], bool]
        Sends a message to an agent; False when it is not connected.
    """

    def __init__(
        self, config_client: ConfigClient, send: Callable[[AgentId, Message], bool]
    ) -> None:
        self._config_client = config_client
        self._send = send
        self._requested_s = float("-inf")
        self.n_requests = 0
        self.n_received = 0

    def agent_joined(self, agent_id: AgentId, hello: AgentHello) -> None:
        """Do nothing; the agent's status reports its revision."""

    def on_status(self, agent_id: AgentId, status: AgentStatus) -> None:
        """Request the agent's configuration if it is newer than the entry's."""
        held = self._config_client.current()
        if status.config_revision <= (held.revision if held is not None else 0):
            return
        now_s = asyncio.get_running_loop().time()
        if now_s - self._requested_s >= REQUEST_INTERVAL_S and self._send(
            agent_id, ConfigRequest()
        ):
            self._requested_s = now_s
            self.n_requests += 1

    def agent_left(self, agent_id: AgentId) -> None:
        """Do nothing; no state is kept per agent."""

    def on_message(self, agent_id: AgentId, body: Message) -> bool:
        """Handle an agent's configuration; return False for other messages."""
        if not isinstance(body, ConfigPush):
            return False
        self.n_received += self._config_client.adopt(body)
        return True
