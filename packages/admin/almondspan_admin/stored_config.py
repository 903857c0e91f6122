"""How the store keeps the configuration.

One key holds the configuration in force; it is changed only by compare-and-swap.
A revision that is replaced stands under its own key in the history first.
"""

from dataclasses import dataclass
from typing import Final

import msgspec

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

    ``nonce`` names the submission that made it, so that whoever lost an answer
    can tell its own change from another's.
    """

    revision: int
    author: str
    submitted_unix_s: float
    nonce: str
    toml: str

    def push(self) -> ConfigPush:
        """Return the message that carries this revision to agents."""
        return ConfigPush(revision=self.revision, toml=self.toml.encode())


@dataclass(frozen=True, slots=True)
class UnreadableConfig:
    """The stored bytes are no configuration of this release."""

    reason: str


def history_key(revision: int) -> str:
    """Return the key of a replaced revision; keys sort as revisions do."""
    return f"{HISTORY_PREFIX}{revision:08d}"


def encode_config(config: StoredConfig) -> bytes:
    """Return the stored bytes of a revision."""
    return msgspec.json.encode(config)


def decode_config(data: bytes) -> StoredConfig | UnreadableConfig:
    """Return the revision in stored bytes, or why there is none."""
    try:
        return msgspec.json.decode(data, type=StoredConfig)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return UnreadableConfig(str(error))
