"""Running tasks leave an evacuated place by and by, and what stays is reported."""

from collections.abc import Iterator
from dataclasses import replace

import pytest
from scheduler_harness import JOB, KEY, WORKER, SchedulerHarness
from test_evacuations import HERE, LONG, OPTIONS, OTHER, THERE, read

from almondspan_decisions.evacuation import Outlook
from almondspan_decisions.ids import PlaceName
from almondspan_decisions.job_graph import StepSpec, TaskKey, format_task_name
from almondspan_decisions.shapes import Shape
from almondspan_jobs import clocks
from almondspan_jobs.messages import StopCommand
from almondspan_jobs.metrics import Metrics
from almondspan_jobs.scheduler import Scheduler

LASTING = StepSpec(3, Shape(1_000, 1_000), lasts=True, n_may_be_away=1)
SETTLE_S = OPTIONS.evacuation_settle_s


@pytest.fixture
def harness() -> Iterator[SchedulerHarness]:
    found = SchedulerHarness()
    found.options = OPTIONS
    found.restart_owner()
    yield found
    clocks.use_clocks()


class Fleet:
    """Two workers in two places that list what runs on them."""

    def __init__(self, harness: SchedulerHarness) -> None:
        self.harness = harness
        self.n_ended = 0
        self.stopped: list[str] = []
        self.requests: tuple[PlaceName, ...] = ()
        self.since_s = harness.now_s
        read(harness)
        harness.report_worker()

    def add(
        self, step: StepSpec, is_other_there: bool = True, percent: int = 100
    ) -> None:
        """Run a job's tasks here, and start another worker elsewhere."""
        self.harness.add(step)
        self.run(0.4, percent)
        if is_other_there:
            self.harness.report_worker(OTHER, node="node-2", place="there")

    def evacuate(self, *places: PlaceName) -> None:
        self.requests, self.since_s = places, self.harness.now_s
        read(self.harness, *places)

    def run(self, for_s: float, percent: int = 100) -> None:
        """Let time pass; stopped tasks end, and all others are listed."""
        harness = self.harness
        for _ in range(round(for_s / 0.2)):
            age_s = harness.now_s - self.since_s
            read(harness, *self.requests, age_s=age_s)
            stops = [body.task for body in harness.take_sent(StopCommand)]
            ended = []
            for name in stops:
                self.n_ended += 1
                ended.append((self.n_ended, name, self._attempt(name), "stopped", "c"))
            self.stopped += stops
            for worker in (WORKER, OTHER):
                running = [
                    row for row in self._rows(worker, percent) if row[0] not in stops
                ]
                harness.list_worker(
                    worker, running=running, ended=ended if worker == WORKER else None
                )
            harness.plan_and_store()
            harness.advance(0.2)

    def _attempt(self, name: str) -> int:
        job = self.harness.scheduler.jobs[JOB]
        task = job.task(TaskKey(*map(int, name.split(".")[1:])))
        assert task is not None
        return task.n_attempts

    def _rows(
        self, worker: str, percent: int
    ) -> list[tuple[str, int, str, int, float]]:
        return [
            (format_task_name(JOB, key), task.n_attempts, "", percent, 0.0)
            for key, task in self.harness.scheduler.jobs[JOB].placed()
            if task.incarnation is not None
            and task.incarnation.worker_id == worker
            and task.n_sends
        ]

    def n_here(self) -> int:
        return len(self._rows(WORKER, 0))


@pytest.fixture
def fleet(harness: SchedulerHarness) -> Fleet:
    return Fleet(harness)


def outlooks(fleet: Fleet) -> list[Outlook]:
    remaining = fleet.harness.scheduler.evacuator.remaining()
    return [task.outlook for task in remaining]


def test_tasks_move_once_the_request_has_stood(fleet: Fleet) -> None:
    fleet.add(LASTING)
    fleet.evacuate(HERE)
    fleet.run(SETTLE_S - 0.2)
    assert fleet.stopped == []
    fleet.run(8.0)
    assert sorted(fleet.stopped) == [
        format_task_name(JOB, TaskKey(0, 0, n)) for n in range(3)
    ]
    assert fleet.n_here() == 0


@pytest.mark.parametrize("n_may_be_away", [1, 2])
def test_no_more_are_away_than_may_be(fleet: Fleet, n_may_be_away: int) -> None:
    """A task counts until it is at work again, here two seconds after its start."""
    fleet.add(replace(LASTING, n_tasks=4, n_may_be_away=n_may_be_away))
    fleet.evacuate(HERE)
    most = 0
    for _ in range(100):
        fleet.run(0.2)
        tasks = fleet.harness.scheduler.jobs[JOB].occurrences[0][0].tasks
        most = max(most, sum(task.is_stopping or task.percent < 100 for task in tasks))
    assert most == n_may_be_away
    assert fleet.n_here() == 0


def test_short_request_moves_nothing(fleet: Fleet) -> None:
    fleet.add(LASTING)
    for _ in range(5):
        fleet.evacuate(HERE)
        fleet.run(1.0)
        fleet.evacuate()
        fleet.run(1.0)
    assert fleet.stopped == []


def test_nothing_moves_without_capacity_elsewhere(fleet: Fleet) -> None:
    fleet.add(LASTING, is_other_there=False)
    fleet.evacuate(HERE)
    fleet.run(8.0)
    assert fleet.stopped == []
    assert outlooks(fleet) == [Outlook.NO_CAPACITY] * 3


def test_nothing_moves_while_all_places_are_evacuated(fleet: Fleet) -> None:
    fleet.add(LASTING)
    fleet.evacuate(HERE, THERE)
    fleet.run(8.0)
    assert fleet.stopped == []


def test_nothing_moves_while_the_requests_are_not_known(fleet: Fleet) -> None:
    fleet.add(replace(LONG, n_tasks=3))
    fleet.evacuate(HERE)
    for _ in range(60):
        fleet.harness.list_worker(running=fleet._rows(WORKER, 10))
        fleet.harness.list_worker(OTHER)
        fleet.harness.now_s += 0.2
        if fleet.harness.now_s > fleet.since_s + 3.0:
            fleet.harness.advance(0.0)
    assert fleet.harness.take_sent(StopCommand) == []


@pytest.mark.parametrize(
    ("step", "percent", "is_moved"),
    [
        pytest.param(LONG, 10, True, id="saves_progress"),
        pytest.param(
            replace(LONG, saves_progress=False), 10, False, id="would_lose_work"
        ),
        pytest.param(LONG, 97, False, id="ends_soon"),
        pytest.param(
            replace(LASTING, n_may_be_away=0), 100, False, id="none_may_be_away"
        ),
    ],
)
def test_which_tasks_move(
    fleet: Fleet, step: StepSpec, percent: int, is_moved: bool
) -> None:
    fleet.add(step, percent=percent)
    fleet.evacuate(HERE)
    fleet.run(3.0, percent)
    assert bool(fleet.stopped) is is_moved


def test_withdrawn_request_moves_nothing_further(fleet: Fleet) -> None:
    fleet.add(replace(LASTING, n_tasks=4))
    fleet.evacuate(HERE)
    fleet.run(SETTLE_S + 0.6)
    n_moved = len(fleet.stopped)
    assert n_moved >= 1
    fleet.evacuate()
    fleet.run(4.0)
    assert len(fleet.stopped) == n_moved


def test_what_can_not_move_is_reported(harness: SchedulerHarness) -> None:
    metrics = Metrics()
    rules = harness.scheduler.rules
    harness.scheduler = Scheduler(
        OPTIONS, harness.log, metrics, harness._post, lambda: harness.now_s
    )
    harness.scheduler.rules = rules
    fleet = Fleet(harness)
    fleet.add(LASTING, is_other_there=False)
    fleet.evacuate(HERE)
    fleet.run(12.0)
    n_lines = harness.log.events.count("evacuation_remaining")
    assert 2 <= n_lines <= 4
    assert "almondspan_evacuated_places 1\n" in metrics.text()
    assert "almondspan_evacuation_tasks 3\n" in metrics.text()
    assert "almondspan_evacuation_tasks_stuck 3\n" in metrics.text()
    harness.scheduler.evacuator.close()
    assert "almondspan_evacuation_tasks_stuck 0\n" in metrics.text()


def test_task_goes_on_from_its_checkpoint(fleet: Fleet) -> None:
    fleet.add(LONG, percent=10)
    fleet.evacuate(HERE)
    fleet.run(3.0, percent=10)
    task = fleet.harness.scheduler.jobs[JOB].task(KEY)
    assert task is not None and task.incarnation is not None
    assert (task.checkpoint, task.incarnation.worker_id) == ("c", OTHER)
