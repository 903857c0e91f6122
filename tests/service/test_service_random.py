"""Guarantees of the service path under random calls and faults.

A non-idempotent call runs at most once, and never if it is reported as `NOT_RUN`.
Every call ends by its deadline, with its own complete answer or with an error. The
environment variable ``SERVICE_SEEDS`` sets the number of seeds.
"""

import asyncio
import os
from collections import Counter, deque
from random import Random

import pytest
from lossy_transport import LossyTransport
from service_path import (
    FakeAnswer,
    FakeRunner,
    MemoryBody,
    MemorySink,
    ServicePath,
    read_request,
)
from virtual_clock import run_virtual

from almondspan_decisions.ids import AgentId, CallerId
from almondspan_decisions.outcomes import Outcome, OutcomeKind
from almondspan_service.admission_options import AdmissionOptions
from almondspan_service.runner_client import RunnerFault
from almondspan_tasks.job_client import Claim

N_CALLS = 150
N_SEEDS = int(os.environ.get("SERVICE_SEEDS", "25"))
SLACK_S = 0.05


class FaultSimulation:
    """One random run: a path, its faults, and the runs seen by its runners."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.runs: Counter[str] = Counter()
        self.non_idempotent: set[str] = set()
        self.not_run: set[str] = set()
        names = ["a", "b", "c"]
        runners = {name: FakeRunner(self.serve) for name in names}
        options = AdmissionOptions(n_connections=16, n_remembered_calls=64)
        self.path = ServicePath(runners, admission_options=options, seed=seed)
        self.transport = LossyTransport(self.path, self.rng)
        self.agents = [AgentId(name) for name in names]
        self.n_by_outcome: Counter[OutcomeKind] = Counter()

    async def serve(self, request) -> FakeAnswer | RunnerFault:
        name = dict(request.headers)["X-Request-Id"]
        chance = self.rng.random()
        if chance < 0.05:
            return RunnerFault(False, "refused")
        self.runs[name] += 1
        assert name not in self.not_run, "ran after it was reported as not run"
        assert name not in self.non_idempotent or self.runs[name] == 1, "ran twice"
        body = await read_request(request)
        slowdown = 50.0 if self.rng.random() < 0.05 else 1.0
        await asyncio.sleep(self.rng.random() * 0.1 * slowdown)
        if chance < 0.1:
            return RunnerFault(True, "reset")
        answer = answer_for(name, body)
        truncated = chance < 0.15
        if truncated:
            answer = answer[: len(answer) // 2]
        length_known = chance < 0.6
        parts = deque(answer[n : n + 30_000] for n in range(0, len(answer), 30_000))
        length = len(answer_for(name, body)) if length_known else -1
        return FakeAnswer(200, (), length, parts, is_truncated=truncated)

    async def call(self, n: int) -> None:
        rng = self.rng
        await asyncio.sleep(rng.random() * 10.0)
        idempotent = rng.random() < 0.5
        name = f"id{n}" if rng.random() < 0.9 else f"id{rng.randrange(N_CALLS)}"
        name = ("i" if idempotent else "c") + name
        if not idempotent:
            self.non_idempotent.add(name)
        body = name.encode() * rng.choice([0, 1, 1000, 30_000])
        sink = MemorySink(write_s=rng.choice([0.0, 0.0, 0.05]))
        now_s = asyncio.get_running_loop().time()
        spec = self.path.spec(
            name,
            idempotent,
            caller=CallerId(f"caller{rng.randrange(5)}"),
            deadline_s=now_s + rng.choice([0.05, 1.0, 4.0, 15.0]),
            body_bytes=rng.choice([len(body), -1]) if body else 0,
        )
        if rng.random() < 0.1:
            asyncio.get_running_loop().call_later(rng.random(), disconnect_caller, sink)
        body_truncated = rng.random() < 0.05
        ended = await self.path.router.call(
            spec, MemoryBody(deque([body] if body else []), body_truncated), sink
        )
        late_s = asyncio.get_running_loop().time() - spec.deadline_s
        assert late_s <= SLACK_S, "ended after its deadline"
        self.check(name, body, sink, ended)

    def check(
        self, name: str, body: bytes, sink: MemorySink, ended: Outcome | Claim
    ) -> None:
        expected = answer_for(name, body)
        assert expected.startswith(bytes(sink.body)), "got the answer of another call"
        assert not (sink.is_complete and sink.is_aborted)
        if sink.is_complete:
            assert bytes(sink.body) == expected, (
                "a truncated answer was reported as complete"
            )
        if isinstance(ended, Claim):
            assert sink.status == 0
            return
        self.n_by_outcome[ended.kind] += 1
        assert sink.is_complete == (ended.kind is OutcomeKind.DONE)
        if ended.kind is OutcomeKind.NOT_RUN and name in self.non_idempotent:
            assert self.runs[name] == 0
            self.not_run.add(name)
        if ended.kind is OutcomeKind.DONE:
            assert self.runs[name] >= 1

    async def break_channels(self) -> None:
        for _ in range(self.rng.randrange(6)):
            await asyncio.sleep(self.rng.random() * 4.0)
            agent_id = self.rng.choice(self.agents)
            await self.transport.break_channel(agent_id)

    async def drain_one(self) -> None:
        await asyncio.sleep(self.rng.random() * 10.0)
        admission = self.path.admissions[self.rng.choice(self.agents)]
        await admission.drain()
        assert admission.status().n_busy == 0
        await asyncio.sleep(self.rng.random())
        admission.resume()

    async def claim_outage(self) -> None:
        await asyncio.sleep(self.rng.random() * 10.0)
        self.path.claims.up = False
        await asyncio.sleep(self.rng.random())
        self.path.claims.up = True

    async def run(self) -> None:
        async with self.path:
            calls = [self.call(n) for n in range(N_CALLS)]
            await asyncio.gather(
                *calls,
                self.break_channels(),
                self.break_channels(),
                self.drain_one(),
                self.claim_outage(),
            )
            assert self.path.router.n_in_flight() == 0
            await asyncio.sleep(60.0)
            self.check_end_state()

    def check_end_state(self) -> None:
        """Check that no call is left and that every claim has its true outcome."""
        for admission in self.path.admissions.values():
            assert (admission.status().n_busy, admission.status().n_queued) == (0, 0)
        assert self.path.router.n_open_attempts() == 0
        claims = self.path.claims
        assert set(claims.settled) == set(claims.holders)
        for name, outcome in claims.settled.items():
            if outcome.kind is OutcomeKind.NOT_RUN:
                assert self.runs[name] == 0
            if outcome.kind is OutcomeKind.DONE:
                assert self.runs[name] == 1


def answer_for(name: str, body: bytes) -> bytes:
    return f"/{name}|".encode() + body


def disconnect_caller(sink: MemorySink) -> None:
    sink.disconnected = True


@pytest.mark.parametrize("seed", range(N_SEEDS))
def test_guarantees_hold_under_random_faults(seed: int) -> None:
    simulation = FaultSimulation(seed)
    run_virtual(simulation.run())
    assert simulation.n_by_outcome[OutcomeKind.DONE] > N_CALLS // 4


def test_random_runs_exercise_the_faults() -> None:
    simulations = [FaultSimulation(seed) for seed in range(5)]
    for simulation in simulations:
        run_virtual(simulation.run())
    assert sum(simulation.transport.n_lost for simulation in simulations) > 0
    assert sum(simulation.transport.n_stale for simulation in simulations) > 0
    kinds = {kind for simulation in simulations for kind in simulation.n_by_outcome}
    assert {OutcomeKind.NOT_RUN, OutcomeKind.UNKNOWN, OutcomeKind.CANCELLED} < kinds
    counters = [simulation.path.router.counters for simulation in simulations]
    assert sum(one.n_retries for one in counters) > 0
    assert sum(one.n_hedges for one in counters) > 0
    assert sum(one.n_late_answers for one in counters) > 0
