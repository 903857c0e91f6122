"""Encodes messages as MessagePack and validates them when they are decoded.

A message is a frozen `msgspec.Struct` registered by `message`. It is encoded as an
array that begins with the class's tag. A field that is appended with a default may
therefore be missing in messages from older processes. The decoder is built from all
registered messages when the first frame arrives.
"""

from typing import Any, Final, TypeVar, Union

import msgspec

from almondspan_decisions.decoding import DECODE_ERRORS, decode_reason

__all__ = ["MAX_FRAME_BYTES", "Malformed", "Message", "decode", "encode", "message"]

MAX_FRAME_BYTES: Final = 2_000_000
"""The largest encoded message, in bytes."""


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base of all messages; subclasses set their tag with ``tag=``."""


class Malformed(msgspec.Struct, frozen=True):
    """The result of `decode` for bytes that are not a registered message."""

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
        When the class has no tag or its tag is registered by another class.
    """
    global _decoder
    tag = cls.__struct_config__.tag
    if not isinstance(tag, str):
        raise ValueError(f"{cls.__name__} has no tag")
    known = _REGISTERED.get(tag)
    if known is not None and known.__qualname__ != cls.__qualname__:
        raise ValueError(f"tag {tag!r} is already taken by {known.__name__}")
    _REGISTERED[tag] = cls
    _decoder = None
    return cls


def encode(body: Message) -> bytes:
    """Return the encoded message, without a length prefix."""
    return _ENCODER.encode(body)


def decode(data: bytes | bytearray | memoryview) -> Message | Malformed:
    """Return the message in `data`, or the reason why it is malformed."""
    global _decoder
    if _decoder is None:
        union: Any = Union[tuple(_REGISTERED.values())]  # noqa: UP007
        _decoder = msgspec.msgpack.Decoder(union)
    try:
        return _decoder.decode(data)
    except DECODE_ERRORS as error:
        return Malformed(decode_reason(error))
