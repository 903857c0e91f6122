"""The allowed and the forbidden steps of the attempt's state machine."""

from dataclasses import dataclass

import pytest

from almondspan_tasks.attempt_lifecycle import (
    LIFECYCLE_TABLE,
    AttemptPhase,
    LifecycleStep,
    advance,
)


@dataclass
class Model:
    phase: AttemptPhase


@pytest.mark.parametrize(
    ("source", "step"),
    [
        pytest.param(AttemptPhase.RUNNING, LifecycleStep.REFUSE, id="refuse-running"),
        pytest.param(AttemptPhase.FINISHING, LifecycleStep.START, id="start-finishing"),
        pytest.param(AttemptPhase.CLOSED, LifecycleStep.STARTED, id="started-closed"),
        pytest.param(AttemptPhase.QUEUED, LifecycleStep.START, id="start-unreserved"),
        pytest.param(AttemptPhase.RUNNING, LifecycleStep.START, id="start-running"),
        pytest.param(AttemptPhase.EVICTED, LifecycleStep.START, id="start-evicted"),
    ],
)
def test_forbidden_steps(source: AttemptPhase, step: LifecycleStep) -> None:
    with pytest.raises(ValueError):
        advance(Model(source), step)


@pytest.mark.parametrize(("step", "sources", "target"), LIFECYCLE_TABLE)
def test_each_row(
    step: LifecycleStep, sources: tuple[AttemptPhase, ...], target: AttemptPhase
) -> None:
    for source in sources:
        model = Model(source)
        advance(model, step)
        assert model.phase is target
