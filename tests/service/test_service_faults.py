"""Lost channels, late answers, cancellation, deadlines, slow readers, draining."""

import asyncio
from collections import deque

import pytest
from service_path import (
    ENTRY,
    SERVICE,
    FakeAnswer,
    FakeRunner,
    MemoryBody,
    MemorySink,
    ServicePath,
    echo,
    read_request,
)
from virtual_clock import run_virtual

from almondspan_decisions.ids import AgentId, RequestId
from almondspan_decisions.outcomes import OutcomeKind
from almondspan_service.admission_options import AdmissionOptions
from almondspan_service.router_options import RouterOptions
from almondspan_tasks.job_client import ClaimState
from almondspan_wire.service_messages import (
    AnswerData,
    AnswerHead,
    CallCancel,
    CallEnded,
    CallOpen,
    CallRecover,
)

A = AgentId("a")

MAX_POLLS = 10_000


def echo_slowly(run_s: float):
    """Return a handler that echoes after `run_s` seconds."""

    async def serve(request):
        body = await read_request(request)
        await asyncio.sleep(run_s)
        answer = request.path.encode() + b"|" + body
        return FakeAnswer(200, (), len(answer), deque([answer]))

    return serve


class MessageRecorder:
    """Records messages instead of delivering them."""

    def __init__(self) -> None:
        self.messages = []

    def __call__(self, agent_id, message) -> None:
        self.messages.append((agent_id, message))


def opening(call_id: int, **changes) -> CallOpen:
    fields = {
        "incarnation": 1,
        "call_id": call_id,
        "service": SERVICE,
        "request_id": f"r{call_id}",
        "caller": "school",
        "method": "GET",
        "path": "/",
        "headers": (),
        "idempotent": True,
        "timeout_ms": 1000.0,
        "credit_bytes": 65_536,
    }
    return CallOpen(**(fields | changes))


# Messages to an admission in any order.


@pytest.mark.parametrize(
    ("messages", "n_runs", "kinds"),
    [
        pytest.param([opening(1)], 1, ["answer"], id="open"),
        pytest.param([opening(1), opening(1)], 1, ["answer"], id="open-twice"),
        pytest.param(
            [CallCancel(1, 1, SERVICE), opening(1)],
            0,
            [OutcomeKind.NOT_RUN, OutcomeKind.NOT_RUN],
            id="open-after-cancel",
        ),
        pytest.param(
            [CallRecover(1, 1, 9, SERVICE), opening(1)],
            0,
            [OutcomeKind.NOT_RUN, OutcomeKind.NOT_RUN],
            id="open-after-recover",
        ),
        pytest.param(
            [opening(1), CallCancel(1, 1, SERVICE)],
            1,
            [OutcomeKind.CANCELLED],
            id="cancel",
        ),
        pytest.param(
            [opening(1, idempotent=False), CallCancel(1, 1, SERVICE)],
            1,
            ["answer"],
            id="cancel-claimed",
        ),
        pytest.param(
            [opening(1, idempotent=False), CallRecover(1, 1, 9, SERVICE)],
            1,
            ["answer"],
            id="recover-running",
        ),
        pytest.param(
            [opening(1, timeout_ms=5.0)], 1, [OutcomeKind.UNKNOWN], id="deadline"
        ),
        pytest.param(
            [opening(1, timeout_ms=0.0)], 0, [OutcomeKind.NOT_RUN], id="too-late"
        ),
        pytest.param(
            [opening(1, timeout_ms=5.0, idempotent=False)],
            1,
            ["answer"],
            id="deadline-claimed",
        ),
    ],
)
def test_admission_answers_messages_in_any_order(messages, n_runs, kinds) -> None:
    async def run() -> None:
        runner = FakeRunner(echo_slowly(0.05))
        async with ServicePath({"a": runner}) as path:
            path.carry_to_router = recorder = MessageRecorder()
            for message in messages:
                path.admissions[A].on_message(ENTRY, message)
                await asyncio.sleep(0.001)
            await asyncio.sleep(1.0)
            assert len(runner.runs) == n_runs
            reported = [
                "answer" if isinstance(message, AnswerHead) else message.kind
                for _, message in recorder.messages
            ]
            assert reported == kinds
            assert path.admissions[A].status().n_busy == 0

    run_virtual(run())


def test_a_refused_call_is_never_run_later() -> None:
    async def run() -> None:
        runner = FakeRunner()
        async with ServicePath({"a": runner}) as path:
            path.carry_to_router = recorder = MessageRecorder()
            await path.admissions[A].drain()
            path.admissions[A].on_message(ENTRY, opening(1))
            path.admissions[A].resume()
            path.admissions[A].on_message(ENTRY, opening(1))
            await asyncio.sleep(0.1)
            assert runner.runs == []
            kinds = [message.kind for _, message in recorder.messages]
            assert kinds == [OutcomeKind.NOT_RUN, OutcomeKind.NOT_RUN]

    run_virtual(run())


def test_attempts_carry_the_remaining_time() -> None:
    async def run() -> None:
        runners = {"a": FakeRunner(), "b": FakeRunner()}
        async with ServicePath(runners) as path:
            path.carry_to_agent = recorder = MessageRecorder()
            call = asyncio.create_task(path.call(path.spec("x")))
            for left_ms in (2000.0, 1500.0):
                await asyncio.sleep(0.1)
                agent_id, message = recorder.messages[-1]
                assert left_ms - 10.0 < message.timeout_ms <= left_ms
                await asyncio.sleep(0.4)
                path.disconnect(agent_id)
            await call

    run_virtual(run())


def test_a_forgotten_call_is_never_run_again() -> None:
    async def run() -> None:
        runner = FakeRunner()
        options = AdmissionOptions(n_remembered_calls=8)
        async with ServicePath({"a": runner}, admission_options=options) as path:
            path.carry_to_router = recorder = MessageRecorder()
            for n in range(20):
                path.admissions[A].on_message(ENTRY, opening(n))
                await asyncio.sleep(0.01)
            path.admissions[A].on_message(ENTRY, opening(0))
            await asyncio.sleep(0.01)
            assert len(runner.runs) == 20
            assert recorder.messages[-1][1].kind is OutcomeKind.UNKNOWN

    run_virtual(run())


def test_queue_is_bounded_and_sheds_calls_that_would_be_late() -> None:
    async def run() -> None:
        runner = FakeRunner(echo_slowly(0.1))
        options = AdmissionOptions(initial_run_s=0.1)
        async with ServicePath({"a": runner}, admission_options=options) as path:
            path.carry_to_router = recorder = MessageRecorder()
            for n in range(200):
                timeout_ms = 10_000.0 if n < 100 else 200.0
                message = opening(n, timeout_ms=timeout_ms)
                path.admissions[A].on_message(ENTRY, message)
            status = path.admissions[A].status()
            assert (status.n_busy, status.n_queued) == (8, 56)
            await asyncio.sleep(0.001)
            refused = [m.call_id for _, m in recorder.messages]
            assert len(refused) >= 36 + 100
            await asyncio.sleep(5.0)
            assert len(runner.runs) == 64

    run_virtual(run())


def test_burst_of_one_caller_does_not_delay_another() -> None:
    async def run() -> None:
        order = []

        async def serve(request):
            order.append(dict(request.headers)["X-Caller"])
            return await echo_slowly(0.1)(request)

        async with ServicePath({"a": FakeRunner(serve)}) as path:
            path.carry_to_router = MessageRecorder()
            for n in range(50):
                message = opening(n, caller="burst", timeout_ms=10_000.0)
                path.admissions[A].on_message(ENTRY, message)
            for n in range(50, 53):
                message = opening(n, caller="quiet", timeout_ms=10_000.0)
                path.admissions[A].on_message(ENTRY, message)
            await asyncio.sleep(5.0)
            assert order[8:14].count("quiet") == 3

    run_virtual(run())


# Late, misdirected and missing answers.


def test_late_and_misdirected_answers_are_dropped() -> None:
    async def run() -> None:
        runners = {"a": FakeRunner(), "b": FakeRunner()}
        async with ServicePath(runners) as path:
            path.carry_to_router = recorder = MessageRecorder()
            calls = [
                asyncio.create_task(path.call(path.spec(f"c{n}"))) for n in range(10)
            ]
            await asyncio.sleep(0.01)
            held = list(recorder.messages)
            for agent_id, message in reversed(held):
                other = AgentId("b") if agent_id == A else A
                path.to_router(other, message)
                path.to_router(agent_id, message)
            for n, (_, sink) in enumerate(await asyncio.gather(*calls)):
                assert bytes(sink.body) == f"/c{n}|".encode()
            for agent_id, message in held:
                path.to_router(agent_id, message)
            assert path.router.counters.n_late_answers == 20

    run_virtual(run())


@pytest.mark.parametrize(
    ("idempotent", "kind", "n_runs"),
    [
        pytest.param(True, OutcomeKind.DONE, 2, id="idempotent"),
        pytest.param(False, OutcomeKind.UNKNOWN, 1, id="claimed"),
    ],
)
def test_call_whose_channel_is_lost(idempotent, kind, n_runs) -> None:
    async def run() -> None:
        runners = {"a": FakeRunner(echo_slowly(0.1)), "b": FakeRunner(echo_slowly(0.1))}
        async with ServicePath(runners) as path:
            path.send_status(AgentId("b"), draining=True)
            spec = path.spec("x", idempotent, deadline_s=now_s() + 60.0)
            call = asyncio.create_task(path.call(spec))
            await asyncio.sleep(0.01)
            path.send_status(AgentId("b"))
            path.disconnect(A)
            begun_s = now_s()
            outcome, _ = await call
            assert outcome.kind is kind
            assert now_s() - begun_s < 5.0
            n_all = sum(len(runner.runs) for runner in runners.values())
            assert n_all == n_runs

    run_virtual(run())


@pytest.mark.parametrize(
    ("run_s", "lost_after_s", "back_after_s", "kind"),
    [
        pytest.param(0.2, 0.0, 0.5, OutcomeKind.DONE, id="before-it-arrived"),
        pytest.param(0.2, 0.05, 0.01, OutcomeKind.DONE, id="back-while-running"),
        pytest.param(8.0, 0.05, 0.01, OutcomeKind.DONE, id="back-and-still-running"),
        pytest.param(0.2, 0.05, 1.0, OutcomeKind.DONE, id="back-after-its-end"),
        pytest.param(0.2, 0.05, 9.0, OutcomeKind.UNKNOWN, id="back-too-late"),
    ],
)
def test_reconnected_agent_reports_the_true_outcome(
    run_s, lost_after_s, back_after_s, kind
) -> None:
    async def run() -> None:
        runner = FakeRunner(echo_slowly(run_s))
        async with ServicePath({"a": runner}) as path:
            if lost_after_s == 0.0:
                path.carry_to_agent = MessageRecorder()
            spec = path.spec("x", False, deadline_s=now_s() + 60.0)
            call = asyncio.create_task(path.call(spec))
            await asyncio.sleep(lost_after_s + 0.01)
            path.disconnect(A)
            path.carry_to_agent = path.to_agent
            await asyncio.sleep(back_after_s)
            path.connect(A)
            outcome, sink = await call
            assert outcome.kind is kind
            assert sink.is_complete is (kind is OutcomeKind.DONE)
            await asyncio.sleep(40.0)
            assert path.claims.settled[RequestId("x")].kind is OutcomeKind.DONE
            assert runner.runs == ["x"]

    run_virtual(run())


# Deadlines, disconnected callers and stopped runs.


@pytest.mark.parametrize(
    ("idempotent", "settled"),
    [
        pytest.param(True, None, id="idempotent"),
        pytest.param(False, OutcomeKind.DONE, id="claimed"),
    ],
)
@pytest.mark.parametrize("disconnects", [True, False])
def test_deadline_or_disconnected_caller(idempotent, settled, disconnects) -> None:
    async def run() -> None:
        runner = FakeRunner(echo_slowly(10.0))
        async with ServicePath({"a": runner}) as path:
            sink = MemorySink()
            call = asyncio.create_task(path.call(path.spec("x", idempotent), sink=sink))
            await asyncio.sleep(0.1)
            sink.disconnected = disconnects
            await asyncio.sleep(1.0)
            assert call.done() is disconnects
            outcome, _ = await call
            expected = OutcomeKind.CANCELLED if disconnects else OutcomeKind.UNKNOWN
            assert outcome.kind is expected
            await asyncio.sleep(0.1)
            assert runner.n_busy == (0 if idempotent else 1)
            await asyncio.sleep(10.0)
            reported = path.claims.settled.get(RequestId("x"))
            assert (reported.kind if reported else None) is settled
            assert runner.n_busy == 0

    run_virtual(run())


def test_truncated_request_body_is_not_reported_as_done() -> None:
    async def run() -> None:
        runner = FakeRunner()
        async with ServicePath({"a": runner}) as path:
            body = MemoryBody(deque([b"x" * 100_000]), is_truncated=True)
            spec = path.spec("x", method="PUT", body_bytes=200_000)
            outcome = await path.router.call(spec, body, MemorySink())
            assert outcome.kind is OutcomeKind.CANCELLED
            await asyncio.sleep(0.1)
            assert runner.n_busy == 0

    run_virtual(run())


@pytest.mark.parametrize(
    ("run_s", "superseded", "busy_until_s", "closed_at_s"),
    [
        pytest.param(0.1, True, 0.1, 0.1, id="superseded-finishes-by-itself"),
        pytest.param(9.0, True, 0.4, 0.4, id="superseded-straggler-is-stopped"),
        pytest.param(0.1, False, 0.4, 0.05, id="cancelled-is-stopped-at-once"),
    ],
)
def test_slot_of_a_cancelled_run(
    run_s: float, superseded: bool, busy_until_s: float, closed_at_s: float
) -> None:
    """A stopped run holds its slot for 4 mean run times of 0.1 s."""

    async def run() -> None:
        runner = FakeRunner(echo_slowly(run_s))
        options = AdmissionOptions(initial_run_s=0.1)
        async with ServicePath({"a": runner}, admission_options=options) as path:
            path.carry_to_router = recorder = MessageRecorder()
            admission = path.admissions[A]
            admission.on_message(ENTRY, opening(1))
            await asyncio.sleep(0.05)
            admission.on_message(ENTRY, CallCancel(1, 1, SERVICE, superseded))
            await wait_until(lambda: runner.n_busy == 0)
            assert now_s() - 1000.0 == pytest.approx(closed_at_s, abs=0.02)
            await wait_until(lambda: admission.status().n_busy == 0)
            assert now_s() - 1000.0 == pytest.approx(busy_until_s, abs=0.02)
            assert len(recorder.messages) == (0 if superseded else 1)

    run_virtual(run())


@pytest.mark.parametrize(
    ("run_s", "timeout_ms", "n_calls", "n_missed"),
    [
        pytest.param(0.1, 1000.0, 8, 0, id="in-objective"),
        pytest.param(0.3, 1000.0, 8, 8, id="slow"),
        pytest.param(0.3, 100.0, 8, 8, id="timed-out"),
        pytest.param(0.1, 150.0, 24, 16, id="shed"),
    ],
)
def test_burn_counts_calls_that_missed_the_objective(
    run_s, timeout_ms, n_calls, n_missed
) -> None:
    async def run() -> None:
        options = AdmissionOptions(initial_run_s=0.1, objective_latency_ms=200.0)
        async with ServicePath(
            {"a": FakeRunner(echo_slowly(run_s))}, None, options
        ) as path:
            path.carry_to_router = MessageRecorder()
            for n in range(n_calls):
                path.admissions[A].on_message(ENTRY, opening(n, timeout_ms=timeout_ms))
            await asyncio.sleep(2.0)
            burn = path.admissions[A].burn(10.0)
            assert (burn.n_calls, burn.n_missed) == (n_calls, n_missed)

    run_virtual(run())


# Flow control.


@pytest.mark.parametrize("window_bytes", [65_536, 131_072])
def test_answer_to_a_slow_reader_takes_bounded_memory(window_bytes: int) -> None:
    async def run() -> None:
        n_parts = 100
        parts = deque([bytes([n]) * 20_000 for n in range(n_parts)])
        whole = b"".join(parts)

        async def serve(request):
            return FakeAnswer(200, (), -1, parts)

        options = RouterOptions(answer_window_bytes=window_bytes)
        async with ServicePath({"a": FakeRunner(serve)}, options) as path:
            sink = MemorySink(write_s=0.05)
            peak_bytes = 0
            carried_bytes = 0

            def carry(agent_id, message) -> None:
                nonlocal carried_bytes, peak_bytes
                if isinstance(message, AnswerData):
                    carried_bytes += len(message.data)
                    peak_bytes = max(peak_bytes, carried_bytes - len(sink.body))
                path.to_router(agent_id, message)

            path.carry_to_router = carry
            spec = path.spec("x", deadline_s=now_s() + 600.0)
            outcome, _ = await path.call(spec, sink=sink)
            assert outcome.kind is OutcomeKind.DONE
            assert bytes(sink.body) == whole
            assert window_bytes / 2 < peak_bytes <= window_bytes

    run_virtual(run())


@pytest.mark.parametrize(
    "fault",
    [
        pytest.param("drop", id="dropped"),
        pytest.param("swap", id="swapped"),
        pytest.param("truncate", id="truncated-by-the-runner"),
        pytest.param("lose", id="channel-lost"),
    ],
)
def test_streamed_answer_is_complete_or_aborted(fault: str) -> None:
    async def run() -> None:
        parts = deque([b"%05d" % n * 4000 for n in range(10)])

        async def serve(request):
            return FakeAnswer(200, (), -1, parts, is_truncated=fault == "truncate")

        async with ServicePath({"a": FakeRunner(serve)}) as path:
            held = []

            def carry(agent_id, message) -> None:
                if not isinstance(message, AnswerData) or message.sequence != 2:
                    path.to_router(agent_id, message)
                elif fault == "swap":
                    held.append(message)
                elif fault == "lose":
                    path.disconnect(agent_id)
                elif fault == "truncate":
                    path.to_router(agent_id, message)
                if held and message.sequence == 3:
                    path.to_router(agent_id, held.pop())

            path.carry_to_router = carry
            sink = MemorySink()
            outcome, _ = await path.call(path.spec("x"), sink=sink)
            assert outcome.kind is OutcomeKind.UNKNOWN
            assert sink.is_aborted
            assert not sink.is_complete

    run_virtual(run())


# Draining.


def test_draining_admission_finishes_calls_and_accepts_none() -> None:
    async def run() -> None:
        runners = {"a": FakeRunner(echo_slowly(0.5)), "b": FakeRunner(echo_slowly(0.5))}
        async with ServicePath(runners) as path:
            early = [
                asyncio.create_task(path.call(path.spec(f"e{n}"))) for n in range(30)
            ]
            await asyncio.sleep(0.1)
            n_before = len(runners["a"].runs)
            assert n_before > 0
            drained = asyncio.create_task(path.admissions[A].drain())
            await asyncio.sleep(0)
            late = [
                asyncio.create_task(path.call(path.spec(f"l{n}"))) for n in range(4)
            ]
            await asyncio.sleep(0.01)
            path.send_status(A, draining=True)
            ended = await asyncio.gather(*early, *late)
            assert {outcome.kind for outcome, _ in ended} == {OutcomeKind.DONE}
            await drained
            n_after = len(runners["a"].runs)
            assert not any(name.startswith("l") for name in runners["a"].runs)
            later = [path.call(path.spec(f"x{n}")) for n in range(20)]
            await asyncio.gather(*later)
            assert len(runners["a"].runs) == n_after

    run_virtual(run())


def test_draining_router_finishes_calls_and_accepts_none() -> None:
    async def run() -> None:
        runner = FakeRunner(echo_slowly(0.5))
        async with ServicePath({"a": runner}) as path:
            calls = [
                asyncio.create_task(path.call(path.spec(f"e{n}", n % 2 == 0)))
                for n in range(8)
            ]
            await asyncio.sleep(0.1)
            drained = asyncio.create_task(path.router.drain())
            await asyncio.sleep(0)
            refused, _ = await path.call(path.spec("late"))
            assert refused.kind is OutcomeKind.NOT_RUN
            assert path.router.n_in_flight() == 8
            await drained
            assert path.router.n_in_flight() == 0
            assert len(path.claims.settled) == 4
            for call in calls:
                assert call.result()[0].kind is OutcomeKind.DONE
            assert "late" not in runner.runs

    run_virtual(run())


def test_a_handler_that_is_cancelled_settles_its_claim() -> None:
    async def run() -> None:
        async with ServicePath({"a": FakeRunner(echo_slowly(0.5))}) as path:
            call = asyncio.create_task(path.call(path.spec("x", False)))
            await asyncio.sleep(0.1)
            call.cancel()
            await asyncio.sleep(1.0)
            assert path.claims.settled[RequestId("x")].kind is OutcomeKind.DONE
            again, _ = await path.call(path.spec("x", False))
            assert again.state is ClaimState.TAKEN

    run_virtual(run())


def test_a_cancel_before_the_first_step_frees_the_slot() -> None:
    async def run() -> None:
        async with ServicePath({"a": FakeRunner(echo)}) as path:
            path.carry_to_router = recorder = MessageRecorder()
            path.admissions[A].on_message(ENTRY, opening(1))
            path.admissions[A].on_message(ENTRY, CallCancel(1, 1, SERVICE))
            await asyncio.sleep(0.1)
            assert path.admissions[A].status().n_busy == 0
            assert isinstance(recorder.messages[0][1], CallEnded)

    run_virtual(run())


async def wait_until(condition) -> None:
    for _ in range(MAX_POLLS):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("the condition was not met in time")


def now_s() -> float:
    return asyncio.get_running_loop().time()
