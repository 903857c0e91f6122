"""Discrete-event simulation of the policies with the stand-ins' interference model.

A trial simulates the machines of a mix: runners with 8 slots, Poisson calls with a
varying rate, and batch tasks that progress at a rate. It covers the queue order,
placement and escalation policies but neither messages, the store nor faults;
`measure.py` measures the real processes. Its figures are trials.

The interference model is that of the stand-ins with the parameters in
``misc/interference``; the policies see only lagging usage and latencies.

    python misc/measure_trial.py --mix archive --seeds 3 [--policies a,b] [--json F]
"""

import argparse
import heapq
import json
import math
import random
import statistics
import sys
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

from measure_load import (
    COMBINATIONS,
    INTERFERENCE,
    LoadSwings,
    PolicyCombination,
    planned_tasks,
    read_mix,
)

from almondspan_decisions.burn import BurnCounter, burn_rate
from almondspan_decisions.escalation import (
    ESCALATION_POLICIES,
    EscalationObservation,
    EscalationOptions,
    EscalationTask,
    EvictTask,
    ThrottleTask,
)
from almondspan_decisions.ids import (
    AgentId,
    PlaceName,
    ServiceName,
    TaskClass,
    TaskId,
    TeamName,
    WorkerId,
)
from almondspan_decisions.interference import (
    InterferenceModel,
    LagAligner,
    ServiceSample,
)
from almondspan_decisions.latency_sketch import LatencySketch
from almondspan_decisions.placement import (
    PLACEMENT_POLICIES,
    AgentView,
    PlacementRequest,
    rank_agents,
    share_slowdowns,
)
from almondspan_decisions.preemption import PreemptionCandidate, choose_victims
from almondspan_decisions.queue_order import QUEUE_POLICIES, QueueContext, QueuedTask
from almondspan_decisions.run_times import RunTimes
from almondspan_decisions.shapes import EMPTY_SHAPE, Shape
from almondspan_standins.interference import InterferenceModel as TrueInterference
from almondspan_standins.interference import load_model

N_SLOTS: Final = 8
STEP_S: Final = 0.25
USAGE_S: Final = 1.0
BURN_WINDOW_S: Final = 5.0
OBJECTIVE_SHARE: Final = 0.99
PREEMPT_AFTER_S: Final = 0.5
TEAM: Final = TeamName("team")


@dataclass(eq=False)
class Task:
    """A batch task: its declared needs and its actual needs."""

    task_id: TaskId
    task_class: TaskClass
    shape: Shape
    declared_run_s: float
    run_s: float
    use_share: float
    urgent: bool
    short: bool
    queued_s: float
    attempt: int = 0
    done_s: float = 0.0
    kept_s: float = 0.0
    share: float = 1.0
    started_s: float | None = None


@dataclass(eq=False)
class Machine:
    """A worker with its runners and batch tasks."""

    index: int
    capacity: Shape
    escalation: Any
    true_interference: TrueInterference
    tasks: dict[TaskId, Task] = field(default_factory=dict)
    runners: list["Runner"] = field(default_factory=list)
    model: InterferenceModel = field(default_factory=InterferenceModel)
    aligner: LagAligner = field(default_factory=LagAligner)
    usage: deque[tuple[float, dict[TaskClass, float]]] = field(default_factory=deque)
    level: int = 0
    used_shape: Shape = EMPTY_SHAPE

    def class_shares(self) -> dict[TaskClass, float]:
        """Return the share of the processors used by each class."""
        shares: dict[TaskClass, float] = {}
        for task in self.tasks.values():
            cpu = task.shape.cpu_millicores * task.use_share * task.share
            share = cpu / self.capacity.cpu_millicores
            shares[task.task_class] = shares.get(task.task_class, 0.0) + share
        return shares

    def task_slowdown(self, task_class: TaskClass) -> float:
        """Return the slowdown of a class by the services on the machine."""
        running = tuple(self.class_shares().items())
        return math.prod(
            self.true_interference.task_slowdown(
                runner.service["name"], runner.n_busy / N_SLOTS, task_class, running
            )
            for runner in self.runners
        )


@dataclass(eq=False)
class Runner:
    """The slots, queue and recent latencies of a runner."""

    service: dict[str, Any]
    machine: Machine
    n_busy: int = 0
    queue: deque[tuple[float, bool]] = field(default_factory=deque)
    burn: BurnCounter = field(default_factory=BurnCounter)
    recent: deque[tuple[float, float, float]] = field(default_factory=deque)


@dataclass
class Result:
    """Measured values of one trial."""

    calls: LatencySketch = field(default_factory=LatencySketch)
    peak: LatencySketch = field(default_factory=LatencySketch)
    n_peak_missed: int = 0
    work_s: float = 0.0
    lost_s: float = 0.0
    n_done: int = 0
    n_evictions: int = 0
    short_waits: LatencySketch = field(default_factory=LatencySketch)
    urgent_waits: LatencySketch = field(default_factory=LatencySketch)
    n_over_capacity: int = 0

    def figures(self, seconds: float) -> dict[str, float]:
        """Return the measured values by name; the names end with the units."""
        n_peak = max(1, self.peak.n_values)
        return {
            "p50_ms": self.calls.quantile(0.5),
            "p99_ms": self.calls.quantile(0.99),
            "p999_ms": self.calls.quantile(0.999),
            "crest_p99_ms": self.peak.quantile(0.99),
            "crest_in_objective": 1.0 - self.n_peak_missed / n_peak,
            "work_cores": self.work_s / seconds,
            "tasks_per_s": self.n_done / seconds,
            "short_wait_p50_s": self.short_waits.quantile(0.5),
            "short_wait_p99_s": self.short_waits.quantile(0.99),
            "urgent_wait_p99_s": self.urgent_waits.quantile(0.99),
            "evictions": float(self.n_evictions),
            "lost_core_s": self.lost_s,
            "over_capacity": float(self.n_over_capacity),
        }


class Trial:
    """One policy combination on one mix with one seed."""

    def __init__(
        self,
        mix: dict[str, Any],
        combination: PolicyCombination,
        seed: int,
        seconds: float,
        escalation_options: EscalationOptions,
    ) -> None:
        self.mix = mix
        self.escalation_options = escalation_options
        self.combination = combination
        self.seconds = seconds
        self.rng = random.Random(seed)
        self.seed = seed
        self.swings = LoadSwings(mix, seed, seconds)
        self.call_rng = random.Random(f"calls {seed}")
        self.events: list[tuple[float, int, str, Any]] = []
        self.n_events = 0
        self.now_s = 0.0
        self.result = Result()
        self.waiting: list[Task] = []
        self.run_times = RunTimes()
        self.n_placed = 0
        self.batch_at_s = 0.0
        self.machines = [self._machine(n) for n in range(mix["n_workers"])]
        self._place_runners()

    def _machine(self, index: int) -> Machine:
        part = 2 if self.combination.partition else 1
        capacity = Shape(
            self.mix["cores"] * 1000 // part, self.mix["memory_mb"] // part
        )
        escalation = ESCALATION_POLICIES[self.combination.ladder](
            self.escalation_options
        )
        true_interference = load_model(INTERFERENCE / f"{self.mix['name']}.toml")
        return Machine(index, capacity, escalation, true_interference)

    def _place_runners(self) -> None:
        index = 0
        self.runners_by_service: dict[str, list[Runner]] = {}
        for service in self.mix["services"]:
            for _ in range(service["n_runners"]):
                machine = self.machines[index]
                runner = Runner(service, machine)
                machine.runners.append(runner)
                self.runners_by_service.setdefault(service["name"], []).append(runner)
                index += 1

    def at(self, at_s: float, kind: str, body: Any = None) -> None:
        """Schedule an event."""
        self.n_events += 1
        heapq.heappush(self.events, (at_s, self.n_events, kind, body))

    def run(self) -> Result:
        """Run to the end and return the measured values."""
        for service in self.mix["services"]:
            self._next_call(service)
        for task in self._tasks() if self.combination.batch else ():
            self.at(task.queued_s, "task", task)
        self.at(STEP_S, "step")
        self.at(USAGE_S, "usage")
        handlers = {
            "call": self._on_call,
            "ended": self._on_call_ended,
            "task": lambda task: self.waiting.append(task),
            "step": self._on_step,
            "usage": self._on_usage,
        }
        while self.events:
            self.now_s, _, kind, body = heapq.heappop(self.events)
            if self.now_s > self.seconds:
                break
            handlers[kind](body)
        for machine in self.machines:
            for task in machine.tasks.values():
                self.result.work_s += task.done_s * task.shape.cpu_millicores / 1000
        for task in self.waiting:
            self.result.work_s += task.kept_s * task.shape.cpu_millicores / 1000
            if task.attempt == 0:
                self._count_wait(task)
        return self.result

    # Batch tasks.

    def _tasks(self) -> Iterator[Task]:
        for planned in planned_tasks(self.mix, self.seed, self.seconds):
            yield Task(
                task_id=TaskId(f"{planned.name}/0"),
                task_class=planned.task_class,
                shape=planned.shape,
                declared_run_s=planned.declared_run_s,
                run_s=planned.run_s,
                use_share=planned.use_share,
                urgent=planned.urgent,
                short=planned.short,
                queued_s=planned.at_s,
            )

    def _progress(self) -> None:
        elapsed_s = self.now_s - self.batch_at_s
        self.batch_at_s = self.now_s
        for machine in self.machines:
            slowdowns = {
                each: machine.task_slowdown(each) for each in machine.class_shares()
            }
            for task in list(machine.tasks.values()):
                task.done_s += elapsed_s * task.share / slowdowns[task.task_class]
                if task.done_s >= task.run_s:
                    self._end_task(machine, task)

    def _end_task(self, machine: Machine, task: Task) -> None:
        self._remove_task(machine, task)
        self.result.n_done += 1
        self.result.work_s += task.run_s * task.shape.cpu_millicores / 1000
        self.run_times.observe(task.task_class, task.run_s)

    def _remove_task(self, machine: Machine, task: Task) -> None:
        del machine.tasks[task.task_id]
        machine.used_shape = machine.used_shape - task.shape

    def _evict(self, machine: Machine, task: Task, checkpoint: bool) -> None:
        self._remove_task(machine, task)
        self.result.n_evictions += 1
        if checkpoint:
            task.kept_s = task.done_s
        lost_s = task.done_s - task.kept_s
        self.result.lost_s += lost_s * task.shape.cpu_millicores / 1000
        task.done_s = task.kept_s
        task.queued_s = self.now_s
        self.waiting.append(task)

    def _schedule(self) -> None:
        context = QueueContext(self.now_s, {TEAM: 0.5}, self.run_times)
        policy = QUEUE_POLICIES[self.combination.queue]
        self.waiting.sort(key=lambda task: policy(_queued(task), context))
        left: list[Task] = []
        full: set[Shape] = set()
        for task in self.waiting:
            if task.shape in full or not self._place(task):
                full.add(task.shape)
                left.append(task)
        self.waiting = left

    def _place(self, task: Task) -> bool:
        self.n_placed += 1
        request = PlacementRequest(
            task.shape, task.task_class, task.urgent, sequence=self.n_placed
        )
        policy = PLACEMENT_POLICIES[self.combination.placement]
        views = share_slowdowns(self._view(machine) for machine in self.machines)
        ranked = rank_agents(request, views, policy, self.rng)
        if ranked:
            self._start_task(self.machines[int(ranked[0].agent_id)], task)
            return True
        waited_s = self.now_s - task.queued_s
        may_evict = self.combination.preempts and task.urgent
        return may_evict and waited_s >= PREEMPT_AFTER_S and self._preempt(task)

    def _preempt(self, task: Task) -> bool:
        best: tuple[int, Machine, tuple[PreemptionCandidate, ...]] | None = None
        for machine in self.machines:
            running = tuple(
                PreemptionCandidate(
                    each.task_id,
                    each.attempt,
                    each.shape,
                    each.done_s - each.kept_s,
                    checkpointable=True,
                    urgent=each.urgent,
                )
                for each in machine.tasks.values()
            )
            free = machine.capacity - machine.used_shape
            victims = choose_victims(task.shape, free, running)
            if victims is not None and (best is None or len(victims) < best[0]):
                best = (len(victims), machine, victims)
        if best is None:
            return False
        _, machine, victims = best
        for victim in victims:
            self._evict(machine, machine.tasks[victim.task_id], checkpoint=True)
        self._start_task(machine, task)
        return True

    def _view(self, machine: Machine) -> AgentView:
        slowdowns: dict[TaskClass, float] = {}
        for pair in machine.model.pairs():
            slowdowns[pair.task_class] = max(
                slowdowns.get(pair.task_class, 1.0), pair.slowdown
            )
        return AgentView(
            agent_id=AgentId(str(machine.index)),
            worker_id=WorkerId(str(machine.index)),
            place=PlaceName("a"),
            capacity=machine.capacity,
            free=machine.capacity - machine.used_shape,
            n_tasks=len(machine.tasks),
            draining=False,
            resting=False,
            ladder_level=machine.level,
            services=tuple(
                ServiceName(runner.service["name"]) for runner in machine.runners
            ),
            slowdowns=tuple(slowdowns.items()),
        )

    def _start_task(self, machine: Machine, task: Task) -> None:
        task.attempt += 1
        task.share = 1.0
        if task.attempt == 1:
            self._count_wait(task)
        machine.tasks[task.task_id] = task
        machine.used_shape = machine.used_shape + task.shape
        if not machine.used_shape.fits_in(machine.capacity):
            self.result.n_over_capacity += 1

    def _count_wait(self, task: Task) -> None:
        waited_s = max(0.001, self.now_s - task.queued_s)
        if task.urgent:
            self.result.urgent_waits.add(waited_s)
        if task.short:
            self.result.short_waits.add(waited_s)

    # Calls.

    def _next_call(self, service: dict[str, Any]) -> None:
        n_slots = service["n_runners"] * N_SLOTS
        calm_rate = self.mix["calm_load"] * n_slots / (service["run_ms"] / 1000)
        rate = calm_rate * self.swings.factor_at(self.now_s)
        self.at(self.now_s + self.call_rng.expovariate(rate), "call", service)

    def _on_call(self, service: dict[str, Any]) -> None:
        self._next_call(service)
        runners = self.runners_by_service[service["name"]]
        pair = self.call_rng.sample(runners, 2)
        runner = min(pair, key=lambda each: each.n_busy + len(each.queue))
        is_peak = self.swings.is_peak(self.now_s)
        runner.queue.append((self.now_s, is_peak))
        self._dispatch(runner)

    def _dispatch(self, runner: Runner) -> None:
        while runner.queue and runner.n_busy < N_SLOTS:
            arrived_s, is_peak = runner.queue.popleft()
            runner.n_busy += 1
            run_s = self._run_s(runner)
            body = (runner, arrived_s, is_peak, run_s)
            self.at(self.now_s + run_s, "ended", body)

    def _run_s(self, runner: Runner) -> float:
        service = runner.service
        running = tuple(runner.machine.class_shares().items())
        slowdown = runner.machine.true_interference.service_slowdown(
            service["name"],
            runner.n_busy / N_SLOTS,
            () if self.combination.partition else running,
        )
        sigma = service["run_sigma"]
        run_ms = service["run_ms"] * self.call_rng.lognormvariate(
            -(sigma**2) / 2, sigma
        )
        return run_ms / 1000 * slowdown

    def _on_call_ended(self, body: tuple[Runner, float, bool, float]) -> None:
        runner, arrived_s, is_peak, run_s = body
        runner.n_busy -= 1
        latency_ms = (self.now_s - arrived_s) * 1000
        missed = latency_ms > runner.service["objective_ms"]
        runner.burn.record(self.now_s, missed)
        runner.recent.append((self.now_s, latency_ms, run_s * 1000))
        observed_ms = latency_ms + 2 * self.mix["client_distance_ms"]
        self.result.calls.add(observed_ms)
        if is_peak:
            self.result.peak.add(observed_ms)
            self.result.n_peak_missed += missed
        self._dispatch(runner)

    # Control.

    def _on_step(self, body: Any) -> None:
        self.at(self.now_s + STEP_S, "step")
        self._progress()
        if not self.combination.batch:
            return
        for machine in self.machines:
            self._step_escalation(machine)
        self._schedule()

    def _step_escalation(self, machine: Machine) -> None:
        decision = machine.escalation.step(self._observe(machine))
        machine.level = decision.level.value
        for action in decision.actions:
            task = machine.tasks.get(action.task_id)
            if task is None:
                continue
            match action:
                case ThrottleTask():
                    task.share = action.share
                case EvictTask():
                    self._evict(machine, task, action.checkpoint)

    def _observe(self, machine: Machine) -> EscalationObservation:
        loads, burns, ratios, slowdowns = [0.0], [0.0], [0.0], [1.0]
        for runner in machine.runners:
            while runner.recent and runner.recent[0][0] < self.now_s - 1.0:
                runner.recent.popleft()
            loads.append((runner.n_busy + len(runner.queue)) / N_SLOTS)
            counts = runner.burn.counts(self.now_s, BURN_WINDOW_S)
            burns.append(burn_rate(counts, OBJECTIVE_SHARE))
            if runner.recent:
                tails = sorted(latency for _, latency, _ in runner.recent)
                tail_ms = tails[int(0.95 * len(tails))]
                ratios.append(tail_ms / runner.service["objective_ms"])
                run_ms = statistics.fmean(run for _, _, run in runner.recent)
                name = ServiceName(runner.service["name"])
                busy = runner.n_busy / N_SLOTS
                n_calls = len(runner.recent)
                sample = ServiceSample(self.now_s, name, busy, run_ms, n_calls)
                machine.aligner.add(sample)
                slowdowns.append(machine.model.measured_slowdown(sample))
        return EscalationObservation(
            now_s=self.now_s,
            load=max(loads),
            burn_rate=max(burns),
            latency_ratio=max(ratios),
            slowdown=max(slowdowns),
            usage_age_s=self.mix["usage_lag_s"],
            tasks=tuple(
                self._escalation_task(machine, task) for task in _tasks(machine)
            ),
        )

    def _escalation_task(self, machine: Machine, task: Task) -> EscalationTask:
        slowdowns = [
            machine.model.slowdown(
                ServiceName(runner.service["name"]), task.task_class, 1.0
            )
            for runner in machine.runners
        ]
        return EscalationTask(
            task_id=task.task_id,
            attempt=task.attempt,
            task_class=task.task_class,
            cpu_millicores=task.shape.cpu_millicores,
            interference=max(slowdowns, default=1.0),
            at_risk_s=task.done_s - task.kept_s,
            share=task.share,
            urgent=task.urgent,
        )

    def _on_usage(self, body: Any) -> None:
        self.at(self.now_s + USAGE_S, "usage")
        for machine in self.machines:
            machine.usage.append((self.now_s, machine.class_shares()))
            measured_s = self.now_s - self.mix["usage_lag_s"]
            while machine.usage and machine.usage[0][0] <= measured_s:
                at_s, shares = machine.usage.popleft()
                for sample in machine.aligner.around(at_s, 0.3):
                    machine.model.observe(sample, shares)


def _tasks(machine: Machine) -> list[Task]:
    return list(machine.tasks.values())


def _queued(task: Task) -> QueuedTask:
    return QueuedTask(
        task_id=task.task_id,
        team=TEAM,
        task_class=task.task_class,
        shape=task.shape,
        urgent=task.urgent,
        declared_run_s=task.declared_run_s,
        queued_s=task.queued_s,
        attained_s=task.kept_s,
        slack_s=math.inf,
    )


def run_all(
    mix_name: str,
    policies: list[str],
    seeds: list[int],
    seconds: float,
    escalation_options: EscalationOptions,
    time_scale: float,
) -> dict[str, list[dict[str, float]]]:
    mix = read_mix(mix_name)
    for service in mix["services"]:
        service["run_ms"] *= time_scale
        service["objective_ms"] *= time_scale
    figures: dict[str, list[dict[str, float]]] = {}
    for policy in policies:
        for seed in seeds:
            trial = Trial(mix, COMBINATIONS[policy], seed, seconds, escalation_options)
            figures.setdefault(policy, []).append(trial.run().figures(seconds))
    return figures


def print_table(mix_name: str, figures: dict[str, list[dict[str, float]]]) -> None:
    columns = list(next(iter(figures.values()))[0])
    print(f"\n{mix_name}: median over seeds, lowest and highest below it")
    print(" " * 17 + "".join(f"{column[:12]:>13}" for column in columns))
    for policy, runs in figures.items():
        by_column = [[run[column] for run in runs] for column in columns]
        middles = "".join(f"{statistics.median(values):13.4g}" for values in by_column)
        spreads = "".join(f"{_spread(values):>13}" for values in by_column)
        print(f"{policy:17}{middles}\n{'':17}{spreads}")


def _spread(values: list[float]) -> str:
    return f"{min(values):.3g}-{max(values):.3g}"


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--mix", action="append", default=None)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=120.0)
    parser.add_argument("--policies", default=",".join(COMBINATIONS))
    parser.add_argument("--time-scale", type=float, default=1.0)
    parser.add_argument("--ladder", default="{}", help="EscalationOptions as JSON")
    parser.add_argument("--json", type=Path, default=None)
    options = parser.parse_args()
    escalation_options = EscalationOptions(**json.loads(options.ladder))
    everything = {}
    for mix in options.mix or ["archive", "water_board"]:
        figures = run_all(
            mix,
            options.policies.split(","),
            list(range(1, options.seeds + 1)),
            options.seconds,
            escalation_options,
            options.time_scale,
        )
        print_table(mix, figures)
        everything[mix] = figures
    if options.json is not None:
        options.json.write_text(json.dumps(everything, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
