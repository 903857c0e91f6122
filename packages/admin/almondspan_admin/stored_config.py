"""The representation of the configuration in the store.

One key holds the current configuration; it is changed only by compare-and-swap.
Before a revision is replaced, it is written under its own key in the history.
"""

from dataclasses import dataclass
from typing import Final

import msgspec

from almondspan_decisions.decoding import DECODE_ERRORS, decode_reason
from almondspan_wire.membership import ConfigPush

__all__ = [
    "CURRENT_KEY",
    "HISTORY_PREFIX",
    "StoredConfig",
    "UnreadableConfig",
    "decode_config",
    "encode_config",
    "history_key",
]

CURRENT_KEY: Final = "config/current"
HISTORY_PREFIX: Final = "config/history/"


class StoredConfig(msgspec.Struct, frozen=True):
    """A revision of the configuration.

    ``nonce`` identifies the submission that created it, so that a submitter whose
    response was lost can tell its own change from another's.
    """

    revision: int
    author: str
    submitted_unix_s: float
    nonce: str
    toml: str

    def push(self) -> ConfigPush:
        """Return the message that sends this revision to agents."""
        return ConfigPush(revision=self.revision, toml=self.toml.encode())


@dataclass(frozen=True, slots=True)
class UnreadableConfig:
    """The stored bytes cannot be decoded by this release."""

    reason: str


def history_key(revision: int) -> str:
    """Return the history key of a revision; keys sort in the order of revisions."""
    return f"{HISTORY_PREFIX}{revision:08d}"


def encode_config(config: StoredConfig) -> bytes:
    """Encode a revision for the store."""
    return msgspec.json.encode(config)


def decode_config(data: bytes) -> StoredConfig | UnreadableConfig:
    """Decode a revision, or return why it cannot be decoded."""
    try:
        return msgspec.json.decode(data, type=StoredConfig)
    except DECODE_ERRORS as error:
        return UnreadableConfig(decode_reason(error))
