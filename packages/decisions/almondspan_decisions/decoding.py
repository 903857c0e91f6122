"""The errors of decoders, for input that another writer may have made.

A decoder of JSON, MessagePack or TOML raises a kind of `ValueError` for input that is
malformed or of another type, `RecursionError` for input that is nested too deeply, and
`OverflowError` for a number that its type can't hold. Whoever decodes input of another
process or of the store handles all of them.
"""

from typing import Final

__all__ = [
    "DECODE_ERRORS",
    "MAX_NAME_CHARS",
    "MAX_NUMBER",
    "MAX_REASON_CHARS",
    "decode_reason",
]

DECODE_ERRORS: Final = (ValueError, OverflowError, RecursionError)

MAX_NUMBER: Final = 2**53
"""Up to this, every whole number is exactly representable as a float."""

MAX_NAME_CHARS: Final = 200
"""Longest name of an image, a label and the like."""

MAX_REASON_CHARS: Final = 200
"""Longest reason in a log line; an error may quote the whole input."""


def decode_reason(error: Exception) -> str:
    """Return why input can't be decoded, in bounded length."""
    return str(error)[:MAX_REASON_CHARS]
