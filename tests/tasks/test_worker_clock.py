"""Conversion of times to the worker's clock."""

import pytest

from almondspan_tasks.worker_clock import READ_INTERVAL_S, WorkerClock


@pytest.mark.parametrize(
    ("clock_s", "arrived_s", "here_s", "there_s"),
    [
        pytest.param(500.0, 100.0, 130.0, 530.0, id="ahead"),
        pytest.param(5.0, 100.0, 130.0, 35.0, id="behind"),
        pytest.param(0.0, 100.0, 100.0, 0.0, id="begins-at-zero"),
        pytest.param(None, 100.0, 130.0, None, id="no-clock"),
    ],
)
def test_time_at_the_worker(
    clock_s: float | None, arrived_s: float, here_s: float, there_s: float | None
) -> None:
    clock = WorkerClock()
    clock.update(clock_s, arrived_s)
    assert clock.at(here_s) == there_s


def test_a_reading_is_due_after_its_interval() -> None:
    clock = WorkerClock()
    clock.update(1.0, 100.0)
    assert not clock.is_due(100.0 + READ_INTERVAL_S / 2)
    assert clock.is_due(100.0 + READ_INTERVAL_S)
