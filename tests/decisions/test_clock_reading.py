"""Which answers a worker's clock shows to be by the incarnation that was polled."""

import pytest

from almondspan_decisions.clock_reading import ClockReading

READ_S = 100.0
DRIFT = 0.02


@pytest.mark.parametrize(
    ("read_ms", "passed_s", "clock_ms", "expected"),
    [
        pytest.param(60_000, 1.0, 61_000, True, id="same"),
        pytest.param(60_000, 1.0, 60_980, True, id="same_with_a_slow_clock"),
        pytest.param(60_000, 1.0, 61_300, True, id="same_answering_late"),
        pytest.param(60_000, -0.1, 59_900, True, id="same_overtaken_by_the_poll"),
        pytest.param(700, 1.0, 1_700, True, id="same_and_young"),
        pytest.param(60_000, 1.0, 400, False, id="successor"),
        pytest.param(60_000, 1.0, 60_900, False, id="clock_that_stood_still"),
        pytest.param(700, 1.0, 1_000, False, id="successor_of_a_young_one"),
        pytest.param(60_000, 1.0, 0, False, id="no_clock"),
    ],
)
def test_answer_of_a_successor_is_not_taken_for_its_predecessors(
    read_ms: int, passed_s: float, clock_ms: int, expected: bool
) -> None:
    reading = ClockReading(read_ms, READ_S)
    assert reading.is_continued(clock_ms, READ_S + passed_s, DRIFT) is expected
