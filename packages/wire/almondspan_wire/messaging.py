"""How the parts of a process send mail without knowing who carries it."""

from typing import Protocol

from almondspan_wire.codec import Message

__all__ = ["MessageHandler", "MessageSender"]


class MessageSender(Protocol):
    """Carries messages to processes by their id; best effort, never blocks.

    Mail may be lost, repeated or overtaken. ``to`` is an `AgentId` or `EntryId`.
    """

    def send(self, to: str, body: Message) -> None:
        """Send `body` to the process `to`."""
        ...


class MessageHandler(Protocol):
    """Takes mail that has arrived; must not block."""

    def on_routed_message(self, sender: str, body: Message) -> None:
        """Handle `body` from the process `sender`."""
        ...
