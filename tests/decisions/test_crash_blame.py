"""Which tasks are in doubt after a crash, and which are given up."""

import pytest

from almondspan_decisions.crash_blame import (
    CrashedTask,
    SilentWorker,
    is_in_doubt,
    jobs_at_fault,
    tasks_to_give_up,
)
from almondspan_decisions.ids import JobId
from almondspan_decisions.job_graph import TaskKey
from almondspan_decisions.job_progress import TaskState

PLACED_S = 100.0


def crashed(
    position: int, n_crashes: int, n_possible: int, has_failed_trial: bool
) -> CrashedTask:
    key = TaskKey(0, 0, position)
    return CrashedTask(JobId("job"), key, n_crashes, n_possible, has_failed_trial)


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
    ("tasks", "was_worker_sound", "given_up"),
    [
        pytest.param([(1, 1, False), (1, 1, False)], True, [], id="first_crash"),
        pytest.param([(2, 2, True), (1, 1, False)], True, [0], id="one_failed_trial"),
        pytest.param([(2, 2, True), (2, 2, True)], True, [], id="two_failed_trials"),
        pytest.param([(2, 2, True)], False, [], id="worker_that_had_just_crashed"),
        pytest.param([(1, 2, True)], True, [], id="one_crash_unproven"),
        pytest.param([(0, 2, True)], True, [], id="both_crashes_unproven"),
        pytest.param([(3, 3, False), (3, 3, False)], True, [], id="late_in_their_runs"),
        pytest.param([(4, 4, False), (3, 3, False)], True, [0], id="last_crash"),
        pytest.param([(4, 4, False)], False, [0], id="last_crash_of_an_unsound_worker"),
        pytest.param([(4, 4, True)], True, [0], id="last_crash_in_a_trial"),
        pytest.param([(3, 4, False)], True, [], id="last_but_one_possible_crash"),
        pytest.param([(3, 5, False)], True, [0], id="last_possible_crash"),
        pytest.param([(0, 5, False)], True, [0], id="last_unproven_crash"),
        pytest.param([], True, [], id="nothing_ran"),
    ],
)
def test_tasks_given_up_after_a_crash(
    tasks: list[tuple[int, int, bool]], was_worker_sound: bool, given_up: list[int]
) -> None:
    found = tasks_to_give_up(
        [crashed(position, *task) for position, task in enumerate(tasks)],
        was_worker_sound=was_worker_sound,
    )
    assert [task.key.position for task in found] == given_up


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
