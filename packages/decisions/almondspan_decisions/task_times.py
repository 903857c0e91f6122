"""Estimates run times of tasks by queue and step, as a correction of declared times.

1. A declared time is wrong by an unknown ratio that the tasks of one step nearly share.
   Logarithms of ratios are taken as normally distributed: `QUEUE_SPREAD` between the
   steps of a queue, `STEP_SPREAD` between the tasks of one step.
2. `LatencySketch` holds the ratios of a queue's ended tasks. Their median and spread
   replace the prior as more steps are observed.
3. Ended tasks of a step, and running ones by their progress, correct the estimate of
   the step. The weight of a running task grows with its progress.
4. For a running task, its own progress is combined with the estimate of its step.

Run times contain the slowdown by other tasks of the worker. `work_s` leaves it out: the
fastest task of a step tells best how long its tasks take alone.
"""

import math
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from almondspan_decisions.ids import JobId
from almondspan_decisions.job_graph import JobSpec, QueueName
from almondspan_decisions.latency_sketch import (
    MAX_VALUE,
    MIN_VALUE,
    LatencySketch,
)

__all__ = ["TaskTimes", "TimeEstimate", "TimedStep", "timed_step"]

MAX_RATIO: Final = 1.9
"""The work of a task is within this factor of its declared time, either way."""

QUEUE_SPREAD: Final = math.log(MAX_RATIO) / math.sqrt(3)
"""Standard deviation of a ratio that may be anywhere within `MAX_RATIO`."""

UNDECLARED_S: Final = 2.0
"""Taken as the declared time of a task without one."""

UNDECLARED_SPREAD: Final = 1.2
"""The same as `QUEUE_SPREAD`, for a task without a declared time."""

STEP_SPREAD: Final = 0.25

MIN_QUEUE_SPREAD: Final = 0.25
"""Queues change: the tasks of a step tell more than their queue, however alike its
steps were so far."""

UPPER_DEVIATIONS: Final = 1.64
"""Standard deviations from the mean to `TimeEstimate.upper_s`: one in 20 is longer."""

N_STEPS_TRUSTED: Final = 4
"""With this many observed steps, learned ratios and the prior have the same weight."""

MAX_RUNS_KEPT: Final = 2_000
"""Above this many runs all counts are halved, so that newer runs weigh more."""

MAX_STEPS_KEPT: Final = 4_096
"""The step that was observed first is dropped beyond this."""

N_RUNS_TO_REFRESH: Final = 16
"""The median and the spread of a queue are computed again after so many runs."""

PERCENT_ERROR: Final = 2.0
"""Error of a progress in percent: its rounding, and the age of the listing."""

SPEED_SPREAD: Final = 0.1
"""Spread of the speed of one task from its start to its end."""

MIN_PERCENT: Final = 5
"""Less progress tells nothing about the run time."""

OVERDUE_SHARE: Final = 0.5
"""A task without progress that has outlived its estimate needs this share again."""

FASTEST_DEVIATIONS: Final = 1.2
"""How far below the mean of a step its fastest task is, in standard deviations."""


@dataclass(frozen=True, slots=True)
class TimeEstimate:
    """An estimate of a time, and a bound that one in 20 exceeds."""

    mean_s: float
    upper_s: float


class TimedStep(NamedTuple):
    """A step of a job with the run time that was declared for each of its tasks."""

    job_id: JobId
    number: int
    declared_s: float
    """0 if none was declared."""


def timed_step(job_id: JobId, spec: JobSpec, number: int) -> TimedStep:
    """Return a step of a job, as `TaskTimes` identifies it."""
    return TimedStep(job_id, number, spec.steps[number].estimate_ms / 1000)


class _Ratio(NamedTuple):
    """The logarithm of a ratio of actual to declared times, normally distributed."""

    mean: float
    variance: float


class _Observation(NamedTuple):
    """The ratio of one task, with its weight: the reciprocal of its variance."""

    weight: float
    log_ratio: float


@dataclass(slots=True)
class _StepTimes:
    """What was observed of the tasks of one step."""

    weight: float = 0.0
    weighted_sum: float = 0.0
    fastest: float = math.inf
    """The lowest logarithm of a ratio."""
    running: dict[int, _Observation] = field(default_factory=dict)
    """By the position of the task in its step."""

    def add(self, seen: _Observation) -> None:
        self.weight += seen.weight
        self.weighted_sum += seen.weight * seen.log_ratio

    def remove(self, seen: _Observation) -> None:
        self.weight -= seen.weight
        self.weighted_sum -= seen.weight * seen.log_ratio


@dataclass(slots=True)
class _QueueTimes:
    """The ratios of the ended tasks of a queue."""

    spread: float
    """Spread between steps before any is observed."""
    sketch: LatencySketch = field(default_factory=LatencySketch)
    n_steps: int = 0
    n_runs_since: int = 0
    """Runs since `prior` was computed."""
    prior: _Ratio | None = None
    fastest: float = 0.0
    """The lower quartile of the logarithms."""

    def add(self, ratio: float) -> None:
        self.sketch.add(ratio)
        if self.sketch.n_values > MAX_RUNS_KEPT:
            self.sketch = self.sketch.scaled(0.5)
        self.n_runs_since += 1
        if self.n_runs_since >= min(N_RUNS_TO_REFRESH, self.sketch.n_values):
            self.prior = None

    def ratio(self) -> _Ratio:
        """Return the ratio of a step that has not been observed."""
        if self.prior is None:
            self.prior = self._compute()
            self.n_runs_since = 0
        return self.prior

    def _compute(self) -> _Ratio:
        before = self.spread**2
        if not self.sketch.n_values:
            return _Ratio(0.0, before)
        low, middle, high = (
            math.log(self.sketch.quantile(share)) for share in (0.16, 0.5, 0.84)
        )
        trust = self.n_steps / (self.n_steps + N_STEPS_TRUSTED)
        self.fastest = trust * math.log(self.sketch.quantile(0.25))
        between = ((high - low) / 2) ** 2 - STEP_SPREAD**2
        variance = trust * max(between, 0.0) + (1.0 - trust) * before
        return _Ratio(trust * middle, max(variance, MIN_QUEUE_SPREAD**2))


class TaskTimes:
    """Learned run times of tasks, by queue and step."""

    def __init__(self) -> None:
        self._queues: Final[dict[tuple[QueueName, bool], _QueueTimes]] = {}
        """By queue, with and without declared times."""
        self._steps: Final[dict[tuple[JobId, int], _StepTimes]] = {}

    def observe(
        self,
        queue: QueueName,
        step: TimedStep,
        run_s: float,
        declared_s: float,
        position: int = -1,
    ) -> None:
        """Record the run time of a task that has ended.

        Parameters
        ----------
        declared_s : float
            The declared time of what has run: less than that of the whole task if it
            was continued from a checkpoint, 0 if none was declared.
        position : int
            The task, if its progress was observed before.
        """
        ratio = _ratio_of(run_s, declared_s or UNDECLARED_S)
        times = self._step_times(queue, step)
        self._drop_progress(times, position)
        times.add(_Observation(1.0 / STEP_SPREAD**2, math.log(ratio)))
        times.fastest = min(times.fastest, math.log(ratio))
        self._queue_times(queue, step).add(ratio)

    def observe_progress(
        self,
        queue: QueueName,
        step: TimedStep,
        position: int,
        ran_s: float,
        percent: float,
    ) -> None:
        """Record the progress in percent that a running task has made in `ran_s`."""
        if percent < MIN_PERCENT or ran_s <= 0.0:
            return
        whole_s = ran_s * 100.0 / percent
        log_ratio = math.log(_ratio_of(whole_s, _declared_s(step)))
        variance = STEP_SPREAD**2 + _progress_variance(percent)
        times = self._step_times(queue, step)
        self._drop_progress(times, position)
        seen = times.running[position] = _Observation(1.0 / variance, log_ratio)
        times.add(seen)
        times.fastest = min(times.fastest, log_ratio + math.sqrt(variance))

    def expected(self, queue: QueueName, step: TimedStep) -> TimeEstimate:
        """Return the expected run time of a task that has not started."""
        ratio = self._ratio(queue, step)
        return _estimate(_declared_s(step), ratio)

    def remaining(
        self,
        queue: QueueName,
        step: TimedStep,
        ran_s: float,
        percent: float,
        from_percent: float = 0.0,
    ) -> TimeEstimate:
        """Return the expected remaining time of a running task.

        Parameters
        ----------
        ran_s : float
            The time in which the progress rose from `from_percent` to `percent`.
        from_percent : float
            Above 0 if the task was continued from a checkpoint, or first listed late.
        """
        ratio = self._ratio(queue, step)
        made = min(percent, 100.0) - from_percent
        if made < MIN_PERCENT or ran_s <= 0.0:
            begin = 1.0 - max(0.0, min(from_percent, 100.0)) / 100.0
            whole = _estimate(begin * _declared_s(step), ratio)
            return _less(whole, max(ran_s, 0.0))
        own_ratio = _ratio_of(100.0 * ran_s / made, _declared_s(step))
        own = _Ratio(math.log(own_ratio), _progress_variance(made))
        left = 1.0 - min(percent, 100.0) / 100.0
        return _estimate(left * _declared_s(step), _combine(ratio, own))

    def work_s(self, queue: QueueName, step: TimedStep) -> float:
        """Return how long a task is expected to take without slowdown by others."""
        times = self._steps.get(step[:2])
        if times is None or math.isinf(times.fastest):
            known = self._queues.get((queue, step.declared_s > 0))
            log_ratio = known.fastest if known is not None else 0.0
        else:
            mean = self._ratio(queue, step).mean
            alone = times.fastest + FASTEST_DEVIATIONS * STEP_SPREAD
            log_ratio = min(mean, alone)
        if step.declared_s > 0:
            bound = math.log(MAX_RATIO)
            log_ratio = max(-bound, min(log_ratio, bound))
        return _declared_s(step) * math.exp(log_ratio)

    def _step_times(self, queue: QueueName, step: TimedStep) -> _StepTimes:
        name = step[:2]
        times = self._steps.get(name)
        if times is None:
            times = self._steps[name] = _StepTimes()
            self._queue_times(queue, step).n_steps += 1
            if len(self._steps) > MAX_STEPS_KEPT:
                del self._steps[next(iter(self._steps))]
        return times

    def _queue_times(self, queue: QueueName, step: TimedStep) -> _QueueTimes:
        is_declared = step.declared_s > 0
        times = self._queues.get((queue, is_declared))
        if times is None:
            spread = QUEUE_SPREAD if is_declared else UNDECLARED_SPREAD
            times = self._queues[(queue, is_declared)] = _QueueTimes(spread)
        return times

    def _drop_progress(self, times: _StepTimes, position: int) -> None:
        seen = times.running.pop(position, None)
        if seen is not None:
            times.remove(seen)

    def _ratio(self, queue: QueueName, step: TimedStep) -> _Ratio:
        """Return the ratio of a further task of a step."""
        prior = self._queue_times(queue, step).ratio()
        times = self._steps.get(step[:2])
        if times is None or times.weight <= 0.0:
            return _Ratio(prior.mean, prior.variance + STEP_SPREAD**2)
        seen = _Ratio(times.weighted_sum / times.weight, 1.0 / times.weight)
        known = _combine(prior, seen)
        return _Ratio(known.mean, known.variance + STEP_SPREAD**2)


def _declared_s(step: TimedStep) -> float:
    return step.declared_s or UNDECLARED_S


def _ratio_of(run_s: float, declared_s: float) -> float:
    """Return the ratio of a run time to a declared one, in the range of the sketch."""
    return max(MIN_VALUE, min(run_s / declared_s, MAX_VALUE))


def _progress_variance(percent: float) -> float:
    return float((PERCENT_ERROR / percent) ** 2 + SPEED_SPREAD**2)


def _combine(one: _Ratio, other: _Ratio) -> _Ratio:
    """Return what two independent observations of a ratio tell together."""
    weight = 1.0 / one.variance + 1.0 / other.variance
    mean = (one.mean / one.variance + other.mean / other.variance) / weight
    return _Ratio(mean, 1.0 / weight)


def _estimate(declared_s: float, ratio: _Ratio) -> TimeEstimate:
    mean_s = declared_s * math.exp(ratio.mean + ratio.variance / 2)
    deviation = math.sqrt(ratio.variance)
    upper_s = declared_s * math.exp(ratio.mean + UPPER_DEVIATIONS * deviation)
    return TimeEstimate(mean_s, max(mean_s, upper_s))


def _less(whole: TimeEstimate, ran_s: float) -> TimeEstimate:
    """Return what is left of a time; a task without progress may have outlived it."""
    mean_s = max(whole.mean_s - ran_s, OVERDUE_SHARE * ran_s)
    return TimeEstimate(mean_s, max(whole.upper_s - ran_s, 2.0 * mean_s))
