"""The run time attained by a stage counts for that stage only."""

import pytest

from almondspan_decisions.ids import AgentId, JobId, TaskClass, TeamName, WorkerId
from almondspan_decisions.shapes import Shape
from almondspan_decisions.tasks import JobSpec, StageSpec
from almondspan_tasks.deltas import (
    AttemptAssigned,
    AttemptClosed,
    CloseCause,
    JobAdded,
    StageAdvanced,
)
from almondspan_tasks.state import ShardState, apply

JOB = JobId("job")


def assigned(attempt: int) -> AttemptAssigned:
    return AttemptAssigned(JOB, attempt, WorkerId("w"), AgentId("a"), "r", 5.0)


@pytest.mark.parametrize(
    ("advances", "attained_s"),
    [
        pytest.param(False, 40.0, id="an eviction adds its run time"),
        pytest.param(True, 0.0, id="a new stage starts at zero"),
    ],
)
def test_attained_time(advances: bool, attained_s: float) -> None:
    stage = StageSpec(TaskClass("cut"), Shape(1_000), 1.0)
    state = ShardState.empty()
    apply(state, JobAdded(JobSpec(JOB, TeamName("t"), (stage, stage)), 0.0))
    apply(state, assigned(1))
    closed = AttemptClosed(JOB, 1, CloseCause.EVICTED, WorkerId("w"), 40.0)
    apply(state, closed)
    if advances:
        apply(state, assigned(2))
        apply(state, StageAdvanced(JOB, 3.0))
    assert state.jobs[JOB].attained_s == attained_s
