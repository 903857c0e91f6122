"""Rejections at submission, by the figures that the owner gives to the entries."""

import asyncio
import random
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import replace
from typing import Any

import pytest
from job_simulation import (
    QUEUE,
    RULES,
    JobSimulation,
    SimulatedEntry,
    SubmittedJob,
    follower_of,
    lines,
    owner_of,
    refuse,
    silence,
    started,
)
from scheduler_harness import SchedulerHarness
from virtual_loop import VirtualLoop

from almondspan_decisions.admission import Rejection, RejectionCause
from almondspan_decisions.ids import JobId, WorkerId
from almondspan_decisions.job_graph import JobSpec, QueueName, StepSpec
from almondspan_decisions.shapes import Shape
from almondspan_jobs import clocks
from almondspan_jobs.admission_desk import AdmissionDesk
from almondspan_jobs.job_api import JobAnswer, JobApi, StoreResult
from almondspan_jobs.messages import AdmissionRequest, AdmissionUpdate
from almondspan_jobs.metrics import Metrics
from almondspan_jobs.network import DialFailed
from almondspan_jobs.options import JobOptions
from almondspan_jobs.owner_link import OwnerLink
from almondspan_jobs.records import OwnerRecord, job_key
from almondspan_standins.memory_group_store import MemoryGroupStore, StoreFaults
from almondspan_wire.codec import Message

SETTLE_S = 3.0
OPTIONS = JobOptions(late_write_s=SETTLE_S)
STABLE_S = 16.0
"""After this, the fleet is stable, and every entry has been settled for long enough."""
FITS = (StepSpec(1, Shape(1_000, 100), estimate_ms=1_000),)
TOO_LARGE = (StepSpec(1, Shape(99_000, 100), estimate_ms=1_000),)
N_FLOOD = 130


@pytest.fixture
def simulation() -> Iterator[JobSimulation]:
    yield from started(5, options=OPTIONS)


def submit(
    simulation: JobSimulation, machine: SimulatedEntry, steps: tuple[StepSpec, ...]
) -> SubmittedJob:
    job = simulation.make_job(steps)
    simulation.submit(job, machine)
    return job


def is_stored(simulation: JobSimulation, job: SubmittedJob) -> bool:
    return job_key(job.job_id) in simulation.store.items


@pytest.mark.parametrize(
    ("is_owner", "after_s", "expected"),
    [
        pytest.param(False, STABLE_S, StoreResult.NOT_DONE, id="known_fleet"),
        pytest.param(True, STABLE_S, StoreResult.NOT_DONE, id="at_the_owner"),
        pytest.param(False, 2.0, StoreResult.STORED, id="fleet_not_known_yet"),
    ],
)
def test_job_that_fits_on_no_worker(
    simulation: JobSimulation, is_owner: bool, after_s: float, expected: StoreResult
) -> None:
    simulation.run(after_s)
    machine = owner_of(simulation) if is_owner else follower_of(simulation)
    job = submit(simulation, machine, TOO_LARGE)
    fits = submit(simulation, machine, FITS)
    simulation.run(2.5)
    assert job.answers == [expected]
    assert fits.answers == [StoreResult.STORED]
    assert is_stored(simulation, job) is (expected is StoreResult.STORED)


def test_stored_job_is_never_rejected(simulation: JobSimulation) -> None:
    """Guards against REFUSED: a caller is told that a stored job never runs."""
    machine = follower_of(simulation)
    job = submit(simulation, machine, TOO_LARGE)
    simulation.run(STABLE_S)
    for again in (machine, owner_of(simulation)):
        simulation.submit(job, again)
    simulation.run(2.5)
    assert job.answers == [StoreResult.STORED] * 3


def test_rejected_job_may_be_submitted_again(simulation: JobSimulation) -> None:
    simulation.run(STABLE_S)
    machine = follower_of(simulation)
    job = submit(simulation, machine, TOO_LARGE)
    simulation.run(2.5)
    for agent in simulation.agents:
        agent.worker.capacity = Shape(100_000, 100_000)
    simulation.run(2.0)
    simulation.submit(job, machine)
    simulation.run(2.5)
    assert job.answers == [StoreResult.NOT_DONE, StoreResult.STORED]
    assert lines(simulation, " rejection_wrong ")


@pytest.mark.parametrize("is_silent", [True, False], ids=["silent", "late"])
def test_job_with_a_write_stuck_at_another_entry_is_not_rejected(
    simulation: JobSimulation, is_silent: bool
) -> None:
    """Guards against REFUSED: the write of the first submission takes effect later."""
    simulation.run(STABLE_S)
    stuck = follower_of(simulation)
    other = owner_of(simulation)
    if is_silent:
        silence(stuck)
    else:
        stuck.faults.late_share = 1.0
    job = simulation.make_job(FITS)
    simulation.submit(job, stuck)
    simulation.run(0.05)
    spec = replace(job.spec, steps=TOO_LARGE)
    large = SubmittedJob(job.job_id, spec)
    simulation.submit(large, other)
    simulation.run(4.0)
    assert StoreResult.NOT_DONE not in large.answers


@pytest.mark.parametrize("killed", [owner_of, follower_of])
def test_jobs_are_accepted_after_an_entry_was_killed(
    simulation: JobSimulation, killed: Callable[[JobSimulation], SimulatedEntry]
) -> None:
    """Guards against REFUSED: a write of the killed entry takes effect later."""
    simulation.run(STABLE_S)
    machine = killed(simulation)
    others = [one for one in simulation.entries if one is not machine]
    simulation.run_in_loop(lambda played: machine.kill())
    jobs = [submit(simulation, other, TOO_LARGE) for other in others]
    simulation.run(2.6)
    assert [job.answers for job in jobs] == [[StoreResult.STORED]] * len(others)


def test_store_that_does_not_answer_leaves_the_outcome_to_the_write(
    simulation: JobSimulation,
) -> None:
    simulation.run(STABLE_S)
    machine = follower_of(simulation)
    job = simulation.make_job(TOO_LARGE)
    simulation.submit(job, machine)
    simulation.run(0.5)
    refuse(machine)
    simulation.run(3.0)
    assert job.answers == [StoreResult.STORED]


URGENT = QueueName("urgent")
TWO_QUEUES = {URGENT: RULES[QUEUE], QUEUE: replace(RULES[QUEUE], priority=1)}
SHORT = (StepSpec(1, Shape(1_000, 100), estimate_ms=200),)


def flood(simulation: JobSimulation) -> list[SubmittedJob]:
    """Submit jobs that take all workers for half a minute."""
    jobs = []
    for _ in range(N_FLOOD):
        job = simulation.make_job((StepSpec(10, Shape(1_000, 100), 1_000),))
        job.spec = replace(job.spec, queue=URGENT)
        simulation.submit(job, follower_of(simulation))
        jobs.append(job)
    return jobs


def test_backlog_that_lasts_too_long_rejects_until_it_is_shorter(
    simulation: JobSimulation,
) -> None:
    simulation.configure(TWO_QUEUES)
    simulation.run(STABLE_S)
    urgent = flood(simulation)
    simulation.run(2.0)
    early = submit(simulation, follower_of(simulation), SHORT)
    simulation.run(4.0)
    late = [submit(simulation, machine, SHORT) for machine in simulation.entries]
    simulation.run(2.5)
    assert all(job.answers == [StoreResult.STORED] for job in [*urgent, early])
    assert all(job.answers == [StoreResult.NOT_DONE] for job in late)
    assert not any(is_stored(simulation, job) for job in late)
    simulation.run(40.0)
    again = submit(simulation, follower_of(simulation), SHORT)
    simulation.run(2.5)
    assert again.answers == [StoreResult.STORED]
    assert simulation.violations() == []


def test_calm_load_is_never_rejected(simulation: JobSimulation) -> None:
    simulation.run(STABLE_S)
    for _ in range(20):
        submit(simulation, follower_of(simulation), FITS * 2)
        simulation.run(0.5)
    assert lines(simulation, "result=not_done") == []


# What an owner of an earlier release does not know


class _NoNetwork:
    async def dial(self, host: str, port: int, timeout_s: float) -> DialFailed:
        return DialFailed("no network", was_refused=True)


@pytest.mark.parametrize(
    ("record", "expected"),
    [
        pytest.param(None, False, id="none"),
        pytest.param(OwnerRecord(1, "me", "h", 1), False, id="earlier_release"),
        pytest.param(OwnerRecord(1, "me", "h", 1, True), True, id="local"),
        pytest.param(OwnerRecord(1, "other", "h", 1, True), False, id="no_channel"),
    ],
)
def test_only_an_owner_that_knows_the_request_is_asked(
    record: OwnerRecord | None, expected: bool
) -> None:
    """Guards against channels that end at a message of a later release."""

    async def main() -> bool:
        network: Any = _NoNetwork()
        local: Any = None
        log: Any = _Log()
        link = OwnerLink(
            "me", network, local, lambda: (), OPTIONS, log, random.Random(1)
        )
        link.set_owner(record)
        await asyncio.sleep(0)
        found = link.answers_admission
        await link.close()
        return found

    assert asyncio.run(main()) is expected


def run_virtually(body: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine in virtual time, and return its result."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    clocks.use_clocks(loop.time)
    try:
        return loop.run_until_complete(body)
    finally:
        clocks.use_clocks()
        loop.close()
        asyncio.set_event_loop(None)


class _Log:
    def line(self, event: str, **fields: Any) -> None:
        pass


# The entry between the first figures and the confirming ones


class _Gate:
    """A gate that is to reject the first job, after a while, and accepts the others."""

    is_settled: Any = None

    def __init__(self, wait_s: float) -> None:
        self._wait_s = wait_s
        self._is_first = True
        self.n_rejected = 0

    def find_cause(self, spec: JobSpec) -> RejectionCause | None:
        is_first, self._is_first = self._is_first, False
        return RejectionCause.BACKLOG if is_first else None

    async def confirmed(self, spec: JobSpec, budget_s: float) -> bool:
        await asyncio.sleep(self._wait_s)
        return True

    def reject(self, spec: JobSpec) -> Rejection:
        self.n_rejected += 1
        return Rejection(RejectionCause.BACKLOG, "full", 7.0)


class _Owner:
    is_local = True

    def notify(self, body: Message) -> None:
        pass


JOB = JobId("0123456789abcdef")
SPEC = JobSpec(QUEUE, "payload", FITS)


LATE = StoreFaults(late_share=1.0)


@pytest.mark.parametrize(
    ("faults", "wait_s", "others_s", "expected", "is_rejected"),
    [
        pytest.param(StoreFaults(), 0.3, (), StoreResult.NOT_DONE, True, id="alone"),
        pytest.param(
            StoreFaults(), 0.3, (0.1,), StoreResult.STORED, False, id="stored"
        ),
        pytest.param(
            StoreFaults(answer_s=0.2),
            0.3,
            (0.25,),
            StoreResult.STORED,
            False,
            id="being_written",
        ),
        pytest.param(LATE, 0.3, (0.1,), StoreResult.UNKNOWN, False, id="not_answered"),
        pytest.param(LATE, 2.0, (0.1,), StoreResult.UNKNOWN, False, id="given_up"),
        pytest.param(
            StoreFaults(is_silent=True),
            0.3,
            (),
            StoreResult.NOT_DONE,
            False,
            id="store_silent",
        ),
    ],
)
def test_job_that_another_request_writes_is_not_rejected(
    faults: StoreFaults,
    wait_s: float,
    others_s: tuple[float, ...],
    expected: StoreResult,
    is_rejected: bool,
) -> None:
    """Guards against REFUSED: the same job is submitted twice at one entry."""

    async def main() -> tuple[JobAnswer, int]:
        gate: Any = _Gate(wait_s)
        owner: Any = _Owner()
        client = MemoryGroupStore(random.Random(1)).client(faults)
        api = JobApi(client, owner, OPTIONS, _Log(), Metrics(), gate)
        first = asyncio.create_task(api.submit(JOB, SPEC, 2.5))
        others = []
        for at_s in others_s:
            await asyncio.sleep(at_s)
            others.append(asyncio.create_task(api.submit(JOB, SPEC, 2.5)))
        answers = await asyncio.gather(first, *others)
        return answers[0], gate.n_rejected

    answer, n_rejected = run_virtually(main())
    assert answer.result is expected
    assert n_rejected == is_rejected
    assert answer.retry_after_s == (7.0 if is_rejected else 0.0)


def test_job_with_a_write_of_uncertain_outcome_is_not_rejected() -> None:
    """Guards against REFUSED: the earlier write takes effect after the rejection."""

    async def main() -> tuple[list[StoreResult], int]:
        gate: Any = _Gate(0.3)
        owner: Any = _Owner()
        faults = StoreFaults()
        client = MemoryGroupStore(random.Random(1)).client(faults)
        api = JobApi(client, owner, OPTIONS, _Log(), Metrics(), gate)
        gate._is_first = False
        await api.submit(JobId("f" * 16), SPEC, 2.5)
        faults.is_silent = True
        answers = [await api.submit(JOB, SPEC, 2.5)]
        faults.is_silent = False
        gate._is_first = True
        answers.append(await api.submit(JOB, SPEC, 2.5))
        return [answer.result for answer in answers], gate.n_rejected

    results, n_rejected = run_virtually(main())
    assert results == [StoreResult.UNKNOWN, StoreResult.STORED]
    assert n_rejected == 0


@pytest.mark.parametrize(
    ("faults", "after_s", "expected"),
    [
        pytest.param(StoreFaults(), 0.1, True, id="answered"),
        pytest.param(StoreFaults(answer_s=0.5), 0.1, True, id="just_begun"),
        pytest.param(LATE, 0.4, False, id="unanswered"),
        pytest.param(LATE, 2.5, False, id="uncertain"),
        pytest.param(LATE, 5.5, True, id="can_no_longer_take_effect"),
    ],
)
def test_entry_is_not_settled_while_a_write_may_take_effect(
    faults: StoreFaults, after_s: float, expected: bool
) -> None:
    async def main() -> bool:
        owner: Any = _Owner()
        client = MemoryGroupStore(random.Random(1)).client(faults)
        api = JobApi(client, owner, OPTIONS, _Log(), Metrics())
        task = asyncio.create_task(api.submit(JOB, SPEC, 2.0))
        await asyncio.sleep(after_s)
        found = api.is_settled()
        await task
        return found

    assert run_virtually(main()) is expected


# The owner's figures


def ask(
    harness: SchedulerHarness,
    desk: AdmissionDesk,
    entries: tuple[str, ...],
    for_s: float,
    is_settled: bool = True,
) -> AdmissionUpdate:
    """Let entries ask twice a second for a while; return the last figures."""
    for _ in range(round(for_s / 0.5)):
        harness.now_s += 0.5
        for entry in entries:
            request = AdmissionRequest(1, entry, is_settled, 0, 0)
            update = desk.answer(request)
    return update


def make_desk(harness: SchedulerHarness, agents: tuple[str, ...]) -> AdmissionDesk:
    return AdmissionDesk(harness.scheduler, lambda: agents, 3, OPTIONS, harness.log)


def test_figures_are_settled_some_time_after_the_last_doubt(
    harness: SchedulerHarness,
) -> None:
    """Guards against REFUSED: entries reject what another one has written late."""
    desk = make_desk(harness, ())
    assert not ask(harness, desk, ("a", "b"), SETTLE_S - 0.5).is_settled
    assert ask(harness, desk, ("a", "b"), 0.5).is_settled
    assert not ask(harness, desk, ("a",), 1.0).is_settled
    assert not ask(harness, desk, ("a", "b"), SETTLE_S - 0.5).is_settled
    assert ask(harness, desk, ("a", "b"), 1.0).is_settled
    assert not ask(harness, desk, ("b",), 0.5, is_settled=False).is_settled
    assert not ask(harness, desk, ("a", "b"), SETTLE_S - 0.5).is_settled
    assert ask(harness, desk, ("a", "b"), 0.5).is_settled
    assert not ask(harness, desk, ("a",), 40.0).is_settled
    assert ask(harness, desk, ("a",), 30.0).n_entries == 1
    assert ask(harness, desk, ("a",), SETTLE_S).is_settled


def test_sizes_are_sent_once_and_known_after_all_agents_have_reported(
    harness: SchedulerHarness,
) -> None:
    desk = make_desk(harness, ("node-1", "node-2"))
    harness.report_worker()
    update = ask(harness, desk, ("a",), 15.0)
    assert not update.are_sizes_known
    assert update.sizes == [
        ("pool", "", 4_000, 8_000, 0),
        ("pool", "r1", 4_000, 8_000, 0),
    ]
    harness.report_worker(WorkerId("w-2"), node="node-2")
    update = ask(harness, desk, ("a",), 12.0)
    assert update.are_sizes_known
    known = AdmissionRequest(1, "a", True, update.sizes_epoch, update.sizes_version)
    assert desk.answer(known).sizes == []
    of_another_owner = AdmissionRequest(1, "a", True, 2, update.sizes_version)
    assert desk.answer(of_another_owner).sizes == update.sizes


def test_backlog_is_of_jobs_that_wait(harness: SchedulerHarness) -> None:
    desk = make_desk(harness, ())
    harness.report_worker()
    harness.add(StepSpec(12, Shape(1_000, 10), estimate_ms=1_000))
    (row,) = ask(harness, desk, ("a",), 0.5).backlogs
    assert row[0] == "q"
    assert 1.0 < row[1] < 3.0
    assert row[3] == 1
