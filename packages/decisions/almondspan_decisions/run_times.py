"""Estimates run times of task classes from the tasks that have ended.

Declared run times may be wrong by a factor of ten. `RunTimes` keeps a sketch of the run
times of each class and blends its median with the declared time, weighted by the number
of runs observed. The same sketch gives the expected remaining time of a running task: a
straggler outlives nearly all tasks of its class, so its remaining time grows with the
time that it has run.
"""

from dataclasses import dataclass, field
from typing import Final

from almondspan_decisions.ids import TaskClass
from almondspan_decisions.latency_sketch import LatencySketch

__all__ = ["RunTimes"]

N_RUNS_TRUSTED: Final = 8
"""With this many runs, learned and declared run times have the same weight."""

MAX_RUNS_KEPT: Final = 2_000
"""Above this many runs all counts are halved, so that newer runs weigh more."""


@dataclass(slots=True)
class RunTimes:
    """Learned run times by task class, in seconds."""

    _by_class: dict[TaskClass, LatencySketch] = field(default_factory=dict)

    def observe(self, task_class: TaskClass, run_s: float) -> None:
        """Record the total run time of a task that has ended."""
        sketch = self._by_class.setdefault(task_class, LatencySketch())
        sketch.add(run_s)
        if sketch.n_values > MAX_RUNS_KEPT:
            self._by_class[task_class] = sketch.scaled(0.5)

    def expected_s(self, task_class: TaskClass, declared_s: float) -> float:
        """Return the expected run time of a task that has not started."""
        sketch = self._by_class.get(task_class)
        if sketch is None or sketch.n_values == 0:
            return declared_s
        weight = sketch.n_values / (sketch.n_values + N_RUNS_TRUSTED)
        return weight * sketch.quantile(0.5) + (1.0 - weight) * declared_s

    def remaining_s(
        self, task_class: TaskClass, declared_s: float, ran_s: float
    ) -> float:
        """Return the expected remaining time of a task that has run for `ran_s`.

        A task that has outlived every run observed is expected to need as long again.
        """
        expected_total_s = self.expected_s(task_class, declared_s)
        if ran_s < expected_total_s:
            return expected_total_s - ran_s
        sketch = self._by_class.get(task_class)
        mean_longer_s = sketch.mean_above(ran_s) if sketch is not None else 0.0
        return mean_longer_s - ran_s if mean_longer_s > ran_s else ran_s
