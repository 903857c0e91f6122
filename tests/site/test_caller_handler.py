"""The time limit that a caller sends."""

from typing import Any

import pytest
from aiohttp.test_utils import make_mocked_request

from almondspan_jobs.options import JobOptions
from almondspan_site.caller_handler import DEADLINE_HEADER, CallerHandler

DEFAULT_S = 2.6


@pytest.mark.parametrize(
    ("text", "budget_s"),
    [
        pytest.param("1400", 1.0, id="milliseconds"),
        pytest.param("0", 0.0, id="passed"),
        pytest.param("", DEFAULT_S, id="none"),
        pytest.param("-5", DEFAULT_S, id="negative"),
        pytest.param("1e3", DEFAULT_S, id="float"),
        pytest.param("9" * 400, DEFAULT_S, id="no_float_holds_it"),
        pytest.param("9" * 5_000, DEFAULT_S, id="too_many_digits"),
    ],
)
def test_odd_deadline_is_the_default(text: str, budget_s: float) -> None:
    api: Any = None
    log: Any = None
    handler = CallerHandler(api, lambda: None, JobOptions(), 30.0, log)
    request = make_mocked_request("GET", "/", headers={DEADLINE_HEADER: text})
    assert handler._budget_s(request) == pytest.approx(budget_s)
