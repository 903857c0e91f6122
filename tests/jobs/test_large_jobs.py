"""Jobs of more tasks than fit into a value of the store run to their end."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import pytest
from job_simulation import (
    EPOCH_S,
    JobSimulation,
    SubmittedJob,
    lines,
    owner_of,
    started,
)
from scheduler_harness import JOB, QUEUE, SchedulerHarness

from almondspan_decisions.job_graph import JobSpec, StepSpec, TaskKey
from almondspan_decisions.job_progress import JobProgress, JobState
from almondspan_decisions.shapes import Shape
from almondspan_decisions.step_placement import StepPlacement
from almondspan_jobs import planner
from almondspan_jobs.messages import LeaseRenewal, StartCommand
from almondspan_jobs.options import JobOptions
from almondspan_jobs.progress_records import HEAD, decode_progress, parse_part_key
from almondspan_jobs.records import PROGRESS_PREFIX
from almondspan_platform.task_worker import EndReason

MAX_VALUE_BYTES = 5_000
"""Less than the states of the jobs' tasks need together."""
TINY = Shape(50, 50)
ONCE = (
    StepSpec(300, TINY, estimate_ms=2_000),
    StepSpec(20, TINY, estimate_ms=500, after=(0,)),
)
OFTEN = (StepSpec(20, TINY, estimate_ms=400),)
N_OCCURRENCES = 30
INTERVAL_MS = 100


@pytest.fixture
def simulation() -> Iterator[JobSimulation]:
    """Yield a simulation in which a change takes several groups of writes."""
    options = JobOptions(max_writes_per_commit=2)
    yield from started(5, n_entries=2, n_agents=4, options=options)


def submit(
    simulation: JobSimulation, steps: tuple[StepSpec, ...], n_occurrences: int = 0
) -> SubmittedJob:
    job = simulation.make_job(steps)
    job.spec = replace(
        job.spec,
        n_occurrences=n_occurrences,
        first_due_ms=int((EPOCH_S + simulation.loop.now_s) * 1000),
        interval_ms=INTERVAL_MS,
    )
    simulation.store.max_value_bytes = MAX_VALUE_BYTES
    simulation.submit(job, simulation.entries[0])
    return job


def check_completed(simulation: JobSimulation, job: SubmittedJob) -> None:
    for machine in simulation.entries:
        simulation.ask_state(job, machine)
    simulation.run(1.0)
    assert simulation.state_of(job) is JobState.COMPLETED
    assert simulation.violations() == []
    assert lines(simulation, " commit_refused ") == []
    n_tasks = job.spec.n_tasks * job.spec.n_total_occurrences
    done = Counter(run.task for run in simulation.runs() if run.how is EndReason.DONE)
    assert len(done) == n_tasks
    assert set(done.values()) == {1}


JOBS = [
    pytest.param(ONCE, 0, id="once"),
    pytest.param(OFTEN, N_OCCURRENCES, id="repeated"),
]


@pytest.mark.parametrize(("steps", "n_occurrences"), JOBS)
def test_job_that_outgrows_a_value_is_completed(
    simulation: JobSimulation, steps: tuple[StepSpec, ...], n_occurrences: int
) -> None:
    """Guards against LOST: a job that fails since its progress can't be stored."""
    job = submit(simulation, steps, n_occurrences)
    simulation.run(30.0)
    check_completed(simulation, job)


@pytest.mark.parametrize(("steps", "n_occurrences"), JOBS)
@pytest.mark.parametrize("kill_s", [0.1, 0.7, 1.6, 2.5, 4.0])
def test_job_that_outgrows_a_value_survives_its_owner(
    simulation: JobSimulation,
    steps: tuple[StepSpec, ...],
    n_occurrences: int,
    kill_s: float,
) -> None:
    """Guards against TWICE and LOST: parts that the next owner puts together."""
    job = submit(simulation, steps, n_occurrences)
    simulation.run(kill_s)
    owner_of(simulation).kill()
    simulation.run(40.0)
    check_completed(simulation, job)


def test_all_parts_of_a_finished_job_are_removed(simulation: JobSimulation) -> None:
    job = submit(simulation, OFTEN, N_OCCURRENCES)
    simulation.run(30.0)
    keys = [key for key in simulation.store.items if job.job_id in key]
    assert len([key for key in keys if key.startswith(PROGRESS_PREFIX)]) > 2
    simulation.run(simulation.options.finished_retention_s + 30.0)
    assert [key for key in simulation.store.items if job.job_id in key] == []
    assert owner_of(simulation).entry.leadership.owner.scheduler.jobs == {}
    assert simulation.violations() == []


# One batch in several groups

N_TASKS = 1_000
BROAD = StepSpec(N_TASKS, Shape(1, 1), estimate_ms=60_000)


def place_all(harness: SchedulerHarness) -> None:
    harness.options = replace(harness.options, max_writes_per_commit=3)
    harness.restart_owner()
    harness.report_worker()
    harness.scheduler.add_job(JOB, JobSpec(QUEUE, "payload", (BROAD,)))
    harness.scheduler.plan()
    assert harness.scheduler.jobs[JOB].n_placed == N_TASKS
    harness.take_sent(StartCommand)


def test_start_waits_for_all_groups_of_its_batch(harness: SchedulerHarness) -> None:
    """Guards against starts that a later owner knows nothing of."""
    place_all(harness)
    n_groups = 0
    while harness.scheduler.is_dirty:
        assert harness.take_sent(StartCommand) == []
        snapshot = harness.scheduler.snapshot()
        assert len(snapshot.writes) <= 3
        harness.scheduler.on_stored(snapshot)
        n_groups += 1
    # The agent of the worker, the head, and eight parts.
    assert n_groups == 4
    assert len(harness.take_sent(StartCommand)) == N_TASKS


def test_end_is_acknowledged_after_all_groups_of_its_batch(
    harness: SchedulerHarness,
) -> None:
    """Guards against TWICE: an end `done` that only the next group would store."""
    place_all(harness)
    harness.plan_and_store()
    harness.take_sent(LeaseRenewal)
    names = [f"{JOB}.0.0.{n}" for n in range(N_TASKS)]
    ends = [(n + 1, name, 1, "done", "") for n, name in enumerate(names)]
    harness.list_worker(ended=ends)
    while harness.scheduler.is_dirty:
        found = [body.n_acknowledged for body in harness.take_sent(LeaseRenewal)]
        assert set(found) <= {0}
        harness.scheduler.on_stored(harness.scheduler.snapshot())
    found = [body.n_acknowledged for body in harness.take_sent(LeaseRenewal)]
    assert found[-1] == N_TASKS
    assert harness.scheduler.stored_states[JOB] is JobState.COMPLETED


def test_refused_group_is_taken_again(harness: SchedulerHarness) -> None:
    """Guards against parts that are never stored."""
    place_all(harness)
    other = JobSpec(QUEUE, "payload", (StepSpec(1, TINY),))
    harness.scheduler.add_job("fedcba9876543210", other)
    harness.scheduler.cancel_job("fedcba9876543210")
    written: set[str] = set()
    n_refused = 0
    while harness.scheduler.is_dirty:
        snapshot = harness.scheduler.snapshot()
        if len(snapshot.taken) > 1:
            n_refused += 1
            harness.scheduler.on_refused(snapshot)
            continue
        written |= {write.key for write in snapshot.writes}
        harness.scheduler.on_stored(snapshot)
    assert n_refused == 1
    assert len([key for key in written if f"/{JOB}/t" in key]) == 8
    assert len(harness.take_sent(StartCommand)) == N_TASKS


def test_long_checkpoint_is_stored_for_the_next_owner(
    harness: SchedulerHarness,
) -> None:
    """Guards against LOST: a few tasks whose checkpoints don't fit into one value."""
    harness.report_worker()
    harness.add(StepSpec(20, TINY, estimate_ms=60_000, saves_progress=True))
    checkpoint = "c" * 64_000
    names = [f"{JOB}.0.0.{n}" for n in range(20)]
    ends = [(n + 1, name, 1, "stopped", checkpoint) for n, name in enumerate(names)]
    harness.list_worker(ended=ends)
    values: dict[str, bytes] = {}
    while harness.scheduler.is_dirty:
        snapshot = harness.scheduler.snapshot()
        values |= {write.key: write.value for write in snapshot.writes}
        limit = harness.options.max_bytes_per_commit
        assert sum(len(write.value) for write in snapshot.writes) <= limit
        harness.scheduler.on_stored(snapshot)
    assert max(map(len, values.values())) == len(checkpoint)
    job = harness.scheduler.jobs[JOB]
    parsed = {parse_part_key(key): value for key, value in values.items()}
    parts = {found[1]: value for found, value in parsed.items() if found is not None}
    stored = decode_progress(JOB, job.spec, parts[HEAD], parts)
    assert isinstance(stored, JobProgress)
    assert {stored.task(TaskKey(0, 0, n)).checkpoint for n in range(20)} == {checkpoint}


# Planning


class CountedPlacement(StepPlacement):
    """Counts the steps of occurrences that are tried."""

    n_tried = 0

    def __init__(self, *args: Any) -> None:
        CountedPlacement.n_tried += 1
        super().__init__(*args)


@pytest.mark.parametrize(
    ("max_per_worker", "n_placed"),
    [
        pytest.param(0, 8, id="no_capacity"),
        pytest.param(1, 200, id="limited_on_each_worker"),
    ],
)
def test_backlog_of_occurrences_does_not_slow_each_plan(
    harness: SchedulerHarness,
    monkeypatch: pytest.MonkeyPatch,
    max_per_worker: int,
    n_placed: int,
) -> None:
    """Guards against an owner that is busy with occurrences which can't start."""
    monkeypatch.setattr(planner, "StepPlacement", CountedPlacement)
    harness.report_worker()
    size = Shape(500, 10) if not max_per_worker else Shape(1, 1)
    step = StepSpec(2, size, estimate_ms=60_000, max_per_worker=max_per_worker)
    spec = JobSpec(QUEUE, "payload", (step,), n_occurrences=200)
    harness.scheduler.add_job(JOB, spec)
    harness.plan_and_store()
    assert harness.scheduler.jobs[JOB].n_placed == n_placed
    CountedPlacement.n_tried = 0
    harness.now_s += 1.0
    harness.list_worker()
    harness.scheduler.plan()
    limit = planner.MAX_UNPLACED if not max_per_worker else 200
    assert CountedPlacement.n_tried == limit
