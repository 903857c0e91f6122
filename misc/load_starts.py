"""Load test of task starts at the design rate, with real processes.

Starts a local fleet, submits single-stage jobs at a constant rate, a share of them
urgent, waits until they have ended and prints the figures as JSON, including the
calls of the store. The wait of a job is the time from its submission to its
committed end minus its run time, which is an upper bound of the time to its start.
Ends with 1 when a target is missed.
"""

import argparse
import asyncio
import hashlib
import json
import random
import time
from typing import Any, Final

import aiohttp
import psutil
from local_fleet import FleetShape, LocalFleet

from almondspan import FileFaults, Plan
from almondspan.answers import Accepted, ConfigStatus, Jobs, Shards, SubmitResults
from almondspan.client import AdminClient, Connection

STARTS_PER_S: Final = 94.0
URGENT_SHARE: Final = 0.05
URGENT_LIMIT_S: Final = 3.3
MAX_WRITES_PER_S: Final = 300.0
RUN_S: Final = 1.0
LONG_RUN_S: Final = 3600.0
TICK_S: Final = 0.25
TEAM: Final = "load"
STATUS_BATCH: Final = 500


def quantile(values: list[float], share: float) -> float:
    """Return a quantile, 0 if there are no values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 3)


def job_body(job_id: str, urgent: bool, run_s: float = RUN_S) -> dict[str, Any]:
    """Return a job in the form of the administration API."""
    payload = json.dumps({"run_s": run_s, "effect": "load", "record": job_id})
    stage = {
        "task_class": "short",
        "cpu_millicores": 500,
        "memory_mb": 500,
        "declared_run_s": run_s,
        "payload": payload.encode(),
    }
    return {"job_id": job_id, "team": TEAM, "stages": [stage], "urgent": urgent}


class StartLoad:
    """One run of the load test."""

    def __init__(self, seconds: float, rate_per_s: float, shape: FleetShape) -> None:
        self.seconds = seconds
        self.rate_per_s = rate_per_s
        self.fleet = LocalFleet(shape)
        self.rng = random.Random(shape.seed)
        self.submitted_s: dict[str, float] = {}
        self.urgent: set[str] = set()
        self.n_unanswered = 0
        self.client: AdminClient | None = None

    async def run(self) -> dict[str, Any]:
        """Run all phases and return the figures."""
        try:
            await self.fleet.start()
            return await self._measure()
        finally:
            await self.close()

    async def connect(self) -> None:
        """Connect the client and wait until the configuration is in force."""
        connection = Connection(tuple(self.fleet.admin_urls), self.fleet.token)
        self.client = AdminClient(connection)
        await self.client.start()
        await self._configure()

    async def close(self) -> None:
        """Close the client and the fleet."""
        if self.client is not None:
            await self.client.close()
        await self.fleet.close()

    async def submit_long(self, job_ids: list[str]) -> None:
        """Submit jobs that run longer than any measurement."""
        if not job_ids:
            return
        bodies = [job_body(job_id, False, LONG_RUN_S) for job_id in job_ids]
        answer = await self.client.post("/v1/jobs", {"jobs": bodies}, SubmitResults)
        if not isinstance(answer, SubmitResults):
            raise RuntimeError(str(answer))

    async def _measure(self) -> dict[str, Any]:
        await self.connect()
        before = await self._snapshot()
        await self._submit_all()
        jobs = await self._wait_until_ended()
        after = await self._snapshot()
        return self._figures(jobs, before, after)

    async def _configure(self) -> None:
        plan = Plan()
        digest = hashlib.sha256(self.fleet.token.encode()).hexdigest()
        plan.team(TEAM, 1.0, digest, operator=True, max_requests_per_s=1000.0)
        plan.task_class("short", 500, 500, declared_run_s=RUN_S)
        text = plan.config_text()
        if isinstance(text, FileFaults):
            raise RuntimeError(str(text))
        body = {"expected_revision": 0, "toml": text}
        accepted = await self.client.post("/v1/config", body, Accepted)
        if not isinstance(accepted, Accepted):
            raise RuntimeError(str(accepted))
        is_ready = False
        while not is_ready:
            await asyncio.sleep(0.2)
            is_ready = await self._is_ready()

    async def _is_ready(self) -> bool:
        config = await self.client.get("/v1/config/status", ConfigStatus)
        shards = await self.client.get("/v1/fleet/shards", Shards)
        if not isinstance(config, ConfigStatus) or not isinstance(shards, Shards):
            return False
        in_force = bool(config.shares) and config.shares[0].share == 1.0
        return in_force and all(shard.owner for shard in shards.shards)

    async def _snapshot(self) -> dict[str, Any]:
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"{self.fleet.store_url}/debug") as response,
        ):
            calls = (await response.json())["n_calls"]
        cpu_s = {
            role: sum(_cpu_s(process.pid) for process in processes)
            for role, processes in (
                ("agents", self.fleet.agents),
                ("entries", self.fleet.entries),
            )
        }
        return {"at_s": time.monotonic(), "calls": calls, "cpu_s": cpu_s}

    async def _submit_all(self) -> None:
        started_s = time.monotonic()
        sending: list[asyncio.Task[None]] = []
        n_sent = 0
        while time.monotonic() - started_s < self.seconds:
            due = int((time.monotonic() - started_s) * self.rate_per_s)
            batch = [f"job-{number:06d}" for number in range(n_sent, due)]
            n_sent = max(due, n_sent)
            if batch:
                sending.append(asyncio.create_task(self._submit(batch)))
            await asyncio.sleep(TICK_S)
        await asyncio.gather(*sending)

    async def _submit(self, job_ids: list[str]) -> None:
        bodies = []
        for job_id in job_ids:
            is_urgent = self.rng.random() < URGENT_SHARE
            if is_urgent:
                self.urgent.add(job_id)
            self.submitted_s[job_id] = time.time()
            bodies.append(job_body(job_id, is_urgent))
        answer = await self.client.post("/v1/jobs", {"jobs": bodies}, SubmitResults)
        if not isinstance(answer, SubmitResults):
            self.n_unanswered += len(job_ids)

    async def _wait_until_ended(self) -> dict[str, Any]:
        ended: dict[str, Any] = {}
        give_up_s = time.monotonic() + 60.0
        while len(ended) < len(self.submitted_s) and time.monotonic() < give_up_s:
            await asyncio.sleep(0.5)
            open_ids = [job_id for job_id in self.submitted_s if job_id not in ended]
            for first in range(0, len(open_ids), STATUS_BATCH):
                body = {"job_ids": open_ids[first : first + STATUS_BATCH]}
                answer = await self.client.post("/v1/jobs/status", body, Jobs)
                if isinstance(answer, Jobs):
                    found = [job for job in answer.jobs if job.state == "ended"]
                    ended.update({job.job_id: job for job in found})
        return ended

    def _figures(
        self, jobs: dict[str, Any], before: dict[str, Any], after: dict[str, Any]
    ) -> dict[str, Any]:
        waits = {
            job_id: job.ended_unix_s - self.submitted_s[job_id] - RUN_S
            for job_id, job in jobs.items()
        }
        urgent = [wait for job_id, wait in waits.items() if job_id in self.urgent]
        elapsed_s = after["at_s"] - before["at_s"]
        calls = {
            kind: (after["calls"].get(kind, 0) - before["calls"].get(kind, 0))
            for kind in after["calls"]
        }
        n_done = sum(job.outcome.kind.value == "done" for job in jobs.values())
        cpu_s = {
            role: after["cpu_s"][role] - before["cpu_s"][role]
            for role in after["cpu_s"]
        }
        n_starts = max(1, n_done)
        return {
            "seconds": round(elapsed_s, 1),
            "n_shards": self.fleet.shape.n_shards,
            "n_agents": self.fleet.shape.n_nodes,
            "starts_per_s": round(n_done / self.seconds, 1),
            "n_submitted": len(self.submitted_s),
            "n_done": n_done,
            "n_attempts": sum(job.n_attempts for job in jobs.values()),
            "n_not_taken": self.n_unanswered,
            "wait_p50_s": quantile(list(waits.values()), 0.5),
            "wait_p99_s": quantile(list(waits.values()), 0.99),
            "urgent_wait_p50_s": quantile(urgent, 0.5),
            "urgent_wait_p99_s": quantile(urgent, 0.99),
            "store_calls": calls,
            "store_writes_per_s": round(calls.get("write", 0) / elapsed_s, 1),
            "writes_per_start": round(calls.get("write", 0) / n_starts, 3),
            "agent_cpu_ms_per_start": round(1000 * cpu_s["agents"] / n_starts, 2),
            "entry_cpu_ms_per_start": round(1000 * cpu_s["entries"] / n_starts, 2),
        }


def _cpu_s(pid: int) -> float:
    times = psutil.Process(pid).cpu_times()
    return float(times.user + times.system)


def missed_targets(figures: dict[str, Any]) -> list[str]:
    """Return the targets that the figures miss."""
    checks = {
        "not every job was done": figures["n_done"] == figures["n_submitted"],
        "too many store writes": figures["store_writes_per_s"] < MAX_WRITES_PER_S,
        "urgent work waited": figures["urgent_wait_p99_s"] < URGENT_LIMIT_S,
    }
    return [text for text, holds in checks.items() if not holds]


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--rate", type=float, default=STARTS_PER_S)
    parser.add_argument("--shards", type=int, default=64)
    parser.add_argument("--nodes", type=int, default=10)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--cpu-millicores", type=int, default=16_000)
    options = parser.parse_args()
    shape = FleetShape(
        n_nodes=options.nodes,
        n_shards=options.shards,
        cpu_millicores=options.cpu_millicores,
        seed=options.seed,
    )
    load = StartLoad(options.seconds, options.rate, shape)
    figures = asyncio.run(load.run())
    missed = missed_targets(figures)
    print(json.dumps({**figures, "missed": missed}, indent=1))
    return 1 if missed else 0


if __name__ == "__main__":
    raise SystemExit(main())
