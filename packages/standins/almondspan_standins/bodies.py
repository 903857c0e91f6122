"""Response bodies of the runner stand-in, as pure functions of the request.

A caller can compute the expected body itself and compare it with what it received.
"""

import hashlib
from typing import Final

import msgspec

__all__ = ["BillAnswer", "bill_body", "clip_body"]

N_MIN_BYTES: Final = 1024
N_SPREAD_BYTES: Final = 15 * 1024


class BillAnswer(msgspec.Struct, frozen=True):
    """The response to a bill request."""

    bill_id: str
    request_id: str


def clip_body(clip_id: str) -> bytes:
    """Return the bytes of a clip, between 1 and 16 KiB long."""
    digest = hashlib.shake_128(clip_id.encode())
    spread = int.from_bytes(digest.digest(4), "big") % N_SPREAD_BYTES
    return digest.digest(N_MIN_BYTES + spread)


def bill_body(bill_id: str, request_id: str) -> bytes:
    """Return the response to a bill request, as JSON."""
    return msgspec.json.encode(BillAnswer(bill_id, request_id))
