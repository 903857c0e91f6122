"""Protocols for messages that are routed to a process or shard by its id.

They separate the components that send and handle such messages from the transport.
"""

from typing import Protocol

from almondspan_wire.codec import Message

__all__ = ["MessageHandler", "MessageSender"]


class MessageSender(Protocol):
    """Sends messages by the id of their receiver; best effort, never blocks.

    Messages may be lost, repeated or reordered. ``to`` is an `AgentId`, an `EntryId` or
    the address of a shard.
    """

    def send(self, to: str, body: Message) -> None:
        """Send `body` to the receiver `to`."""
        ...


class MessageHandler(Protocol):
    """Handles messages that have arrived; must not block."""

    def on_routed_message(self, sender: str, body: Message) -> None:
        """Handle `body` from the process `sender`."""
        ...
