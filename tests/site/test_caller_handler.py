"""The time limit that a caller sends, and when it may try again."""

from typing import Any

import msgspec
import pytest
from aiohttp.test_utils import make_mocked_request

from almondspan_jobs.job_api import JobAnswer, StoreResult
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


@pytest.mark.parametrize(
    ("retry_after_s", "header", "retry_after_ms"),
    [
        pytest.param(0.0, "1", 500, id="unknown"),
        pytest.param(0.2, "1", 200, id="less_than_a_second"),
        pytest.param(7.2, "8", 7_200, id="seconds"),
    ],
)
def test_rejection_says_when_to_try_again(
    retry_after_s: float, header: str, retry_after_ms: int
) -> None:
    api: Any = None
    log: Any = None
    handler = CallerHandler(api, lambda: None, JobOptions(), 30.0, log)
    answer = JobAnswer(StoreResult.NOT_DONE, "full", retry_after_s=retry_after_s)
    response = handler._result_response(answer)
    assert response.status == 503
    assert response.headers["Retry-After"] == header
    body = msgspec.json.decode(response.body or b"")
    assert body == {"error": "full", "retryAfterMs": retry_after_ms}
