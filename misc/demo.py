"""Demonstration: runs a hand-back order and live callers on a local fleet.

Phases:

1. Start a local fleet: the store, three entries, ten agents with their workers and
   runners, all on loopback.
2. Submit a configuration and an order whose records are validated, cut,
   transcribed and delivered, while callers request clips and compare every byte.
3. With ``--faults``: kill an agent that owns shards, kill an entry, and pause another
   agent for longer than its lease; each is replaced or resumed.
4. Compare the ordered records with those that the workers delivered, and print the
   figures as one JSON object on the last line. Ends with 1 when a guarantee is
   violated.
"""

import argparse
import asyncio
import hashlib
import json
import os
import random
import signal
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from typing import Any, Final, TypeVar

import aiohttp
from local_fleet import FleetShape, LocalFleet

from almondspan import ExitCode, FileFaults, Plan
from almondspan.answers import Accepted, ConfigStatus, Ledger, Shards
from almondspan.client import AdminClient, Connection, Refused
from almondspan.job_commands import submit_jobs
from almondspan_standins.bodies import clip_body

ORDER: Final = "return-to-partner"
TEAM: Final = "archive"
STAGES: Final = ("validate", "cut", "transcribe", "deliver")
RUN_S: Final = {"validate": 0.1, "cut": 0.2, "transcribe": 0.5, "deliver": 0.1}
NOT_IDEMPOTENT: Final = frozenset({"deliver"})
CALL_TIMEOUT_S: Final = 2.0
CALL_PAUSE_S: Final = 0.04
N_CALLERS: Final = 12
DEADLINE_S: Final = 90.0
POLL_S: Final = 1.0
PAUSE_S: Final = 12.0
"""Longer than the sum of the horizon, the worker's lease and the margin."""


Value = TypeVar("Value")


@dataclass
class CallTally:
    """Outcomes and latencies of the callers' requests."""

    n_complete: int = 0
    n_wrong: int = 0
    n_not_run: int = 0
    n_unknown: int = 0
    latencies_ms: list[float] = field(default_factory=list)

    @property
    def n_calls(self) -> int:
        """The number of requests made."""
        return self.n_complete + self.n_wrong + self.n_not_run + self.n_unknown


def quantile(values: list[float], share: float) -> float:
    """Return a quantile, 0 if there are no values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 2)


def make_plan(token: str, n_records: int, deadline: datetime) -> Plan:
    """Declare the service, the team, the stages and the order with its records."""
    plan = Plan()
    plan.service("clips", objective_latency_ms=250.0)
    digest = hashlib.sha256(token.encode()).hexdigest()
    plan.team(TEAM, quota_share=0.8, token_sha256=digest, operator=True)
    for stage in STAGES:
        plan.task_class(
            stage,
            cpu_millicores=1000,
            memory_mb=1000,
            declared_run_s=RUN_S[stage],
            idempotent=stage not in NOT_IDEMPOTENT,
        )
    order = plan.order(ORDER, TEAM, deadline, STAGES, max_attempts=20)
    for number in range(n_records):
        record = f"record-{number:04d}"
        payload = json.dumps({"run_s_by_class": RUN_S, "record": record})
        order.record(record, payload.encode())
    return plan


def require_valid(value: Value | FileFaults) -> Value:
    """Return a plan's result; raise if it has faults."""
    if isinstance(value, FileFaults):
        raise RuntimeError(str(value))
    return value


class Demo:
    """One run of the demonstration."""

    def __init__(self, n_records: int, with_faults: bool, seed: int) -> None:
        self.n_records = n_records
        self.with_faults = with_faults
        self.rng = random.Random(seed)
        self.fleet = LocalFleet(FleetShape(seed=seed))
        self.calls = CallTally()
        self.is_done = False
        self.n_concurrent_duplicates = 0
        self.session: aiohttp.ClientSession | None = None
        self.client: AdminClient | None = None
        self.clients: list[AdminClient] = []
        self.deadline = datetime.now(UTC) + timedelta(seconds=DEADLINE_S)
        self.plan = make_plan(self.fleet.token, n_records, self.deadline)
        self.faults: asyncio.Task[None] | None = None

    async def run(self) -> dict[str, Any]:
        """Run all phases and return the figures."""
        log_progress("starting the fleet")
        timeout = aiohttp.ClientTimeout(total=10.0)
        async with aiohttp.ClientSession(timeout=timeout) as self.session:
            try:
                await self.fleet.start()
                await self._connect()
                return await self._serve()
            finally:
                self.is_done = True
                for client in self.clients:
                    await client.close()
                await self.fleet.close()

    async def _connect(self) -> None:
        # Earlier clients stay open: a request may still be in progress.
        self.client = AdminClient(
            Connection(tuple(self.fleet.admin_urls), self.fleet.token)
        )
        self.clients.append(self.client)
        await self.client.start()

    async def _serve(self) -> dict[str, Any]:
        await self._configure()
        await self._wait_until_ready()
        background = [asyncio.create_task(self._call(n)) for n in range(N_CALLERS)]
        background.append(asyncio.create_task(self._watch_duplicate_runs()))
        await self._submit()
        if self.with_faults:
            self.faults = asyncio.create_task(self._inject_faults())
            background.append(self.faults)
        ledger = await self._wait_until_ended(background)
        self.is_done = True
        await asyncio.gather(*background)
        return await self._figures(ledger)

    async def _configure(self) -> None:
        assert self.client is not None
        body = {"expected_revision": 0, "toml": require_valid(self.plan.config_text())}
        accepted = await self.client.post("/v1/config", body, Accepted)
        if not isinstance(accepted, Accepted):
            raise RuntimeError(f"the configuration was refused: {accepted}")
        log_progress(f"configuration accepted as revision {accepted.revision}")

    async def _wait_until_ready(self) -> None:
        assert self.client is not None
        while True:
            config = await self.client.get("/v1/config/status", ConfigStatus)
            shards = await self.client.get("/v1/fleet/shards", Shards)
            if isinstance(config, ConfigStatus) and isinstance(shards, Shards):
                n_owned = sum(bool(shard.owner) for shard in shards.shards)
                in_force = bool(config.shares) and config.shares[0].share == 1.0
                if in_force and n_owned == self.fleet.shape.n_shards:
                    log_progress(
                        f"{n_owned} shards owned; configuration in force everywhere"
                    )
                    return
            await asyncio.sleep(0.2)

    async def _submit(self) -> None:
        assert self.client is not None
        jobs = require_valid(self.plan.order_jobs(ORDER))
        while True:
            result = await submit_jobs(self.client, jobs)
            log_progress(result.text)
            if result.code is ExitCode.DONE:
                return
            if result.code not in (ExitCode.NOT_DONE, ExitCode.UNKNOWN):
                raise RuntimeError(f"the order was refused: {result.text}")
            await asyncio.sleep(0.5)

    async def _call(self, caller: int) -> None:
        rng = random.Random(caller)
        while not self.is_done:
            clip = f"clip-{rng.randrange(10_000)}"
            url = rng.choice(self.fleet.call_urls)
            await self._call_once(f"{url}/call/clips/clip/{clip}", clip, f"c{caller}")
            await asyncio.sleep(CALL_PAUSE_S)

    async def _call_once(self, url: str, clip: str, caller: str) -> None:
        assert self.session is not None
        headers = {"X-Caller": caller, "X-Timeout-Ms": str(1000 * CALL_TIMEOUT_S)}
        started_s = time.monotonic()
        try:
            async with self.session.get(url, headers=headers) as response:
                body = await response.read()
        except aiohttp.ClientConnectorError:
            # Not counted: a load balancer would avoid an entry that does not listen.
            return
        except (aiohttp.ClientError, TimeoutError):
            self.calls.n_unknown += 1
            return
        if response.status == 200 and body == clip_body(clip):
            self.calls.n_complete += 1
            self.calls.latencies_ms.append(1000 * (time.monotonic() - started_s))
        elif response.status == 200:
            self.calls.n_wrong += 1
        elif response.headers.get("X-Outcome") == "not_run":
            self.calls.n_not_run += 1
        else:
            self.calls.n_unknown += 1

    async def _watch_duplicate_runs(self) -> None:
        """Count tasks that two workers run at the same time."""
        while not self.is_done:
            reports = await asyncio.gather(*map(self._debug, self.fleet.worker_urls))
            running = Counter(
                task for report in reports for task, _ in report.get("running", [])
            )
            self.n_concurrent_duplicates += sum(count > 1 for count in running.values())
            await asyncio.sleep(0.2)

    async def _debug(self, url: str) -> dict[str, Any]:
        assert self.session is not None
        try:
            async with self.session.get(f"{url}/debug") as response:
                found: dict[str, Any] = await response.json()
                return found
        except (aiohttp.ClientError, TimeoutError):
            return {}

    async def _inject_faults(self) -> None:
        await asyncio.sleep(2.0)
        owner = await self._find_owner()
        log_progress(f"killing the owner's agent {owner}")
        await self.fleet.agents[owner].kill()
        await asyncio.sleep(2.0)
        await self.fleet.replace_agent(owner)
        log_progress("killing entry 0")
        await self.fleet.entries[0].kill()
        await asyncio.sleep(2.0)
        await self.fleet.replace_entry(0)
        await self._connect()
        paused = (owner + 3) % len(self.fleet.agents)
        log_progress(f"pausing agent {paused} for {PAUSE_S:.0f} s")
        self.fleet.agents[paused].signal(signal.SIGSTOP)
        await asyncio.sleep(PAUSE_S)
        self.fleet.agents[paused].signal(signal.SIGCONT)
        log_progress(f"agent {paused} is resumed")

    async def _find_owner(self) -> int:
        assert self.client is not None
        shards = await self.client.get("/v1/fleet/shards", Shards)
        owners = [s.owner for s in shards.shards] if isinstance(shards, Shards) else []
        for index in range(len(self.fleet.agents)):
            if any(owner.startswith(f"agent-{index}-") for owner in owners):
                return index
        return 0

    async def _wait_until_ended(self, background: list[asyncio.Task[None]]) -> Ledger:
        assert self.client is not None
        while True:
            await asyncio.sleep(POLL_S)
            for task in background:
                if task.done() and task.exception() is not None:
                    await task
            ledger = await self.client.get(f"/v1/orders/{ORDER}", Ledger)
            if isinstance(ledger, Refused):
                raise RuntimeError(f"the ledger was refused: {ledger}")
            if not isinstance(ledger, Ledger):
                log_progress(f"the ledger is not available: {ledger.reason}")
                continue
            n_ended = sum(job.state == "ended" for job in ledger.jobs)
            log_progress(
                f"{n_ended} of {self.n_records} records ended, "
                f"{self.calls.n_complete} calls served"
            )
            is_complete = ledger.n_shards_missing == 0 and n_ended >= self.n_records
            faults_over = self.faults is None or self.faults.done()
            is_late = time.time() > self.deadline.timestamp()
            if (is_complete and faults_over) or is_late:
                return ledger

    async def _figures(self, ledger: Ledger) -> dict[str, Any]:
        reports = await asyncio.gather(*map(self._debug, self.fleet.worker_urls))
        delivered = Counter(
            effect["record"]
            for report in reports
            for effect in report["ledger"]
            if effect["effect"] == "deliver"
        )
        ended = [job for job in ledger.jobs if job.state == "ended"]
        outcomes = Counter(job.outcome.kind.value for job in ended if job.outcome)
        deadline_unix_s = self.deadline.timestamp()
        n_met = sum(job.ended_unix_s <= deadline_unix_s for job in ended)
        calls = self.calls
        return {
            "records_ordered": self.n_records,
            "records_delivered": len(delivered),
            "records_duplicated": sum(count > 1 for count in delivered.values()),
            "records_by_outcome": dict(sorted(outcomes.items())),
            "deadline_met": n_met == self.n_records,
            "calls": calls.n_calls,
            "calls_whole": calls.n_complete,
            "calls_wrong": calls.n_wrong,
            "calls_not_run": calls.n_not_run,
            "calls_unknown": calls.n_unknown,
            "call_p50_ms": quantile(calls.latencies_ms, 0.5),
            "call_p99_ms": quantile(calls.latencies_ms, 0.99),
            "n_evictions": sum(job.n_evictions for job in ledger.jobs),
            "n_tasks_in_two_places": self.n_concurrent_duplicates,
            "n_over_capacity": sum(report["n_over_capacity"] for report in reports),
        }


def violated_guarantees(figures: dict[str, Any]) -> list[str]:
    """Return the guarantees that are violated according to the figures."""
    n_named = sum(
        count for kind, count in figures["records_by_outcome"].items() if kind != "done"
    )
    checks = {
        "a record is missing without a reason": figures["records_delivered"] + n_named
        >= figures["records_ordered"],
        "a record was delivered twice": figures["records_duplicated"] == 0,
        "the deadline was missed": figures["deadline_met"],
        "a caller got a wrong answer": figures["calls_wrong"] == 0,
        "no call was served": figures["calls_whole"] > 0,
        "a task ran in two places": figures["n_tasks_in_two_places"] == 0,
        "a worker was over its capacity": figures["n_over_capacity"] == 0,
    }
    return [text for text, holds in checks.items() if not holds]


def log_progress(text: str) -> None:
    """Print a timestamped line of progress."""
    print(f"[{time.strftime('%H:%M:%S')}] {text}", flush=True)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--faults", action="store_true")
    parser.add_argument("--records", type=int, default=500)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    os.environ.setdefault("PYTHONDONTWRITEBYTECODE", "1")
    demo = Demo(options.records, options.faults, options.seed)
    figures = asyncio.run(demo.run())
    for text in violated_guarantees(figures):
        print(f"BROKEN: {text}", file=sys.stderr)
    print(json.dumps(figures))
    return 1 if violated_guarantees(figures) else 0


if __name__ == "__main__":
    raise SystemExit(main())
