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
        self.orders: list[tuple[str, int, int]] = []

    async def pace_task(
        self, worker_id: WorkerId, task: str, attempt: int, percent: int, fence: int
    ) -> Verdict:
        self.orders.append((task, percent, fence))
        return self.verdict


class Log:
    def line(self, event: str, **fields: object) -> None:
        pass


class Rig:
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

    def look(
        self, tail_ms: float, after_s: float = 0.5, filling: tuple[str, ...] = (HEAVY,)
    ) -> list[tuple[str, int, int]]:
        """Apply a poll, and return the paces that it set."""
        self.now_s += after_s
        self.worker.orders.clear()
        running = (
            RunningTask(LIVE, 1, "", 100, tail_ms),
            *(RunningTask(task, 1, "", 5, 0.0) for task in filling),
            RunningTask(CALM, 1, "", 5, 2_000.0),
        )
        look = WorkerPoll(1, 1, running, ())
        asyncio.run(self.pacing.pace_after_poll(WORKER, look, FENCE))
        return list(self.worker.orders)


@pytest.fixture
def rig() -> Iterator[Rig]:
    yield Rig()
    clocks.use_clocks()


def test_only_the_harmful_image_is_paced(rig: Rig) -> None:
    assert rig.look(tail_ms=6.5) == [(HEAVY, 30, FENCE)]
    assert rig.pacing.is_paced


def test_unchanged_pace_is_not_ordered_again_at_once(rig: Rig) -> None:
    rig.look(tail_ms=6.5)
    assert rig.look(tail_ms=6.5) == []


def test_low_pace_is_ordered_again_now_and_then(rig: Rig) -> None:
    rig.look(tail_ms=6.5)
    assert rig.look(tail_ms=6.5, after_s=2.0) == [(HEAVY, 30, FENCE)]


def test_refused_order_is_repeated(rig: Rig) -> None:
    rig.worker.verdict = Verdict.NO_ANSWER
    rig.look(tail_ms=6.5)
    assert rig.look(tail_ms=6.5) == [(HEAVY, 30, FENCE)]


def test_looks_close_together_are_passed_over(rig: Rig) -> None:
    rig.look(tail_ms=6.5)
    assert rig.look(tail_ms=9.9, after_s=0.1) == []


def test_new_life_begins_at_full_pace(rig: Rig) -> None:
    rig.look(tail_ms=6.5)
    rig.pacing.on_new_incarnation(16_000)
    assert not rig.pacing.is_paced


def begin(rig: Rig, traits: TaskTraits) -> list[tuple[str, int, int]]:
    rig.worker.orders.clear()
    rig.pacing.add_traits(traits)
    asyncio.run(rig.pacing.pace_after_start(WORKER, traits, 1, FENCE))
    return list(rig.worker.orders)


def test_task_that_fills_is_paced_as_soon_as_it_has_begun(rig: Rig) -> None:
    rig.look(tail_ms=6.5, filling=())
    heavy = TaskTraits(HEAVY, "heavy", 0, True, 2_000)
    assert begin(rig, heavy) == [(HEAVY, 30, FENCE)]


def test_tasks_that_fill_make_room_for_one_that_begins_to_serve(rig: Rig) -> None:
    assert rig.look(tail_ms=3.0) == []
    other = TaskTraits("other.0.0.0", "live", TARGET_MS, False, 1_000)
    assert begin(rig, other) == [(HEAVY, 30, FENCE)]


def test_nothing_is_paced_where_nothing_serves(rig: Rig) -> None:
    rig.pacing.forget_task(LIVE)
    rig.look(tail_ms=3.0, filling=())
    assert begin(rig, TaskTraits(HEAVY, "heavy", 0, True, 2_000)) == []


@pytest.mark.parametrize(
    ("forgotten", "is_needed"),
    [
        pytest.param((), True, id="both_kinds"),
        pytest.param((LIVE,), False, id="nothing_serves"),
        pytest.param((HEAVY, CALM), False, id="nothing_fills"),
    ],
)
def test_need(rig: Rig, forgotten: tuple[str, ...], is_needed: bool) -> None:
    for task in forgotten:
        rig.pacing.forget_task(task)
    assert rig.pacing.is_needed is is_needed
