"""Load patterns that are replayed on a simulated fleet of colocated workers."""

from collections import Counter
from collections.abc import Callable, Iterator

import pytest
from fleet_replay import (
    BEST_EFFORT,
    SHORT,
    SMALL_GROUPED,
    FleetReplay,
    LoadPattern,
)

MAX_INTERFERED_S = 4.0
"""A task may not stay over its target for so long while best-effort tasks run."""

MAX_RUN_S = 10.0
"""A job of two steps is to end within 22 s, so its tasks may not run for longer."""

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


def test_images_of_one_group_interfere() -> None:
    fleet = FleetReplay(SMALL_GROUPED, 1)
    fleet.close()
    n_heavy: Counter[str] = Counter()
    for (serving, _), weight in fleet.interference.weights.items():
        n_heavy[serving] += weight >= SMALL_GROUPED.heavy[0]
    assert sorted(n_heavy.values()) == [1, 2, 2, 2, 3, 3]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_grouped_load_is_served(replay: Replay, seed: int) -> None:
    """Guards both classes on a small fleet whose images interfere by groups."""
    fleet = replay(SMALL_GROUPED, seed)
    assert fleet.violations() == []
    assert fleet.serving_share() > 0.9
    assert fleet.counts.longest_interfered_s < MAX_INTERFERED_S
    outcome = fleet.outcome(BEST_EFFORT)
    assert outcome.n_jobs == len(outcome.stretches) > 0


BURSTS = LoadPattern(
    n_workers=8,
    n_serving_jobs=3,
    serving_width=6,
    short_per_s=2.5,
    short_width=10,
    short_cores=1.3,
    short_s=1.0,
    best_effort_per_s=0.15,
    best_effort_width=10,
    traffic_s=25.0,
    declared_error=1.9,
    short_bursts=((4.0, 9.0, 2.6), (14.0, 20.0, 2.0)),
)


@pytest.mark.parametrize("seed", [1, 2])
def test_most_short_jobs_end_in_time_in_bursts(replay: Replay, seed: int) -> None:
    """Guards against an order by age: three of four short jobs were late."""
    fleet = replay(BURSTS, seed)
    assert fleet.violations() == []
    outcome = fleet.outcome(SHORT)
    assert len(outcome.stretches) == outcome.n_jobs
    assert outcome.earned > 0.5


def test_crowded_best_effort_tasks_run_at_a_useful_speed(replay: Replay) -> None:
    """Guards against many tasks that each run at a fraction of their speed.

    With these seeds more best-effort tasks arrive than the small fleet can run.
    """
    times = [replay(SMALL_GROUPED, seed).best_effort_times() for seed in (4, 6, 8)]
    assert sum(time.run_s[1] for time in times) / len(times) < MAX_RUN_S
