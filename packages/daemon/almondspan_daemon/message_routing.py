"""Routes messages between the processes of a region by address.

`EntryMessageRouter` delivers messages for the entry itself and forwards the others: a
message for an agent to that agent, one for ``shard:<id>`` to the shard's owner.
`AgentMessageRouter` delivers messages for the agent itself and for the shards that it
owns, and forwards the others through an entry. A message for the agent itself goes to
both its attempt agent and its shard host, each of which ignores the types that it does
not handle. A message that cannot be routed is dropped and counted; senders repeat
messages that are not answered.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from almondspan_decisions.ids import AgentId, EntryId, ShardId
from almondspan_wire.codec import Malformed, Message, decode, encode
from almondspan_wire.membership import AgentHello, AgentStatus, RoutedMessage
from almondspan_wire.messaging import MessageHandler

__all__ = ["AgentMessageRouter", "EntryMessageRouter", "shard_of_address"]

SHARD_PREFIX: Final = "shard:"
MAX_DIGITS: Final = 15


def shard_of_address(to: str) -> ShardId | None:
    """Return the shard that an address names, or None if it is a process id."""
    if not to.startswith(SHARD_PREFIX):
        return None
    digits = to[len(SHARD_PREFIX) :]
    is_number = digits.isdecimal() and len(digits) <= MAX_DIGITS
    return ShardId(int(digits)) if is_number else None


class EntryMessageRouter:
    """The entry's `MessageSender`, and an `AgentListener` that forwards messages."""

    def __init__(
        self,
        entry_id: EntryId,
        post_to_agent: Callable[[AgentId, Message], bool],
        owner_of: Callable[[ShardId], AgentId | None],
    ) -> None:
        self._entry_id = entry_id
        self._post_to_agent = post_to_agent
        self._owner_of = owner_of
        self._handlers: list[MessageHandler] = []
        self.n_forwarded = 0
        self.n_undeliverable = 0

    def add_handler(self, handler: MessageHandler) -> None:
        """Deliver messages for the entry itself to `handler` as well."""
        self._handlers.append(handler)

    def send(self, to: str, body: Message) -> None:
        """Send a message from this entry."""
        self._forward(RoutedMessage(self._entry_id, to, encode(body)))

    def agent_joined(self, agent_id: AgentId, hello: AgentHello) -> None:
        """Do nothing: connected agents are looked up in the directory."""

    def on_status(self, agent_id: AgentId, status: AgentStatus) -> None:
        """Do nothing: a shard's owner is looked up for each message."""

    def agent_left(self, agent_id: AgentId) -> None:
        """Do nothing: connected agents are looked up in the directory."""

    def on_message(self, agent_id: AgentId, body: Message) -> bool:
        """Deliver or forward a routed message of an agent."""
        if not isinstance(body, RoutedMessage):
            return False
        self._forward(body)
        return True

    def _forward(self, message: RoutedMessage) -> None:
        if message.to == self._entry_id:
            self._deliver(message)
            return
        shard_id = shard_of_address(message.to)
        to = AgentId(message.to) if shard_id is None else self._owner_of(shard_id)
        if to is not None and self._post_to_agent(to, message):
            self.n_forwarded += 1
        else:
            self.n_undeliverable += 1

    def _deliver(self, message: RoutedMessage) -> None:
        body = decode(message.body)
        if isinstance(body, Malformed):
            self.n_undeliverable += 1
            return
        for handler in self._handlers:
            handler.on_routed_message(message.sender, body)


class AgentMessageRouter:
    """The agent's `MessageSender`; also delivers the messages that entries forward."""

    def __init__(
        self, agent_id: AgentId, post_to_entry: Callable[[str, Message], bool]
    ) -> None:
        self._agent_id = agent_id
        self._post_to_entry = post_to_entry
        self._attempt_agent: MessageHandler | None = None
        self._host: MessageHandler | None = None
        self._owns: Callable[[ShardId], bool] = lambda shard_id: False
        self.n_undeliverable = 0

    def set_handlers(
        self,
        attempt_agent: MessageHandler | None,
        host: MessageHandler,
        owns: Callable[[ShardId], bool],
    ) -> None:
        """Set the handlers of messages for the agent itself and for its shards."""
        self._attempt_agent = attempt_agent
        self._host = host
        self._owns = owns

    def send(self, to: str, body: Message) -> None:
        """Send a message from this agent, within the process where possible."""
        shard_id = shard_of_address(to)
        is_here = to == self._agent_id or (
            shard_id is not None and self._owns(shard_id)
        )
        if is_here:
            # Delivery is deferred to the next iteration of the event loop, so that
            # no handler runs inside another one.
            loop = asyncio.get_running_loop()
            loop.call_soon(self._deliver, self._agent_id, to, body)
            return
        if not self._post_to_entry(to, RoutedMessage(self._agent_id, to, encode(body))):
            self.n_undeliverable += 1

    def receive(self, message: RoutedMessage) -> None:
        """Deliver a message that an entry has forwarded."""
        body = decode(message.body)
        if isinstance(body, Malformed):
            self.n_undeliverable += 1
            return
        self._deliver(message.sender, message.to, body)

    def _deliver(self, sender: str, to: str, body: Message) -> None:
        if self._host is not None:
            self._host.on_routed_message(sender, body)
        if self._attempt_agent is not None and shard_of_address(to) is None:
            self._attempt_agent.on_routed_message(sender, body)
