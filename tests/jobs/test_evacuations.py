"""No task starts in an evacuated place, nor while the requests are not known."""

from collections.abc import Iterator
from dataclasses import replace

import pytest
from scheduler_harness import (
    JOB,
    KEY,
    QUEUE,
    STARTED_MS,
    STEP,
    TASK,
    WORKER,
    SchedulerHarness,
)

from almondspan_decisions.ids import PlaceName, WorkerId
from almondspan_decisions.job_graph import JobSpec, StepSpec
from almondspan_decisions.job_progress import TaskPhase
from almondspan_decisions.shapes import Shape
from almondspan_jobs import clocks
from almondspan_jobs.evacuations import EvacuationRequests, RequestTracker
from almondspan_jobs.messages import AttemptRevoked, StartCommand, StopCommand
from almondspan_jobs.options import JobOptions
from almondspan_platform.store import Revision
from almondspan_platform.task_worker import Verdict

OTHER = WorkerId("w-2")
HERE, THERE = PlaceName("here"), PlaceName("there")
OPTIONS = replace(JobOptions(), evacuation_limit_s=5.0)
LIMIT_S = 2.75
"""How long the requests count as known after they were read."""
WINDOW_MS = 1_800
LONG = StepSpec(1, Shape(1_000, 1_000), estimate_ms=60_000, saves_progress=True)


@pytest.fixture
def harness() -> Iterator[SchedulerHarness]:
    found = SchedulerHarness()
    found.options = OPTIONS
    found.restart_owner()
    yield found
    clocks.use_clocks()


def read(harness: SchedulerHarness, *places: PlaceName, age_s: float = 0.0) -> None:
    """Let the owner know the requests, which were first seen `age_s` ago."""
    since_s = dict.fromkeys(places, harness.now_s - age_s)
    harness.scheduler.set_evacuations(EvacuationRequests(since_s, harness.now_s))


def starts(harness: SchedulerHarness) -> list[WorkerId]:
    """Return the workers that were sent a start, and clear the sent messages."""
    found = [worker for worker, body in harness.sent if isinstance(body, StartCommand)]
    harness.sent.clear()
    return found


def pass_time(harness: SchedulerHarness, for_s: float, *workers: WorkerId) -> None:
    """Let the owner work for a while; the workers list what is given for the first."""
    for _ in range(round(for_s / 0.2)):
        for worker in workers:
            harness.list_worker(worker)
        harness.advance(0.2)
        harness.plan_and_store()


# What is not known


def test_nothing_is_placed_before_the_requests_were_read(
    harness: SchedulerHarness,
) -> None:
    """A new owner may not have read a request that its predecessor obeyed."""
    harness.report_worker()
    harness.add()
    pass_time(harness, 1.0, WORKER)
    assert starts(harness) == []
    read(harness)
    harness.plan_and_store()
    assert starts(harness) == [WORKER]


def test_requests_are_not_needed_where_there_are_none() -> None:
    harness = SchedulerHarness()
    harness.report_worker()
    harness.add()
    [command] = harness.take_sent(StartCommand)
    assert isinstance(command, StartCommand)
    assert command.until_ms > harness.now_s * 1000 + WINDOW_MS
    clocks.use_clocks()


@pytest.mark.parametrize(
    ("age_s", "is_placed"),
    [(LIMIT_S - 0.05, True), (LIMIT_S + 0.05, False)],
)
def test_nothing_is_placed_while_the_view_is_too_old(
    harness: SchedulerHarness, age_s: float, is_placed: bool
) -> None:
    """The watch may be silent while commits work."""
    read(harness)
    harness.now_s += age_s
    harness.report_worker()
    harness.add()
    assert bool(starts(harness)) is is_placed


def test_stored_start_waits_for_a_read_that_is_recent(
    harness: SchedulerHarness,
) -> None:
    """A start that is stored as the store goes silent must not be sent later."""
    read(harness)
    harness.report_worker()
    harness.is_linked = False
    harness.add()
    harness.is_linked = True
    harness.now_s += LIMIT_S + 0.1
    pass_time(harness, 3.0, WORKER)
    assert starts(harness) == []
    read(harness)
    pass_time(harness, 0.2, WORKER)
    assert starts(harness) == [WORKER]


def test_unanswered_start_is_not_repeated_while_the_view_is_too_old(
    harness: SchedulerHarness,
) -> None:
    harness.report_worker()
    read(harness)
    harness.now_s += LIMIT_S - 0.1
    harness.list_worker()
    harness.add()
    assert starts(harness) == [WORKER]
    pass_time(harness, 1.4, WORKER)
    assert starts(harness) == []


# An evacuated place


def test_tasks_are_placed_elsewhere(harness: SchedulerHarness) -> None:
    read(harness, HERE)
    harness.report_worker()
    harness.add(replace(STEP, n_tasks=2))
    assert starts(harness) == []
    harness.report_worker(OTHER, node="node-2", place="there")
    harness.plan_and_store()
    assert starts(harness) == [OTHER, OTHER]


def test_nothing_starts_while_all_places_are_evacuated(
    harness: SchedulerHarness,
) -> None:
    read(harness, HERE, THERE)
    harness.report_worker()
    harness.report_worker(OTHER, node="node-2", place="there")
    harness.add()
    read(harness, HERE, THERE)
    pass_time(harness, 1.0, WORKER, OTHER)
    assert starts(harness) == []


def test_starts_are_allowed_again_at_once(harness: SchedulerHarness) -> None:
    """Without waiting until all workers are checked again, after 0.2 s."""
    read(harness, HERE)
    harness.report_worker()
    harness.add()
    harness.plan_and_store()
    read(harness)
    assert harness.scheduler.needs_planning
    harness.plan_and_store()
    assert starts(harness) == [WORKER]


@pytest.mark.parametrize("is_stored_before", [False, True])
def test_assignment_that_was_not_sent_is_released(
    harness: SchedulerHarness, is_stored_before: bool
) -> None:
    read(harness)
    harness.report_worker()
    if is_stored_before:
        harness.is_linked = False
        harness.add()
        harness.is_linked = True
        read(harness, HERE)
        harness.advance(0.2)
    else:
        harness.scheduler.add_job(JOB, JobSpec(QUEUE, "payload", (STEP,)))
        harness.scheduler.plan()
        snapshot = harness.scheduler.snapshot()
        read(harness, HERE)
        harness.scheduler.on_stored(snapshot)
    task = harness.scheduler.jobs[JOB].task(KEY)
    assert task is not None
    assert task.phase is TaskPhase.WAITING
    assert starts(harness) == []


def test_unconfirmed_start_is_not_repeated_but_revoked(
    harness: SchedulerHarness,
) -> None:
    read(harness)
    harness.report_worker()
    harness.add()
    assert starts(harness) == [WORKER]
    read(harness, HERE)
    harness.report_worker(OTHER, node="node-2", place="there")
    pass_time(harness, 2.4, WORKER, OTHER)
    assert harness.take_sent(StartCommand) == []
    harness.scheduler.on_attempt_revoked(WORKER, AttemptRevoked(STARTED_MS, TASK, 1))
    read(harness, HERE)
    harness.plan_and_store()
    assert starts(harness) == [OTHER]


def test_short_request_leaves_an_unconfirmed_start_alone(
    harness: SchedulerHarness,
) -> None:
    """The answer is still on its way; a revocation would stop the task."""
    read(harness)
    harness.report_worker()
    harness.add()
    harness.sent.clear()
    read(harness, HERE)
    pass_time(harness, 0.8, WORKER)
    read(harness)
    harness.list_worker(running=[(TASK, 1, "", 10, 0.0)])
    pass_time(harness, 0.2)
    assert harness.take_sent(StopCommand) == []


def test_refused_start_is_placed_elsewhere(harness: SchedulerHarness) -> None:
    """The agent knows of the evacuation, and has not sent the start."""
    read(harness)
    harness.report_worker()
    harness.add()
    harness.report_worker(OTHER, node="node-2", place="there")
    read(harness, HERE)
    harness.answer_starts(Verdict.NOT_TAKEN)
    harness.plan_and_store()
    assert starts(harness) == [OTHER]


def test_new_owner_leaves_what_runs_there(harness: SchedulerHarness) -> None:
    """It has not seen the tasks in a listing yet, and knows of an old request."""
    read(harness)
    harness.report_worker()
    harness.add(LONG)
    snapshots = harness.scheduler.jobs[JOB]
    harness.restart_owner()
    harness.scheduler.load(snapshots)
    read(harness, HERE, age_s=60.0)
    harness.report_worker(is_listed=False)
    harness.sent.clear()
    for _ in range(5):
        harness.advance(0.2)
    assert harness.take_sent(StopCommand) == []
    harness.list_worker(running=[(TASK, 1, "", 10, 0.0)])
    harness.advance(0.2)
    assert harness.take_sent(StopCommand) == []


# How long a start is valid


@pytest.mark.parametrize("listing_age_s", [0.0, 1.0])
def test_start_expires_soon(harness: SchedulerHarness, listing_age_s: float) -> None:
    """A command that is late on its way must not begin a task after the limit."""
    harness.report_worker()
    harness.now_s += listing_age_s
    read(harness)
    harness.add()
    [command] = harness.take_sent(StartCommand)
    assert isinstance(command, StartCommand)
    now_ms = harness.now_s * 1000
    assert now_ms + WINDOW_MS - 30 <= command.until_ms <= now_ms + WINDOW_MS


# The tracker of the requests


class Log:
    def line(self, event: str, **fields: object) -> None:
        pass


def tracker() -> tuple[RequestTracker, list[EvacuationRequests]]:
    seen: list[EvacuationRequests] = []
    return RequestTracker(Log(), seen.append), seen


def test_answers_that_are_outdated_have_no_effect() -> None:
    """A read overtakes a watch whose answer is late."""
    found, seen = tracker()
    found.on_read([HERE], Revision(9), 10.0)
    found.on_changed([], [HERE], Revision(8), 11.0)
    found.on_read([], Revision(7), 12.0)
    assert list(found.current.since_s) == [HERE]
    assert found.current.read_s == 10.0
    assert len(seen) == 1


def test_answer_counts_from_the_sending_of_its_call() -> None:
    found, _ = tracker()
    found.on_read([], Revision(9), 10.0)
    found.on_changed([], [], Revision(9), 9.0)
    assert found.current.read_s == 10.0
    found.on_changed([], [], Revision(9), 11.0)
    assert found.current.read_s == 11.0


def test_requests_come_and_go() -> None:
    found, _ = tracker()
    found.on_read([HERE], Revision(2), 1.0)
    since_s = found.current.since_s[HERE]
    found.on_changed([THERE], [], Revision(3), 2.0)
    assert found.current.since_s[HERE] == since_s
    found.on_changed([], [HERE], Revision(4), 3.0)
    assert list(found.current.since_s) == [THERE]
    found.on_read([], Revision(5), 4.0)
    assert not found.current.since_s
