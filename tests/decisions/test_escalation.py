"""Escalation policies over sequences of observations."""

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


class PolicyHarness:
    """Steps a policy at a fixed rate and applies its actions to the tasks."""

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


def test_calm_worker_is_not_restricted() -> None:
    harness = PolicyHarness(LoadBandEscalation(OPTIONS), tasks(3))
    decision = harness.run(30.0, CALM)
    assert decision == EscalationDecision(EscalationLevel.NONE, 1.0)


def test_share_reaches_floor_within_two_seconds_of_heat() -> None:
    harness = PolicyHarness(LoadBandEscalation(OPTIONS), tasks(3))
    decision = harness.run(2.0, HOT)
    assert decision.share == OPTIONS.floor_share
    assert {task.share for task in harness.tasks.values()} == {OPTIONS.floor_share}
    assert not harness.evictions


def test_second_peak_is_throttled_before_latency_rises() -> None:
    harness = PolicyHarness(
        LoadBandEscalation(replace(OPTIONS, raise_dwell_s=1.0)), tasks(3)
    )
    harness.run(2.0, HOT)
    assert harness.run(STEP_S, CALM).share == 1.0
    peak_without_heat = replace(CALM, load=HOT.load)
    assert harness.run(STEP_S, peak_without_heat).share == OPTIONS.floor_share


def test_shares_rise_slowly_and_only_when_calm() -> None:
    harness = PolicyHarness(LoadBandEscalation(OPTIONS), tasks(1))
    harness.run(2.0, HOT)
    warm = replace(CALM, load=HOT.load, latency_ratio=0.9 * OPTIONS.hot_latency_ratio)
    assert harness.run(60.0, warm).share == OPTIONS.floor_share
    calm_at_load = replace(CALM, load=HOT.load)
    after_5_s = harness.run(5.0, calm_at_load).share
    assert OPTIONS.floor_share < after_5_s < 0.5
    assert harness.run(60.0, calm_at_load).share == 1.0


@pytest.mark.parametrize(
    ("fields", "n_evictions"),
    [
        pytest.param({}, 2, id="bounded by the burst"),
        pytest.param({"checkpointable": False}, 0, id="task is not checkpointable"),
        pytest.param(
            {"idempotent": False}, 2, id="checkpoint of a task that is not idempotent"
        ),
    ],
)
def test_sustained_heat_checkpoints_a_bounded_number(
    fields: dict[str, object], n_evictions: int
) -> None:
    harness = PolicyHarness(LoadBandEscalation(OPTIONS), tasks(6, **fields))
    harness.run(50.0, HOT)
    assert len(harness.evictions) == n_evictions
    assert all(action.checkpoint for _, action in harness.evictions)


def test_least_work_at_risk_is_evicted_first() -> None:
    harness = PolicyHarness(LoadBandEscalation(OPTIONS), tasks(4))
    harness.run(50.0, HOT)
    assert [action.task_id for _, action in harness.evictions] == ["job-0/0", "job-1/0"]


def test_eviction_waits_for_lagging_usage_reports() -> None:
    fresh = PolicyHarness(LoadBandEscalation(OPTIONS), tasks(2))
    fresh.run(20.0, HOT)
    lagging = PolicyHarness(LoadBandEscalation(OPTIONS), tasks(2))
    lagging.run(20.0, replace(HOT, usage_age_s=3.0))
    assert lagging.evictions[0][0] >= fresh.evictions[0][0] + 3.0


def test_stuck_checkpoint_is_stopped_once() -> None:
    stuck = tasks(1, checkpointing_s=OPTIONS.checkpoint_timeout_s + 1.0)[0]
    policy = LoadBandEscalation(OPTIONS)
    first = policy.step(replace(HOT, now_s=1.0, tasks=(stuck,)))
    second = policy.step(replace(HOT, now_s=2.0, tasks=(stuck,)))
    assert EvictTask(stuck.task_id, 1, checkpoint=False) in first.actions
    assert first.level is EscalationLevel.EVICT
    assert not any(isinstance(action, EvictTask) for action in second.actions)


@pytest.mark.parametrize("seed", range(5))
def test_varying_load_does_not_cause_thrashing(seed: int) -> None:
    rng = random.Random(seed)
    harness = PolicyHarness(LoadBandEscalation(OPTIONS), tasks(6))
    for _ in range(60):
        harness.run(2.0, HOT if rng.random() < 0.5 else CALM)
    assert len(harness.evictions) <= OPTIONS.eviction_burst + 120 / 60


def test_urgent_task_keeps_its_share_and_is_evicted_last() -> None:
    urgent, plain = tasks(1, urgent=True)[0], replace(TASK, at_risk_s=500.0)
    harness = PolicyHarness(LoadBandEscalation(OPTIONS), (urgent, plain))
    harness.run(3.0, HOT)
    assert harness.tasks[urgent.task_id].share == OPTIONS.urgent_floor_share
    harness.run(20.0, HOT)
    assert harness.evictions[0][1].task_id == plain.task_id


@pytest.mark.parametrize(
    ("name", "n_evictions"),
    [
        pytest.param("no_control", 0, id="no control"),
        pytest.param("no_eviction", 0, id="no eviction"),
        pytest.param("naive_eviction", 4, id="naive eviction"),
    ],
)
def test_baselines(name: str, n_evictions: int) -> None:
    harness = PolicyHarness(ESCALATION_POLICIES[name](OPTIONS), tasks(4))
    harness.run(50.0, HOT)
    assert len(harness.evictions) == n_evictions
