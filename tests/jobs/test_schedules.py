"""Random schedules of the simulated jobs subsystem violate no guarantee."""

import pytest
from job_schedule import FAULTS, run_schedule

N_RANDOM_SEEDS = 10

REGRESSION_SEEDS = [
    pytest.param(30, id="start_executed_by_a_later_incarnation"),
    pytest.param(26, id="start_acknowledged_by_a_later_incarnation"),
    pytest.param(99, id="end_acknowledged_before_the_new_owner_stored_it"),
    pytest.param(13_000_098, id="end_of_a_later_incarnation_acknowledged_unseen"),
    pytest.param(77_000_286, id="fragmented_capacity_for_a_lasting_task"),
]
"""Seeds of schedules that failed before, named by the failure."""


@pytest.mark.parametrize("seed", REGRESSION_SEEDS)
def test_seeds_that_violated_a_guarantee_before(seed: int) -> None:
    assert run_schedule(seed, evacuates=False).violations == []


@pytest.mark.parametrize("seed", range(1_000, 1_000 + N_RANDOM_SEEDS))
def test_random_schedules(seed: int) -> None:
    result = run_schedule(seed)
    assert result.violations == []
    assert result.counts["runs"] > 0


@pytest.mark.parametrize("name", sorted(FAULTS))
def test_each_fault_twice(name: str) -> None:
    result = run_schedule(len(name), (name, name), evacuates=False)
    assert result.violations == []
    assert result.counts["runs"] > 0


@pytest.mark.parametrize("name", sorted(FAULTS))
def test_each_fault_with_evacuations(name: str) -> None:
    result = run_schedule(len(name), (name, name), evacuates=True)
    assert result.violations == []
    assert result.counts["fault evacuate"] > 0
