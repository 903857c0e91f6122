"""The rules by which a job is judged while its queue is not configured, or not read."""

from collections.abc import Iterator

import pytest
from job_simulation import RULES, JobSimulation, complete_job, owner_of, started
from scheduler_harness import (
    JOB,
    KEY,
    QUEUE,
    SERVICE,
    STEP,
    TASK,
    SchedulerHarness,
    n_placed,
)

from almondspan_decisions.job_graph import JobSpec, QueueRules, StepSpec
from almondspan_decisions.job_progress import JobState
from almondspan_decisions.shapes import Shape
from almondspan_jobs.progress_records import decode_progress, encode_progress
from almondspan_platform.task_worker import EndReason
from almondspan_standins.memory_task_worker import TaskScript

ACCEPTED = QueueRules(SERVICE, 0, 3, 2.0, 500)
CONFIGURED = QueueRules(SERVICE, 0, 2, 2.0, 500)
STEPS = (StepSpec(4, Shape(500, 500), estimate_ms=2_000),)


def add(harness: SchedulerHarness, accepted: QueueRules | None) -> None:
    spec = JobSpec(QUEUE, "payload", (STEP,), accepted_rules=accepted)
    harness.scheduler.add_job(JOB, spec)
    harness.plan_and_store()


def fail(harness: SchedulerHarness, attempt: int) -> None:
    harness.list_worker(ended=[(attempt, TASK, attempt, "failed", "")])
    harness.plan_and_store()


@pytest.mark.parametrize(
    ("configured", "n_failures", "state"),
    [
        pytest.param(None, 2, JobState.RUNNING, id="as_accepted"),
        pytest.param(None, 3, JobState.FAILED, id="as_accepted_used_up"),
        pytest.param(CONFIGURED, 1, JobState.RUNNING, id="as_configured"),
        pytest.param(CONFIGURED, 2, JobState.FAILED, id="as_configured_used_up"),
    ],
)
def test_job_is_judged_by_its_queues_rules_or_those_it_was_accepted_under(
    harness: SchedulerHarness,
    configured: QueueRules | None,
    n_failures: int,
    state: JobState,
) -> None:
    """Guards against LOST: a job that fails because its queue is not configured."""
    harness.report_worker()
    add(harness, ACCEPTED)
    harness.scheduler.rules = {} if configured is None else {QUEUE: configured}
    for attempt in range(1, n_failures + 1):
        fail(harness, attempt)
    assert harness.scheduler.stored_states[JOB] is state
    assert n_placed(harness) == (state is JobState.RUNNING)


@pytest.mark.parametrize(
    ("n_failures", "state"),
    [
        pytest.param(1, JobState.RUNNING, id="goes_on"),
        pytest.param(2, JobState.FAILED, id="fails"),
    ],
)
def test_job_without_rules_waits_for_them(
    harness: SchedulerHarness, n_failures: int, state: JobState
) -> None:
    """Guards against LOST and BUDGET: a verdict without rules, or none with them."""
    harness.report_worker()
    add(harness, None)
    for attempt in range(1, n_failures):
        fail(harness, attempt)
    harness.scheduler.rules = {}
    fail(harness, n_failures)
    assert harness.scheduler.stored_states[JOB] is JobState.RUNNING
    assert n_placed(harness) == 0
    job = harness.scheduler.jobs[JOB]
    stored = decode_progress(JOB, job.spec, encode_progress(job))
    harness.restart_owner()
    harness.scheduler.rules = {}
    harness.scheduler.load(stored)
    harness.report_worker()
    harness.plan_and_store()
    assert harness.scheduler.jobs[JOB].task(KEY).n_attempts == n_failures
    harness.scheduler.rules = {QUEUE: CONFIGURED}
    harness.plan_and_store()
    assert harness.scheduler.stored_states[JOB] is state
    assert n_placed(harness) == (state is JobState.RUNNING)


@pytest.fixture
def simulation() -> Iterator[JobSimulation]:
    yield from started(9, n_agents=2)


@pytest.mark.parametrize(
    "is_owner_killed",
    [pytest.param(False, id="queue_away"), pytest.param(True, id="owner_without")],
)
def test_job_goes_on_while_its_queue_is_not_configured(
    simulation: JobSimulation, is_owner_killed: bool
) -> None:
    """Guards against LOST: a job of a queue that is taken out and put back."""
    job = simulation.make_job(STEPS)
    first = f"{job.job_id}.0.0.0"
    script = simulation.script

    def fail_first(task: str, attempt: int) -> TaskScript:
        found = script(task, attempt)
        is_failing = task == first and attempt == 1
        how = EndReason.FAILED if is_failing else EndReason.DONE
        return TaskScript(found.shape, 2.0, how)

    for machine in simulation.agents:
        machine.worker._script = fail_first
    simulation.submit(job, simulation.entries[0])
    simulation.run(1.0)
    simulation.configure({})
    if is_owner_killed:
        owner_of(simulation).kill()
    simulation.run(12.0)
    assert sum(run.how is EndReason.FAILED for run in simulation.runs()) == 1
    simulation.configure(RULES)
    simulation.run(2.0)
    simulation.ask_state(job, simulation.entries[1])
    simulation.run(1.0)
    assert simulation.state_of(job) is JobState.COMPLETED
    assert simulation.violations() == []
    complete_job(simulation, owner_of(simulation), STEPS[:1])
