"""Which jobs a group of writes stores first, if more are dirty than it can take."""

from scheduler_harness import QUEUE, STEP, WORKER, SchedulerHarness

from almondspan_decisions.ids import JobId
from almondspan_decisions.job_graph import JobSpec, TaskKey, format_task_name

N_RUNNING = 60
KEY = TaskKey(0, 0, 0)


def running_job(number: int) -> JobId:
    return JobId(f"{number:016x}")


def end_all(harness: SchedulerHarness) -> None:
    """List the ends of all running jobs."""
    ends = [
        (number + 1, format_task_name(running_job(number), KEY), 1, "done", "")
        for number in range(N_RUNNING)
    ]
    harness.list_worker(WORKER, ended=ends)


def with_running_jobs(harness: SchedulerHarness) -> None:
    harness.report_worker(cpu_millicores=1_000 * N_RUNNING, memory_mb=100_000)
    for number in range(N_RUNNING):
        spec = JobSpec(QUEUE, "payload", (STEP,))
        harness.scheduler.add_job(running_job(number), spec)
    harness.plan_and_store()
    assert all(job.n_placed == 1 for job in harness.scheduler.jobs.values())


def test_new_assignments_are_stored_before_ends(harness: SchedulerHarness) -> None:
    """Guards against starts that wait behind a backlog of ends at a slow store."""
    with_running_jobs(harness)
    end_all(harness)
    new = JobId("f" * 16)
    harness.scheduler.add_job(new, JobSpec(QUEUE, "payload", (STEP,)))
    harness.scheduler.plan()
    assert new in harness.scheduler.snapshot().taken


def test_ends_are_stored_beside_a_steady_flow_of_assignments(
    harness: SchedulerHarness,
) -> None:
    """Guards against ends that are never acknowledged while new jobs keep coming."""
    with_running_jobs(harness)
    end_all(harness)
    stored: set[JobId] = set()
    for n_group in range(N_RUNNING):
        for n_job in range(harness.options.max_jobs_per_commit):
            name = JobId(f"f{n_group:07x}{n_job:08x}")
            harness.scheduler.add_job(name, JobSpec(QUEUE, "payload", (STEP,)))
        harness.scheduler.plan()
        snapshot = harness.scheduler.snapshot()
        harness.scheduler.on_stored(snapshot)
        stored.update(snapshot.taken)
    assert {running_job(number) for number in range(N_RUNNING)} <= stored
