"""What an entry tells the owner of jobs, and odd answers of the owner."""

import asyncio
import random
from dataclasses import replace
from typing import Any

import pytest

from almondspan_decisions.ids import JobId
from almondspan_decisions.job_graph import JobSpec, QueueName, StepSpec
from almondspan_decisions.job_progress import JobState
from almondspan_decisions.shapes import Shape
from almondspan_jobs.job_api import JobApi, StoreResult
from almondspan_jobs.messages import JobStored, StateReply, StoreJob, StoreReply
from almondspan_jobs.metrics import Metrics
from almondspan_jobs.options import JobOptions
from almondspan_jobs.records import decode_spec, encode_spec
from almondspan_standins.memory_group_store import MemoryGroupStore, StoreFaults
from almondspan_wire.codec import Message

JOB = JobId("0123456789abcdef")
OPTIONS = JobOptions()
SPEC = JobSpec(QueueName("q"), "payload", (StepSpec(1, Shape(100, 100)),))


class Log:
    def line(self, event: str, **fields: Any) -> None:
        pass


class Owner:
    """An owner's link that always gives the same reply."""

    is_local = False

    def __init__(self, reply: Message) -> None:
        self._reply = reply
        self.notified: list[Message] = []

    async def request(self, make_request: Any, timeout_s: float) -> Message:
        return self._reply

    def notify(self, body: Message) -> None:
        self.notified.append(body)


def make_api(
    reply: Message, faults: StoreFaults, options: JobOptions = OPTIONS
) -> JobApi:
    store = MemoryGroupStore(random.Random(1)).client(faults)
    owner: Any = Owner(reply)
    return JobApi(store, owner, options, Log(), Metrics())


@pytest.mark.parametrize(
    ("result", "expected"),
    [
        pytest.param("stored", StoreResult.STORED, id="known"),
        pytest.param("kept", StoreResult.UNKNOWN, id="unknown"),
    ],
)
def test_unknown_result_of_the_owner_is_uncertain(
    result: str, expected: StoreResult
) -> None:
    async def main() -> StoreResult:
        api = make_api(StoreReply(1, result), StoreFaults(is_refusing=True))
        return (await api.submit(JOB, SPEC, 0.1)).result

    assert asyncio.run(main()) is expected


@pytest.mark.parametrize(
    ("state", "expected"),
    [
        pytest.param("running", JobState.RUNNING, id="known"),
        pytest.param("melted", None, id="unknown"),
    ],
)
def test_unknown_state_of_the_owner_is_read_from_the_store(
    state: str, expected: JobState | None
) -> None:
    async def main() -> JobState | None:
        api = make_api(StateReply(1, state), StoreFaults())
        return (await api.state(JOB)).state

    assert asyncio.run(main()) is expected


def test_owner_is_told_of_the_job_that_is_stored() -> None:
    """Guards against a record in memory that is not the one in the store."""

    async def main() -> list[Message]:
        store = MemoryGroupStore(random.Random(1))
        owners = [Owner(StateReply(1, "")), Owner(StateReply(1, ""))]
        for owner, spec in zip(
            owners, (SPEC, replace(SPEC, accepted_ms=7)), strict=True
        ):
            link: Any = owner
            client = store.client(StoreFaults())
            api = JobApi(client, link, JobOptions(), Log(), Metrics())
            answer = await api.submit(JOB, spec, 1.0)
            assert answer.result is StoreResult.STORED
        return [body for owner in owners for body in owner.notified]

    revision = 2
    assert asyncio.run(main()) == [JobStored(JOB, encode_spec(SPEC), revision)] * 2


@pytest.mark.parametrize(
    "is_cut_off",
    [pytest.param(False, id="unanswered"), pytest.param(True, id="cut_off")],
)
def test_uncertain_write_for_another_entry_is_remembered(is_cut_off: bool) -> None:
    """Guards against a refusal, or a 410, of a job that this entry may have stored."""

    async def main() -> tuple[StoreResult, bool]:
        faults = StoreFaults(late_share=1.0)
        api = make_api(StoreReply(1, "not_done"), faults)
        relaying = asyncio.create_task(api.relay(StoreJob(1, JOB, encode_spec(SPEC))))
        await asyncio.sleep(0.1)
        if is_cut_off:
            relaying.cancel()
        await asyncio.gather(relaying, return_exceptions=True)
        faults.late_share = 0.0
        state = await api.state(JOB)
        faults.is_refusing = True
        return (await api.submit(JOB, SPEC, 0.1)).result, state.is_known

    assert asyncio.run(main()) == (StoreResult.UNKNOWN, False)


MOST_STEPS = tuple(
    StepSpec(1, Shape(4_000, 16_000), estimate_ms=90_000, after=(0,) if n else ())
    for n in range(5_000)
)


@pytest.mark.parametrize(
    ("max_value_bytes", "expected"),
    [
        pytest.param(1_000_000, StoreResult.STORED, id="fits"),
        pytest.param(100_000, StoreResult.TOO_LARGE, id="too_large"),
    ],
)
def test_job_is_stored_if_its_record_fits_into_a_value(
    max_value_bytes: int, expected: StoreResult
) -> None:
    """Guards against jobs that callers are told to submit again, and never can."""
    spec = replace(SPEC, steps=MOST_STEPS)

    async def main() -> StoreResult:
        options = JobOptions(max_value_bytes=max_value_bytes)
        api = make_api(StoreReply(1, "not_done"), StoreFaults(), options)
        return (await api.submit(JOB, spec, 0.1)).result

    assert asyncio.run(main()) is expected


def test_record_of_a_spec_has_all_that_is_set() -> None:
    steps = (StepSpec(1, Shape(0, 0)), replace(MOST_STEPS[1], image="i", fills=True))
    spec = replace(SPEC, steps=steps, n_occurrences=3, first_due_ms=5, interval_ms=1)
    assert decode_spec(encode_spec(spec)) == spec
