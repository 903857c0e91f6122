"""Load patterns that are replayed on a simulated fleet of colocated workers."""

from collections.abc import Callable, Iterator

import pytest
from fleet_replay import BEST_EFFORT, SHORT, FleetReplay, LoadPattern

Replay = Callable[[LoadPattern, int], FleetReplay]


@pytest.fixture
def replay() -> Iterator[Replay]:
    """Return a function that plays a pattern with a seed, until its jobs have ended."""
    made: list[FleetReplay] = []

    def play(pattern: LoadPattern, seed: int) -> FleetReplay:
        fleet = FleetReplay(pattern, seed)
        made.append(fleet)
        fleet.play()
        fleet.finish()
        return fleet

    yield play
    for fleet in made:
        fleet.close()


def test_calm_fleet_serves_every_job_in_time(replay: Replay) -> None:
    pattern = LoadPattern(
        n_workers=6, n_serving_jobs=2, serving_width=3, best_effort_width=6, traffic_s=8
    )
    fleet = replay(pattern, 1)
    assert fleet.violations() == []
    for queue in (SHORT, BEST_EFFORT):
        outcome = fleet.outcome(queue)
        assert outcome.n_jobs == len(outcome.stretches) > 0
        assert outcome.earned == 1.0
