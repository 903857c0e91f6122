"""The paces that an agent sets after a poll or a start."""

import asyncio
from collections.abc import Iterator

import pytest

from almondspan_decisions.ids import WorkerId
from almondspan_jobs import clocks
from almondspan_jobs.messages import InterferenceUpdate, TaskTraits
from almondspan_jobs.options import JobOptions
from almondspan_jobs.pacing import WorkerPacing
from almondspan_platform.task_worker import RunningTask, Verdict, WorkerPoll

WORKER = WorkerId("w")
FENCE = 3
TARGET_MS = 10
LIVE, HEAVY, CALM = "live.0.0.0", "heavy.0.0.0", "calm.0.0.0"


class Worker:
    """Records the paces that are set, and answers with a given verdict."""

    def __init__(self) -> None:
        self.verdict = Verdict.DONE
        self.paces: list[tuple[str, int, int]] = []

    async def pace_task(
        self, worker_id: WorkerId, task: str, attempt: int, percent: int, fence: int
    ) -> Verdict:
        self.paces.append((task, percent, fence))
        return self.verdict


class Log:
    def line(self, event: str, **fields: object) -> None:
        pass


class PacingHarness:
    """`WorkerPacing` with a manual clock."""

    def __init__(self) -> None:
        self.now_s = 10.0
        clocks.use_clocks(lambda: self.now_s)
        self.worker = Worker()
        self.pacing = WorkerPacing(self.worker, JobOptions(), Log())
        self.pacing.replace_traits(
            [
                TaskTraits(LIVE, "live", TARGET_MS, False, 1_000),
                TaskTraits(HEAVY, "heavy", 0, True, 2_000),
                TaskTraits(CALM, "calm", 0, True, 2_000),
            ]
        )
        self.pacing.on_new_incarnation(16_000)
        self.pacing.set_weights(
            InterferenceUpdate([("live", "heavy", 7.0), ("live", "calm", 0.7)])
        )

    def poll(
        self,
        tail_ms: float,
        after_s: float = 0.5,
        best_effort: tuple[str, ...] = (HEAVY,),
    ) -> list[tuple[str, int, int]]:
        """Apply a poll, and return the paces that it set."""
        self.now_s += after_s
        self.worker.paces.clear()
        running = (
            RunningTask(LIVE, 1, "", 100, tail_ms),
            *(RunningTask(task, 1, "", 5, 0.0) for task in best_effort),
            RunningTask(CALM, 1, "", 5, 2_000.0),
        )
        poll = WorkerPoll(1, 1, running, ())
        asyncio.run(self.pacing.pace_after_poll(WORKER, poll, FENCE))
        return list(self.worker.paces)


@pytest.fixture
def harness() -> Iterator[PacingHarness]:
    yield PacingHarness()
    clocks.use_clocks()


def test_only_the_interfering_image_is_paced(harness: PacingHarness) -> None:
    assert harness.poll(tail_ms=6.5) == [(HEAVY, 30, FENCE)]
    assert harness.pacing.is_paced


def test_unchanged_pace_is_not_sent_again_at_once(harness: PacingHarness) -> None:
    harness.poll(tail_ms=6.5)
    assert harness.poll(tail_ms=6.5) == []


def test_reduced_pace_is_sent_again_periodically(harness: PacingHarness) -> None:
    harness.poll(tail_ms=6.5)
    assert harness.poll(tail_ms=6.5, after_s=2.0) == [(HEAVY, 30, FENCE)]


def test_unanswered_pace_is_sent_again(harness: PacingHarness) -> None:
    harness.worker.verdict = Verdict.NO_ANSWER
    harness.poll(tail_ms=6.5)
    assert harness.poll(tail_ms=6.5) == [(HEAVY, 30, FENCE)]


def test_poll_within_the_pace_interval_is_ignored(harness: PacingHarness) -> None:
    harness.poll(tail_ms=6.5)
    assert harness.poll(tail_ms=9.9, after_s=0.1) == []


def test_new_incarnation_starts_at_full_pace(harness: PacingHarness) -> None:
    harness.poll(tail_ms=6.5)
    harness.pacing.on_new_incarnation(16_000)
    assert not harness.pacing.is_paced


def start_task(
    harness: PacingHarness, traits: TaskTraits
) -> list[tuple[str, int, int]]:
    harness.worker.paces.clear()
    harness.pacing.add_traits(traits)
    asyncio.run(harness.pacing.pace_after_start(WORKER, traits, 1, FENCE))
    return list(harness.worker.paces)


def test_best_effort_task_is_paced_as_soon_as_it_has_started(
    harness: PacingHarness,
) -> None:
    harness.poll(tail_ms=6.5, best_effort=())
    heavy = TaskTraits(HEAVY, "heavy", 0, True, 2_000)
    assert start_task(harness, heavy) == [(HEAVY, 30, FENCE)]


def test_best_effort_tasks_are_paced_when_a_serving_task_starts(
    harness: PacingHarness,
) -> None:
    assert harness.poll(tail_ms=3.0) == []
    other = TaskTraits("other.0.0.0", "live", TARGET_MS, False, 1_000)
    assert start_task(harness, other) == [(HEAVY, 30, FENCE)]


def test_nothing_is_paced_without_serving_tasks(harness: PacingHarness) -> None:
    harness.pacing.forget_task(LIVE)
    harness.poll(tail_ms=3.0, best_effort=())
    assert start_task(harness, TaskTraits(HEAVY, "heavy", 0, True, 2_000)) == []


@pytest.mark.parametrize(
    ("forgotten", "is_needed"),
    [
        pytest.param((), True, id="both_kinds"),
        pytest.param((LIVE,), False, id="no_serving_task"),
        pytest.param((HEAVY, CALM), False, id="no_best_effort_task"),
    ],
)
def test_pacing_is_needed_with_both_kinds_of_task(
    harness: PacingHarness, forgotten: tuple[str, ...], is_needed: bool
) -> None:
    for task in forgotten:
        harness.pacing.forget_task(task)
    assert harness.pacing.is_needed is is_needed
