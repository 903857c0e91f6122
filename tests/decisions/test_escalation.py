"""The ladder policies over sequences of observations."""

import random
from dataclasses import replace

import pytest

from almondspan_decisions.escalation import (
    ESCALATION_POLICIES,
    EscalationDecision,
    EscalationLevel,
    EscalationObservation,
    EscalationOptions,
    EscalationPolicy,
    EscalationTask,
    EvictTask,
    LoadBandEscalation,
    ThrottleTask,
)
from almondspan_decisions.ids import TaskClass, TaskId

OPTIONS = EscalationOptions()
STEP_S = 0.25
TASK = EscalationTask(TaskId("job/0"), 1, TaskClass("alignment"), 4_000)
CALM = EscalationObservation(0.0, load=0.2, burn_rate=0.0, latency_ratio=0.2)
HOT = EscalationObservation(0.0, load=0.9, burn_rate=40.0, latency_ratio=3.0)


class Bench:
    """Steps a policy at a fixed rate and applies throttles to the task."""

    def __init__(
        self, policy: EscalationPolicy, tasks: tuple[EscalationTask, ...]
    ) -> None:
        self.policy = policy
        self.tasks = {task.task_id: task for task in tasks}
        self.now_s = 100.0
        self.evictions: list[tuple[float, EvictTask]] = []
        self.levels: list[EscalationLevel] = []

    def run(self, seconds: float, seen: EscalationObservation) -> EscalationDecision:
        for _ in range(round(seconds / STEP_S)):
            self.now_s += STEP_S
            tasks = tuple(self.tasks.values())
            decision = self.policy.step(replace(seen, now_s=self.now_s, tasks=tasks))
            self.levels.append(decision.level)
            for action in decision.actions:
                self._apply(action)
        return decision

    def _apply(self, action: ThrottleTask | EvictTask) -> None:
        if isinstance(action, ThrottleTask):
            old = self.tasks[action.task_id]
            self.tasks[action.task_id] = replace(old, share=action.share)
        else:
            self.evictions.append((self.now_s, action))
            self.tasks.pop(action.task_id, None)


def tasks(n_tasks: int, **fields: object) -> tuple[EscalationTask, ...]:
    return tuple(
        replace(TASK, task_id=TaskId(f"job-{n}/0"), at_risk_s=float(n), **fields)  # type: ignore[arg-type]
        for n in range(n_tasks)
    )


def test_calm_worker_is_left_alone() -> None:
    bench = Bench(LoadBandEscalation(OPTIONS), tasks(3))
    decision = bench.run(30.0, CALM)
    assert decision == EscalationDecision(EscalationLevel.NONE, 1.0)


def test_heat_reaches_the_floor_within_two_seconds() -> None:
    bench = Bench(LoadBandEscalation(OPTIONS), tasks(3))
    decision = bench.run(2.0, HOT)
    assert decision.share == OPTIONS.floor_share
    assert {task.share for task in bench.tasks.values()} == {OPTIONS.floor_share}
    assert not bench.evictions


def test_second_swing_is_throttled_before_any_latency_shows() -> None:
    bench = Bench(LoadBandEscalation(replace(OPTIONS, raise_dwell_s=1.0)), tasks(3))
    bench.run(2.0, HOT)
    assert bench.run(STEP_S, CALM).share == 1.0
    crest_without_heat = replace(CALM, load=HOT.load)
    assert bench.run(STEP_S, crest_without_heat).share == OPTIONS.floor_share


def test_shares_rise_slowly_and_not_between_cool_and_hot() -> None:
    bench = Bench(LoadBandEscalation(OPTIONS), tasks(1))
    bench.run(2.0, HOT)
    warm = replace(CALM, load=HOT.load, latency_ratio=0.9 * OPTIONS.hot_latency_ratio)
    assert bench.run(60.0, warm).share == OPTIONS.floor_share
    calm_at_load = replace(CALM, load=HOT.load)
    after_5_s = bench.run(5.0, calm_at_load).share
    assert OPTIONS.floor_share < after_5_s < 0.5
    assert bench.run(60.0, calm_at_load).share == 1.0


@pytest.mark.parametrize(
    ("fields", "n_evictions"),
    [
        pytest.param({}, 2, id="bounded by the burst"),
        pytest.param(
            {"checkpointable": False}, 0, id="never what is not checkpointable"
        ),
        pytest.param({"idempotent": False}, 2, id="a checkpoint needs no idempotence"),
    ],
)
def test_lasting_heat_checkpoints_a_few(
    fields: dict[str, object], n_evictions: int
) -> None:
    bench = Bench(LoadBandEscalation(OPTIONS), tasks(6, **fields))
    bench.run(50.0, HOT)
    assert len(bench.evictions) == n_evictions
    assert all(action.checkpoint for _, action in bench.evictions)


def test_evictions_begin_with_the_least_work_at_risk() -> None:
    bench = Bench(LoadBandEscalation(OPTIONS), tasks(4))
    bench.run(50.0, HOT)
    assert [action.task_id for _, action in bench.evictions] == ["job-0/0", "job-1/0"]


def test_eviction_waits_for_lagging_usage() -> None:
    fresh = Bench(LoadBandEscalation(OPTIONS), tasks(2))
    fresh.run(20.0, HOT)
    lagging = Bench(LoadBandEscalation(OPTIONS), tasks(2))
    lagging.run(20.0, replace(HOT, usage_age_s=3.0))
    assert lagging.evictions[0][0] >= fresh.evictions[0][0] + 3.0


def test_checkpoint_that_hangs_is_stopped_once() -> None:
    stuck = tasks(1, checkpointing_s=OPTIONS.checkpoint_timeout_s + 1.0)[0]
    ladder = LoadBandEscalation(OPTIONS)
    first = ladder.step(replace(HOT, now_s=1.0, tasks=(stuck,)))
    second = ladder.step(replace(HOT, now_s=2.0, tasks=(stuck,)))
    assert EvictTask(stuck.task_id, 1, checkpoint=False) in first.actions
    assert first.level is EscalationLevel.EVICT
    assert not any(isinstance(action, EvictTask) for action in second.actions)


@pytest.mark.parametrize("seed", range(5))
def test_swinging_load_does_not_thrash(seed: int) -> None:
    rng = random.Random(seed)
    bench = Bench(LoadBandEscalation(OPTIONS), tasks(6))
    for _ in range(60):
        bench.run(2.0, HOT if rng.random() < 0.5 else CALM)
    assert len(bench.evictions) <= OPTIONS.eviction_burst + 120 / 60


def test_urgent_work_keeps_its_share_and_goes_last() -> None:
    urgent, plain = tasks(1, urgent=True)[0], replace(TASK, at_risk_s=500.0)
    bench = Bench(LoadBandEscalation(OPTIONS), (urgent, plain))
    bench.run(3.0, HOT)
    assert bench.tasks[urgent.task_id].share == OPTIONS.urgent_floor_share
    bench.run(20.0, HOT)
    assert bench.evictions[0][1].task_id == plain.task_id


@pytest.mark.parametrize(
    ("name", "n_evictions"),
    [
        pytest.param("no_control", 0, id="no control"),
        pytest.param("no_eviction", 0, id="no eviction"),
        pytest.param("naive_eviction", 4, id="naive eviction"),
    ],
)
def test_baselines(name: str, n_evictions: int) -> None:
    bench = Bench(ESCALATION_POLICIES[name](OPTIONS), tasks(4))
    bench.run(50.0, HOT)
    assert len(bench.evictions) == n_evictions
