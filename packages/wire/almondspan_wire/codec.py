"""Encodes messages as MessagePack and checks them when they are decoded.

A message is a frozen `msgspec.Struct` registered by `message`. On the wire it is
an array that begins with the class's tag, so a field appended with a default may
be missing in what an older process sends. The decoder is built once, from all
registered messages, when the first frame arrives.
"""

from typing import Any, Final, TypeVar, Union

import msgspec

__all__ = ["MAX_FRAME_BYTES", "Malformed", "Message", "decode", "encode", "message"]

MAX_FRAME_BYTES: Final = 2_000_000
"""The largest encoded message, in bytes."""


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base of all messages; subclasses name their tag with ``tag=``."""


class Malformed(msgspec.Struct, frozen=True):
    """What `decode` returns for bytes that are no registered message."""

    reason: str


AnyMessage = TypeVar("AnyMessage", bound=Message)

_REGISTERED: dict[str, type[Message]] = {}
_ENCODER: Final = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] | None = None


def message(cls: type[AnyMessage]) -> type[AnyMessage]:
    """Register a message class under its tag.

    Raises
    ------
    ValueError
        When the class has no tag or another class holds it.
    """
    global _decoder
    tag = cls.__struct_config__.tag
    if not isinstance(tag, str):
        raise ValueError(f"{cls.__name__} has no tag")
    known = _REGISTERED.get(tag)
    if known is not None and known.__qualname__ != cls.__qualname__:
        raise ValueError(f"tag {tag!r} is taken by {known.__name__}")
    _REGISTERED[tag] = cls
    _decoder = None
    return cls


def encode(body: Message) -> bytes:
    """Return the bytes of a message, without a length."""
    return _ENCODER.encode(body)


def decode(data: bytes | bytearray | memoryview) -> Message | Malformed:
    """Return the message in `data`, or why it is none."""
    global _decoder
    if _decoder is None:
        every: Any = Union[tuple(_REGISTERED.values())]  # noqa: UP007
        _decoder = msgspec.msgpack.Decoder(every)
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Malformed(str(error))
