"""Records that another writer has left in the store are unreadable values."""

import msgspec
import pytest

from almondspan_decisions.ids import JobId
from almondspan_decisions.job_graph import JobSpec, QueueName, StepSpec
from almondspan_decisions.job_progress import JobProgress
from almondspan_decisions.shapes import Shape
from almondspan_jobs.records import (
    AgentRecord,
    HeadRecord,
    HomeAgentsRecord,
    InterferenceRecord,
    OwnerRecord,
    Unreadable,
    decode_progress,
    decode_record,
    decode_spec,
    encode_progress,
    encode_spec,
)

N_NESTED = 5_000
DEEP = b"\x91" * N_NESTED + b"\x01"
"""An array in an array, and so on."""

JOB = JobId("0123456789abcdef")
SPEC = JobSpec(QueueName("q"), "payload", (StepSpec(2, Shape(100, 100)),))
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
