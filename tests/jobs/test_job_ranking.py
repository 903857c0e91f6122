"""The order in which the owner gives capacity to jobs, and what it learns for it."""

import pytest
from scheduler_harness import QUEUE, SERVICE, STARTED_MS, WORKER, SchedulerHarness

from almondspan_decisions.ids import JobId
from almondspan_decisions.job_graph import (
    JobSpec,
    QueueName,
    QueueRules,
    StepSpec,
    TaskKey,
)
from almondspan_decisions.shapes import Shape
from almondspan_decisions.task_times import timed_step
from almondspan_jobs.messages import StartCommand, StartReply

OTHER = QueueName("other")
RULES = {
    QUEUE: QueueRules(SERVICE, 0, 3, 2.0, 500),
    OTHER: QueueRules(SERVICE, 0, 3, 0.0, 500),
}
WHOLE = StepSpec(1, Shape(4_000, 100), estimate_ms=2_000)
"""A task that takes all processors of the worker."""


def epoch_ms(harness: SchedulerHarness) -> int:
    return int((1_700_000_000 + harness.now_s + harness.jump_s) * 1000)


def add(
    harness: SchedulerHarness,
    name: str,
    age_s: float,
    step: StepSpec = WHOLE,
    queue: QueueName = QUEUE,
) -> None:
    accepted_ms = epoch_ms(harness) - int(age_s * 1000)
    spec = JobSpec(queue, "", (step,), accepted_ms)
    harness.scheduler.add_job(JobId(name), spec)


def started(harness: SchedulerHarness) -> list[str]:
    return [body.traits.task[0] for body in harness.take_sent(StartCommand)]


@pytest.mark.parametrize(
    ("ages_s", "queue", "expected"),
    [
        pytest.param({"a": 60.0, "b": 1.0}, QUEUE, ["b"], id="in_time_first"),
        pytest.param({"a": 2.0, "b": 1.0}, QUEUE, ["a"], id="least_slack_first"),
        pytest.param({"a": 60.0, "b": 1.0}, OTHER, ["a"], id="by_age_as_before"),
        pytest.param({"a": 1e9, "b": 60.0}, QUEUE, ["a"], id="unlikely_clock"),
        pytest.param({"a": -1e9, "b": 60.0}, QUEUE, ["a"], id="clock_behind"),
    ],
)
def test_first_job(
    harness: SchedulerHarness,
    ages_s: dict[str, float],
    queue: QueueName,
    expected: list[str],
) -> None:
    harness.scheduler.rules = RULES
    harness.report_worker()
    for name, age_s in ages_s.items():
        add(harness, name, age_s, queue=queue)
    harness.plan_and_store()
    assert started(harness) == expected


def test_job_that_may_have_crashed_a_worker_keeps_its_place_by_age(
    harness: SchedulerHarness,
) -> None:
    """Guards against BUDGET: trials beside newer tasks, which prove nothing."""
    harness.scheduler.rules = RULES
    add(harness, "a", 60.0)
    add(harness, "b", 1.0)
    task = harness.scheduler.jobs[JobId("a")].task(TaskKey(0, 0, 0))
    assert task is not None
    task.n_unproven_crashes = 1
    harness.report_worker()
    harness.plan_and_store()
    assert started(harness) == ["a"]


def test_jump_of_the_clock_does_not_make_known_jobs_late(
    harness: SchedulerHarness,
) -> None:
    """Guards against jobs that are taken for hopeless after the clock was set."""
    harness.scheduler.rules = RULES
    add(harness, "a", 1.0)
    harness.jump_s = 3_000.0
    add(harness, "b", 0.0)
    harness.report_worker()
    harness.plan_and_store()
    assert started(harness) == ["a"]


def test_ended_and_running_tasks_correct_the_declared_time(
    harness: SchedulerHarness,
) -> None:
    harness.scheduler.rules = RULES
    harness.report_worker()
    step = StepSpec(8, Shape(1_000, 100), estimate_ms=2_000)
    add(harness, "a", 0.0, step)
    harness.plan_and_store()
    for body in harness.take_sent(StartCommand):
        reply = StartReply(STARTED_MS, body.traits.task, 1, "done", True)
        harness.scheduler.on_start_reply(WORKER, reply)
    times = harness.scheduler.task_times
    timed = timed_step(JobId("a"), harness.scheduler.jobs[JobId("a")].spec, 0)
    declared = times.expected(QUEUE, timed).mean_s
    rows = [(f"a.0.0.{n}", 1, "", 0, 0.0) for n in range(4)]
    harness.list_worker(running=rows)
    harness.now_s += 1.0
    harness.list_worker(running=[(*row[:3], 30, 0.0) for row in rows])
    running = times.expected(QUEUE, timed).mean_s
    harness.now_s += 2.4
    harness.list_worker(ended=[(n + 1, f"a.0.0.{n}", 1, "done", "") for n in range(4)])
    ended = times.expected(QUEUE, timed).mean_s
    assert declared < running
    assert ended == pytest.approx(3.4, rel=0.1)


def test_metrics_tell_the_waiting_jobs_of_each_queue_by_class(
    harness: SchedulerHarness,
) -> None:
    harness.scheduler.rules = RULES
    for name, age_s in {"a": 1.0, "b": 60.0, "c": 70.0}.items():
        add(harness, name, age_s)
    harness.plan_and_store()
    harness.advance(1.0)
    text = harness.metrics.text()
    assert 'almondspan_jobs_waiting{queue="q",class="in_time"} 1' in text
    assert 'almondspan_jobs_waiting{queue="q",class="beyond"} 2' in text
    harness.scheduler.close()
    text = harness.metrics.text()
    assert 'almondspan_jobs_waiting{queue="q",class="beyond"} 0' in text
    harness.advance(1.0)
    for name in ("a", "b", "c"):
        harness.scheduler.cancel_job(JobId(name))
    harness.advance(1.0)
    text = harness.metrics.text()
    assert 'almondspan_jobs_waiting{queue="q",class="beyond"} 0' in text


@pytest.mark.parametrize(
    ("age_s", "kind"),
    [
        pytest.param(1.0, "in_time", id="in_time"),
        pytest.param(6.0, "late", id="late"),
        pytest.param(60.0, "beyond", id="beyond"),
    ],
)
def test_metrics_tell_in_which_class_jobs_ended(
    harness: SchedulerHarness, age_s: float, kind: str
) -> None:
    harness.scheduler.rules = RULES
    harness.report_worker()
    add(harness, "a", age_s)
    harness.plan_and_store()
    harness.now_s += 2.0
    harness.list_worker(ended=[(1, "a.0.0.0", 1, "done", "")])
    expected = f'almondspan_jobs_completed_total{{queue="q",class="{kind}"}} 1'
    assert expected in harness.metrics.text()
