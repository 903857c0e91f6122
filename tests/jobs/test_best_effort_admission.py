"""Best-effort tasks wait, for a bounded time, where they would run slowly."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from scheduler_harness import JOB, QUEUE, SchedulerHarness, n_placed

from almondspan_decisions.best_effort_admission import (
    PATIENCE_S,
    patience_left,
    useful_speed,
)
from almondspan_decisions.best_effort_placement import BestEffortScores
from almondspan_decisions.ids import JobId, WorkerId
from almondspan_decisions.job_graph import JobSpec, StepSpec
from almondspan_decisions.shapes import Shape
from almondspan_decisions.worker_record import WorkerRecord
from almondspan_jobs.records import InterferenceRecord

TASK = f"{JOB}.0.0.0"
SERVING_JOB = JobId("00000000000000aa")
OTHER_JOB = JobId("00000000000000bb")
OTHER = WorkerId("w-2")
N_WAITING = 30
WIDTH = 6


def best_effort(image: str = "batch", millicores: int = 2_000) -> StepSpec:
    return StepSpec(WIDTH, Shape(millicores, 500), 4_000, fills=True, image=image)


def advance_listed(harness: SchedulerHarness, for_s: float) -> None:
    """Let time pass, in which the worker lists the first task and plans are made."""
    for _ in range(int(for_s / 0.5)):
        harness.list_worker(running=[(TASK, 1, "", 5, 2_000.0)])
        harness.advance(0.5)
        harness.plan_and_store()


def test_few_tasks_run_at_full_speed(harness: SchedulerHarness) -> None:
    """Guards against starting all tasks at a third of their speed."""
    harness.report_worker()
    harness.add(best_effort())
    assert n_placed(harness) == 2


def test_waiting_task_starts_once_another_has_ended(harness: SchedulerHarness) -> None:
    harness.report_worker()
    harness.add(best_effort())
    harness.list_worker(ended=[(1, TASK, 1, "done", "")])
    harness.plan_and_store()
    assert harness.scheduler.jobs[JOB].occurrences[0][0].tasks[2].incarnation


def test_wait_is_bounded(harness: SchedulerHarness) -> None:
    harness.report_worker()
    harness.add(best_effort())
    advance_listed(harness, PATIENCE_S + 1.0)
    assert n_placed(harness) == WIDTH


def test_worker_added_later_is_used_at_once(harness: SchedulerHarness) -> None:
    harness.report_worker()
    harness.add(best_effort())
    harness.report_worker(OTHER, node="node-2")
    harness.plan_and_store()
    assert n_placed(harness) == 4


def test_lone_task_starts_at_a_low_speed(harness: SchedulerHarness) -> None:
    """A task that slows no other gains nothing by waiting."""
    interference = InterferenceRecord([("live", "heavy", 7.0, 0.01)], {"live": 2.4})
    harness.scheduler.load_interference(interference)
    harness.report_worker()
    serving = StepSpec(
        1, Shape(1_000, 1_000), lasts=True, image="live", tail_target_ms=10
    )
    harness.scheduler.add_job(SERVING_JOB, JobSpec(QUEUE, "payload", (serving,)))
    harness.add(best_effort("heavy"))
    assert n_placed(harness) == 1


def test_smaller_task_of_the_same_image_is_placed(harness: SchedulerHarness) -> None:
    harness.report_worker()
    harness.add(best_effort())
    small = JobSpec(QUEUE, "payload", (best_effort(millicores=500),))
    harness.scheduler.add_job(OTHER_JOB, small)
    harness.plan_and_store()
    assert harness.scheduler.jobs[OTHER_JOB].n_placed > 0


def test_steps_that_wait_alike_are_checked_once(
    harness: SchedulerHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards planning with many waiting steps, each checked against all workers."""
    harness.report_worker()
    harness.add(best_effort())
    for number in range(N_WAITING):
        spec = JobSpec(QUEUE, "payload", (best_effort(),), accepted_ms=1 + number)
        harness.scheduler.add_job(JobId(f"{number:016x}"), spec)
    harness.plan_and_store()
    n_scored = 0
    cost = BestEffortScores.cost

    def counted(
        scores: BestEffortScores, step: StepSpec, worker: WorkerRecord
    ) -> float:
        nonlocal n_scored
        n_scored += 1
        return cost(scores, step, worker)

    monkeypatch.setattr(BestEffortScores, "cost", counted)
    harness.list_worker(running=[(TASK, 1, "", 5, 2_000.0)])
    harness.advance(0.5)
    harness.plan_and_store()
    assert 1 <= n_scored < N_WAITING


def test_short_tasks_wait_for_a_short_time(harness: SchedulerHarness) -> None:
    """Guards against waiting for longer than a slow run would take."""
    harness.report_worker()
    harness.add(replace(best_effort(), estimate_ms=500))
    assert n_placed(harness) == 2
    advance_listed(harness, 1.5)
    assert n_placed(harness) == WIDTH


@pytest.mark.parametrize(
    ("waited_s", "run_s", "is_alone", "least"),
    [
        pytest.param(0.0, 4.0, False, 0.7, id="at_first"),
        pytest.param(0.0, 4.0, True, 0.3, id="at_first_alone"),
        pytest.param(PATIENCE_S / 2, 4.0, False, 0.35, id="halfway"),
        pytest.param(PATIENCE_S, 60.0, False, 0.0, id="long_task_at_the_end"),
        pytest.param(PATIENCE_S / 2, 60.0, False, 0.35, id="long_task_halfway"),
        pytest.param(PATIENCE_S / 2, 0.0, False, 0.35, id="unknown_run_time"),
        pytest.param(0.5, 0.5, False, 0.35, id="short_task_halfway"),
        pytest.param(1.0, 0.5, False, 0.0, id="short_task_at_the_end"),
    ],
)
def test_useful_speed(
    waited_s: float, run_s: float, is_alone: bool, least: float
) -> None:
    patience = patience_left(waited_s, run_s)
    assert useful_speed(patience, is_alone=is_alone) == pytest.approx(least)


@given(st.floats(0.0, 1e6), st.floats(0.0, 1e6), st.floats(0.001, 1e6), st.booleans())
def test_useful_speed_falls_with_the_wait(
    one_s: float, other_s: float, run_s: float, is_alone: bool
) -> None:
    """A task never waits longer than its patience."""
    first = useful_speed(patience_left(min(one_s, other_s), run_s), is_alone=is_alone)
    later = useful_speed(patience_left(max(one_s, other_s), run_s), is_alone=is_alone)
    assert 0.0 <= later <= first <= 1.0
    assert patience_left(PATIENCE_S + one_s, run_s) == 0.0
