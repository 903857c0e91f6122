"""Stored configurations that no release of this system has written."""

import pytest

from almondspan_admin.stored_config import (
    StoredConfig,
    UnreadableConfig,
    decode_config,
    encode_config,
)

STORED = encode_config(StoredConfig(3, "archive", 1.5, "n", ""))


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"", id="empty"),
        pytest.param(STORED[:-1], id="cut"),
        pytest.param(
            STORED[:-1] + b',"more":' + b"[" * 5_000 + b"]" * 5_000 + b"}",
            id="nested too deeply",
        ),
    ],
)
def test_odd_configuration_is_unreadable(data: bytes) -> None:
    assert isinstance(decode_config(data), UnreadableConfig)
