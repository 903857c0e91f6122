"""Orders the waiting tasks of a shard.

A queue policy gives each waiting task a sort key; the task with the lowest key starts
first. Keys are recomputed each time a shard processes its queue.

The policy ``fair`` compares, in this order: urgent work first, teams within their quota
before teams beyond it, deadlines at risk by their slack, then the expected remaining
time in bands of a factor of two. A task moves up by one band each time it has waited
`AGEING_FACTOR` times its remaining time, so that long tasks do not starve. The expected
time is learned from the task's class and blended with the declared time while few runs
of the class were observed.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from almondspan_decisions.ids import TaskClass, TaskId, TeamName
from almondspan_decisions.run_times import RunTimes
from almondspan_decisions.shapes import Shape

__all__ = [
    "QUEUE_POLICIES",
    "QueueContext",
    "QueueKey",
    "QueuePolicy",
    "QueuedTask",
    "queue_policy",
]

QueueKey = tuple[float, ...]

MIN_REMAINING_S: Final = 0.05
"""Shorter expected times count as this one."""

AGEING_FACTOR: Final = 50.0
"""A task moves up by a band for each wait of this many times its remaining time."""

SLACK_FACTOR: Final = 2.0
"""A deadline is at risk if its slack is below this many times the remaining time."""


@dataclass(frozen=True, slots=True)
class QueuedTask:
    """A waiting task as passed to a queue policy.

    ``attained_s`` is the time that earlier attempts of the task ran. ``slack_s`` is the
    time to its deadline less its declared remaining time, or infinity.
    """

    task_id: TaskId
    team: TeamName
    task_class: TaskClass
    shape: Shape
    urgent: bool
    declared_run_s: float
    queued_s: float
    attained_s: float
    slack_s: float


@dataclass(frozen=True, slots=True)
class QueueContext:
    """Further input of a queue policy.

    ``team_share`` is each team's dominant share in use, over its quota.
    ``run_times`` holds the learned run times of task classes, if there are any.
    """

    now_s: float
    team_share: dict[TeamName, float]
    run_times: RunTimes | None = None


QueuePolicy = Callable[[QueuedTask, QueueContext], QueueKey]

QUEUE_POLICIES: Final[dict[str, QueuePolicy]] = {}


def queue_policy(name: str) -> Callable[[QueuePolicy], QueuePolicy]:
    """Register a queue policy under `name`."""

    def register(policy: QueuePolicy) -> QueuePolicy:
        QUEUE_POLICIES[name] = policy
        return policy

    return register


@queue_policy("fifo")
def fifo(task: QueuedTask, context: QueueContext) -> QueueKey:
    """Order by the time at which a task was queued."""
    return (task.queued_s,)


@queue_policy("urgent_first")
def urgent_first(task: QueuedTask, context: QueueContext) -> QueueKey:
    """Order urgent tasks before others, each by the time queued."""
    return (0.0 if task.urgent else 1.0, task.queued_s)


@queue_policy("fair")
def fair(task: QueuedTask, context: QueueContext) -> QueueKey:
    """Order by urgency, team share, slack and expected remaining time."""
    remaining_s = max(MIN_REMAINING_S, _remaining_s(task, context))
    waited_s = max(0.0, context.now_s - task.queued_s)
    is_at_risk = task.slack_s < SLACK_FACTOR * remaining_s
    band = math.floor(math.log2(remaining_s))
    return (
        0.0 if task.urgent else 1.0,
        _share_band(context.team_share.get(task.team, 0.0)),
        task.slack_s if is_at_risk else math.inf,
        float(band - math.floor(waited_s / (AGEING_FACTOR * remaining_s))),
        task.queued_s,
    )


def _remaining_s(task: QueuedTask, context: QueueContext) -> float:
    if context.run_times is None:
        return max(task.declared_run_s, task.attained_s)
    return context.run_times.remaining_s(
        task.task_class, task.declared_run_s, task.attained_s
    )


def _share_band(team_share: float) -> float:
    """Return 0 within the quota, then one band per further quarter of the quota."""
    if team_share <= 1.0:
        return 0.0
    if math.isinf(team_share):
        return math.inf
    return float(math.ceil((team_share - 1.0) * 4.0))


@queue_policy("least_attained")
def least_attained(task: QueuedTask, context: QueueContext) -> QueueKey:
    """Order urgent tasks first, then by the time that earlier attempts ran."""
    return (0.0 if task.urgent else 1.0, task.attained_s, task.queued_s)
