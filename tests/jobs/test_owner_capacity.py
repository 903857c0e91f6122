"""Which entry takes over, if some are too small for the fleet."""

from collections.abc import Iterator

import pytest
from job_simulation import JobSimulation, SimulatedEntry, owner_of, refuse

from almondspan_decisions.owner_capacity import InstanceCapacity, can_own

SMALL = InstanceCapacity(0.5, 5.0)
LARGE = InstanceCapacity(2.0, 100.0)


@pytest.mark.parametrize(
    ("capacity", "n_workers", "expected"),
    [
        pytest.param(LARGE, 0, True, id="large_as_the_fleet_starts"),
        pytest.param(SMALL, 0, False, id="small_as_the_fleet_starts"),
        pytest.param(LARGE, 160, True, id="large"),
        pytest.param(InstanceCapacity(2.0, 5.0), 66, False, id="narrow_link"),
        pytest.param(InstanceCapacity(0.5, 100.0), 160, False, id="few_processors"),
        pytest.param(InstanceCapacity(1.0, 1_000.0), 11, True, id="small_fleet"),
    ],
)
def test_capacity_for_the_fleet(
    capacity: InstanceCapacity, n_workers: int, expected: bool
) -> None:
    assert can_own(capacity, n_workers) is expected


@pytest.fixture
def simulation() -> Iterator[JobSimulation]:
    made = JobSimulation(seed=3, n_entries=4)
    for machine in made.entries:
        set_capacity(machine, SMALL)
    set_capacity(made.entries[-1], LARGE)
    yield made
    made.close()


def set_capacity(machine: SimulatedEntry, capacity: InstanceCapacity) -> None:
    """Restart the process of an entry with a capacity."""
    machine.capacity = capacity
    machine.kill()


def test_large_entry_takes_over_first(simulation: JobSimulation) -> None:
    """Guards against an owner whose link can't carry the listings of all workers."""
    simulation.run(6.0)
    assert owner_of(simulation) is simulation.entries[-1]


def test_small_entry_takes_over_if_no_other_does(simulation: JobSimulation) -> None:
    """Guards against a fleet without an owner."""
    simulation.run(6.0)
    refuse(simulation.entries[-1])
    simulation.entries[-1].kill()
    simulation.run(4.0)
    assert simulation.owner() in simulation.entries[:-1]
