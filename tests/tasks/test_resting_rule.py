"""When a worker on which tasks fail gets no new work."""

import pytest

from almondspan_decisions.ids import TaskId
from almondspan_decisions.outcomes import OutcomeKind
from almondspan_tasks.options import AttemptAgentOptions
from almondspan_tasks.resting_rule import RestingRule

OPTIONS = AttemptAgentOptions(rest_n_tasks=3, rest_window_s=100.0, rest_s=10.0)
FAILED, DONE, NOT_RUN = OutcomeKind.FAILED, OutcomeKind.DONE, OutcomeKind.NOT_RUN

Event = tuple[float, str, OutcomeKind]


def rule_after(*events: Event) -> RestingRule:
    rule = RestingRule(OPTIONS)
    for at_s, task, kind in events:
        rule.record_outcome(at_s, TaskId(task), kind)
    return rule


REST = ((0.0, "a", FAILED), (1.0, "b", FAILED), (2.0, "c", FAILED))


@pytest.mark.parametrize(
    ("events", "at_s", "rests"),
    [
        pytest.param(REST, 11.9, True, id="three tasks"),
        pytest.param(REST, 12.0, False, id="the rest ends"),
        pytest.param([(n, "a", FAILED) for n in range(9)], 9.0, False, id="one task"),
        pytest.param(
            [(0.0, "a", FAILED), (1.0, "b", FAILED), (120.0, "c", FAILED)],
            121.0,
            False,
            id="long apart",
        ),
        pytest.param([*REST, (3.0, "d", DONE)], 4.0, False, id="one ends well"),
        pytest.param(
            [(0.0, "a", NOT_RUN), (1.0, "b", NOT_RUN), (2.0, "c", NOT_RUN)],
            3.0,
            False,
            id="not run is no failure",
        ),
        pytest.param(
            [*REST, *((3.0, f"late-{n}", FAILED) for n in range(20))],
            12.5,
            False,
            id="attempts from before the rest fail together",
        ),
        pytest.param([*REST, (13.0, "d", FAILED)], 32.9, True, id="a probe fails"),
        pytest.param([*REST, (13.0, "d", FAILED)], 33.0, False, id="rest is doubled"),
    ],
)
def test_resting_rule(events: list[Event], at_s: float, rests: bool) -> None:
    assert rule_after(*events).is_resting(at_s) is rests
