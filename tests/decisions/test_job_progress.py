"""State of a job: single operations, and invariants under random operations."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from almondspan_decisions.ids import JobId, WorkerId
from almondspan_decisions.job_graph import (
    JobSpec,
    QueueName,
    StepSpec,
    TaskKey,
    format_task_name,
    parse_task_name,
    spec_fault,
)
from almondspan_decisions.job_progress import (
    EndKind,
    JobProgress,
    JobState,
    TaskPhase,
    WorkerIncarnation,
)
from almondspan_decisions.shapes import Shape

SHAPE = Shape(1, 1, 0)
INCARNATION = WorkerIncarnation(WorkerId("w"), 1)
MAX_FAILURES = 2


def make_job(*steps: StepSpec, n_occurrences: int = 0) -> JobProgress:
    spec = JobSpec(
        QueueName("q"), "", steps, 0, n_occurrences, first_due_ms=100, interval_ms=50
    )
    job = JobProgress(JobId("j"), spec)
    job.add_due_occurrences(1_000_000)
    return job


@pytest.mark.parametrize(
    ("name", "parsed"),
    [
        pytest.param("ab.0.1.17", ("ab", TaskKey(0, 1, 17)), id="task"),
        pytest.param("ab.0.1", None, id="short"),
        pytest.param("ab.0.x.1", None, id="no_number"),
        pytest.param("ab.0.-1.1", None, id="negative"),
    ],
)
def test_task_names(name: str, parsed: tuple[str, TaskKey] | None) -> None:
    assert parse_task_name(name) == parsed
    if parsed is not None:
        assert format_task_name(JobId(parsed[0]), parsed[1]) == name


@pytest.mark.parametrize(
    ("steps", "fault"),
    [
        pytest.param((), "a job needs a step", id="none"),
        pytest.param((StepSpec(0, SHAPE),), "step 0 has no tasks", id="empty"),
        pytest.param(
            (StepSpec(1, SHAPE, after=(0,)),),
            "step 0 waits for a step that is not before it",
            id="itself",
        ),
        pytest.param((StepSpec(1, SHAPE), StepSpec(1, SHAPE, after=(0,))), "", id="ok"),
    ],
)
def test_spec_fault(steps: tuple[StepSpec, ...], fault: str) -> None:
    assert spec_fault(JobSpec(QueueName("q"), "", steps)) == fault


def test_occurrences_are_added_when_due() -> None:
    spec = JobSpec(QueueName("q"), "", (StepSpec(1, SHAPE),), 0, 3, 100, 50)
    job = JobProgress(JobId("j"), spec)
    assert not job.add_due_occurrences(99)
    assert job.add_due_occurrences(150) and len(job.occurrences) == 2
    for occurrence in (0, 1):
        key = TaskKey(occurrence, 0, 0)
        job.place(key, INCARNATION, 0.0)
        job.end(key, EndKind.DONE, "")
        job.apply_failure_limit(MAX_FAILURES)
    assert job.state is JobState.RUNNING
    job.add_due_occurrences(200)
    job.place(TaskKey(2, 0, 0), INCARNATION, 0.0)
    job.end(TaskKey(2, 0, 0), EndKind.DONE, "")
    job.apply_failure_limit(MAX_FAILURES)
    assert job.state is JobState.COMPLETED


@pytest.mark.parametrize(
    ("attempt", "incarnation", "is_assigned"),
    [
        pytest.param(1, INCARNATION, True, id="assigned"),
        pytest.param(2, INCARNATION, False, id="other_attempt"),
        pytest.param(
            1, WorkerIncarnation(WorkerId("w"), 2), False, id="later_incarnation"
        ),
        pytest.param(1, WorkerIncarnation(WorkerId("v"), 1), False, id="other_worker"),
    ],
)
def test_assignment(
    attempt: int, incarnation: WorkerIncarnation, is_assigned: bool
) -> None:
    job = make_job(StepSpec(1, SHAPE))
    job.place(TaskKey(0, 0, 0), INCARNATION, 0.0)
    assert job.is_assigned(TaskKey(0, 0, 0), attempt, incarnation) is is_assigned


@pytest.mark.parametrize(
    ("incarnation", "is_moved"),
    [
        pytest.param(WorkerIncarnation(WorkerId("w"), 2), True, id="later_incarnation"),
        pytest.param(
            WorkerIncarnation(WorkerId("w"), 0), False, id="earlier_incarnation"
        ),
        pytest.param(WorkerIncarnation(WorkerId("v"), 2), False, id="other_worker"),
    ],
)
def test_attempt_moves_only_to_later_incarnations(
    incarnation: WorkerIncarnation, is_moved: bool
) -> None:
    job = make_job(StepSpec(1, SHAPE))
    job.place(TaskKey(0, 0, 0), INCARNATION, 0.0)
    assert job.adopt(TaskKey(0, 0, 0), 1, incarnation) is is_moved


def test_placing_a_task_that_may_not_start_raises() -> None:
    job = make_job(StepSpec(1, SHAPE), StepSpec(1, SHAPE, after=(0,)))
    with pytest.raises(RuntimeError):
        job.place(TaskKey(0, 1, 0), INCARNATION, 0.0)
    job.place(TaskKey(0, 0, 0), INCARNATION, 0.0)
    with pytest.raises(RuntimeError):
        job.place(TaskKey(0, 0, 0), INCARNATION, 0.0)


def test_lasting_task_waits_again_however_it_ends() -> None:
    job = make_job(StepSpec(1, SHAPE, lasts=True))
    key = TaskKey(0, 0, 0)
    for kind in (EndKind.DONE, EndKind.FAILED, EndKind.FAILED, EndKind.FAILED):
        job.place(key, INCARNATION, 0.0)
        job.end(key, kind, "")
        job.apply_failure_limit(MAX_FAILURES)
        assert job.state is JobState.RUNNING
        assert job.waiting(0, 0) == [key]


operations = st.lists(
    st.tuples(
        st.sampled_from(["place", "done", "failed", "interrupted", "cancel"]),
        st.integers(0, 1),
        st.integers(0, 2),
    ),
    max_size=60,
)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(operations)
def test_counts_and_order_under_random_operations(
    chosen: list[tuple[str, int, int]],
) -> None:
    job = make_job(StepSpec(3, SHAPE), StepSpec(3, SHAPE, after=(0,)))
    kinds = {
        "done": EndKind.DONE,
        "failed": EndKind.FAILED,
        "interrupted": EndKind.INTERRUPTED,
    }
    for name, step, position in chosen:
        key = TaskKey(0, step, position)
        task = job.task(key)
        assert task is not None
        if name == "cancel":
            job.is_cancelled = position == 0
        elif name == "place" and (0, step) in set(job.ready_steps()):
            if task.phase is TaskPhase.WAITING and job.is_active:
                job.place(key, INCARNATION, 0.0)
        elif name in kinds and task.phase is TaskPhase.PLACED:
            job.end(key, kinds[name], "")
            job.apply_failure_limit(MAX_FAILURES)
        steps = job.occurrences[0]
        phases = [[task.phase for task in state.tasks] for state in steps]
        for state, row in zip(steps, phases, strict=True):
            assert state.n_waiting == row.count(TaskPhase.WAITING)
            assert state.n_done == row.count(TaskPhase.DONE)
        assert job.n_placed == sum(row.count(TaskPhase.PLACED) for row in phases)
        if any(phase is not TaskPhase.WAITING for phase in phases[1]):
            assert steps[0].is_done
        if all(state.is_done for state in steps) and not job.is_cancelled:
            assert job.state in (JobState.COMPLETED, JobState.FAILED)
