"""Messages are decoded as they were encoded; all other bytes are malformed."""

import msgspec
import pytest

from almondspan_decisions.ids import AgentId, EntryId, PlaceName, ShardId, WorkerId
from almondspan_decisions.shapes import Shape
from almondspan_wire.codec import Malformed, Message, decode, encode, message
from almondspan_wire.membership import (
    AgentHello,
    AgentStatus,
    EntryAddress,
    EntryList,
    NominateOwner,
    RoutedMessage,
)

MESSAGES = [
    pytest.param(
        AgentHello(AgentId("a"), WorkerId("w"), PlaceName("p"), Shape(1, 2, 3)),
        id="hello",
    ),
    pytest.param(AgentStatus(1, Shape(), 0, False, 7), id="status"),
    pytest.param(
        EntryList((EntryAddress(EntryId("e"), "127.0.0.1", 1, PlaceName("p")),)),
        id="entry list",
    ),
    pytest.param(NominateOwner(ShardId(3)), id="nomination"),
    pytest.param(RoutedMessage("a", "shard:3", b"\x00\xff"), id="routed message"),
]


DEEP = (
    b"\x93" + msgspec.msgpack.encode("nominate") + b"\x03" + b"\x91" * 5_000 + b"\x01"
)
"""A nomination with an additional field, as a later release may append one."""


@pytest.mark.parametrize("body", MESSAGES)
def test_decoding_an_encoded_message_returns_it(body: Message) -> None:
    assert decode(encode(body)) == body


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"", id="nothing"),
        pytest.param(b"\xc1", id="no MessagePack"),
        pytest.param(msgspec.msgpack.encode(["no such tag", 1]), id="unknown tag"),
        pytest.param(msgspec.msgpack.encode(["nominate", "x"]), id="wrong type"),
        pytest.param(msgspec.msgpack.encode(["post", "a", "b"]), id="too short"),
        pytest.param(encode(NominateOwner(ShardId(3)))[:-1], id="cut"),
        pytest.param(DEEP, id="nested too deeply"),
    ],
)
def test_other_bytes_are_malformed(data: bytes) -> None:
    assert isinstance(decode(data), Malformed)


def test_a_tag_belongs_to_one_class() -> None:
    class Other(Message, frozen=True, tag="nominate"):
        """Uses a tag that is already registered."""

    with pytest.raises(ValueError, match="taken"):
        message(Other)
