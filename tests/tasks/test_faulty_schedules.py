"""A fixed set of randomised schedules with faults; ``misc/soak.py`` runs many more."""

import pytest
from sim_schedule import FAULTS, ScheduleOptions, run_schedule

N_MIXED = 60


@pytest.mark.parametrize("seed", range(N_MIXED))
def test_mixed_faults(seed: int) -> None:
    assert run_schedule(seed).violations == []


@pytest.mark.parametrize("fault", sorted(FAULTS))
@pytest.mark.parametrize("seed", [101, 102])
def test_one_fault_twice_as_often(seed: int, fault: str) -> None:
    options = ScheduleOptions(fault_every_s=1.2, faults=(fault,))
    assert run_schedule(seed, options).violations == []


def test_a_seed_always_gives_the_same_schedule() -> None:
    first, second = run_schedule(7), run_schedule(7)
    assert first.trace == second.trace
    assert first.counts == second.counts
