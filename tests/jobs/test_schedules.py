"""Random schedules of the simulated jobs subsystem violate no guarantee."""

import pytest
from job_schedule import FAULTS, run_schedule

N_RANDOM_SEEDS = 10

BROKEN_BEFORE = [
    pytest.param(30, id="start_taken_by_the_later_life_of_a_worker"),
    pytest.param(26, id="start_acknowledged_by_the_later_life"),
    pytest.param(99, id="end_noted_before_the_new_owner_stored_it"),
    pytest.param(77_000_286, id="room_in_pieces_for_a_lasting_task"),
]


@pytest.mark.parametrize("seed", BROKEN_BEFORE)
def test_seeds_that_broke_a_promise_once(seed: int) -> None:
    assert run_schedule(seed).violations == []


@pytest.mark.parametrize("seed", range(1_000, 1_000 + N_RANDOM_SEEDS))
def test_random_faults(seed: int) -> None:
    result = run_schedule(seed)
    assert result.violations == []
    assert result.counts["runs"] > 0


@pytest.mark.parametrize("name", sorted(FAULTS))
def test_each_fault_twice(name: str) -> None:
    result = run_schedule(len(name), (name, name))
    assert result.violations == []
    assert result.counts["runs"] > 0
