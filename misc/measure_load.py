"""Load of a measurement: calls and batch tasks, generated from a seed.

A mix is a parameter file in ``misc/measure_params``. Calls arrive open-loop; their
rate rises from calm to peak within `RAMP_S`. Batch tasks arrive open-loop too; some are
stragglers, and declared run times are wrong by a factor of up to ten.
"""

import json
import random
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

from almondspan_decisions.ids import JobId, TaskClass, TeamName
from almondspan_decisions.shapes import Shape
from almondspan_decisions.tasks import JobSpec, StageSpec

PARAMS: Final = Path(__file__).resolve().parent / "measure_params"
INTERFERENCE: Final = Path(__file__).resolve().parent / "interference"
RAMP_S: Final = 1.0


@dataclass(frozen=True)
class PolicyCombination:
    """The policies of one measurement, by name.

    With ``partition`` batch tasks use one half of each worker and don't interfere with
    the services. With ``preempts`` urgent tasks may evict others.
    """

    queue: str
    placement: str
    ladder: str
    batch: bool = True
    preempts: bool = False
    partition: bool = False


COMBINATIONS: Final = {
    "no_batch": PolicyCombination("fifo", "least_loaded", "no_control", batch=False),
    "almondspan": PolicyCombination("fair", "colocated", "ladder", preempts=True),
    "no_eviction": PolicyCombination("fair", "colocated", "no_eviction"),
    "least_loaded": PolicyCombination("fifo", "least_loaded", "no_control"),
    "random": PolicyCombination("fifo", "random", "no_control"),
    "round_robin": PolicyCombination("fifo", "round_robin", "no_control"),
    "static_partition": PolicyCombination(
        "fifo", "least_loaded", "no_control", partition=True
    ),
    "naive_eviction": PolicyCombination("fifo", "least_loaded", "naive_eviction"),
}


@dataclass(frozen=True)
class PlannedTask:
    """A batch task: its submission time, declared needs and actual needs."""

    at_s: float
    name: str
    task_class: TaskClass
    shape: Shape
    declared_run_s: float
    run_s: float
    use_share: float
    urgent: bool
    short: bool


class LoadSwings:
    """Load peaks at random times, the same for all policies with one seed."""

    def __init__(self, mix: dict[str, Any], seed: int, seconds: float):
        rng = random.Random(f"swings {seed}")
        self.factor = mix["swing_factor"]
        self.peaks: list[tuple[float, float]] = []
        at_s = rng.uniform(3.0, 8.0)
        while at_s < seconds:
            end_s = at_s + rng.uniform(3.0, 8.0)
            self.peaks.append((at_s, end_s))
            at_s = end_s + rng.uniform(5.0, 14.0)

    def factor_at(self, now_s: float) -> float:
        """Return the factor of the load over the calm load."""
        for begin_s, end_s in self.peaks:
            if begin_s <= now_s < end_s:
                risen = min(1.0, (now_s - begin_s) / RAMP_S)
                return 1.0 + (self.factor - 1.0) * risen
        return 1.0

    def is_peak(self, now_s: float) -> bool:
        """Return whether the load is well above the calm load."""
        return self.factor_at(now_s) > 1.5


def read_mix(name: str) -> dict[str, Any]:
    return tomllib.loads((PARAMS / f"{name}.toml").read_text())


def planned_tasks(
    mix: dict[str, Any], seed: int, seconds: float
) -> Iterator[PlannedTask]:
    """Yield the tasks of all classes; those of the backlog are due at the start."""
    rng = random.Random(f"tasks {seed}")
    stretch = 1.0 + mix["straggler_share"] * (mix["straggler_factor"] - 1.0)
    cores = mix["n_workers"] * mix["cores"] * mix["batch_load"]
    n_tasks = 0
    for kind in mix["classes"]:
        work = kind["cores"] * kind["run_s"] * stretch
        rate = cores * kind["weight"] / work
        at_s = 0.0 if kind.get("short") else -mix["backlog_s"]
        while (at_s := at_s + rng.expovariate(rate)) < seconds:
            n_tasks += 1
            run_s = kind["run_s"] * rng.lognormvariate(0.0, 0.4)
            if rng.random() < mix["straggler_share"]:
                run_s *= mix["straggler_factor"]
            yield PlannedTask(
                at_s=max(0.0, at_s),
                name=f"{kind['name']}-{n_tasks}",
                task_class=TaskClass(kind["name"]),
                shape=Shape(kind["cores"] * 1000, kind["memory_mb"]),
                declared_run_s=kind["run_s"] * 10 ** rng.uniform(-1, 1),
                run_s=run_s,
                use_share=min(1.0, 10 ** rng.uniform(-0.6, 0.4)),
                urgent=kind.get("urgent", False),
                short=kind.get("short", False),
            )


def job_of(planned: PlannedTask, team: TeamName) -> JobSpec:
    """Return the job of a planned task."""
    payload = json.dumps(
        {
            "run_s": planned.run_s,
            "use_share": planned.use_share,
            "record": planned.name,
            "effect": str(planned.task_class),
        }
    )
    stage = StageSpec(
        task_class=planned.task_class,
        shape=planned.shape,
        declared_run_s=planned.declared_run_s,
        payload=payload.encode(),
    )
    return JobSpec(
        job_id=JobId(planned.name),
        team=team,
        stages=(stage,),
        urgent=planned.urgent,
        max_attempts=50,
    )
