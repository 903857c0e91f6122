"""The progress of jobs of any size, in parts that each fit into a value."""

import random
from collections.abc import Callable
from dataclasses import replace

import msgspec
import pytest

from almondspan_decisions.ids import JobId, WorkerId
from almondspan_decisions.job_graph import JobSpec, QueueName, StepSpec, TaskKey
from almondspan_decisions.job_progress import (
    MAX_OPEN_TASKS,
    EndKind,
    JobProgress,
    JobState,
    TaskPhase,
    TaskState,
    WorkerIncarnation,
)
from almondspan_decisions.shapes import Shape
from almondspan_jobs.job_table import JobTable
from almondspan_jobs.progress_records import (
    HEAD,
    PART_TASKS,
    Part,
    PartKind,
    decode_progress,
    decode_state,
    encode_part,
    parse_part_key,
    part_key,
)
from almondspan_jobs.records import Unreadable
from almondspan_platform.store import MAX_VALUE_BYTES

JOB = JobId("0123456789abcdef")
SHAPE = Shape(100, 100)
STEPS = (StepSpec(30, SHAPE), StepSpec(50, SHAPE, after=(0,)))
SMALL = JobSpec(QueueName("q"), "", STEPS)
LARGE = replace(SMALL, n_occurrences=20, interval_ms=10)
ONCE = replace(SMALL, steps=(StepSpec(300, SHAPE), StepSpec(5, SHAPE, after=(0,))))
SPECS = [
    pytest.param(SMALL, id="small"),
    pytest.param(LARGE, id="repeated"),
    pytest.param(ONCE, id="once"),
]
WORKER = WorkerIncarnation(WorkerId("w-1"), 1_700_000_000_000)
LONGEST_ID = WorkerId("\U0001f330" * 200)
LONGEST_CHECKPOINT = "\U0001f330" * 64_000


class Log:
    def line(self, event: str, **fields: object) -> None:
        pass


def make_job(spec: JobSpec) -> JobProgress:
    job = JobProgress(JOB, spec)
    job.add_due_occurrences(10**6)
    return job


def work_on(job: JobProgress, n_events: int, seed: int) -> None:
    """Place tasks and let them end in a random order."""
    rng = random.Random(seed)
    kinds = [EndKind.DONE] * 6 + [EndKind.FAILED, EndKind.INTERRUPTED]
    for _ in range(n_events):
        placed = [key for key, _ in job.placed()]
        if placed and rng.random() < 0.5:
            checkpoint = rng.choice(["", "ab", "c" * 300])
            job.end(rng.choice(placed), rng.choice(kinds), checkpoint)
            continue
        ready = [key for step in job.ready_steps() for key in job.waiting(*step)]
        if ready:
            task = job.place(rng.choice(ready[:40]), WORKER, 0.0)
            task.n_crashes = rng.choice([0, 0, 2])


def stored_parts(job: JobProgress) -> dict[Part, bytes]:
    """Return the parts of everything that has changed, and the head."""
    table = JobTable(Log())
    table.load(job)
    table.mark_dirty(job)
    ((_, batch),) = table.next_batches(1)
    return {part: encode_part(job, part) for part in batch.parts}


def load(spec: JobSpec, parts: dict[Part, bytes]) -> JobProgress:
    others = {part: data for part, data in parts.items() if part != HEAD}
    job = decode_progress(JOB, spec, parts[HEAD], others)
    assert isinstance(job, JobProgress)
    return job


def tasks_of(job: JobProgress) -> dict[TaskKey, tuple[object, ...]]:
    """Return the stored fields of all tasks that are not done."""
    return {
        TaskKey(occurrence, number, position): _stored_fields(task)
        for occurrence, steps in job.occurrences.items()
        for number, step in enumerate(steps)
        for position, task in enumerate(step.tasks)
        if task.phase is not TaskPhase.DONE
    }


def _stored_fields(task: TaskState) -> tuple[object, ...]:
    return (
        task.phase,
        task.n_attempts,
        task.n_failed,
        task.incarnation,
        task.checkpoint,
        task.n_crashes,
    )


@pytest.mark.parametrize("spec", SPECS)
@pytest.mark.parametrize("n_events", [0, 1, 200, 1_500, 6_000])
def test_loaded_progress_is_the_stored_one(spec: JobSpec, n_events: int) -> None:
    job = make_job(spec)
    work_on(job, n_events, seed=n_events)
    parts = stored_parts(job)
    loaded = load(spec, parts)
    assert tasks_of(loaded) == tasks_of(job)
    assert set(loaded.occurrences) == set(job.occurrences)
    assert loaded.state is job.state
    assert loaded.n_placed == job.n_placed
    assert loaded.n_steps_done == job.n_steps_done
    assert decode_state(JOB, spec, parts[HEAD]) is job.state


def finish(job: JobProgress) -> None:
    while job.is_active:
        for occurrence, number in tuple(job.ready_steps()):
            for key in job.waiting(occurrence, number):
                job.place(key, WORKER, 0.0)
                job.end(key, EndKind.DONE, "")


@pytest.mark.parametrize("spec", SPECS[1:])
def test_head_of_a_completed_job_needs_no_parts(spec: JobSpec) -> None:
    job = make_job(spec)
    finish(job)
    head = encode_part(job, HEAD)
    assert load(spec, {HEAD: head}).state is JobState.COMPLETED
    assert decode_state(JOB, spec, head) is JobState.COMPLETED
    assert job.occurrences == {}


def cancel(job: JobProgress) -> None:
    job.is_cancelled = True


def fail(job: JobProgress) -> None:
    job.is_failed = True


@pytest.mark.parametrize("end", [cancel, fail])
def test_ended_job_keeps_its_placed_tasks_only(
    end: Callable[[JobProgress], None],
) -> None:
    job = make_job(LARGE)
    work_on(job, 300, seed=1)
    end(job)
    parts = stored_parts(job)
    loaded = load(LARGE, parts)
    assert loaded.state is job.state
    assert dict(loaded.placed()).keys() == dict(job.placed()).keys()
    assert load(LARGE, {HEAD: parts[HEAD]}).occurrences == {}


def test_parts_may_be_later_than_the_head() -> None:
    """Guards against a job that runs anew since its owner ended between two groups."""
    job = JobProgress(JOB, LARGE)
    job.add_due_occurrences(0)
    head = encode_part(job, HEAD)
    job.add_due_occurrences(10**6)
    key = TaskKey(15, 0, 3)
    job.place(key, WORKER, 0.0)
    loaded = load(LARGE, stored_parts(job) | {HEAD: head})
    assert [found for found, _ in loaded.placed()] == [key]
    assert loaded.n_opened >= 16


PHASE_CODES = {TaskPhase.WAITING: 0, TaskPhase.PLACED: 1, TaskPhase.DONE: 2}


@pytest.mark.parametrize("spec", SPECS)
def test_checkpoint_that_grows_while_its_task_runs_is_not_lost(spec: JobSpec) -> None:
    """Guards against work that is done again since the row has lost its checkpoint."""
    job = make_job(spec)
    key, other = TaskKey(0, 0, 0), TaskKey(0, 0, 1)
    job.place(key, WORKER, 0.0).checkpoint = "c" * 200
    job.place(other, WORKER, 0.0)
    table = JobTable(Log())
    table.load(job)
    parts: dict[Part, bytes] = {}
    for n_chars in (200, 300, 400):
        job.task(key).checkpoint = "c" * n_chars
        job.mark_changed(other)
        table.mark_dirty(job)
        ((_, batch),) = table.next_batches(1)
        parts |= {part: encode_part(job, part) for part in batch.parts}
        assert tuple(table.on_stored([JOB]))
    assert len(load(spec, parts).task(key).checkpoint) >= 300


def head_of_earlier_release(job: JobProgress) -> bytes:
    """Return what earlier releases have stored: one value with all tasks."""
    done = [[[2, 1, 0]] * step.n_tasks for step in job.spec.steps]
    occurrences = {number: done for number in range(job.n_opened)}
    for number, steps in job.occurrences.items():
        occurrences[number] = [[_row(task) for task in step.tasks] for step in steps]
    flags = (job.is_cancelled, job.is_failed, job.has_started, job.finished_ms)
    return msgspec.msgpack.encode([occurrences, *flags])


def _row(task: TaskState) -> list[object]:
    incarnation = task.incarnation
    worker = (incarnation.worker_id, incarnation.started_ms) if incarnation else ("", 0)
    numbers = (PHASE_CODES[task.phase], task.n_attempts, task.n_failed)
    return [*numbers, *worker, task.checkpoint, task.n_crashes, 0, 0]


@pytest.mark.parametrize("spec", SPECS)
@pytest.mark.parametrize("n_events", [0, 60, 300])
def test_progress_of_an_earlier_release_is_loaded_and_stored_anew(
    spec: JobSpec, n_events: int
) -> None:
    """Guards against TWICE: a job that runs anew after an update of the entries."""
    job = make_job(spec)
    work_on(job, n_events, seed=2)
    head = head_of_earlier_release(job)
    loaded = load(spec, {HEAD: head})
    assert tasks_of(loaded) == tasks_of(job)
    assert decode_state(JOB, spec, head) is job.state is loaded.state
    again = load(spec, stored_parts(loaded))
    assert tasks_of(again) == tasks_of(job)
    assert again.n_steps_done == job.n_steps_done


def test_update_of_the_entries_may_end_between_two_groups() -> None:
    """Guards against TWICE: the head with all tasks is older than stored parts."""
    job = make_job(ONCE)
    work_on(job, 200, seed=3)
    head = head_of_earlier_release(job)
    loaded = load(ONCE, {HEAD: head})
    work_on(loaded, 200, seed=4)
    parts = stored_parts(loaded)
    tasks = [part for part in parts if part.kind is PartKind.TASKS]
    checkpoints = {p: d for p, d in parts.items() if p.kind is PartKind.CHECKPOINT}
    kept = checkpoints | {tasks[0]: parts[tasks[0]]}
    again = load(ONCE, kept | {HEAD: head})
    first = tasks[0].number * PART_TASKS
    keys = [loaded.key_at(first + n) for n in range(PART_TASKS)]
    found, expected = tasks_of(again), tasks_of(loaded)
    assert [found.get(key) for key in keys] == [expected.get(key) for key in keys]


@pytest.mark.parametrize(
    "items",
    [
        pytest.param([PART_TASKS + 1], id="too_many"),
        pytest.param([-PART_TASKS, 1], id="too_many_in_all"),
        pytest.param([[9, 1, 0]], id="phase"),
        pytest.param([[0, -1, 0]], id="attempts"),
        pytest.param(["x"], id="type"),
        pytest.param([2**63], id="number"),
    ],
)
def test_part_that_does_not_fit_its_job(items: list[object]) -> None:
    data = msgspec.msgpack.encode(items)
    head = encode_part(make_job(LARGE), HEAD)
    part = Part(PartKind.TASKS, 0)
    assert isinstance(decode_progress(JOB, LARGE, head, {part: data}), Unreadable)


def test_part_behind_the_last_task_does_not_fit_its_job() -> None:
    head = encode_part(make_job(LARGE), HEAD)
    part = Part(PartKind.TASKS, LARGE.n_tasks * LARGE.n_occurrences // PART_TASKS + 1)
    assert isinstance(
        decode_progress(JOB, LARGE, head, {part: b"\x91\x01"}), Unreadable
    )


@pytest.mark.parametrize(
    "part",
    [HEAD, Part(PartKind.TASKS, 0), Part(PartKind.CHECKPOINT, 199_999)],
)
def test_key_names_its_part(part: Part) -> None:
    assert parse_part_key(part_key(JOB, part)) == (JOB, part)


@pytest.mark.parametrize(
    "word", ["", "x1", "t", "t-1", "t1x", "t" + "9" * 40, "1", "t1/2"]
)
def test_key_of_no_part(word: str) -> None:
    assert parse_part_key(f"{part_key(JOB, HEAD)}/{word}") is None


@pytest.mark.parametrize(
    "spec",
    [
        pytest.param(replace(SMALL, steps=(StepSpec(256, SHAPE),)), id="small"),
        pytest.param(replace(SMALL, steps=(StepSpec(5_000, SHAPE),)), id="once"),
        pytest.param(
            replace(SMALL, steps=(StepSpec(120, SHAPE),), n_occurrences=1_600),
            id="repeated",
        ),
        pytest.param(
            replace(SMALL, steps=(StepSpec(1, SHAPE),), n_occurrences=200_000),
            id="repeated_most",
        ),
    ],
)
@pytest.mark.parametrize("checkpoint", ["", "c" * 256, LONGEST_CHECKPOINT])
def test_every_part_fits_into_a_value(spec: JobSpec, checkpoint: str) -> None:
    """Guards against LOST: a job that fails as its progress outgrows a value."""
    job = make_job(spec)
    incarnation = WorkerIncarnation(LONGEST_ID, 2**43)
    for occurrence, number in tuple(job.ready_steps()):
        for key in job.waiting(occurrence, number):
            task = job.place(key, incarnation, 0.0)
            task.n_attempts, task.n_failed = 10**6, 10**6
            task.n_crashes = task.n_unproven_crashes = task.crashed_attempt = 10**6
            task.checkpoint = checkpoint
    table = JobTable(Log())
    table.load(job)
    table.mark_dirty(job)
    ((_, batch),) = table.next_batches(1)
    assert len(batch.assigned) == job.n_placed
    checkpoints = [part for part in batch.parts if part.kind is PartKind.CHECKPOINT]
    others = [part for part in batch.parts if part.kind is not PartKind.CHECKPOINT]
    longest = max(len(encode_part(job, part)) for part in [*others, *checkpoints[:2]])
    assert longest <= MAX_VALUE_BYTES


def test_long_repeated_job_keeps_its_open_occurrences_only() -> None:
    """Guards against owners that need ever more memory and time for one job."""
    spec = replace(SMALL, steps=(StepSpec(100, SHAPE),), n_occurrences=2_000)
    job = make_job(spec)
    assert job.n_opened * 100 == MAX_OPEN_TASKS
    finish_first(job, 150)
    assert job.n_opened * 100 == MAX_OPEN_TASKS + 150 * 100
    assert len(job.occurrences) * 100 == MAX_OPEN_TASKS


def finish_first(job: JobProgress, n_occurrences: int) -> None:
    """Finish occurrences as they become due."""
    for occurrence in range(n_occurrences):
        for key in job.waiting(occurrence, 0):
            job.place(key, WORKER, 0.0)
            job.end(key, EndKind.DONE, "")
        job.add_due_occurrences(10**6)
