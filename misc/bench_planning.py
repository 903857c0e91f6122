"""Times one planning round of the owner at several sizes of the fleet.

Usage: ``bench_planning.py [--workers N ...] [--tasks N]``. A third of the tasks are
lasting, counted and best-effort each, in steps of 40; the same rounds are then repeated
with the tasks that still wait. Prints one line for each size: seconds and tasks placed.
"""

import argparse
import random
import time
from typing import Any, Final

from almondspan_decisions.ids import JobId, PlaceName, ServiceName, WorkerId
from almondspan_decisions.job_graph import JobSpec, QueueName, QueueRules, StepSpec
from almondspan_decisions.job_progress import WorkerIncarnation
from almondspan_decisions.shapes import Shape
from almondspan_jobs.messages import WorkerListing, WorkerReport
from almondspan_jobs.metrics import Metrics
from almondspan_jobs.options import JobOptions
from almondspan_jobs.scheduler import Scheduler

QUEUE: Final = QueueName("q")
SERVICE: Final = ServiceName("pool")
STEP_WIDTH: Final = 40
N_IMAGES: Final = 16
STARTED_MS: Final = 1
N_REPEATED_ROUNDS: Final = 5


class _Silent:
    """An `EventLog` that drops every line."""

    def line(self, event: str, **fields: Any) -> None:
        """Drop an event."""


def make_scheduler(n_workers: int) -> Scheduler:
    """Return a scheduler with reported workers of 32 cores."""
    scheduler = Scheduler(
        JobOptions(),
        _Silent(),
        Metrics(),
        lambda worker_id, body: True,
        time.monotonic,
    )
    scheduler.rules = {QUEUE: QueueRules(SERVICE, 0, 3, 2.0, 500)}
    for number in range(n_workers):
        worker_id = WorkerId(f"w{number}")
        report = WorkerReport(
            worker_id,
            STARTED_MS,
            SERVICE,
            PlaceName("here"),
            32_000,
            128_000,
            0,
            [f"r{number // 16}"],
            False,
            0,
        )
        scheduler.on_report(f"agent{number}", report)
        incarnation = WorkerIncarnation(worker_id, STARTED_MS)
        scheduler.on_listing(incarnation, WorkerListing(STARTED_MS, 1, [], []))
    return scheduler


def add_jobs(scheduler: Scheduler, n_tasks: int, rng: random.Random) -> None:
    """Add jobs of one step each until there are `n_tasks` tasks."""
    for number in range(n_tasks // STEP_WIDTH):
        image = f"image{rng.randrange(N_IMAGES)}"
        step = (
            StepSpec(STEP_WIDTH, Shape(3_000, 3_000), 1_000),
            StepSpec(
                STEP_WIDTH,
                Shape(3_000, 3_000),
                lasts=True,
                image=image,
                tail_target_ms=9,
            ),
            StepSpec(STEP_WIDTH, Shape(3_000, 500), 1_000, image=image, fills=True),
        )[number % 3]
        spec = JobSpec(QUEUE, "payload", (step,), accepted_ms=number)
        scheduler.add_job(JobId(f"{number:016x}"), spec)


def timed_round(scheduler: Scheduler) -> float:
    """Return the seconds that one planning round takes."""
    began_s = time.perf_counter()
    scheduler.plan()
    return time.perf_counter() - began_s


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workers", type=int, nargs="+", default=[100, 300, 900])
    parser.add_argument("--tasks", type=int, default=10_000)
    options = parser.parse_args()
    for n_workers in options.workers:
        scheduler = make_scheduler(n_workers)
        add_jobs(scheduler, options.tasks, random.Random(1))
        first_s = timed_round(scheduler)
        n_placed = sum(job.n_placed for job in scheduler.jobs.values())
        repeated_s = [timed_round(scheduler) for _ in range(N_REPEATED_ROUNDS)]
        print(
            f"{n_workers} workers, {options.tasks} tasks: first round {first_s:.3f} s,"
            f" {n_placed} placed; repeated {min(repeated_s):.4f} s"
        )


if __name__ == "__main__":
    main()
