"""Learned run times: what ended and running tasks tell about the others."""

import math
import random
import statistics

import pytest
from hypothesis import given
from hypothesis import strategies as st

from almondspan_decisions.ids import JobId
from almondspan_decisions.job_graph import JobSpec, QueueName, StepSpec
from almondspan_decisions.shapes import Shape
from almondspan_decisions.task_times import (
    MAX_STEPS_KEPT,
    TaskTimes,
    TimedStep,
    timed_step,
)

QUEUE = QueueName("q")
STEP = TimedStep(JobId("a"), 0, 4.0)


def learned(ratio: float, n_steps: int, seed: int = 1) -> TaskTimes:
    """Return the times after steps of ten tasks with a mean ratio to the declared."""
    rng = random.Random(seed)
    times = TaskTimes()
    for number in range(n_steps):
        step = TimedStep(JobId(f"job{number}"), 0, 2.0)
        of_step = ratio * rng.uniform(0.8, 1.25)
        for position in range(10):
            run_s = 2.0 * of_step * rng.uniform(0.85, 1.15)
            times.observe(QUEUE, step, run_s, 2.0, position)
    return times


def test_step_is_identified_by_its_job_and_number() -> None:
    spec = JobSpec(QUEUE, "", (StepSpec(1, Shape()), StepSpec(1, Shape(), 2_500)))
    assert timed_step(JobId("a"), spec, 1) == TimedStep(JobId("a"), 1, 2.5)


def test_declared_time_counts_before_anything_is_known() -> None:
    estimate = TaskTimes().expected(QUEUE, STEP)
    assert estimate.mean_s == pytest.approx(4.0, rel=0.15)
    assert 4.0 * 1.5 < estimate.upper_s < 4.0 * 2.5


@pytest.mark.parametrize("ratio", [0.53, 1.0, 1.9])
def test_ratio_of_a_queue_is_learned_with_its_spread(ratio: float) -> None:
    estimate = learned(ratio, 40).expected(QUEUE, STEP)
    assert estimate.mean_s == pytest.approx(4.0 * ratio, rel=0.2)
    assert estimate.upper_s < TaskTimes().expected(QUEUE, STEP).upper_s * ratio


def test_ended_tasks_of_a_step_tell_more_than_its_queue() -> None:
    times = learned(1.0, 40)
    for position in range(4):
        times.observe(QUEUE, STEP, 7.0, 4.0, position)
    assert times.expected(QUEUE, STEP).mean_s == pytest.approx(7.0, rel=0.1)
    other = TimedStep(JobId("b"), 0, 4.0)
    assert times.expected(QUEUE, other).mean_s == pytest.approx(4.0, rel=0.2)


def test_running_tasks_of_a_step_tell_about_those_that_wait() -> None:
    times = TaskTimes()
    for position in range(6):
        times.observe_progress(QUEUE, STEP, position, 2.0, 30)
    assert times.expected(QUEUE, STEP).mean_s == pytest.approx(6.7, rel=0.1)


@pytest.mark.parametrize(
    ("percent", "expected_s"),
    [
        pytest.param(10, 18.0, id="early"),
        pytest.param(50, 2.0, id="half"),
        pytest.param(90, 0.22, id="nearly_done"),
        pytest.param(100, 0.0, id="done"),
    ],
)
def test_progress_of_a_task_tells_what_remains(percent: int, expected_s: float) -> None:
    """Its declared time is wrong by a factor of 1.9 or more."""
    remaining = TaskTimes().remaining(QUEUE, STEP, 2.0, percent)
    assert remaining.mean_s == pytest.approx(expected_s, rel=0.3, abs=0.01)
    assert remaining.upper_s >= remaining.mean_s


def test_progress_before_the_time_that_ran_is_left_out() -> None:
    """Guards against a task continued from a checkpoint that seems to be fast."""
    remaining = TaskTimes().remaining(QUEUE, STEP, 2.0, 90, from_percent=50)
    assert remaining.mean_s == pytest.approx(0.5, rel=0.2)
    restarted = TaskTimes().remaining(QUEUE, STEP, 0.0, 50, from_percent=50)
    assert restarted.mean_s == pytest.approx(2.0, rel=0.2)


def test_task_without_progress_that_outlives_its_time_is_expected_to_go_on() -> None:
    remaining = [TaskTimes().remaining(QUEUE, STEP, ran_s, 0) for ran_s in (10, 20)]
    assert 0 < remaining[0].mean_s < remaining[1].mean_s


def test_task_that_continues_from_a_checkpoint_counts_with_the_part_that_ran() -> None:
    times = TaskTimes()
    for position in range(8):
        times.observe(QUEUE, STEP, 1.0, 1.0, position)
    assert times.expected(QUEUE, STEP).mean_s == pytest.approx(4.0, rel=0.1)


def test_work_leaves_out_the_slowdown_by_other_tasks() -> None:
    """Guards against objectives that grow with the load: tasks at a third of speed."""
    rng = random.Random(3)
    times = TaskTimes()
    for position in range(20):
        slowdown = rng.choice([1.0, 2.0, 3.0, 4.0])
        times.observe(QUEUE, STEP, 4.0 * slowdown, 4.0, position)
    assert times.expected(QUEUE, STEP).mean_s > 8.0
    assert times.work_s(QUEUE, STEP) == pytest.approx(4.0, rel=0.4)
    other = TimedStep(JobId("b"), 0, 4.0)
    assert times.work_s(QUEUE, other) <= 1.9 * 4.0


def test_tasks_without_a_declared_time_are_learned_apart() -> None:
    times = learned(1.0, 20)
    undeclared = [TimedStep(JobId(f"u{number}"), 0, 0.0) for number in range(30)]
    for step in undeclared:
        times.observe(QUEUE, step, 9.0, 0.0)
    unseen = TimedStep(JobId("v"), 0, 0.0)
    assert times.expected(QUEUE, unseen).mean_s == pytest.approx(9.0, rel=0.4)
    assert times.expected(QUEUE, STEP).mean_s == pytest.approx(4.0, rel=0.2)


def test_memory_is_bounded() -> None:
    times = TaskTimes()
    for number in range(MAX_STEPS_KEPT + 10):
        times.observe(QUEUE, TimedStep(JobId(str(number)), 0, 1.0), 1.0, 1.0)
    assert len(times._steps) == MAX_STEPS_KEPT


def test_estimates_are_closer_than_declared_times() -> None:
    """Declared times off by up to 1.9 either way, tasks of a step alike within 30%."""
    rng = random.Random(7)
    times = TaskTimes()
    errors, declared_errors = [], []
    for number in range(60):
        step = TimedStep(JobId(f"n{number}"), 0, rng.uniform(1.0, 5.0))
        ratio = math.exp(rng.uniform(-math.log(1.9), math.log(1.9)))
        runs_s = [step.declared_s * ratio * rng.uniform(0.8, 1.2) for _ in range(10)]
        for position, run_s in enumerate(runs_s[:5]):
            ran_s = 0.4 * run_s
            times.observe_progress(QUEUE, step, position, ran_s, 40)
        estimate = times.expected(QUEUE, step)
        errors += [abs(math.log(estimate.mean_s / run_s)) for run_s in runs_s[5:]]
        declared_errors += [
            abs(math.log(step.declared_s / run_s)) for run_s in runs_s[5:]
        ]
        for position, run_s in enumerate(runs_s):
            times.observe(QUEUE, step, run_s, step.declared_s, position)
    assert statistics.mean(errors) < 0.5 * statistics.mean(declared_errors)


@given(
    st.lists(
        st.tuples(
            st.integers(0, 5),
            st.floats(0, 1e6),
            st.integers(-1, 200),
            st.booleans(),
        ),
        max_size=40,
    ),
    st.floats(0, 1e6),
    st.integers(0, 120),
    st.integers(0, 100),
)
def test_estimates_are_positive_and_bounded(
    seen: list[tuple[int, float, int, bool]],
    ran_s: float,
    percent: int,
    from_percent: int,
) -> None:
    times = TaskTimes()
    for position, run_s, progress, has_ended in seen:
        step = TimedStep(JobId(f"job{position % 2}"), 0, float(position))
        if has_ended:
            times.observe(QUEUE, step, run_s, step.declared_s, position)
        else:
            times.observe_progress(QUEUE, step, position, run_s, progress)
    for declared_s in (0.0, 3.0):
        step = TimedStep(JobId("job1"), 0, declared_s)
        for estimate in (
            times.expected(QUEUE, step),
            times.remaining(QUEUE, step, ran_s, percent, from_percent),
        ):
            assert 0.0 <= estimate.mean_s <= estimate.upper_s < math.inf
        assert 0.0 < times.work_s(QUEUE, step) < math.inf
