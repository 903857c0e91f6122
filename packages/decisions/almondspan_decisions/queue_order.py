"""Which waiting task of a shard starts next.

A queue policy gives each waiting task a sort key; the task with the lowest key
starts first. Keys are computed anew each time a shard looks at its queue.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from almondspan_decisions.ids import TaskClass, TaskId, TeamName
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


@dataclass(frozen=True, slots=True)
class QueuedTask:
    """A waiting task as a queue policy sees it.

    ``attained_s`` is the time that earlier attempts of its job ran. ``slack_s`` is
    the time to its deadline less what it still declares, or infinity.
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
    """What a policy may know besides the task.

    ``team_share`` is each team's dominant share in use, over its quota.
    """

    now_s: float
    team_share: dict[TeamName, float]


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
    """Order by the time that a task has waited."""
    return (task.queued_s,)


@queue_policy("urgent_first")
def urgent_first(task: QueuedTask, context: QueueContext) -> QueueKey:
    """Order urgent tasks before others, each by the time waited."""
    return (0.0 if task.urgent else 1.0, task.queued_s)
