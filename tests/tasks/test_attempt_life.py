"""The attempt's state machine."""

from dataclasses import dataclass

import pytest

from almondspan_tasks.attempt_life import (
    LIFE_TABLE,
    AttemptPhase,
    LifeStep,
    advance,
)


@dataclass
class Model:
    phase: AttemptPhase


@pytest.mark.parametrize(
    ("source", "step"),
    [
        pytest.param(AttemptPhase.RUNNING, LifeStep.REFUSE, id="refuse-running"),
        pytest.param(AttemptPhase.FINISHING, LifeStep.START, id="start-finishing"),
        pytest.param(AttemptPhase.CLOSED, LifeStep.STARTED, id="started-closed"),
        pytest.param(AttemptPhase.QUEUED, LifeStep.START, id="start-unreserved"),
        pytest.param(AttemptPhase.RUNNING, LifeStep.START, id="start-running"),
        pytest.param(AttemptPhase.EVICTED, LifeStep.START, id="start-evicted"),
    ],
)
def test_forbidden_steps(source: AttemptPhase, step: LifeStep) -> None:
    with pytest.raises(ValueError):
        advance(Model(source), step)


@pytest.mark.parametrize(("step", "sources", "target"), LIFE_TABLE)
def test_each_row(
    step: LifeStep, sources: tuple[AttemptPhase, ...], target: AttemptPhase
) -> None:
    for source in sources:
        model = Model(source)
        advance(model, step)
        assert model.phase is target
