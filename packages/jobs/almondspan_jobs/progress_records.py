"""The progress of a job in the store: a head, and parts that each fit into a value.

The head holds the job's own state. Of a job that isn't large it also holds the state of
all tasks. The tasks of a large job are stored in parts of `PART_TASKS` consecutive
tasks each; a long checkpoint is a part by itself, of any job. A part that isn't stored
says that none of its tasks has been started, so a job grows by the parts that it needs
and each change writes only the parts that it concerns.

==========================  ==================================================
key                         value
==========================  ==================================================
``as/run/<job>``            the head, and all tasks if the job isn't large
``as/run/<job>/t<number>``  tasks from the index ``number * PART_TASKS`` on
``as/run/<job>/c<number>``  the checkpoint of the task with that index
==========================  ==================================================

Decoding a malformed head or tasks returns `Unreadable`. What can't be decoded of a
checkpoint is left out.
"""

from collections import Counter
from collections.abc import Iterator, Mapping
from enum import Enum
from itertools import chain, groupby
from typing import Final, NamedTuple

import msgspec

from almondspan_decisions.decoding import DECODE_ERRORS, decode_reason
from almondspan_decisions.ids import JobId, WorkerId
from almondspan_decisions.job_graph import JobSpec, TaskKey
from almondspan_decisions.job_progress import (
    JobProgress,
    JobState,
    StepState,
    TaskPhase,
    TaskState,
    WorkerIncarnation,
)
from almondspan_jobs.records import (
    PROGRESS_PREFIX,
    Unreadable,
    cancel_key,
    job_key,
)
from almondspan_wire.fields import Count

__all__ = [
    "HEAD",
    "Part",
    "PartKind",
    "decode_progress",
    "decode_state",
    "encode_end",
    "encode_part",
    "encode_progress",
    "keys_of_job",
    "long_checkpoints",
    "parse_part_key",
    "part_key",
    "parts_of_task",
]

PART_TASKS: Final = 128
"""Number of tasks in one part."""

MAX_INLINE_CHECKPOINT_BYTES: Final = 256
"""A longer checkpoint is a part by itself."""

MAX_CHAR_BYTES: Final = 4
"""The longest character, encoded."""

MAX_NUMBER_DIGITS: Final = 9
"""Limit of the digits of a part's number."""

N_ROW_FIELDS: Final = 3
"""Number of fields that the row of every task has."""

_PHASE_CODES: Final = {
    TaskPhase.WAITING: 0,
    TaskPhase.PLACED: 1,
    TaskPhase.DONE: 2,
}
_PHASES_BY_CODE: Final = {code: phase for phase, code in _PHASE_CODES.items()}


class PartKind(Enum):
    """What a part holds; the value begins the last word of its key."""

    HEAD = ""
    TASKS = "t"
    CHECKPOINT = "c"


class Part(NamedTuple):
    """Identifies a part of a job's progress."""

    kind: PartKind
    number: int


HEAD: Final = Part(PartKind.HEAD, 0)


class _TaskRow(msgspec.Struct, frozen=True, array_like=True):
    phase: int
    n_attempts: Count
    n_failed: Count
    worker_id: str = ""
    started_ms: Count = 0
    checkpoint: str = ""
    n_crashes: Count = 0
    n_unproven_crashes: Count = 0
    crashed_attempt: Count = 0


class _Head(msgspec.Struct, frozen=True, array_like=True):
    occurrences: dict[int, list[list[_TaskRow]]]
    """Empty for a large job, unless an earlier release has stored it."""
    is_cancelled: bool
    is_failed: bool
    has_started: bool
    finished_ms: Count
    n_opened: Count = 0
    """Number of occurrences that have been added, for a large job."""
    n_done: Count = 0
    """Number of occurrences that are done, for a large job."""


_ENCODER: Final = msgspec.msgpack.Encoder()
_HEAD_DECODER: Final = msgspec.msgpack.Decoder(_Head)
_TASKS_DECODER: Final = msgspec.msgpack.Decoder(list[_TaskRow | int])
"""Rows of tasks, and numbers for consecutive tasks that need no row: as many tasks that
have never been started, or if the number is negative, that are done."""


# Keys


def part_key(job_id: JobId, part: Part) -> str:
    """Return the key of a part of a job's progress."""
    if part == HEAD:
        return f"{PROGRESS_PREFIX}{job_id}"
    return f"{PROGRESS_PREFIX}{job_id}/{part.kind.value}{part.number}"


def keys_of_job(job_id: JobId) -> tuple[str, ...]:
    """Return every key that a job may have, but for the parts besides the head."""
    return job_key(job_id), cancel_key(job_id), part_key(job_id, HEAD)


def parse_part_key(key: str) -> tuple[JobId, Part] | None:
    """Return the job and the part that a key belongs to; None for another key."""
    job_id, slash, word = key.removeprefix(PROGRESS_PREFIX).partition("/")
    if not slash:
        return JobId(job_id), HEAD
    kind, number = word[:1], word[1:]
    is_number = number.isdecimal() and len(number) <= MAX_NUMBER_DIGITS
    if kind not in (PartKind.TASKS.value, PartKind.CHECKPOINT.value) or not is_number:
        return None
    return JobId(job_id), Part(PartKind(kind), int(number))


def parts_of_task(job: JobProgress, key: TaskKey) -> tuple[Part, ...]:
    """Return the parts that hold the state of a task."""
    parts = [HEAD]
    if job.spec.is_large:
        parts.append(Part(PartKind.TASKS, job.index_of(key) // PART_TASKS))
    task = job.task(key)
    if task is not None and _is_long(task.checkpoint):
        parts.append(Part(PartKind.CHECKPOINT, job.index_of(key)))
    return tuple(parts)


def long_checkpoints(job: JobProgress, part: Part) -> Iterator[Part]:
    """Yield the checkpoints that are left out of the rows of a part."""
    for index, task in _tasks_of(job, part):
        if task is not None and _is_long(task.checkpoint):
            yield Part(PartKind.CHECKPOINT, index)


def _tasks_of(job: JobProgress, part: Part) -> Iterator[tuple[int, TaskState | None]]:
    """Yield the tasks of a part with their indexes; None for one that is dropped."""
    if part.kind is PartKind.TASKS:
        first = part.number * PART_TASKS
        for index in range(first, min(first + PART_TASKS, job.n_opened_tasks)):
            yield index, job.task(job.key_at(index))
    elif part == HEAD and not job.spec.is_large:
        steps = chain.from_iterable(job.occurrences.values())
        yield from enumerate(chain.from_iterable(step.tasks for step in steps))


def _is_long(checkpoint: str) -> bool:
    if len(checkpoint) * MAX_CHAR_BYTES <= MAX_INLINE_CHECKPOINT_BYTES:
        return False
    return len(checkpoint.encode()) > MAX_INLINE_CHECKPOINT_BYTES


# Encoding


def encode_part(job: JobProgress, part: Part) -> bytes:
    """Encode a part of a job's progress."""
    if part.kind is PartKind.CHECKPOINT:
        task = job.task(job.key_at(part.number))
        return task.checkpoint.encode() if task is not None else b""
    if part.kind is PartKind.TASKS:
        return _encode_tasks(job, part)
    return encode_end(job) if job.spec.is_large else encode_progress(job)


def encode_progress(job: JobProgress) -> bytes:
    """Encode the head of a job that isn't large."""
    occurrences = {
        occurrence: [[_encode_task(task) for task in step.tasks] for step in steps]
        for occurrence, steps in job.occurrences.items()
    }
    return _ENCODER.encode(_head(job, occurrences))


def encode_end(job: JobProgress) -> bytes:
    """Encode the head of a job without the states of its tasks."""
    return _ENCODER.encode(_head(job, {}))


def _head(job: JobProgress, occurrences: dict[int, list[list[_TaskRow]]]) -> _Head:
    return _Head(
        occurrences,
        job.is_cancelled,
        job.is_failed,
        job.has_started,
        job.finished_ms,
        job.n_opened,
        job.n_dropped,
    )


def _encode_tasks(job: JobProgress, part: Part) -> bytes:
    """Encode a part with tasks of a large job."""
    tasks = (task for _, task in _tasks_of(job, part))
    items: list[_TaskRow | int | list[int | str]] = []
    for sign, group in groupby(tasks, _sign):
        if sign:
            items.append(sign * sum(1 for _ in group))
        else:
            items += [_trim(_encode_task(task)) for task in group if task is not None]
    return _ENCODER.encode(items)


def _sign(task: TaskState | None) -> int:
    """Return -1 for a task that is done, 1 if it was never started, 0 for others."""
    if task is None or task.phase is TaskPhase.DONE:
        return -1
    return int(task.n_attempts == 0)


def _trim(row: _TaskRow) -> list[int | str]:
    """Return the fields of a row without the empty ones at its end."""
    fields = list(msgspec.structs.astuple(row))
    while len(fields) > N_ROW_FIELDS and not fields[-1]:
        fields.pop()
    return fields


def _encode_task(task: TaskState) -> _TaskRow:
    incarnation = task.incarnation
    return _TaskRow(
        _PHASE_CODES[task.phase],
        task.n_attempts,
        task.n_failed,
        incarnation.worker_id if incarnation is not None else "",
        incarnation.started_ms if incarnation is not None else 0,
        "" if _is_long(task.checkpoint) else task.checkpoint,
        task.n_crashes,
        task.n_unproven_crashes,
        task.crashed_attempt,
    )


# Decoding


def decode_progress(
    job_id: JobId, spec: JobSpec, data: bytes, parts: Mapping[Part, bytes] | None = None
) -> JobProgress | Unreadable:
    """Decode a job's progress; its counts are recomputed from the tasks.

    Parameters
    ----------
    data : bytes
        The head.
    parts : mapping of Part to bytes, optional
        The other parts, as far as they are stored.
    """
    try:
        head = _HEAD_DECODER.decode(data)
        if not _fits_job(head, spec):
            return Unreadable("the occurrences, steps or tasks are not the job's")
        job = JobProgress(job_id, spec)
        _load_occurrences(job, head)
        if spec.is_large:
            _load_parts(job, head, parts or {})
    except (*DECODE_ERRORS, KeyError) as error:
        return Unreadable(decode_reason(error))
    _load_checkpoints(job, parts or {})
    _load_flags(job, head)
    return job


def _load_flags(job: JobProgress, head: _Head) -> None:
    job.is_cancelled = head.is_cancelled
    job.is_failed = head.is_failed
    job.has_started = head.has_started
    job.finished_ms = head.finished_ms
    job.recount()


def decode_state(job_id: JobId, spec: JobSpec, data: bytes) -> JobState | Unreadable:
    """Return the state of a job that its head tells."""
    job = JobProgress(job_id, spec)
    try:
        head = _HEAD_DECODER.decode(data)
        if not _fits_job(head, spec):
            return Unreadable("the occurrences, steps or tasks are not the job's")
        _load_occurrences(job, head)
    except (*DECODE_ERRORS, KeyError) as error:
        return Unreadable(decode_reason(error))
    if not head.occurrences:
        job.skip_occurrences(head.n_done)
    _load_flags(job, head)
    return job.state


def _fits_job(head: _Head, spec: JobSpec) -> bool:
    """Return whether a head has the occurrences, steps and tasks that it must have."""
    if spec.is_large and not head.occurrences:
        return head.n_done <= head.n_opened <= spec.n_total_occurrences
    n_tasks = [step.n_tasks for step in spec.steps]
    n_occurrences = len(head.occurrences)
    return (
        n_occurrences <= spec.n_total_occurrences
        and set(head.occurrences) == set(range(n_occurrences))
        and all(
            [len(rows) for rows in steps] == n_tasks
            for steps in head.occurrences.values()
        )
    )


def _load_occurrences(job: JobProgress, head: _Head) -> None:
    job.n_opened = len(head.occurrences)
    for occurrence, steps in head.occurrences.items():
        job.occurrences[occurrence] = [
            StepState([_decode_task(row) for row in rows]) for rows in steps
        ]


def _load_parts(job: JobProgress, head: _Head, parts: Mapping[Part, bytes]) -> None:
    """Load the tasks of a large job.

    The parts of a completed job are not needed, and may have been removed. A part may
    be later than the head, also than one with all tasks, of an earlier release.
    """
    if head.n_done == job.spec.n_total_occurrences:
        job.skip_occurrences(head.n_done)
        return
    found = [
        run
        for part, data in parts.items()
        if part.kind is PartKind.TASKS
        for run in _decode_runs(part.number * PART_TASKS, data)
    ]
    is_ended = head.is_cancelled or head.is_failed
    last = max((run.indexes.stop for run in found), default=0)
    n_opened = max(head.n_opened, -(-last // job.spec.n_tasks))
    if n_opened > job.spec.n_total_occurrences:
        raise ValueError("a part has more tasks than its job")
    if not head.occurrences:
        _open_occurrences(job, n_opened, found, is_ended)
    for run in found:
        for index in run.indexes:
            key = job.key_at(index)
            step = job.step_state(key)
            if step is not None and run.task is not None:
                step.tasks[key.position] = run.task
    if head.occurrences:
        job.mark_all_changed()


class _TaskRun(NamedTuple):
    """Consecutive tasks of a part."""

    first: int
    """The index of the first one."""
    n_tasks: int
    task: TaskState | None
    """Their state, which tasks that are done share; None for the initial one."""

    @property
    def indexes(self) -> range:
        """The indexes of the tasks."""
        return range(self.first, self.first + self.n_tasks)


def _decode_runs(first: int, data: bytes) -> list[_TaskRun]:
    """Decode a part whose first task has an index.

    Raises
    ------
    ValueError
        When the part has more tasks than it can have.
    """
    runs: list[_TaskRun] = []
    index = first
    for item in _TASKS_DECODER.decode(data):
        if isinstance(item, _TaskRow):
            run = _TaskRun(index, 1, _decode_task(item))
        elif item < 0:
            run = _TaskRun(index, -item, TaskState(TaskPhase.DONE))
        else:
            run = _TaskRun(index, item, None)
        index += run.n_tasks
        if index > first + PART_TASKS:
            raise ValueError("a part has more tasks than it can have")
        runs.append(run)
    return runs


def _open_occurrences(
    job: JobProgress, n_opened: int, runs: list[_TaskRun], is_ended: bool
) -> None:
    """Add the occurrences that are not done; of an ended job those with other tasks."""
    n_unfinished: Counter[int] = Counter()
    n_done: Counter[int] = Counter()
    for run in runs:
        is_done = run.task is not None and run.task.phase is TaskPhase.DONE
        counter = n_done if is_done else n_unfinished
        if run.task is not None:
            for index in run.indexes:
                counter[job.key_at(index).occurrence] += 1
    for occurrence in range(n_opened):
        is_needed = n_done[occurrence] < job.spec.n_tasks
        if is_ended:
            is_needed = n_unfinished[occurrence] > 0
        if is_needed:
            job.open_occurrence()
        else:
            job.skip_occurrences(1)


def _decode_task(row: _TaskRow) -> TaskState:
    phase = _PHASES_BY_CODE[row.phase]
    incarnation = None
    if phase is TaskPhase.PLACED:
        incarnation = WorkerIncarnation(WorkerId(row.worker_id), row.started_ms)
    return TaskState(
        phase,
        row.n_attempts,
        row.n_failed,
        incarnation,
        row.checkpoint,
        row.n_crashes,
        row.n_unproven_crashes,
        row.crashed_attempt,
        is_stored=True,
    )


def _load_checkpoints(job: JobProgress, parts: Mapping[Part, bytes]) -> None:
    """Load the checkpoints that are parts by themselves.

    A short one in the row of its task is later.
    """
    for part, data in parts.items():
        if part.kind is not PartKind.CHECKPOINT or part.number >= job.n_opened_tasks:
            continue
        task = job.task(job.key_at(part.number))
        if task is not None and not task.checkpoint:
            task.checkpoint = data.decode(errors="ignore")
