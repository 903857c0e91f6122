"""Measures the policies on real processes and compares them with baselines.

For each mix, seed and policy combination, one after the other:

1. Start a fleet on loopback: store, entries, agents, workers and runners.
2. Submit the configuration with the policies and wait until it is in force.
3. After a warm-up for learning, send open-loop calls whose load varies by a factor of
   five, and submit batch tasks. Meanwhile a worker fails all tasks for a while, the
   store has an outage for a tenth of the time, and its watches become silent.
4. Collect the figures of the callers, the workers and the runners.

Prints a table with the median and the spread over the seeds and compares the medians
with the targets; writes all figures as JSON. Ends with 1 when an invariant was
violated.

    python misc/measure.py [--mix archive] [--seeds 2] [--seconds 20] [--json F]
"""

import argparse
import asyncio
import contextlib
import hashlib
import json
import os
import random
import statistics
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import aiohttp
from measure_fleet import TIME_SCALE, MixFleet, Observer
from measure_load import (
    COMBINATIONS,
    LoadSwings,
    PlannedTask,
    PolicyCombination,
    job_of,
    planned_tasks,
    read_mix,
)
from measure_targets import print_targets

from almondspan import ExitCode, FileFaults, Plan
from almondspan.answers import Accepted, ConfigStatus, Shards
from almondspan.client import AdminClient, Connection
from almondspan.job_commands import submit_jobs
from almondspan_decisions.ids import TeamName
from almondspan_decisions.latency_sketch import LatencySketch
from almondspan_standins.bodies import clip_body

TEAM: Final = TeamName("team")
N_SLOTS: Final = 8
SUBMIT_S: Final = 0.25
READY_TIMEOUT_S: Final = 40.0
CALL_TIMEOUT_S: Final = 10.0
WARM_UP_S: Final = 10.0
"""Time under load before the measurement, for learning and filling queues."""

FAIL_ALL: Final = (0.2, 0.5)
OUTAGE: Final = (0.5, 0.6)
WATCH_SILENT: Final = (0.7, 0.9)
"""Begin and end of each fault, as shares of the measured time."""

DEFAULT_POLICIES: Final = (
    "no_batch,almondspan,least_loaded,random,static_partition,naive_eviction"
)


@dataclass
class Calls:
    """Outcomes and latencies of calls as seen by the callers.

    Latencies are those of successful calls; other calls count as calls that missed
    their objective.
    """

    latencies: LatencySketch = field(default_factory=LatencySketch)
    peak: LatencySketch = field(default_factory=LatencySketch)
    n_peak: int = 0
    n_peak_met: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    n_wrong: int = 0


class Measurement:
    """Measurement of one policy combination on one mix with one seed."""

    def __init__(
        self,
        mix: dict[str, Any],
        combination: PolicyCombination,
        seed: int,
        seconds: float,
    ) -> None:
        self.mix = mix
        self.combination = combination
        self.seed = seed
        self.seconds = WARM_UP_S + seconds
        self.measured_s = seconds
        self.fleet = MixFleet(mix, combination, seed)
        self.swings = LoadSwings(mix, seed, self.seconds)
        self.calls = Calls()
        self.tasks: dict[str, PlannedTask] = {}
        self.started_s = 0.0
        self.n_refused_jobs = 0
        self.pending: set[asyncio.Task[None]] = set()

    def now_s(self) -> float:
        """Return the time since the start of the load."""
        return asyncio.get_running_loop().time() - self.started_s

    async def run(self) -> dict[str, float]:
        """Run all phases and return the figures."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(
            timeout=timeout, connector=connector
        ) as self.session:
            try:
                await self.fleet.start()
                connection = Connection(tuple(self.fleet.admin_urls), self.fleet.token)
                self.client = AdminClient(connection)
                await self.client.start()
                await self._configure()
                return await self._measure()
            finally:
                with contextlib.suppress(AttributeError):
                    await self.client.close()
                await self.fleet.close()

    async def _configure(self) -> None:
        plan = Plan()
        for service in self.mix["services"]:
            objective_ms = service["objective_ms"] * TIME_SCALE
            plan.service(service["name"], objective_latency_ms=objective_ms)
        digest = hashlib.sha256(self.fleet.token.encode()).hexdigest()
        plan.team(TEAM, quota_share=1.0, token_sha256=digest, operator=True)
        for kind in self.mix["classes"]:
            plan.task_class(
                kind["name"],
                cpu_millicores=kind["cores"] * 1000,
                memory_mb=kind["memory_mb"],
            )
        plan.policies(
            queue=self.combination.queue,
            placement=self.combination.placement,
            ladder=self.combination.ladder,
        )
        text = plan.config_text()
        assert not isinstance(text, FileFaults), text
        body = {"expected_revision": 0, "toml": text}
        accepted = await self.client.post("/v1/config", body, Accepted)
        assert isinstance(accepted, Accepted), accepted
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                if await self._is_ready():
                    return
                await asyncio.sleep(0.2)

    async def _is_ready(self) -> bool:
        config = await self.client.get("/v1/config/status", ConfigStatus)
        shards = await self.client.get("/v1/fleet/shards", Shards)
        if not isinstance(config, ConfigStatus) or not isinstance(shards, Shards):
            return False
        n_owned = sum(bool(shard.owner) for shard in shards.shards)
        in_force = bool(config.shares) and config.shares[0].share == 1.0
        return in_force and n_owned == self.fleet.shape.n_shards

    async def _measure(self) -> dict[str, float]:
        self.started_s = asyncio.get_running_loop().time()
        observer = Observer(self.fleet, self.session, self.now_s)
        loops = [asyncio.create_task(observer.run())]
        loops += [
            asyncio.create_task(self._send_calls(service))
            for service in self.mix["services"]
        ]
        if self.combination.batch:
            loops.append(asyncio.create_task(self._submit_tasks()))
        loops.append(asyncio.create_task(self._inject_faults(observer)))
        await asyncio.sleep(WARM_UP_S)
        used_core_s = -observer.used_core_s
        await asyncio.sleep(self.measured_s)
        used_core_s += observer.used_core_s
        for loop in loops:
            loop.cancel()
        ended = await asyncio.gather(*loops, return_exceptions=True)
        for result in ended:
            if isinstance(result, Exception):
                raise result
        await asyncio.gather(*self.pending)
        return self._figures(observer, await observer.node_totals(), used_core_s)

    # Calls.

    async def _send_calls(self, service: dict[str, Any]) -> None:
        rng = random.Random(f"calls {self.seed} {service['name']}")
        n_slots = service["n_runners"] * N_SLOTS
        calm_rate = self.mix["calm_load"] * n_slots
        calm_rate /= service["run_ms"] * TIME_SCALE / 1000
        due_s = 0.0
        while due_s < self.seconds:
            due_s += rng.expovariate(calm_rate * self.swings.factor_at(due_s))
            await asyncio.sleep(max(0.0, due_s - self.now_s()))
            url = rng.choice(self.fleet.call_urls)
            clip = f"clip-{rng.randrange(10_000)}"
            call = self._call(f"{url}/call/{service['name']}/clip/{clip}", clip, due_s)
            task = asyncio.create_task(self._record(call, service, due_s))
            self.pending.add(task)
            task.add_done_callback(self.pending.discard)

    async def _call(self, url: str, clip: str, due_s: float) -> str:
        headers = {
            "X-Caller": f"caller-{hash(clip) % 50}",
            "X-Timeout-Ms": str(1000 * CALL_TIMEOUT_S),
        }
        try:
            async with self.session.get(url, headers=headers) as response:
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError):
            return "unknown"
        if response.status != 200:
            outcome = response.headers.get("X-Outcome", "unknown")
            return f"{outcome}-{response.status}"
        self.calls.n_wrong += body != clip_body(clip)
        return "done"

    async def _record(self, call: Any, service: dict[str, Any], due_s: float) -> None:
        outcome = await call
        distance_ms = 2 * self.mix["client_distance_ms"] * TIME_SCALE
        latency_ms = 1000 * (self.now_s() - due_s) + distance_ms
        calls = self.calls
        calls.outcomes[outcome] += 1
        if due_s < WARM_UP_S:
            return
        is_peak = self.swings.is_peak(due_s)
        calls.n_peak += is_peak
        if outcome != "done":
            return
        calls.latencies.add(latency_ms)
        if is_peak:
            calls.peak.add(latency_ms)
            objective_ms = service["objective_ms"] * TIME_SCALE + distance_ms
            calls.n_peak_met += latency_ms <= objective_ms

    # Batch tasks and faults.

    async def _submit_tasks(self) -> None:
        planned = sorted(
            planned_tasks(self.mix, self.seed, self.seconds), key=lambda each: each.at_s
        )
        while planned:
            now_s = self.now_s()
            due = [each for each in planned if each.at_s <= now_s]
            planned = planned[len(due) :]
            for each in due:
                self.tasks[f"{TEAM}/{each.name}/0"] = each
            await self._submit(due)
            await asyncio.sleep(SUBMIT_S)

    async def _submit(self, due: list[PlannedTask]) -> None:
        jobs = tuple(job_of(each, TEAM) for each in due)
        while jobs:
            result = await submit_jobs(self.client, jobs)
            if result.code in (ExitCode.DONE,):
                return
            self.n_refused_jobs += 1
            await asyncio.sleep(SUBMIT_S)

    async def _inject_faults(self, observer: Observer) -> None:
        worker = self.fleet.worker_urls[-1]
        store = self.fleet.store_url
        plan = [
            (FAIL_ALL, worker, "fail_all"),
            (OUTAGE, store, "outage"),
            (WATCH_SILENT, store, "watch_silent"),
        ]
        for (begin, end), url, fault in plan:
            begin_s = WARM_UP_S + begin * self.measured_s
            end_s = WARM_UP_S + end * self.measured_s
            await asyncio.sleep(max(0.0, begin_s - self.now_s()))
            await observer.set_faults(url, {fault: True})
            await asyncio.sleep(max(0.0, end_s - self.now_s()))
            await observer.set_faults(url, {fault: False})

    # Figures.

    def _figures(
        self, observer: Observer, node_totals: list[dict[str, Any]], used_core_s: float
    ) -> dict[str, float]:
        calls = self.calls
        effects = Counter(
            effect["task_id"] for page in node_totals for effect in page["ledger"]
        )
        lost_core_s = self._lost_core_s(observer, effects)
        short, urgent = self._waits(observer)
        return {
            "p50_ms": calls.latencies.quantile(0.5),
            "p99_ms": calls.latencies.quantile(0.99),
            "p999_ms": calls.latencies.quantile(0.999),
            "crest_p99_ms": calls.peak.quantile(0.99),
            "crest_in_objective": calls.n_peak_met / max(1, calls.n_peak),
            "work_cores": used_core_s / self.measured_s - lost_core_s / self.seconds,
            "tasks_per_s": len(effects) / self.seconds,
            "short_wait_p50_s": short.quantile(0.5),
            "short_wait_p99_s": short.quantile(0.99),
            "urgent_wait_p99_s": urgent.quantile(0.99),
            "evictions": float(sum(page["n_evicted"] for page in node_totals)),
            "lost_core_s": lost_core_s,
            "n_calls": float(sum(calls.outcomes.values())),
            "n_not_done": float(sum(calls.outcomes.values()) - calls.outcomes["done"]),
            "n_jobs": float(len(self.tasks)),
            "violations": float(self._n_violations(observer, node_totals, effects)),
        }

    def _n_violations(
        self,
        observer: Observer,
        node_totals: list[dict[str, Any]],
        effects: Counter[str],
    ) -> int:
        counted = (
            "n_tasks_in_two_places",
            "n_over_capacity",
            "n_duplicate_running",
            "n_over_slots",
            "n_over_connections",
            "n_bills_repeated",
        )
        found = Counter(
            {name: sum(page[name] for page in node_totals) for name in counted}
        )
        found["effects_repeated"] = sum(count > 1 for count in effects.values())
        found["seen_in_two_places"] = observer.n_concurrent_duplicates
        found["calls_wrong"] = self.calls.n_wrong
        broken = {name: count for name, count in found.items() if count}
        if broken or set(self.calls.outcomes) != {"done"}:
            print(f"  outcomes {dict(self.calls.outcomes)}, broken {broken}")
        return found.total()

    def _lost_core_s(self, observer: Observer, effects: Counter[str]) -> float:
        """Return the work lost by evictions; 0 for policies that keep checkpoints."""
        if self.combination.ladder != "naive_eviction":
            return 0.0
        lost = 0.0
        for task, seen_s in observer.seen_s.items():
            planned = self.tasks.get(task)
            if planned is not None:
                needed_s = planned.run_s if task in effects else 0.0
                cores = planned.shape.cpu_millicores / 1000 * planned.use_share
                lost += max(0.0, seen_s - needed_s) * cores
        return lost

    def _waits(self, observer: Observer) -> tuple[LatencySketch, LatencySketch]:
        """Return the waits of short and urgent tasks, to the end if unstarted."""
        short, urgent = LatencySketch(), LatencySketch()
        for task, planned in self.tasks.items():
            seen_s = observer.first_seen_s.get(task, self.seconds)
            waited_s = max(0.001, seen_s - planned.at_s)
            if planned.at_s < WARM_UP_S:
                continue
            if planned.short:
                short.add(waited_s)
            if planned.urgent:
                urgent.add(waited_s)
        return short, urgent


Figures = dict[str, dict[str, list[dict[str, float]]]]
"""Figures by mix and policy, one set for each seed."""


def print_table(mix_name: str, figures: dict[str, list[dict[str, float]]]) -> None:
    columns = list(next(iter(figures.values()))[0])
    print(f"\n{mix_name}: median over seeds, lowest and highest below it")
    print(" " * 17 + "".join(f"{column[:12]:>13}" for column in columns))
    for policy, runs in figures.items():
        by_column = [[run[column] for run in runs] for column in columns]
        middles = "".join(f"{statistics.median(values):13.4g}" for values in by_column)
        spreads = "".join(f"{_spread(values):>13}" for values in by_column)
        print(f"{policy:17}{middles}\n{'':17}{spreads}", flush=True)


def _spread(values: list[float]) -> str:
    return f"{min(values):.3g}-{max(values):.3g}"


async def measure_all(options: argparse.Namespace) -> Figures:
    figures: Figures = {}
    for mix_name in options.mix or ["archive", "water_board"]:
        by_policy = figures.setdefault(mix_name, {})
        for seed in range(1, options.seeds + 1):
            for policy in options.policies.split(","):
                measurement = Measurement(
                    read_mix(mix_name), COMBINATIONS[policy], seed, options.seconds
                )
                found = await measurement.run()
                by_policy.setdefault(policy, []).append(found)
                print(
                    f"[{time.strftime('%H:%M:%S')}] {mix_name} seed {seed} {policy}: "
                    f"peak p99 {found['crest_p99_ms']:.0f} ms, "
                    f"work {found['work_cores']:.0f} cores, "
                    f"violations {found['violations']:.0f}",
                    flush=True,
                )
    return figures


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--mix", action="append", default=None)
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--policies", default=DEFAULT_POLICIES)
    parser.add_argument("--json", type=Path, default=None)
    options = parser.parse_args()
    os.environ.setdefault("PYTHONDONTWRITEBYTECODE", "1")
    figures = asyncio.run(measure_all(options))
    for mix_name, by_policy in figures.items():
        print_table(mix_name, by_policy)
    print_targets(figures)
    if options.json is not None:
        options.json.write_text(json.dumps(figures, indent=1))
    runs = [run for mix in figures.values() for each in mix.values() for run in each]
    return 1 if any(run["violations"] for run in runs) else 0


if __name__ == "__main__":
    sys.exit(main())
