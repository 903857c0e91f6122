"""Names of tasks, as workers list them."""

import pytest

from almondspan_decisions.ids import JobId
from almondspan_decisions.job_graph import TaskKey, format_task_name, parse_task_name

JOB = JobId("0123456789abcdef")


def test_name_of_a_task_is_parsed() -> None:
    key = TaskKey(3, 1, 17)
    assert parse_task_name(format_task_name(JOB, key)) == (JOB, key)


@pytest.mark.parametrize(
    "name",
    [
        pytest.param("", id="empty"),
        pytest.param(f"{JOB}.0.0", id="part_missing"),
        pytest.param(f"{JOB}.0.0.-1", id="negative"),
        pytest.param(f"{JOB}.0.0.x", id="no_number"),
        pytest.param(f"{JOB}.0.0.{'9' * 5_000}", id="too_many_digits"),
    ],
)
def test_other_name_is_no_task(name: str) -> None:
    assert parse_task_name(name) is None
