"""Messages are decoded as they were encoded; all other bytes are malformed."""

from collections.abc import Callable

import msgspec
import pytest

from almondspan_decisions.ids import (
    AgentId,
    CallerId,
    EntryId,
    Epoch,
    PlaceName,
    RequestId,
    ServiceName,
    ShardId,
    TaskId,
    WorkerId,
)
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
from almondspan_wire.service_messages import CallOpen
from almondspan_wire.task_messages import ReserveCapacity

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


def call(timeout_ms: float) -> CallOpen:
    return CallOpen(
        incarnation=1,
        call_id=1,
        service=ServiceName("s"),
        request_id=RequestId("r"),
        caller=CallerId("c"),
        method="GET",
        path="/",
        headers=(),
        idempotent=True,
        timeout_ms=timeout_ms,
        credit_bytes=0,
    )


def reservation(ttl_s: float) -> ReserveCapacity:
    return ReserveCapacity(ShardId(1), Epoch(1), TaskId("t"), 1, Shape(), ttl_s)


@pytest.mark.parametrize("make", [call, reservation])
def test_time_that_is_no_number_is_malformed(
    make: Callable[[float], Message],
) -> None:
    """Guards against a timer that is due at no time."""
    assert decode(encode(make(5.0))) == make(5.0)
    for value in (float("nan"), float("inf"), 1e300):
        assert isinstance(decode(encode(make(value))), Malformed)


def test_a_tag_belongs_to_one_class() -> None:
    class Other(Message, frozen=True, tag="nominate"):
        """Uses a tag that is already registered."""

    with pytest.raises(ValueError, match="taken"):
        message(Other)
