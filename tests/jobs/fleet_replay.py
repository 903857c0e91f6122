"""Replays a load pattern on a simulated fleet whose tasks interfere with each other.

`FleetReplay` runs the real entries, owner and agents in virtual time. Three queues
share the workers: serving tasks that last, short jobs that count against capacity, and
wide best-effort jobs. `LoadPattern` gives their rates; a seed determines all jobs.
`FleetReplay.outcome` tells how each queue was served.
"""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from job_simulation import EPOCH_S, SERVICE, JobSimulation, SubmittedJob

from almondspan_decisions.ids import JobId, WorkerId
from almondspan_decisions.job_graph import (
    JobSpec,
    QueueName,
    QueueRules,
    StepSpec,
    parse_task_name,
)
from almondspan_decisions.job_progress import JobState
from almondspan_decisions.shapes import Shape
from almondspan_platform.task_worker import EndReason
from almondspan_standins.colocated_task_worker import (
    ColocatedTaskWorker,
    ColocationCounts,
    Interference,
)
from almondspan_standins.memory_task_worker import MemoryTaskWorker, TaskScript

SHORT, BEST_EFFORT, SERVING = (
    QueueName("short"),
    QueueName("best-effort"),
    QueueName("serving"),
)
REPLAY_RULES = {
    SHORT: QueueRules(SERVICE, 0, 4, 1.5, 250),
    BEST_EFFORT: QueueRules(SERVICE, 2, 4, 2.0, 1_000),
    SERVING: QueueRules(SERVICE, 0, 4, 2.2, 2_500),
}
LATE_SHARE = 0.15
"""What a late job is worth against one in time."""
LATE_FACTOR = 3.0
"""A job that takes longer than this many times its objective is worth nothing."""
HARMLESS = (0.1, 0.25)
"""Range of the weights of pairs that hardly interfere."""


@dataclass(frozen=True)
class LoadPattern:
    """The fleet and the jobs of one replay; rates are per second."""

    n_workers: int = 24
    cores: int = 16
    n_serving_jobs: int = 10
    serving_width: int = 10
    serving_cores: float = 3.2
    n_serving_images: int = 5
    max_serving_share: float = math.inf
    """Share of the fleet's processors at which the widths of serving jobs are cut."""
    apart_share: float = 0.5
    """Share of serving jobs that allow one task on each worker."""
    load: float = 0.43
    swing: float = 0.5
    period_s: float = 10.0
    target_factor: float = 4.5
    calm_ms: float = 4.0
    short_per_s: float = 1.5
    short_width: int = 8
    short_cores: float = 0.5
    short_s: float = 1.2
    best_effort_per_s: float = 0.35
    best_effort_width: int = 20
    best_effort_cores: float = 1.8
    best_effort_s: float = 3.0
    best_effort_mb: int = 1_000
    best_effort_spread: float = 0.4
    """Deviation of the logarithm of the run times of tasks."""
    best_effort_step_spread: float = 0.0
    """The same for a factor that the tasks of one step share."""
    n_best_effort_images: int = 9
    heavy_share: float = 0.6
    """Share of the pairs of images that interfere, if there are no groups."""
    heavy: tuple[float, float] = (1.0, 2.0)
    """Range of the weights of pairs that interfere."""
    serving_groups: tuple[int, ...] = ()
    """Number of serving images that depend on each of the hidden resources."""
    best_effort_groups: tuple[int, ...] = ()
    """Number of best-effort images that use each of them; the others use none."""
    traffic_s: float = 30.0
    burst: tuple[float, float, float] = (0.0, 0.0, 1.0)
    """Begin, end and factor of a burst of best-effort jobs, from the first traffic."""
    short_bursts: tuple[tuple[float, float, float], ...] = ()
    """The same, of short jobs."""
    declared_error: float = 0.0
    """Above 0, the tasks of a step are alike, and their declared time is wrong by up to
    this factor either way."""


GROUPED = LoadPattern(
    n_workers=64,
    cores=64,
    n_serving_jobs=21,
    serving_width=14,
    serving_cores=14.0,
    n_serving_images=9,
    max_serving_share=0.92,
    load=0.42,
    short_per_s=3.8,
    short_width=10,
    short_cores=2.6,
    short_s=1.4,
    best_effort_per_s=1.1,
    best_effort_width=18,
    best_effort_cores=7.0,
    best_effort_s=4.0,
    best_effort_mb=20_000,
    best_effort_spread=0.12,
    best_effort_step_spread=0.2,
    n_best_effort_images=18,
    serving_groups=(5, 3, 1),
    best_effort_groups=(3, 6, 3),
    traffic_s=40.0,
    burst=(15.0, 20.0, 2.5),
)
"""The load of docs/design/README.md, part 5."""

SMALL_GROUPED = replace(
    GROUPED,
    n_workers=8,
    n_serving_jobs=6,
    serving_width=6,
    serving_groups=(3, 2, 1),
    n_serving_images=6,
    short_per_s=0.5,
    best_effort_per_s=0.22,
    best_effort_width=12,
    n_best_effort_images=9,
    best_effort_groups=(2, 3, 1),
    traffic_s=20.0,
    burst=(8.0, 11.0, 2.5),
)
"""A fleet of an eighth of that size."""


@dataclass
class QueueOutcome:
    """How the jobs of one queue were served."""

    n_jobs: int = 0
    earned: float = 0.0
    """Share of the jobs' worth: 1 in time, less for late ones."""
    stretches: list[float] = field(default_factory=list)
    """Time of each job over that of its longest chain of work, sorted."""
    first_starts_s: list[float] = field(default_factory=list)

    def stretch(self, quantile: float) -> float:
        """Return a quantile of the stretches."""
        return self.stretches[int(quantile * (len(self.stretches) - 1))]


@dataclass(frozen=True)
class BestEffortTimes:
    """Times of best-effort work in seconds: median and slowest tenth."""

    run_s: tuple[float, float]
    """From the first start of a task to its end, with interruptions."""
    wait_s: tuple[float, float]
    """From the time at which a task could start to its first start."""
    step_s: tuple[float, float]
    """From the time at which a step could start to the end of its last task."""


@dataclass
class _Planned:
    """A generated job, when it is submitted, and its longest chain of work."""

    at_s: float
    job: SubmittedJob
    chain_s: float


class FleetReplay(JobSimulation):
    """A simulated fleet under one load pattern."""

    rules = REPLAY_RULES

    def __init__(self, pattern: LoadPattern, seed: int, n_entries: int = 3) -> None:
        self.pattern = pattern
        self.counts = ColocationCounts()
        self._plan_rng = random.Random(seed)
        self.interference = self._make_interference()
        self.task_scripts: dict[str, TaskScript] = {}
        super().__init__(seed, n_entries, pattern.n_workers)
        self.planned: list[_Planned] = []
        self.recorded_violations = []

    def _make_interference(self) -> Interference:
        pattern, rng = self.pattern, self._plan_rng
        serving_groups = self._groups(pattern.n_serving_images, pattern.serving_groups)
        best_effort_groups = self._groups(
            pattern.n_best_effort_images, pattern.best_effort_groups
        )
        weights = {}
        for serving in range(pattern.n_serving_images):
            for best_effort in range(pattern.n_best_effort_images):
                if pattern.serving_groups:
                    group = serving_groups[serving]
                    is_heavy = group == best_effort_groups[best_effort]
                else:
                    is_heavy = rng.random() < pattern.heavy_share
                weight = rng.uniform(*(pattern.heavy if is_heavy else HARMLESS))
                weights[(f"serving{serving}", f"best-effort{best_effort}")] = weight
        return Interference(weights, pattern.calm_ms)

    def _groups(self, n_images: int, sizes: tuple[int, ...]) -> list[int]:
        """Return the group of each image; -1 for those beyond the sizes."""
        groups = [group for group, size in enumerate(sizes) for _ in range(size)]
        groups += [-1] * (n_images - len(groups))
        if sizes:
            self._plan_rng.shuffle(groups)
        return groups

    @property
    def _fleet_millicores(self) -> int:
        return sum(machine.worker.capacity.cpu_millicores for machine in self.agents)

    def make_worker(self, name: str) -> MemoryTaskWorker:
        pattern = self.pattern
        number = int(name.removeprefix("agent"))
        cores = pattern.cores * (1.5 if number % 3 == 2 else 1.0)
        return ColocatedTaskWorker(
            WorkerId(f"w-{name}"),
            Shape(int(cores * 1000), int(cores * 4_000)),
            self.script,
            random.Random(self.rng.random()),
            self.interference,
            self.counts,
        )

    def script(self, task: str, attempt: int) -> TaskScript:
        return self.task_scripts[task]

    # Jobs

    def generate(self, serving_s: float, traffic_s: float) -> None:
        """Generate all jobs: serving jobs at one time, then the traffic."""
        pattern, rng = self.pattern, self._plan_rng
        for number in range(pattern.n_serving_jobs):
            self._plan_serving(serving_s, number)
        end_s = traffic_s + pattern.traffic_s
        short_arrivals_s = list(self._arrivals(traffic_s, end_s, pattern.short_per_s))
        for begin, end, factor in pattern.short_bursts:
            rate = pattern.short_per_s * (factor - 1.0)
            short_arrivals_s += self._arrivals(traffic_s + begin, traffic_s + end, rate)
        for at_s in short_arrivals_s:
            n_steps = rng.choice([1, 1, 2, 3])
            steps = [self._width_of(pattern.short_width, 0.6) for _ in range(n_steps)]
            shape = Shape(int(pattern.short_cores * 1000), 500)
            self._plan_chain(at_s, SHORT, steps, shape, pattern.short_s, "")
        begin, end, factor = pattern.burst
        rate = pattern.best_effort_per_s
        for at_s in sorted(
            [
                *self._arrivals(traffic_s, end_s, rate),
                *self._arrivals(
                    traffic_s + begin, traffic_s + end, rate * (factor - 1.0)
                ),
            ]
        ):
            steps = [
                self._width_of(pattern.best_effort_width, 0.5)
                for _ in range(rng.choice([1, 2, 2, 3]))
            ]
            shape = Shape(int(pattern.best_effort_cores * 1000), pattern.best_effort_mb)
            image = f"best-effort{rng.randrange(pattern.n_best_effort_images)}"
            self._plan_chain(
                at_s, BEST_EFFORT, steps, shape, pattern.best_effort_s, image
            )
        self.planned.sort(key=lambda planned: planned.at_s)

    def _arrivals(self, begin_s: float, end_s: float, per_s: float) -> Iterator[float]:
        at_s = begin_s
        while per_s > 0:
            at_s += self._plan_rng.expovariate(per_s)
            if at_s >= end_s:
                return
            yield at_s

    def _width_of(self, mean: int, spread: float) -> int:
        drawn = self._plan_rng.lognormvariate(math.log(mean), spread)
        return max(1, min(int(drawn), 3 * mean))

    def _plan_serving(self, at_s: float, number: int) -> None:
        pattern, rng = self.pattern, self._plan_rng
        shape = Shape(
            int(pattern.serving_cores * rng.uniform(700, 1300)),
            int(pattern.serving_cores * 2_000),
        )
        target_ms = pattern.calm_ms * pattern.target_factor
        is_apart = rng.random() < pattern.apart_share
        image = f"serving{number % pattern.n_serving_images}"
        width = self._width_of(pattern.serving_width, 0.3)
        left = pattern.max_serving_share * self._fleet_millicores - sum(
            planned.job.spec.steps[0].n_tasks
            * planned.job.spec.steps[0].shape.cpu_millicores
            for planned in self.planned
        )
        width = max(1, int(min(width, left / shape.cpu_millicores)))
        step = StepSpec(
            min(width, pattern.n_workers),
            shape,
            lasts=True,
            image=image,
            tail_target_ms=int(target_ms),
            max_per_worker=1 if is_apart else 0,
            n_may_be_away=2,
        )
        job = self._add_job(SERVING, (step,))
        phase_s = rng.uniform(0, pattern.period_s)
        mean, swing = pattern.load, pattern.load * pattern.swing

        def load(now_s: float) -> float:
            angle = 2 * math.pi * (now_s + phase_s) / pattern.period_s
            return mean + swing * math.sin(angle)

        for position in range(step.n_tasks):
            self.task_scripts[f"{job.job_id}.0.0.{position}"] = TaskScript(
                shape,
                1e6,
                image=image,
                load=load,
                tail_target_ms=target_ms,
            )
        self.planned.append(_Planned(at_s, job, 0.0))

    def _plan_chain(
        self,
        at_s: float,
        queue: QueueName,
        widths: list[int],
        shape: Shape,
        work_s: float,
        image: str,
    ) -> None:
        """Plan a job whose steps run one after another."""
        is_best_effort = bool(image)
        specs, chain_s = [], 0.0
        scripts: list[list[TaskScript]] = []
        for number, width in enumerate(widths):
            durations, declared_s = self._durations(work_s, width, is_best_effort)
            chain_s += max(durations)
            specs.append(
                StepSpec(
                    width,
                    shape,
                    int(declared_s * 1000),
                    after=(number - 1,) if number else (),
                    image=image,
                    fills=is_best_effort,
                    saves_progress=is_best_effort,
                )
            )
            scripts.append(
                [
                    TaskScript(
                        shape,
                        duration_s,
                        EndReason.DONE,
                        image,
                        is_best_effort,
                        saves_progress=is_best_effort,
                    )
                    for duration_s in durations
                ]
            )
        job = self._add_job(queue, tuple(specs))
        for number, step_scripts in enumerate(scripts):
            for position, script in enumerate(step_scripts):
                self.task_scripts[f"{job.job_id}.0.{number}.{position}"] = script
        self.planned.append(_Planned(at_s, job, chain_s))

    def _durations(
        self, work_s: float, width: int, is_best_effort: bool
    ) -> tuple[list[float], float]:
        """Return the run times of a step's tasks, and the declared one."""
        pattern, rng = self.pattern, self._plan_rng
        if pattern.declared_error:
            mean_s = work_s * rng.uniform(0.6, 1.4)
            durations = [mean_s * rng.uniform(0.8, 1.25) for _ in range(width)]
            return durations, mean_s * pattern.declared_error ** rng.uniform(-1.0, 1.0)
        spread = pattern.best_effort_spread if is_best_effort else 0.4
        mean_s = work_s
        if is_best_effort and pattern.best_effort_step_spread:
            mean_s *= rng.lognormvariate(0.0, pattern.best_effort_step_spread)
        durations = [rng.lognormvariate(-0.1, spread) * mean_s for _ in range(width)]
        return durations, work_s * rng.uniform(0.8, 1.2)

    def _add_job(self, queue: QueueName, steps: tuple[StepSpec, ...]) -> SubmittedJob:
        job_id = JobId(f"{self._plan_rng.getrandbits(64):016x}")
        job = SubmittedJob(job_id, JobSpec(queue, "payload", steps))
        self.jobs[job_id] = job
        return job

    # Running

    def play(self, serving_s: float = 5.0, traffic_s: float = 10.0) -> None:
        """Submit the jobs at their times, and run until the traffic has ended."""
        begin_s = self.loop.now_s
        self.generate(begin_s + serving_s, begin_s + traffic_s)
        for planned in self.planned:
            self.schedule(planned.at_s - begin_s, self._submit_planned, planned)
        self.run(traffic_s + self.pattern.traffic_s)

    def _submit_planned(self, planned: _Planned) -> None:
        job = planned.job
        spec = job.spec
        now_ms = int((EPOCH_S + self.loop.now_s) * 1000)
        rules = self.rules[spec.queue]
        job.spec = replace(spec, accepted_ms=now_ms, accepted_rules=rules)
        self.submit(job, self.rng.choice(self.entries))

    def finish(self, limit_s: float = 30.0) -> None:
        """Run until every job other than the serving ones has ended."""
        for _ in range(int(limit_s)):
            if all(
                self._ended_s(planned) is not None
                for planned in self.planned
                if planned.job.spec.queue != SERVING
            ):
                return
            self.run(1.0)

    # Outcome

    def _ended_s(self, planned: _Planned) -> float | None:
        """Return when the last task of a job was done; None if one is not."""
        last_s = 0.0
        for number, step in enumerate(planned.job.spec.steps):
            for position in range(step.n_tasks):
                ended_s = self._done_s.get(
                    f"{planned.job.job_id}.0.{number}.{position}"
                )
                if ended_s is None:
                    return None
                last_s = max(last_s, ended_s)
        return last_s

    @property
    def _done_s(self) -> dict[str, float]:
        key = self.loop.now_s
        if self._done_cache[0] != key:
            done = {
                run.task: run.ended_s
                for machine in self.agents
                for run in machine.worker.runs
                if run.how is EndReason.DONE and run.ended_s is not None
            }
            self._done_cache = (key, done)
        return self._done_cache[1]

    _done_cache: tuple[float, dict[str, float]] = (-1.0, {})

    def outcome(self, queue: QueueName) -> QueueOutcome:
        """Return how the jobs of a queue were served."""
        result = QueueOutcome()
        rules = self.rules[queue]
        first = self._first_starts_s()
        for planned in self.planned:
            if planned.job.spec.queue != queue:
                continue
            result.n_jobs += 1
            started_s = first.get(planned.job.job_id)
            if started_s is not None:
                result.first_starts_s.append(started_s - planned.at_s)
            ended_s = self._ended_s(planned)
            if ended_s is None or queue == SERVING:
                continue
            took_s = ended_s - planned.at_s
            limit_s = rules.stretch * planned.chain_s + rules.target_ms / 1000
            result.stretches.append(took_s / planned.chain_s)
            if took_s <= limit_s:
                result.earned += 1.0
            elif took_s <= LATE_FACTOR * limit_s:
                result.earned += LATE_SHARE
        result.earned /= max(result.n_jobs, 1)
        result.stretches.sort()
        result.first_starts_s.sort()
        return result

    def best_effort_times(self) -> BestEffortTimes:
        """Return how long the best-effort tasks waited and ran."""
        first_s: dict[str, float] = {}
        for run in self.runs():
            first_s.setdefault(run.task, run.begun_s)
        done_s = self._done_s
        runs_s, waits_s, steps_s = [], [], []
        for planned in self.planned:
            if planned.job.spec.queue != BEST_EFFORT:
                continue
            ready_s = planned.at_s
            for number, step in enumerate(planned.job.spec.steps):
                names = [
                    f"{planned.job.job_id}.0.{number}.{position}"
                    for position in range(step.n_tasks)
                ]
                waits_s += [
                    first_s[name] - ready_s for name in names if name in first_s
                ]
                runs_s += [
                    done_s[name] - first_s[name] for name in names if name in done_s
                ]
                if not all(name in done_s for name in names):
                    break
                ended_s = max(done_s[name] for name in names)
                steps_s.append(ended_s - ready_s)
                ready_s = ended_s
        return BestEffortTimes(
            _median_and_tenth(runs_s),
            _median_and_tenth(waits_s),
            _median_and_tenth(steps_s),
        )

    def serving_share(self) -> float:
        """Return the share of the wanted task-seconds of serving jobs that were served.

        They count from the submission, and not while a task is over its target because
        of best-effort tasks.
        """
        wanted_s = sum(
            planned.job.spec.steps[0].n_tasks * (self.loop.now_s - planned.at_s)
            for planned in self.planned
            if planned.job.spec.queue == SERVING
        )
        return (self.counts.served_s - self.counts.interfered_s) / max(wanted_s, 1e-9)

    def _first_starts_s(self) -> dict[JobId, float]:
        first: dict[JobId, float] = {}
        for run in self.runs():
            parsed = parse_task_name(run.task)
            assert parsed is not None
            first.setdefault(parsed[0], run.begun_s)
        return first

    def serving_images(self) -> list[int]:
        """Return the number of distinct serving images on each worker."""
        counts = []
        for machine in self.agents:
            images = {
                self.task_scripts[run.task].image
                for run in machine.worker.runs
                if run.ended_s is None and self.task_scripts[run.task].load is not None
            }
            counts.append(len(images))
        return counts

    @property
    def states(self) -> dict[JobId, JobState | None]:
        """The latest state that each job's caller was told."""
        return {job_id: self.state_of(job) for job_id, job in self.jobs.items()}


def _median_and_tenth(times_s: list[float]) -> tuple[float, float]:
    """Return the median and the 0.9 quantile."""
    if not times_s:
        return math.nan, math.nan
    times_s = sorted(times_s)
    return times_s[len(times_s) // 2], times_s[int(0.9 * (len(times_s) - 1))]
