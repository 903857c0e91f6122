"""Specification of jobs that consist of stages.

A job runs its stages one after the other. Each stage is one task; a task runs as a
sequence of attempts, of which at most one runs at any time.
"""

from dataclasses import dataclass

from almondspan_decisions.ids import (
    JobId,
    OrderName,
    ShardId,
    TaskClass,
    TaskId,
    TeamName,
)
from almondspan_decisions.shapes import Shape

__all__ = ["JobSpec", "StageSpec", "job_of_task", "shard_of_job", "task_id"]


@dataclass(frozen=True, slots=True)
class StageSpec:
    """One stage of a job.

    ``idempotent`` stages may be restarted after an unknown outcome; other stages are
    started at most once. ``checkpointable`` stages resume from the worker's checkpoint
    after an eviction.
    """

    task_class: TaskClass
    shape: Shape
    declared_run_s: float
    payload: bytes = b""
    idempotent: bool = True
    checkpointable: bool = True


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A submitted job; ``job_id`` makes the submission idempotent.

    ``deadline_unix_s`` is 0 if there is no deadline. ``order_name`` and ``record_name``
    are empty for jobs outside hand-back orders.
    """

    job_id: JobId
    team: TeamName
    stages: tuple[StageSpec, ...]
    urgent: bool = False
    deadline_unix_s: float = 0.0
    max_attempts: int = 4
    order_name: OrderName = OrderName("")
    record_name: str = ""


def task_id(job_id: JobId, stage_index: int) -> TaskId:
    """Return the id of a job's stage."""
    return TaskId(f"{job_id}/{stage_index}")


def job_of_task(task: TaskId) -> JobId:
    """Return the job that a task belongs to."""
    return JobId(task.rpartition("/")[0])


def shard_of_job(job_id: JobId, n_shards: int) -> ShardId:
    """Return the shard of a job, the same in every process (FNV-1a, 64 bits)."""
    digest = 0xCBF29CE484222325
    for byte in job_id.encode():
        digest = ((digest ^ byte) * 0x100000001B3) & 0xFFFFFFFFFFFFFFFF
    return ShardId((digest ^ (digest >> 32)) % n_shards)
