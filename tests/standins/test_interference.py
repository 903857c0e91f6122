"""The interference model, its parameter files and its effect on worker and runner."""

import random
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from almondspan_decisions.ids import ServiceName, ShardId, TaskClass, TaskId, WorkerId
from almondspan_decisions.shapes import Shape
from almondspan_platform.worker import StartAttempt, StartResult
from almondspan_standins.colocation import colocate
from almondspan_standins.interference import InterferenceModel, PairEffect, load_model
from almondspan_standins.runner_app import RunnerApp, RunnerOptions
from almondspan_standins.worker_core import (
    DuplicateRunDetector,
    WorkerCore,
    task_payload,
)

FILES = Path(__file__).resolve().parents[2] / "misc" / "interference"
CLIPS, ALIGN, CUT = ServiceName("clips"), TaskClass("align"), TaskClass("cut")
MODEL = InterferenceModel(
    service_share=0.0,
    exponent=1.0,
    default_slowdown=1.0,
    pair=(PairEffect(CLIPS, ALIGN, service_slowdown=5.0, task_slowdown=2.0),),
)


@pytest.mark.parametrize(
    ("running", "slowdown"),
    [
        pytest.param((), 1.0, id="idle"),
        pytest.param(((ALIGN, 1.0),), 5.0, id="full"),
        pytest.param(((ALIGN, 0.5),), 2.0, id="half"),
        pytest.param(((CUT, 1.0),), 1.0, id="harmless"),
        pytest.param(((ALIGN, 0.5), (CUT, 0.5)), 3.0, id="harmful-and-harmless"),
    ],
)
def test_service_slowdown(
    running: tuple[tuple[TaskClass, float], ...], slowdown: float
) -> None:
    assert MODEL.service_slowdown(CLIPS, 0.0, running) == pytest.approx(slowdown)


@pytest.mark.parametrize(
    ("task_class", "service_load", "slowdown"),
    [
        pytest.param(ALIGN, 0.0, 1.0, id="no-calls"),
        pytest.param(ALIGN, 1.0, 2.0, id="all-slots"),
        pytest.param(ALIGN, 0.5, 1.5, id="half"),
        pytest.param(CUT, 1.0, 1.0, id="unharmed"),
    ],
)
def test_task_slowdown(
    task_class: TaskClass, service_load: float, slowdown: float
) -> None:
    running = ((task_class, 1.0),)
    got = MODEL.task_slowdown(CLIPS, service_load, task_class, running)
    assert got == pytest.approx(slowdown)


shares = st.floats(0.0, 1.0)


@given(shares, shares, shares, st.sampled_from(sorted(FILES.glob("*.toml"))))
def test_slowdowns_increase_with_load(
    low: float, high: float, service_load: float, path: Path
) -> None:
    low, high = sorted((low, high))
    model = load_model(path)
    for one in model.pair:
        slowdowns = [
            model.service_slowdown(
                one.service, service_load, ((one.task_class, share),)
            )
            for share in (0.0, low, high)
        ]
        assert slowdowns[0] == 1.0
        assert slowdowns == sorted(slowdowns)
        assert slowdowns[-1] <= 1.0 + one.service_slowdown * 1.5**model.exponent


@pytest.mark.parametrize(
    ("text", "message"),
    [
        pytest.param("exponent = 'x'", "exponent", id="wrong-type"),
        pytest.param("expo = 1.0", "expo", id="unknown-key"),
        pytest.param("[[pair]]\nservice = 'a'", "task_class", id="missing-key"),
        pytest.param("exponent =", "Invalid value", id="not-toml"),
    ],
)
def test_invalid_file_is_rejected(tmp_path: Path, text: str, message: str) -> None:
    path = tmp_path / "model.toml"
    path.write_text(text)
    with pytest.raises(ValueError, match=message) as raised:
        load_model(path)
    assert str(path) in str(raised.value)


class Clock:
    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


def attempt(task_class: TaskClass, number: int = 1) -> StartAttempt:
    return StartAttempt(
        task_id=TaskId("job/0"),
        attempt=number,
        task_class=task_class,
        shape=Shape(1000, 100, 0),
        payload=task_payload(2.0, "align", "r"),
        checkpoint=b"",
        shard_id=ShardId(0),
        epoch=1,
        idempotent=True,
    )


def make_core(
    name: str, clock: Clock, detector: DuplicateRunDetector | None
) -> WorkerCore:
    return WorkerCore(WorkerId(name), Shape(1000, 1000, 0), clock, detector=detector)


def test_colocated_sides_slow_each_other_down() -> None:
    clock = Clock()
    core = make_core("w1", clock, None)
    runner = RunnerApp(RunnerOptions(), random.Random(1))
    load_share = 1.0
    runner.load_share = lambda: load_share  # type: ignore[method-assign]
    colocate(core, runner, MODEL)
    core.start_attempt(attempt(ALIGN))
    assert runner.slowdown_of() == 5.0
    core.throttle((TaskId("job/0"), 1), 0.5)
    assert runner.slowdown_of() == 2.0
    core.throttle((TaskId("job/0"), 1), 1.0)
    clock.now_s = 2.0
    load_share = 0.0
    core.refresh_slowdown()
    assert core.ledger == []
    # Half of the work was done under load; the rest takes 1 s without load.
    clock.now_s = 2.99
    core.advance()
    assert core.ledger == []
    clock.now_s = 3.0
    assert runner.slowdown_of() == 1.0
    assert len(core.ledger) == 1


@pytest.mark.parametrize(
    ("second_starts_s", "n_concurrent_duplicates"),
    [
        pytest.param(1.0, 1, id="while-it-runs"),
        pytest.param(2.5, 0, id="after-its-end"),
        pytest.param(9.0, 0, id="long-after"),
    ],
)
def test_detector_counts_tasks_in_two_places(
    second_starts_s: float, n_concurrent_duplicates: int
) -> None:
    clock = Clock()
    detector = DuplicateRunDetector()
    first, second = (make_core(name, clock, detector) for name in ("w1", "w2"))
    assert first.start_attempt(attempt(CUT)) is StartResult.STARTED
    clock.now_s = second_starts_s
    assert second.start_attempt(attempt(CUT, 2)) is StartResult.STARTED
    assert detector.n_concurrent_duplicates == n_concurrent_duplicates
