"""Schedules without faults: every job ends exactly once, with its own result."""

import pytest
from sim_schedule import ScheduleOptions, run_schedule

NO_FAULTS = ScheduleOptions(faulty_s=30.0, fault_every_s=1e9)


@pytest.mark.parametrize("seed", range(10))
def test_schedule_without_faults(seed: int) -> None:
    result = run_schedule(seed, NO_FAULTS)
    assert result.violations == []
    ended = sum(result.counts.get(kind, 0) for kind in ("done", "failed", "infeasible"))
    assert ended == NO_FAULTS.n_jobs
