"""The order in which jobs with waiting tasks get free capacity.

The priority of the queue comes first. Within a priority:

1. Jobs that last, and jobs of queues without an objective, keep the place that they
   have by age among all jobs. The other jobs share the remaining places.
2. Of these, jobs that can still meet their objective come first, then those that are
   late, then those that are beyond `LATE_FACTOR` times their objective.
3. In time and late, the job that takes the least room comes first: it is worth as much
   as another one that takes more. The room counts less as the job's slack runs out, so
   that a wide job gets its turn while it can still be in time. A part of the room that
   a job has taken already counts too, in case that it needs more than it declared.
4. Beyond, the oldest comes first. Jobs beyond that have waited for
   `HOPELESS_WAIT_FACTOR` times their objective are hopeless. They are owed
   `HOPELESS_SHARE` of the room that is given to the jobs of their priority: while some
   is owed, they come first, the oldest before the others. This bounds their wait:
   before a hopeless job starts, jobs in time and late get at most
   1 / `HOPELESS_SHARE` times the room of the hopeless jobs that are older.

A job that can be in time by the expected times of its tasks alone may still have to
wait for capacity; it then becomes late, and jobs that arrive later go before it.
"""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from operator import attrgetter
from typing import Final

from almondspan_decisions.ids import JobId
from almondspan_decisions.job_demand import LATE_FACTOR, JobDemand
from almondspan_decisions.shapes import Shape

__all__ = ["JobOrder", "TimeClass", "WaitingJob", "time_class", "waiting_job"]

CHAIN_MARGIN: Final = 0.9
"""Share of the expected chain that must fit for a job to count as in time."""

MIN_SLACK_SHARE: Final = 0.25
"""Lowest weight of the room of a job that has hardly any slack."""

ATTAINED_SHARE: Final = 0.1

HOPELESS_WAIT_FACTOR: Final = 10.0

HOPELESS_SHARE: Final = 0.1

MAX_CREDIT_S: Final = 2.0
"""Most room that hopeless jobs may be owed: seconds of the fleet."""

MAX_DEBT_S: Final = 30.0
"""Most room that hopeless jobs may have been given in advance."""


class TimeClass(Enum):
    """Whether a job can still meet its objective."""

    IN_TIME = 0
    LATE = 1
    BEYOND = 2
    """It can't end within `LATE_FACTOR` times its objective."""


@dataclass(frozen=True, slots=True)
class WaitingJob:
    """A job with waiting tasks."""

    job_id: JobId
    priority: int
    accepted_ms: int
    """By the clocks of the entries; the order by age."""
    since_s: float
    """When it was accepted, by the clock that also gives the time of the order."""
    demand: JobDemand | None
    """None if the job lasts or has no objective."""
    room_s: float = 0.0
    """For how long the room that it needs would fill the fleet."""
    attained_s: float = 0.0
    """For how long the room that it has taken would have filled the fleet."""


def waiting_job(
    job_id: JobId,
    priority: int,
    accepted_ms: int,
    since_s: float,
    demand: JobDemand | None,
    capacity: Shape,
) -> WaitingJob:
    """Return a waiting job in a fleet of a capacity."""
    if demand is None:
        return WaitingJob(job_id, priority, accepted_ms, since_s, None)
    return WaitingJob(
        job_id,
        priority,
        accepted_ms,
        since_s,
        demand,
        demand.room.seconds_of(capacity),
        demand.attained.seconds_of(capacity),
    )


def time_class(demand: JobDemand, age_s: float) -> TimeClass:
    """Return whether a job of an age can still meet its objective."""
    ends_s = age_s + CHAIN_MARGIN * demand.chain_s
    if ends_s <= demand.objective_s:
        return TimeClass.IN_TIME
    if ends_s <= LATE_FACTOR * demand.objective_s:
        return TimeClass.LATE
    return TimeClass.BEYOND


def is_hopeless(job: WaitingJob, now_s: float) -> bool:
    """Return whether a job is owed room although it can't be in time any more."""
    demand = job.demand
    if demand is None:
        return False
    age_s = now_s - job.since_s
    is_old = age_s > HOPELESS_WAIT_FACTOR * demand.objective_s
    return is_old and time_class(demand, age_s) is TimeClass.BEYOND


def urgency(job: WaitingJob, now_s: float) -> tuple[int, float, float]:
    """Return the sort key of a job with an objective among those of its priority."""
    demand = job.demand
    assert demand is not None
    age_s = now_s - job.since_s
    kind = time_class(demand, age_s)
    if kind is TimeClass.BEYOND:
        return kind.value, job.since_s, 0.0
    limit_s = demand.objective_s
    if kind is TimeClass.LATE:
        limit_s *= LATE_FACTOR
    slack_s = limit_s - age_s - demand.chain_s
    weight = max(MIN_SLACK_SHARE, min(slack_s / limit_s, 1.0))
    room_s = job.room_s + ATTAINED_SHARE * job.attained_s
    return kind.value, weight * room_s, job.since_s


class JobOrder:
    """Sorts waiting jobs, and counts what hopeless jobs are owed."""

    def __init__(self) -> None:
        self._credits_s: Final[dict[int, float]] = {}
        """Room that hopeless jobs are owed, by priority: seconds of the fleet."""

    def sorted(self, jobs: Iterable[WaitingJob], now_s: float) -> list[WaitingJob]:
        """Return the jobs in the order in which they get free capacity."""
        by_age = sorted(jobs, key=attrgetter("priority", "accepted_ms"))
        result: list[WaitingJob] = []
        first = 0
        for index in range(1, len(by_age) + 1):
            is_end = index == len(by_age)
            if is_end or by_age[index].priority != by_age[first].priority:
                result += self._sorted_alike(by_age[first:index], now_s)
                first = index
        return result

    def _sorted_alike(
        self, by_age: Sequence[WaitingJob], now_s: float
    ) -> Iterable[WaitingJob]:
        """Return the jobs of one priority in order, which are sorted by age."""
        timed = [job for job in by_age if job.demand is not None]
        if not timed:
            return by_age
        timed.sort(key=lambda job: (*urgency(job, now_s), job.job_id))
        if self._credits_s.get(by_age[0].priority, 0.0) > 0.0:
            timed = _hopeless_first(timed, now_s)
        if len(timed) == len(by_age):
            return timed
        next_timed = iter(timed)
        return [job if job.demand is None else next(next_timed) for job in by_age]

    def on_placed(self, job: WaitingJob, room_s: float, now_s: float) -> None:
        """Record that tasks of a job have been given room: seconds of the fleet."""
        if job.demand is None or not math.isfinite(room_s):
            return
        owed_s = HOPELESS_SHARE * room_s
        if is_hopeless(job, now_s):
            owed_s -= room_s
        credit_s = self._credits_s.get(job.priority, 0.0) + owed_s
        self._credits_s[job.priority] = max(-MAX_DEBT_S, min(credit_s, MAX_CREDIT_S))


def _hopeless_first(jobs: list[WaitingJob], now_s: float) -> list[WaitingJob]:
    """Return sorted jobs with the hopeless ones, which are sorted by age, in front."""
    hopeless = [job for job in jobs if is_hopeless(job, now_s)]
    if not hopeless:
        return jobs
    return hopeless + [job for job in jobs if not is_hopeless(job, now_s)]
