"""Finished jobs stay finished, whatever becomes of the removal of their records."""

import asyncio
from collections.abc import Iterator

import pytest
from job_simulation import (
    JobSimulation,
    SubmittedJob,
    lines,
    owner_of,
    refuse,
    started,
)
from scheduler_harness import JOB, TASK, SchedulerHarness

from almondspan_decisions.job_graph import StepSpec
from almondspan_decisions.job_progress import JobState
from almondspan_decisions.shapes import Shape
from almondspan_jobs import clocks
from almondspan_jobs.messages import JobStored
from almondspan_jobs.options import JobOptions
from almondspan_jobs.records import job_key
from almondspan_platform.group_store import CommitOutcome, Write, WriteGroup
from almondspan_platform.store import Unavailable
from almondspan_standins.memory_group_store import GroupStoreClient

RETENTION_S = 4.0
SWEEP_S = 11.0
"""Within this time finished jobs past their retention are removed once."""
N_JOBS = 5
STEPS = (StepSpec(2, Shape(200, 200), estimate_ms=200),)


@pytest.fixture
def simulation() -> Iterator[JobSimulation]:
    options = JobOptions(finished_retention_s=RETENTION_S)
    yield from started(11, n_agents=2, options=options)


def finish_jobs(simulation: JobSimulation) -> list[SubmittedJob]:
    """Let all jobs run to their ends; they are not old enough to be removed."""
    jobs = [simulation.make_job(STEPS) for _ in range(N_JOBS)]
    for job in jobs:
        simulation.submit(job, simulation.entries[0])
    simulation.run(2.0)
    assert all(job.is_accepted for job in jobs)
    assert len(lines(simulation, " job_ended ")) == N_JOBS
    return jobs


class Removals:
    """Refuses groups with removals, or applies them and loses the answers."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, is_applied: bool) -> None:
        self.is_failing = True
        self.n_failed = 0
        self._is_applied = is_applied
        self._commit = GroupStoreClient.commit
        removals = self

        async def commit(client: GroupStoreClient, group: WriteGroup) -> CommitOutcome:
            return await removals.commit(client, group)

        monkeypatch.setattr(GroupStoreClient, "commit", commit)

    async def commit(
        self, client: GroupStoreClient, group: WriteGroup
    ) -> CommitOutcome:
        if not group.removals or not self.is_failing:
            return await self._commit(client, group)
        self.n_failed += 1
        if self._is_applied and self.n_failed == 1:
            await self._commit(client, group)
        await asyncio.sleep(0.1)
        return Unavailable("no answer", may_have_applied=True)


def lose_history(simulation: JobSimulation) -> None:
    """Drop the history with a change that no watch has reported yet."""
    simulation.store.commit(WriteGroup(writes=(Write("other", b""),)))
    simulation.store.drop_history()


@pytest.mark.parametrize(
    "is_applied",
    [pytest.param(False, id="not_stored"), pytest.param(True, id="answer_lost")],
)
def test_finished_jobs_do_not_run_again_while_their_removal_is_not_stored(
    simulation: JobSimulation, monkeypatch: pytest.MonkeyPatch, is_applied: bool
) -> None:
    """Guards against TWICE: jobs that are forgotten while the store still has them.

    The store has dropped its history meanwhile, so the owner reads all jobs again.
    """
    finish_jobs(simulation)
    owner = owner_of(simulation)
    n_runs = len(simulation.runs())
    removals = Removals(monkeypatch, is_applied)
    simulation.run(SWEEP_S)
    assert removals.n_failed
    simulation.run_in_loop(lose_history)
    simulation.run(1.0)
    removals.is_failing = False
    simulation.run(2.0)
    assert owner_of(simulation) is owner
    assert lines(simulation, " watch_lost ")
    assert len(simulation.runs()) == n_runs
    assert simulation.violations() == []


def test_finished_jobs_leave_the_store_and_then_the_memory(
    simulation: JobSimulation,
) -> None:
    jobs = finish_jobs(simulation)
    simulation.run(SWEEP_S + JobOptions().watch_wait_s)
    owner = owner_of(simulation).entry.leadership.owner
    assert not owner.scheduler.jobs
    keys = [key for key in simulation.store.items if jobs[0].job_id in key]
    assert keys == []


def test_late_message_about_a_removed_job_does_not_start_it_again(
    simulation: JobSimulation,
) -> None:
    """Guards against TWICE: an entry that resumes with a message of long ago."""
    job = finish_jobs(simulation)[0]
    item = simulation.store.items[job_key(job.job_id)]
    simulation.run(SWEEP_S + JobOptions().watch_wait_s)
    n_runs = len(simulation.runs())
    owner = owner_of(simulation).entry.leadership.owner
    message = JobStored(job.job_id, item.value, item.revision)
    simulation.run_in_loop(lambda _: owner.answer(message))
    simulation.run(2.0)
    assert len(simulation.runs()) == n_runs


def test_job_that_ended_while_the_store_was_away_is_shown_as_completed(
    simulation: JobSimulation,
) -> None:
    """Guards against LOST: a job that is removed before its end is stored."""
    job = simulation.make_job(STEPS)
    simulation.submit(job, simulation.entries[0])
    simulation.run(0.15)
    assert job.is_accepted
    for machine in simulation.entries:
        refuse(machine)
    outage_s = RETENTION_S + SWEEP_S
    simulation.store.extend_leases(outage_s)
    simulation.run(outage_s)
    assert lines(simulation, f" job_ended job={job.job_id} ")
    for machine in simulation.entries:
        machine.faults.is_refusing = False
    simulation.run(1.0)
    simulation.ask_state(job, simulation.entries[0])
    simulation.run(1.0)
    assert simulation.state_of(job) is JobState.COMPLETED
    assert simulation.violations() == []


def test_jump_of_the_time_of_day_does_not_shorten_the_retention(
    harness: SchedulerHarness,
) -> None:
    """Guards against LOST: a job that is removed before callers can have asked."""
    harness.report_worker()
    harness.add()
    harness.scheduler.cancel_job(JOB)
    harness.plan_and_store()
    harness.list_worker(ended=[(1, TASK, 1, "stopped", "")])
    harness.plan_and_store()
    clocks.use_clocks(lambda: harness.now_s, lambda: 2_000_000_000 + harness.now_s)
    harness.now_s += harness.options.finished_retention_s - 1.0
    assert harness.scheduler.removable_jobs() == []
    harness.now_s += 2.0
    assert harness.scheduler.removable_jobs() == [JOB]
