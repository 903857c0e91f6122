"""Checks the invariants of the worker's core over random sequences of calls."""

from dataclasses import replace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from almondspan_decisions.ids import ShardId, TaskClass, TaskId, WorkerId
from almondspan_decisions.outcomes import OutcomeKind
from almondspan_decisions.shapes import Shape
from almondspan_platform.worker import AttemptState, StartAttempt, StartResult
from almondspan_standins.worker_core import WorkerCore, WorkerOptions, task_payload

RUN_S = 2.0
OPTIONS = WorkerOptions(lease_s=5.0, usage_lag_s=1.0, checkpoint_s=0.5)
TASKS = st.integers(0, 3).map(lambda n: TaskId(f"job-{n}/0"))


class WorkerMachine(RuleBasedStateMachine):
    """Four tasks; each attempt resumes from the checkpoint of the one before.

    A task has its effect at most once, and not before its attempts together have run
    for its whole run time.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        capacity = Shape(2000, 2000, 0)
        self.core = WorkerCore(WorkerId("w"), capacity, lambda: self.now_s, OPTIONS)
        self.attempt: dict[TaskId, int] = {}
        self.checkpoint: dict[TaskId, bytes] = {}
        self.ran_s: dict[TaskId, float] = {}
        self.done: set[TaskId] = set()

    @rule(task_id=TASKS)
    def start(self, task_id: TaskId) -> None:
        if task_id in self.done or task_id in self.attempt:
            return
        self.core.advance()
        n_running = len(self.core.running())
        number = self.core.n_started + 1
        request = StartAttempt(
            task_id,
            number,
            TaskClass("cut"),
            Shape(1000, 1000, 0),
            task_payload(RUN_S, "cut", task_id),
            self.checkpoint.get(task_id, b""),
            ShardId(0),
            1,
            True,
        )
        result = self.core.start_attempt(request)
        fits = n_running < 2
        assert result is (StartResult.STARTED if fits else StartResult.REFUSED)
        if fits:
            self.attempt[task_id] = number
            assert self.core.start_attempt(request) is StartResult.ALREADY_KNOWN

    @rule(task_id=TASKS)
    def checkpoint_task(self, task_id: TaskId) -> None:
        self.core.checkpoint((task_id, self.attempt.get(task_id, 0)))

    @rule(task_id=TASKS)
    def stop(self, task_id: TaskId) -> None:
        self.core.stop((task_id, self.attempt.get(task_id, 0)))

    @rule(task_id=TASKS, share=st.sampled_from([0.0, 0.5, 1.0, 1.0]))
    def throttle(self, task_id: TaskId, share: float) -> None:
        self.core.throttle((task_id, self.attempt.get(task_id, 0)), share)

    @rule(seconds=st.floats(0.2, 3.0), renews=st.booleans())
    def wait(self, seconds: float, renews: bool) -> None:
        self.now_s += seconds
        if renews:
            self.core.renew(tuple(self.attempt.items()))

    @rule()
    def collect_ended(self) -> None:
        for one in self.core.list_attempts():
            if one.state is not AttemptState.ENDED:
                continue
            assert one.outcome is not None
            del self.attempt[one.task_id]
            self.ran_s[one.task_id] = self.ran_s.get(one.task_id, 0.0) + one.ran_s
            if one.evicted:
                assert one.outcome.kind is OutcomeKind.UNKNOWN
                self.checkpoint[one.task_id] = one.checkpoint
            else:
                assert one.outcome.kind is OutcomeKind.DONE
                self.done.add(one.task_id)
            self.core.forget(((one.task_id, one.attempt),))

    @invariant()
    def runs_within_capacity(self) -> None:
        assert self.core.used_shape().fits_in(self.core.capacity)
        assert self.core.n_duplicate_running == 0

    @invariant()
    def effects_take_place_once_and_in_time(self) -> None:
        done = [effect.task_id for effect in self.core.ledger]
        assert len(done) == len(set(done))
        assert self.done <= set(done)
        for task_id in self.done:
            assert self.ran_s[task_id] >= RUN_S - 1e-6


@pytest.mark.parametrize(
    ("effect_share", "evicted_at_s", "resumes", "attempts", "saved"),
    [
        pytest.param(1.0, 5.0, True, [2], b"", id="at-the-end"),
        pytest.param(0.3, 5.0, True, [1], b"", id="before-the-eviction"),
        pytest.param(0.8, 5.0, True, [2], b"", id="after-the-eviction"),
        pytest.param(0.3, 5.0, False, [1, 2], b"", id="restarted"),
        pytest.param(0.0, 0.5, False, [1, 2], b"", id="at-the-start"),
        pytest.param(1.0, 5.0, True, [2], b'{"done_s":10.0}', id="all-but-the-end"),
    ],
)
def test_effect_of_evicted_work(
    effect_share: float,
    evicted_at_s: float,
    resumes: bool,
    attempts: list[int],
    saved: bytes,
) -> None:
    now_s = 0.0
    options = WorkerOptions(100.0, 1.0, 0.0)
    core = WorkerCore(WorkerId("w"), Shape(1, 1, 0), lambda: now_s, options)
    first = StartAttempt(
        TaskId("job/0"),
        1,
        TaskClass("deliver"),
        Shape(1, 1, 0),
        task_payload(10.0, "deliver", "r", effect_share=effect_share),
        b"",
        ShardId(0),
        1,
        False,
    )
    core.start_attempt(first)
    now_s = evicted_at_s
    core.checkpoint((TaskId("job/0"), 1))
    (one,) = core.list_attempts()
    assert one.evicted
    checkpoint = (saved or one.checkpoint) if resumes else b""
    core.start_attempt(replace(first, attempt=2, checkpoint=checkpoint))
    now_s += 10.0
    core.advance()
    assert [effect.attempt for effect in core.ledger] == attempts


def test_no_progress_during_a_checkpoint() -> None:
    now_s = 0.0
    core = WorkerCore(
        WorkerId("w"), Shape(1, 1, 0), lambda: now_s, WorkerOptions(100.0, 1.0, 2.0)
    )
    key = (TaskId("job/0"), 1)
    checkpoint = b""
    for attempt in (1, 2):
        request = StartAttempt(
            TaskId("job/0"),
            attempt,
            TaskClass("cut"),
            Shape(1, 1, 0),
            task_payload(10.0, "cut", "r"),
            checkpoint,
            ShardId(0),
            1,
            True,
        )
        core.start_attempt(request)
        now_s += 4.0
        core.checkpoint(key)
        now_s += 1.9
        assert core.list_attempts()[0].state is not AttemptState.ENDED
        now_s += 0.1
        checkpoint = core.list_attempts()[0].checkpoint
        key = (TaskId("job/0"), 2)
        core.forget(((TaskId("job/0"), attempt),))
    core.start_attempt(replace(request, attempt=3, checkpoint=checkpoint))
    now_s += 1.9
    core.advance()
    assert core.ledger == []
    now_s += 0.1
    core.advance()
    assert len(core.ledger) == 1


TestWorkerCore = WorkerMachine.TestCase
TestWorkerCore.settings = settings(
    max_examples=100, stateful_step_count=60, deadline=None, derandomize=True
)
