"""Routing of messages by address at an entry and at an agent."""

import asyncio

import pytest

from almondspan_daemon.message_routing import (
    AgentMessageRouter,
    EntryMessageRouter,
    shard_of_address,
)
from almondspan_decisions.ids import AgentId, EntryId, ShardId
from almondspan_wire.codec import Message, encode
from almondspan_wire.membership import NominateOwner, RoutedMessage

BODY = NominateOwner(ShardId(9))


class Inbox:
    """Records the messages that it handles."""

    def __init__(self) -> None:
        self.received: list[tuple[str, Message]] = []

    def on_routed_message(self, sender: str, body: Message) -> None:
        self.received.append((sender, body))


@pytest.mark.parametrize(
    ("to", "shard"),
    [
        pytest.param("shard:7", 7, id="shard"),
        pytest.param("shard:", None, id="no number"),
        pytest.param("shard:-1", None, id="negative"),
        pytest.param("shard:\u00b2", None, id="a digit that is no number"),
        pytest.param("shard:" + "9" * 5_000, None, id="too many digits"),
        pytest.param("agent-1", None, id="process"),
    ],
)
def test_shard_of_address(to: str, shard: int | None) -> None:
    assert shard_of_address(to) == shard


@pytest.mark.parametrize(
    ("to", "reached"),
    [
        pytest.param("e1", "entry", id="the entry itself"),
        pytest.param("a1", "a1", id="an agent"),
        pytest.param("shard:7", "a2", id="the owner of a shard"),
        pytest.param("shard:8", None, id="a shard without owner"),
        pytest.param("a9", None, id="a disconnected agent"),
    ],
)
def test_entry_routes_by_address(to: str, reached: str | None) -> None:
    posted: list[AgentId] = []

    def post(agent_id: AgentId, body: Message) -> bool:
        if agent_id == "a9":
            return False
        posted.append(agent_id)
        return True

    owners = {ShardId(7): AgentId("a2")}
    router = EntryMessageRouter(EntryId("e1"), post, owners.get)
    inbox = Inbox()
    router.add_handler(inbox)
    assert router.on_message(AgentId("a0"), RoutedMessage("a0", to, encode(BODY)))
    if reached == "entry":
        assert inbox.received == [("a0", BODY)]
    else:
        assert posted == ([reached] if reached else [])
    assert router.n_undeliverable == (0 if reached else 1)


def test_malformed_body_is_counted_and_dropped() -> None:
    router = EntryMessageRouter(
        EntryId("e1"), lambda agent_id, body: True, lambda shard: None
    )
    inbox = Inbox()
    router.add_handler(inbox)
    router.on_message(AgentId("a0"), RoutedMessage("a0", "e1", b"\xc1"))
    assert inbox.received == []
    assert router.n_undeliverable == 1


@pytest.mark.parametrize(
    ("to", "handlers"),
    [
        pytest.param("a1", ["attempt_agent", "host"], id="itself"),
        pytest.param("shard:7", ["host"], id="a shard that it owns"),
        pytest.param("shard:8", ["entry"], id="another shard"),
        pytest.param("e1", ["entry"], id="an entry"),
    ],
)
def test_agent_delivers_local_messages_in_process(to: str, handlers: list[str]) -> None:
    through_entry: list[str] = []

    def post(to: str, body: Message) -> bool:
        through_entry.append(to)
        return True

    async def run() -> None:
        attempt_agent, host = Inbox(), Inbox()
        router = AgentMessageRouter(AgentId("a1"), post)
        router.set_handlers(attempt_agent, host, lambda shard_id: shard_id == 7)
        router.send(to, BODY)
        assert attempt_agent.received == host.received == []
        await asyncio.sleep(0)
        received = {
            "attempt_agent": attempt_agent.received == [("a1", BODY)],
            "host": host.received == [("a1", BODY)],
            "entry": through_entry == [to],
        }
        assert [
            name for name, was_reached in received.items() if was_reached
        ] == handlers

    asyncio.run(run())
