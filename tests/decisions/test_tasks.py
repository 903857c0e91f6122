"""Task ids, shapes, and the assignment of jobs to shards."""

import pytest

from almondspan_decisions.ids import JobId
from almondspan_decisions.shapes import Shape
from almondspan_decisions.tasks import job_of_task, shard_of_job, task_id

CAPACITY = Shape(16_000, 60_000, 2)


@pytest.mark.parametrize(
    ("need", "fits"),
    [
        pytest.param(Shape(16_000, 60_000, 2), True, id="exactly"),
        pytest.param(Shape(16_001, 1, 0), False, id="processors"),
        pytest.param(Shape(1, 60_001, 0), False, id="memory"),
        pytest.param(Shape(1, 1, 3), False, id="accelerators"),
    ],
)
def test_fits_in(need: Shape, fits: bool) -> None:
    assert need.fits_in(CAPACITY) is fits


@pytest.mark.parametrize(
    ("used", "share"),
    [
        pytest.param(Shape(8_000, 6_000, 0), 0.5, id="processors"),
        pytest.param(Shape(0, 30_000, 2), 1.0, id="accelerators"),
        pytest.param(Shape(), 0.0, id="nothing"),
    ],
)
def test_dominant_share(used: Shape, share: float) -> None:
    assert used.dominant_share(CAPACITY) == share


def test_task_id_names_its_job() -> None:
    job = JobId("order/batch-7")
    assert job_of_task(task_id(job, 3)) == job


def test_shards_are_even_and_stable() -> None:
    counts = [0] * 64
    for n in range(6_400):
        counts[shard_of_job(JobId(f"job-{n}"), 64)] += 1
    assert min(counts) > 50
    assert max(counts) < 160
    assert shard_of_job(JobId("job-0"), 64) == shard_of_job(JobId("job-0"), 64)
