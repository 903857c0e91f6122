"""Log lines whose fields another writer has made."""

import json
import os
from typing import Any

import pytest

from almondspan_jobs.event_log import MAX_LINE_BYTES, StdoutLog


@pytest.fixture
def pipe() -> Any:
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def nested(depth: int) -> list[Any]:
    value: list[Any] = []
    for _ in range(depth):
        value = [value]
    return value


@pytest.mark.parametrize(
    "value",
    [
        pytest.param("text", id="text"),
        pytest.param("\udcff", id="byte_of_a_header_that_is_no_utf8"),
        pytest.param(10**400, id="number_too_large"),
        pytest.param(10**5_000, id="number_of_too_many_digits"),
        pytest.param(float("nan"), id="no_number"),
        pytest.param(nested(5_000), id="nested_too_deeply"),
        pytest.param(object(), id="another_type"),
        pytest.param("x" * 1_000_000, id="too_long"),
    ],
)
def test_odd_field_is_logged_in_bounded_length(
    pipe: tuple[int, int], value: object
) -> None:
    """Guards against an error in the task that logs."""
    reader, writer = pipe
    log = StdoutLog("p", writer)
    log.line("odd", value=value)
    log.line("next", n=1)
    lines = os.read(reader, 10 * MAX_LINE_BYTES).splitlines()
    assert [json.loads(line)["event"] for line in lines] == ["odd", "next"]
    assert max(map(len, lines)) <= MAX_LINE_BYTES
