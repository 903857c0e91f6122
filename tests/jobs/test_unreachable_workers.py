"""Nothing is placed on a worker from a failed poll of it to its next listing."""

import pytest
from job_simulation import JobSimulation
from scheduler_harness import (
    JOB,
    QUEUE,
    STARTED_MS,
    STEP,
    TASK,
    WORKER,
    SchedulerHarness,
    n_placed,
)

from almondspan_decisions.ids import WorkerId
from almondspan_decisions.job_graph import JobSpec, StepSpec
from almondspan_decisions.job_progress import JobState, WorkerIncarnation
from almondspan_decisions.shapes import Shape
from almondspan_jobs.messages import StartCommand, StartReply, StopCommand
from almondspan_platform.task_worker import Verdict

N_AGENTS = 8
JOB_INTERVAL_S = 0.1
DOWN_S = 1.0
MAX_REFUSED_STARTS = 4
STEPS = (StepSpec(3, Shape(500, 500), estimate_ms=800),)


def test_nothing_is_placed_on_a_worker_whose_poll_failed(
    harness: SchedulerHarness,
) -> None:
    harness.report_worker()
    harness.fail_poll()
    harness.add()
    assert n_placed(harness) == 0
    harness.advance(harness.options.tick_s)
    harness.plan_and_store()
    assert n_placed(harness) == 0


def test_worker_is_used_again_at_once_after_its_next_listing(
    harness: SchedulerHarness,
) -> None:
    harness.report_worker()
    harness.fail_poll()
    harness.add()
    harness.list_worker()
    assert harness.scheduler.needs_planning
    harness.plan_and_store()
    assert len(harness.take_sent(StartCommand)) == 1


def test_report_without_a_listing_does_not_make_a_worker_reachable(
    harness: SchedulerHarness,
) -> None:
    harness.report_worker()
    harness.fail_poll()
    harness.report_worker(is_listed=False)
    harness.add()
    assert n_placed(harness) == 0


@pytest.mark.parametrize(
    ("worker", "started_ms"),
    [
        pytest.param(WORKER, STARTED_MS - 1, id="earlier_of_the_same_worker"),
        pytest.param(WorkerId("w-0"), STARTED_MS, id="unknown_worker"),
    ],
)
def test_failed_poll_of_another_incarnation_has_no_effect(
    harness: SchedulerHarness, worker: WorkerId, started_ms: int
) -> None:
    harness.report_worker(started_ms=STARTED_MS - 1)
    harness.report_worker()
    harness.fail_poll(worker, started_ms)
    assert "worker_unreachable" not in harness.log.events
    harness.add()
    assert len(harness.take_sent(StartCommand)) == 1


def test_each_series_of_failed_polls_is_logged_once(harness: SchedulerHarness) -> None:
    harness.report_worker()
    for _ in range(2):
        for _ in range(3):
            harness.fail_poll()
        harness.list_worker()
        harness.list_worker()
    events = [event for event in harness.log.events if "reachable" in event]
    assert events == ["worker_unreachable", "worker_reachable"] * 2


def test_failed_poll_releases_and_revokes_no_attempt(
    harness: SchedulerHarness,
) -> None:
    # Leases granted by earlier owners have expired by now.
    harness.advance(20.0)
    harness.report_worker()
    harness.add()
    harness.sent.clear()
    harness.fail_poll()
    lease_s = harness.options.lease_ms / 1000 * (1 + harness.options.clock_drift)
    harness.advance(lease_s / 2)
    harness.advance(lease_s / 2)
    assert n_placed(harness) == 1
    assert harness.take_sent(StopCommand) == []
    harness.advance(1.0)
    assert n_placed(harness) == 0


def test_unsent_start_on_a_worker_whose_poll_failed_is_released(
    harness: SchedulerHarness,
) -> None:
    harness.report_worker()
    harness.scheduler.add_job(JOB, JobSpec(QUEUE, "payload", (STEP,)))
    harness.scheduler.plan()
    snapshot = harness.scheduler.snapshot()
    harness.fail_poll()
    assert n_placed(harness) == 1
    harness.scheduler.on_stored(snapshot)
    assert harness.take_sent(StartCommand) == []
    assert n_placed(harness) == 0
    harness.list_worker()
    harness.plan_and_store()
    assert [command.attempt for command in harness.take_sent(StartCommand)] == [2]


def test_start_lost_with_the_channel_is_released_after_a_failed_poll(
    harness: SchedulerHarness,
) -> None:
    harness.report_worker()
    harness.is_linked = False
    harness.add()
    assert n_placed(harness) == 1
    harness.fail_poll()
    harness.advance(harness.options.tick_s)
    assert n_placed(harness) == 0


def test_sent_start_is_repeated_after_the_next_listing_and_not_before(
    harness: SchedulerHarness,
) -> None:
    harness.report_worker()
    harness.add()
    harness.scheduler.on_start_reply(
        WORKER, StartReply(STARTED_MS, TASK, 1, "no_answer")
    )
    harness.sent.clear()
    harness.fail_poll()
    harness.advance(harness.options.command_resend_s)
    assert [
        body for _, body in harness.sent if isinstance(body, StartCommand | StopCommand)
    ] == []
    assert n_placed(harness) == 1
    harness.list_worker()
    harness.advance(harness.options.tick_s)
    assert [command.attempt for command in harness.take_sent(StartCommand)] == [1]


def test_worker_that_took_no_start_gets_no_other_before_its_next_listing(
    harness: SchedulerHarness,
) -> None:
    harness.report_worker()
    harness.add()
    harness.answer_starts(Verdict.NOT_TAKEN)
    harness.plan_and_store()
    assert harness.take_sent(StartCommand) == []
    harness.advance(0.1)
    harness.list_worker()
    harness.plan_and_store()
    assert [command.attempt for command in harness.take_sent(StartCommand)] == [2]


def test_start_of_the_failed_polls_is_kept_with_a_replaced_incarnation(
    harness: SchedulerHarness,
) -> None:
    harness.report_worker()
    harness.add()
    harness.fail_poll()
    failed_s = harness.now_s
    harness.advance(0.1)
    harness.fail_poll()
    harness.report_worker(started_ms=STARTED_MS + 1)
    leases = harness.scheduler._fleet.leases
    assert leases[WorkerIncarnation(WORKER, STARTED_MS)].unreachable_s == failed_s
    assert leases[WorkerIncarnation(WORKER, STARTED_MS + 1)].unreachable_s == 0.0


def test_new_owner_leaves_the_tasks_of_a_worker_that_reports_late(
    harness: SchedulerHarness,
) -> None:
    """Guards against stopping what runs on workers that a takeover reaches late."""
    harness.report_worker()
    harness.add()
    stored = harness.scheduler.jobs[JOB]
    harness.restart_owner()
    harness.scheduler.load(stored)
    for _ in range(5):
        harness.advance(harness.options.tick_s)
    harness.report_worker(is_listed=False)
    harness.list_worker(running=[(TASK, 1, "", 10, 0.0)])
    harness.advance(harness.options.command_resend_s)
    assert harness.take_sent(StopCommand) == []
    assert n_placed(harness) == 1


def run_and_submit(simulation: JobSimulation, for_s: float) -> None:
    """Run for a while, in which a job comes in every `JOB_INTERVAL_S`."""
    for _ in range(round(for_s / JOB_INTERVAL_S)):
        simulation.submit(simulation.make_job(STEPS), simulation.entries[0])
        simulation.run(JOB_INTERVAL_S)


def crash_half(simulation: JobSimulation) -> None:
    for machine in simulation.agents[: N_AGENTS // 2]:
        machine.worker.closes_on_crash = True
        machine.crash_worker(DOWN_S, keeps_id=False)


def n_refused_starts(simulation: JobSimulation) -> int:
    """Return the number of start commands that reached a worker that was down."""
    return sum(
        " start_answered " in line and "verdict=not_taken" in line
        for line in simulation.trace
    )


@pytest.mark.parametrize("seed", range(1, 6))
def test_crashed_workers_are_not_sent_starts_until_they_are_back(seed: int) -> None:
    simulation = JobSimulation(seed, n_entries=2, n_agents=N_AGENTS)
    try:
        simulation.run(4.0)
        run_and_submit(simulation, 2.0)
        simulation.run_in_loop(crash_half)
        run_and_submit(simulation, DOWN_S)
        n_refused = n_refused_starts(simulation)
        run_and_submit(simulation, 2.0)
        simulation.run(8.0)
        for job in simulation.jobs.values():
            simulation.ask_state(job, simulation.entries[1])
        simulation.run(1.0)
        states = {simulation.state_of(job) for job in simulation.jobs.values()}
        assert simulation.violations() == []
        assert states <= {JobState.COMPLETED, JobState.FAILED}
        assert n_refused <= MAX_REFUSED_STARTS
        back = [machine.worker.runs[-1] for machine in simulation.agents]
        assert all(
            run.started_ms == machine.worker.started_ms
            for run, machine in zip(back, simulation.agents, strict=True)
        )
    finally:
        simulation.close()
