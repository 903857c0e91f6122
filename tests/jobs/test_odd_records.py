"""Records that another writer has left in the store are unreadable values."""

from dataclasses import replace
from typing import Any

import msgspec
import pytest

from almondspan_decisions.ids import JobId
from almondspan_decisions.job_graph import JobSpec, QueueName, StepSpec
from almondspan_decisions.job_progress import JobProgress
from almondspan_decisions.shapes import Shape
from almondspan_jobs.progress_records import decode_progress, encode_progress
from almondspan_jobs.records import (
    AgentRecord,
    HeadRecord,
    HomeAgentsRecord,
    InterferenceRecord,
    OwnerRecord,
    Unreadable,
    decode_record,
    decode_spec,
    encode_spec,
)

N_NESTED = 5_000
DEEP = b"\x91" * N_NESTED + b"\x01"
"""An array in an array, and so on."""

JOB = JobId("0123456789abcdef")
SPEC = JobSpec(QueueName("q"), "payload", (StepSpec(2, Shape(100, 100)),))
TOO_LARGE = 2**64 - 1
"""The largest integer of the encoding; one more can't be encoded again."""

RECORDS = [
    OwnerRecord(1, "entry0", "10.0.0.1", 7720),
    AgentRecord("10.0.0.1", 7720),
    HeadRecord(1, "entry0", "n"),
    HomeAgentsRecord({"agent0": [("w-1", 5)]}),
    InterferenceRecord([("live", "heavy", 1.0, 0.5)], {"live": 2.0}),
]


def encode(value: object) -> bytes:
    return msgspec.msgpack.encode(value)


def with_field(data: bytes, name: str, value: bytes) -> bytes:
    """Return an encoded map with one more field."""
    assert 0x80 <= data[0] < 0x8F
    return bytes([data[0] + 1]) + data[1:] + encode(name) + value


def make_progress() -> bytes:
    job = JobProgress(JOB, SPEC)
    job.add_due_occurrences(0)
    return encode_progress(job)


@pytest.mark.parametrize("record", RECORDS, ids=lambda record: type(record).__name__)
def test_record_with_a_deeply_nested_field(record: AgentRecord) -> None:
    kind, data = type(record), encode(record)
    assert decode_record(kind, with_field(data, "more", b"\x01")) == record
    assert isinstance(decode_record(kind, with_field(data, "more", DEEP)), Unreadable)


def test_spec_with_a_deeply_nested_field() -> None:
    data = encode_spec(SPEC)
    assert decode_spec(data) == SPEC
    assert isinstance(decode_spec(with_field(data, "more", DEEP)), Unreadable)


def test_progress_with_a_deeply_nested_field() -> None:
    data = make_progress()
    assert isinstance(decode_progress(JOB, SPEC, data), JobProgress)
    odd = bytes([data[0] + 1]) + data[1:] + DEEP
    assert isinstance(decode_progress(JOB, SPEC, odd), Unreadable)


@pytest.mark.parametrize(
    "record",
    [
        pytest.param(OwnerRecord(TOO_LARGE, "entry0", "h", 1), id="owner_epoch"),
        pytest.param(OwnerRecord(-1, "entry0", "h", 1), id="owner_epoch_negative"),
        pytest.param(HeadRecord(TOO_LARGE, "entry0", "n"), id="head_epoch"),
        pytest.param(HomeAgentsRecord({"a": [("w", TOO_LARGE)]}), id="start_time"),
        pytest.param(
            InterferenceRecord([("live", "heavy", float("nan"), 1.0)], {}), id="weight"
        ),
        pytest.param(
            InterferenceRecord([("live", "heavy", 1.0, float("inf"))], {}),
            id="variance",
        ),
        pytest.param(InterferenceRecord([], {"live": 1e300}), id="mean"),
    ],
)
def test_record_with_a_number_out_of_range(record: AgentRecord) -> None:
    assert isinstance(decode_record(type(record), encode(record)), Unreadable)


STEP = StepSpec(1, Shape(100, 100))


def with_step(**fields: Any) -> JobSpec:
    return replace(SPEC, steps=(replace(STEP, **fields),))


@pytest.mark.parametrize(
    "spec",
    [
        pytest.param(with_step(n_tasks=10**12), id="tasks"),
        pytest.param(with_step(n_tasks=-1), id="tasks_negative"),
        pytest.param(replace(SPEC, steps=()), id="no_steps"),
        pytest.param(with_step(after=(0,)), id="waits_for_itself"),
        pytest.param(with_step(after=(TOO_LARGE,)), id="waits_for_no_step"),
        pytest.param(replace(SPEC, n_occurrences=10**12), id="occurrences"),
        pytest.param(replace(SPEC, accepted_ms=TOO_LARGE), id="accepted"),
        pytest.param(replace(SPEC, first_due_ms=TOO_LARGE), id="due"),
        pytest.param(replace(SPEC, interval_ms=TOO_LARGE), id="interval"),
        pytest.param(with_step(shape=Shape(TOO_LARGE, 1)), id="processors"),
        pytest.param(with_step(shape=Shape(1, TOO_LARGE)), id="memory"),
        pytest.param(with_step(shape=Shape(1, 1, TOO_LARGE)), id="accelerators"),
        pytest.param(with_step(estimate_ms=TOO_LARGE), id="estimate"),
        pytest.param(with_step(max_per_worker=TOO_LARGE), id="tasks_per_worker"),
        pytest.param(with_step(tail_target_ms=TOO_LARGE), id="target"),
        pytest.param(with_step(n_may_be_away=TOO_LARGE), id="away"),
        pytest.param(with_step(image="x" * 100_000), id="image"),
        pytest.param(with_step(label="x" * 100_000), id="label"),
        pytest.param(with_step(data_rack="x" * 100_000), id="rack"),
    ],
)
def test_spec_with_a_number_out_of_range(spec: JobSpec) -> None:
    """Guards against owners that end one after the other on the same stored job."""
    assert isinstance(decode_spec(encode_spec(spec)), Unreadable)


TASK = [0, 1, 0]
"""Phase, attempts and failures of a waiting task."""


@pytest.mark.parametrize(
    ("occurrences", "finished_ms"),
    [
        pytest.param({0: [[[0, TOO_LARGE, 0], TASK]]}, 0, id="attempts"),
        pytest.param({0: [[[0, -1, 0], TASK]]}, 0, id="attempts_negative"),
        pytest.param({0: [[[0, 1, TOO_LARGE], TASK]]}, 0, id="failures"),
        pytest.param({0: [[[1, 1, 0, "w", TOO_LARGE], TASK]]}, 0, id="start_time"),
        pytest.param({0: [[[0, 1, 0, "", 0, "", TOO_LARGE], TASK]]}, 0, id="crashes"),
        pytest.param({0: [[[9, 1, 0], TASK]]}, 0, id="phase"),
        pytest.param({0: [[TASK, TASK]]}, TOO_LARGE, id="end_time"),
        pytest.param({TOO_LARGE: [[TASK, TASK]]}, 0, id="occurrence"),
        pytest.param({1: [[TASK, TASK]]}, 0, id="later_occurrence_only"),
        pytest.param(
            {0: [[TASK, TASK]], 1: [[TASK, TASK]]}, 0, id="occurrence_too_many"
        ),
        pytest.param({0: []}, 0, id="step_missing"),
        pytest.param({0: [[TASK, TASK], [TASK]]}, 0, id="step_too_many"),
        pytest.param({0: [[TASK]]}, 0, id="task_missing"),
        pytest.param({0: [[TASK, TASK, TASK]]}, 0, id="task_too_many"),
    ],
)
def test_progress_that_does_not_fit_its_job(
    occurrences: object, finished_ms: int
) -> None:
    data = encode([occurrences, False, False, True, finished_ms])
    assert isinstance(decode_progress(JOB, SPEC, data), Unreadable)


def test_progress_that_fits_its_job() -> None:
    data = encode([{0: [[[2, 1, 0], [1, 2, 1, "w", 5]]]}, False, False, True, 0])
    job = decode_progress(JOB, SPEC, data)
    assert isinstance(job, JobProgress)
    assert job.n_placed == 1
