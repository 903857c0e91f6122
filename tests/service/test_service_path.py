"""Calls through router and admission over in-memory channels, without faults."""

import asyncio
from collections import deque

import pytest
from service_path import (
    FakeAnswer,
    FakeRunner,
    ServicePath,
    echo,
    read_request,
)

from almondspan_decisions.outcomes import Outcome, OutcomeKind
from almondspan_service.runner_client import RunnerFault
from almondspan_tasks.job_client import Claim, ClaimState


def test_each_caller_gets_its_own_answer() -> None:
    async def run() -> None:
        async with ServicePath({"a": FakeRunner(), "b": FakeRunner()}) as path:
            calls = [path.call(path.spec(f"c{n}")) for n in range(40)]
            for n, (outcome, sink) in enumerate(await asyncio.gather(*calls)):
                assert outcome.kind is OutcomeKind.DONE
                assert bytes(sink.body) == f"/c{n}|".encode()
                assert sink.is_complete

    asyncio.run(run())


@pytest.mark.parametrize("n_bytes", [0, 1, 65_536, 65_537, 1_000_000])
@pytest.mark.parametrize("length_known", [True, False])
def test_bodies_arrive_complete_in_both_directions(
    n_bytes: int, length_known: bool
) -> None:
    async def serve(request):
        body = await read_request(request)
        length = len(body) if length_known else -1
        return FakeAnswer(200, (), length, deque([body]))

    async def run() -> None:
        async with ServicePath({"a": FakeRunner(serve)}) as path:
            body = path.rng.randbytes(n_bytes)
            length = n_bytes if length_known else -1
            spec = path.spec("big", method="PUT", body_bytes=length)
            outcome, sink = await path.call(spec, body)
            assert outcome.kind is OutcomeKind.DONE
            assert bytes(sink.body) == body

    asyncio.run(run())


def test_a_claimed_request_runs_once_and_keeps_its_outcome() -> None:
    async def run() -> None:
        runner = FakeRunner()
        async with ServicePath({"a": runner}) as path:
            first, _ = await path.call(path.spec("pay", idempotent=False))
            assert first.kind is OutcomeKind.DONE
            await asyncio.sleep(0.01)
            again, sink = await path.call(path.spec("pay", idempotent=False))
            assert again == Claim(ClaimState.TAKEN, first)
            assert sink.status == 0
            assert runner.runs == ["pay"]

    asyncio.run(run())


def test_without_a_claim_nothing_is_sent() -> None:
    async def run() -> None:
        runner = FakeRunner()
        async with ServicePath({"a": runner}) as path:
            path.claims.up = False
            outcome, _ = await path.call(path.spec("pay", False, generated_id=True))
            assert outcome.kind is OutcomeKind.NOT_RUN
            outcome, _ = await path.call(path.spec("pay", False))
            assert outcome.kind is OutcomeKind.UNKNOWN
            assert not outcome.may_have_run
            assert runner.runs == []

    asyncio.run(run())


def test_an_unanswered_claim_is_continued_by_one_call() -> None:
    async def run() -> None:
        runner = FakeRunner()
        async with ServicePath({"a": runner}) as path:
            path.claims.drops_answers = True
            await path.call(path.spec("pay", False))
            path.claims.drops_answers = False
            again = [path.call(path.spec("pay", False)) for _ in range(3)]
            ended = [one for one, _ in await asyncio.gather(*again)]
            assert runner.runs == ["pay"]
            assert sum(isinstance(one, Claim) for one in ended) == 2

    asyncio.run(run())


async def refuse(request):
    return RunnerFault(False, "refused")


async def reset(request):
    return RunnerFault(True, "reset")


@pytest.mark.parametrize(
    ("serve", "idempotent", "n_runs", "kind"),
    [
        pytest.param(refuse, True, 2, OutcomeKind.DONE, id="refused"),
        pytest.param(refuse, False, 2, OutcomeKind.DONE, id="refused-claimed"),
        pytest.param(reset, True, 2, OutcomeKind.DONE, id="reset"),
        pytest.param(reset, False, 1, OutcomeKind.UNKNOWN, id="reset-claimed"),
    ],
)
def test_call_is_retried_only_if_safe(serve, idempotent, n_runs, kind) -> None:
    async def run() -> None:
        serves = deque([serve, echo])
        runs = []

        async def serve_next(request):
            runs.append(request.path)
            return await serves.popleft()(request)

        runners = {"a": FakeRunner(serve_next), "b": FakeRunner(serve_next)}
        async with ServicePath(runners) as path:
            outcome, _ = await path.call(path.spec("x", idempotent))
            assert outcome.kind is kind
            assert len(runs) == n_runs

    asyncio.run(run())


def test_not_run_is_not_reported_after_an_attempt_that_may_have_run() -> None:
    async def run() -> None:
        serves = deque([reset, refuse, refuse, refuse])

        async def serve(request):
            return await serves.popleft()(request)

        async with ServicePath({"a": FakeRunner(serve)}) as path:
            outcome, _ = await path.call(path.spec("x"))
            assert outcome.kind is OutcomeKind.UNKNOWN
            assert outcome.may_have_run

    asyncio.run(run())


def test_call_without_a_runner_is_not_run() -> None:
    async def run() -> None:
        async with ServicePath({}) as path:
            outcome, _ = await path.call(path.spec("x"))
            assert isinstance(outcome, Outcome)
            assert outcome.kind is OutcomeKind.NOT_RUN

    asyncio.run(run())
