"""Which tasks are in doubt after a crash, for which it counts, which are given up."""

import math
from dataclasses import dataclass, replace
from typing import Any

import pytest

from almondspan_decisions.crash_blame import (
    CrashedTask,
    SilentWorker,
    blame,
    is_at_start,
    is_in_doubt,
    jobs_at_fault,
    point_reached_at_most,
)
from almondspan_decisions.ids import JobId
from almondspan_decisions.job_graph import StepSpec, TaskKey
from almondspan_decisions.job_progress import TaskState
from almondspan_decisions.shapes import Shape

PLACED_S = 100.0


@dataclass(frozen=True)
class Had:
    """A task that a crashed worker had."""

    n_crashes: int
    n_unproven: int = 0
    is_proven: bool = True
    is_in_doubt: bool = False
    was_on_trial: bool = False
    is_outlived: bool = False
    is_at_start: bool = False
    n_at_start: int = 0
    job: str = "job"

    def at(self, position: int) -> CrashedTask:
        return CrashedTask(
            JobId(self.job),
            TaskKey(0, 0, position),
            self.n_crashes,
            self.n_unproven,
            self.is_proven,
            self.is_in_doubt,
            self.was_on_trial,
            self.is_outlived,
            self.is_at_start,
            self.n_at_start,
        )


def seen_running(n_crashes: int, n_unproven: int = 0) -> Had:
    return Had(n_crashes, n_unproven)


def fresh(n_crashes: int, n_unproven: int = 0) -> Had:
    return Had(n_crashes, n_unproven, is_in_doubt=True)


def on_trial(n_crashes: int, n_unproven: int = 0) -> Had:
    return Had(n_crashes, n_unproven, is_in_doubt=True, was_on_trial=True)


def at_start(n_crashes: int, n_at_start: int) -> Had:
    """Return a task on trial whose worker crashed at its start."""
    return replace(on_trial(n_crashes), is_at_start=True, n_at_start=n_at_start)


def unanswered(n_crashes: int, n_unproven: int = 0) -> Had:
    return Had(n_crashes, n_unproven, is_proven=False)


@pytest.mark.parametrize(
    ("listed_s", "is_inherited", "expected"),
    [
        pytest.param(0.0, False, True, id="never_listed"),
        pytest.param(PLACED_S + 0.1, False, True, id="listed_at_its_start"),
        pytest.param(PLACED_S + 0.5, False, False, id="seen_running"),
        pytest.param(0.0, True, False, id="started_by_an_earlier_owner"),
        pytest.param(PLACED_S + 0.1, True, True, id="inherited_and_listed_once"),
    ],
)
def test_task_is_in_doubt_until_it_has_run(
    listed_s: float, is_inherited: bool, expected: bool
) -> None:
    task = TaskState(
        placed_s=PLACED_S, listed_s=listed_s, is_inherited=is_inherited, n_crashes=1
    )
    assert is_in_doubt(task) is expected


@pytest.mark.parametrize(
    ("tasks", "was_worker_sound", "proven", "possible", "blamed"),
    [
        pytest.param(
            [fresh(0), seen_running(0)], True, [0, 1], [], [], id="first_crash"
        ),
        pytest.param(
            [on_trial(1), seen_running(1)], True, [0], [1], [], id="failed_trial"
        ),
        pytest.param(
            [on_trial(1), fresh(0)], True, [0, 1], [], [], id="started_beside_a_trial"
        ),
        pytest.param(
            [on_trial(1), unanswered(0)],
            True,
            [0],
            [1],
            [],
            id="unanswered_beside_a_trial",
        ),
        pytest.param(
            [on_trial(1), on_trial(1)], True, [0, 1], [], [], id="two_failed_trials"
        ),
        pytest.param(
            [Had(1, was_on_trial=True), seen_running(0)],
            True,
            [0, 1],
            [],
            [],
            id="trial_had_ended",
        ),
        pytest.param(
            [on_trial(1), seen_running(0)],
            False,
            [0, 1],
            [],
            [],
            id="worker_had_just_crashed",
        ),
        pytest.param(
            [on_trial(0, 1), seen_running(0)],
            True,
            [0, 1],
            [],
            [],
            id="first_crash_unproven",
        ),
        pytest.param(
            [Had(1, 0, False, True, True), seen_running(0)],
            True,
            [1],
            [0],
            [],
            id="failed_trial_unproven",
        ),
        pytest.param(
            [seen_running(1), seen_running(1)],
            True,
            [0, 1],
            [],
            [],
            id="late_in_their_runs",
        ),
        pytest.param(
            [seen_running(2), seen_running(1)], True, [0, 1], [], [0], id="last_crash"
        ),
        pytest.param(
            [seen_running(2), on_trial(1)],
            True,
            [0, 1],
            [],
            [0],
            id="last_crash_beside_a_trial",
        ),
        pytest.param(
            [on_trial(2), seen_running(2), fresh(0)],
            True,
            [0],
            [1, 2],
            [0],
            id="last_crash_in_a_trial_beside_others",
        ),
        pytest.param(
            [on_trial(2), seen_running(2)],
            False,
            [0, 1],
            [],
            [0, 1],
            id="last_crash_in_a_trial_worker_not_sound",
        ),
        pytest.param(
            [at_start(1, 1), seen_running(2), fresh(0)],
            True,
            [0],
            [1, 2],
            [0],
            id="two_crashes_at_starts",
        ),
        pytest.param(
            [at_start(1, 0), seen_running(1)],
            True,
            [0],
            [1],
            [],
            id="one_crash_at_a_start",
        ),
        pytest.param(
            [at_start(1, 1), seen_running(0)],
            False,
            [0, 1],
            [],
            [],
            id="two_crashes_at_starts_worker_not_sound",
        ),
        pytest.param(
            [seen_running(1, 3), on_trial(1)],
            True,
            [1],
            [0],
            [0],
            id="last_possible_crash_beside_a_trial",
        ),
        pytest.param(
            [seen_running(2)], False, [0], [], [0], id="last_crash_worker_not_sound"
        ),
        pytest.param([on_trial(2)], True, [0], [], [0], id="last_crash_in_a_trial"),
        pytest.param(
            [unanswered(2, 1)], True, [], [0], [], id="last_but_one_possible_crash"
        ),
        pytest.param([unanswered(2, 2)], True, [], [0], [0], id="last_possible_crash"),
        pytest.param([unanswered(0, 4)], True, [], [0], [0], id="last_unproven_crash"),
        pytest.param([], True, [], [], [], id="nothing_ran"),
    ],
)
def test_for_which_tasks_a_crash_counts(
    tasks: list[Had],
    was_worker_sound: bool,
    proven: list[int],
    possible: list[int],
    blamed: list[int],
) -> None:
    found = blame(
        [task.at(position) for position, task in enumerate(tasks)],
        was_worker_sound=was_worker_sound,
        at_fault=None,
    )
    assert [task.key.position for task in found.proven] == proven
    assert [task.key.position for task in found.possible] == possible
    assert [task.key.position for task in found.blamed] == blamed


@pytest.mark.parametrize(
    ("task", "is_counted"),
    [
        pytest.param(Had(2, is_outlived=True), False, id="seen_running"),
        pytest.param(Had(0, is_in_doubt=True, is_outlived=True), False, id="in_doubt"),
        pytest.param(
            Had(0, is_proven=False, is_outlived=True), True, id="start_unanswered"
        ),
    ],
)
def test_crash_that_a_task_has_outlived_does_not_count(
    task: Had, is_counted: bool
) -> None:
    found = blame([task.at(0)], was_worker_sound=True, at_fault=None)
    assert bool(found.proven + found.possible) is is_counted


@pytest.mark.parametrize(
    ("task", "is_proven"),
    [
        pytest.param(Had(1), False, id="seen_running"),
        pytest.param(Had(1, job="culprit"), True, id="of_a_job_at_fault"),
        pytest.param(Had(2), True, id="two_crashes_before"),
        pytest.param(Had(0, is_in_doubt=True), True, id="in_doubt"),
        pytest.param(Had(0, is_proven=False), False, id="start_unanswered"),
    ],
)
def test_crash_of_many_workers_is_proven_only_for_suspects(
    task: Had, is_proven: bool
) -> None:
    crashed = task.at(0)
    found = blame(
        [crashed], was_worker_sound=True, at_fault=frozenset({JobId("culprit")})
    )
    assert found.proven == ((crashed,) if is_proven else ())
    assert found.possible == (() if is_proven else (crashed,))


SILENT_S = 50.0


@pytest.mark.parametrize(
    ("others", "n_workers", "expected"),
    [
        pytest.param([], 8, None, id="alone"),
        pytest.param([(0.0, "b")] * 2, 8, None, id="three_workers"),
        pytest.param([(0.0, "b")] * 3, 8, "", id="four_workers"),
        pytest.param([(0.05, "b")] * 3, 8, "", id="a_moment_later"),
        pytest.param([(-0.2, "b")] * 3, 8, None, id="at_other_moments"),
        pytest.param([(0.0, "b")] * 3, 17, None, id="small_share_of_a_large_fleet"),
        pytest.param([(0.0, "ab")] * 3, 8, "a", id="a_job_on_all_of_them"),
        pytest.param(
            [(0.0, "ab"), (0.0, "ab"), (0.0, "b")], 8, "", id="a_job_on_some_of_them"
        ),
    ],
)
def test_job_that_ran_on_some_of_the_silent_workers_is_not_at_fault(
    others: list[tuple[float, str]], n_workers: int, expected: str | None
) -> None:
    found = jobs_at_fault(
        SilentWorker(SILENT_S, jobs("ac")),
        [SilentWorker(SILENT_S + after_s, jobs(ids)) for after_s, ids in others],
        n_workers,
    )
    assert found == (None if expected is None else jobs(expected))


def jobs(ids: str) -> frozenset[JobId]:
    return frozenset(JobId(name) for name in ids)


ALIKE = StepSpec(1, Shape(100, 100), estimate_ms=10_000)
RESUMED = StepSpec(1, Shape(100, 100), estimate_ms=10_000, saves_progress=True)
HELD_BACK = StepSpec(1, Shape(100, 100), estimate_ms=10_000, fills=True)
LASTING = StepSpec(1, Shape(100, 100), estimate_ms=10_000, fills=True, lasts=True)
LISTED_S = PLACED_S + 5.0


@pytest.mark.parametrize(
    ("step", "task", "bound"),
    [
        pytest.param(ALIKE, {}, 6.0, id="alike"),
        pytest.param(ALIKE, {"is_inherited": True}, math.inf, id="alike_inherited"),
        pytest.param(
            RESUMED,
            {"listed_s": LISTED_S, "ran_s": 4.0, "first_percent": 10, "percent": 30},
            30 + 3 * 5 + 2,
            id="speed_is_measured",
        ),
        pytest.param(
            RESUMED,
            {"listed_s": LISTED_S, "ran_s": 0.5, "first_percent": 10, "percent": 10},
            10 + 3 * 10 + 2,
            id="speed_is_estimated",
        ),
        pytest.param(RESUMED, {"survived": 40.0}, 40 + 3 * 60 + 2, id="not_listed"),
        pytest.param(
            HELD_BACK, {"survived": 40.0}, 3 * 60 + 2, id="not_listed_begins_anew"
        ),
        pytest.param(RESUMED, {"is_inherited": True}, math.inf, id="inherited"),
        pytest.param(LASTING, {"listed_s": LISTED_S}, math.inf, id="lasting"),
    ],
)
def test_how_far_a_task_had_come_at_most(
    step: StepSpec, task: dict[str, Any], bound: float
) -> None:
    """Guards against BUDGET: too low a bound takes back a task's own crashes."""
    state = TaskState(placed_s=PLACED_S, **task)
    assert point_reached_at_most(step, state, PLACED_S + 6.0) == pytest.approx(bound)


@pytest.mark.parametrize(
    ("started_s", "expected"),
    [
        pytest.param(PLACED_S, True, id="at_once"),
        pytest.param(PLACED_S - 0.2, False, id="later"),
        pytest.param(-math.inf, False, id="not_confirmed"),
        pytest.param(PLACED_S + 0.1, False, id="confirmed_after_the_silence"),
    ],
)
def test_crash_at_the_start_of_a_task(started_s: float, expected: bool) -> None:
    assert is_at_start(TaskState(started_s=started_s), PLACED_S) is expected
