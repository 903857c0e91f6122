"""Run times of task classes, learned from what has ended.

Declared run times may be ten times too long or too short. `RunTimes` keeps a
sketch of the run times of each class and blends its median with the declaration
by the number of runs seen. From the same sketch comes the time that a task which
has already run for a while is expected to need: a straggler outlives nearly all
of its class, so its remaining time grows with the time that it has run.
"""

from dataclasses import dataclass, field
from typing import Final

from almondspan_decisions.ids import TaskClass
from almondspan_decisions.latency_sketch import LatencySketch

__all__ = ["RunTimes"]

N_RUNS_TRUSTED: Final = 8
"""With this many runs seen, learned and declared run times weigh the same."""

MAX_RUNS_KEPT: Final = 2_000
"""Above this many runs the older ones are halved."""


@dataclass(slots=True)
class RunTimes:
    """Learned run times by task class, in seconds."""

    _by_class: dict[TaskClass, LatencySketch] = field(default_factory=dict)

    def observe(self, task_class: TaskClass, run_s: float) -> None:
        """Record the whole run time of a task that has ended."""
        sketch = self._by_class.setdefault(task_class, LatencySketch())
        sketch.add(run_s)
        if sketch.n_values > MAX_RUNS_KEPT:
            self._by_class[task_class] = sketch.scaled(0.5)

    def expected_s(self, task_class: TaskClass, declared_s: float) -> float:
        """Return the run time to expect of a fresh task."""
        sketch = self._by_class.get(task_class)
        if sketch is None or sketch.n_values == 0:
            return declared_s
        weight = sketch.n_values / (sketch.n_values + N_RUNS_TRUSTED)
        return weight * sketch.quantile(0.5) + (1.0 - weight) * declared_s

    def remaining_s(
        self, task_class: TaskClass, declared_s: float, ran_s: float
    ) -> float:
        """Return the time still to expect of a task that has run for `ran_s`.

        Past every run seen, a task is expected to need as long again as it ran.
        """
        fresh_s = self.expected_s(task_class, declared_s)
        if ran_s < fresh_s:
            return fresh_s - ran_s
        sketch = self._by_class.get(task_class)
        longer_s = sketch.mean_above(ran_s) if sketch is not None else 0.0
        return longer_s - ran_s if longer_s > ran_s else ran_s
