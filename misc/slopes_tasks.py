"""Measures the cost of a task start at several start rates, in virtual time.

The agents, owners and entry of the tasks system run with their default settings on
in-memory services without faults. For each rate it prints as JSON: the processor time
per job in excess of the idle fleet's, the store's writes and reads per second, the
writes per start and the bytes per commit. The processor time includes the simulated
messages and services.
"""

import argparse
import asyncio
import json
import random
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

ROOT: Final = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests" / "tasks"))

from sim_schedule import TEAM  # noqa: E402
from sim_world import World  # noqa: E402

from almondspan_decisions.ids import JobId, TaskClass  # noqa: E402
from almondspan_decisions.shapes import Shape  # noqa: E402
from almondspan_decisions.tasks import JobSpec, StageSpec  # noqa: E402
from almondspan_standins.store_core import CallKind  # noqa: E402
from almondspan_standins.worker_core import (  # noqa: E402
    WorkerCore,
    WorkerOptions,
    task_payload,
)
from almondspan_tasks.job_client import OwnerUnavailable  # noqa: E402
from almondspan_tasks.options import AttemptAgentOptions, OwnerOptions  # noqa: E402

CAPACITY: Final = Shape(16_000, 60_000, 0)
SHAPE: Final = Shape(500, 500, 0)
WARM_UP_S: Final = 20.0
RUN_S: Final = 5.0


@dataclass
class Sums:
    """Totals at one time."""

    n_writes: int
    n_reads: int
    n_started: int
    n_commits: int
    n_bytes: int
    processor_s: float


class WideWorld(World):
    """A fleet like that of the design size: large workers and default settings."""

    def __init__(self, n_workers: int, n_shards: int, linger_s: float) -> None:
        owner = OwnerOptions(min_commit_interval_s=linger_s)
        super().__init__(1, n_workers, n_shards, AttemptAgentOptions(), owner)
        for worker_id in self.cores:
            self.cores[worker_id] = WorkerCore(  # type: ignore[assignment]
                worker_id, CAPACITY, self.loop.time, WorkerOptions(lease_s=15.0)
            )

    def sums(self) -> Sums:
        """Return the totals up to now."""
        counts = self.store.n_calls
        logs = [
            owner.log.counters
            for agent in self.live_agents()
            for shard_id, _ in agent.host.owned()
            if (owner := agent.host.owner(shard_id)) is not None
        ]
        return Sums(
            n_writes=counts[CallKind.WRITE],
            n_reads=counts[CallKind.GET] + counts[CallKind.RANGE],
            n_started=sum(core.n_started for core in self.cores.values()),
            n_commits=sum(one.n_commits for one in logs),
            n_bytes=sum(one.n_bytes_committed for one in logs),
            processor_s=time.process_time(),
        )


async def submit_steadily(world: World, rate: float, until_s: float) -> None:
    number = 0
    rng = random.Random(3)
    pending = set()
    while rate > 0 and world.loop.time() < until_s:
        await asyncio.sleep(rng.expovariate(rate))
        number += 1
        stage = StageSpec(
            TaskClass("cut"), SHAPE, RUN_S, task_payload(RUN_S, "e", f"r{number}")
        )
        spec = JobSpec(JobId(f"job-{number}"), TEAM, (stage,))
        task = world.entry.run(world.entry.job_client.submit((spec,)))
        pending.add(task)
        task.add_done_callback(pending.discard)
    for answer in await asyncio.gather(*pending):
        assert not isinstance(answer, OwnerUnavailable)


async def measure(world: WideWorld, rate: float, span_s: float) -> dict[str, Any]:
    world.entry.run(world.entry.job_client.start())
    for worker_id in world.cores:
        world.start_agent(worker_id)
    watcher = asyncio.create_task(world.watch_owners())
    await asyncio.sleep(WARM_UP_S)
    work = asyncio.create_task(
        submit_steadily(world, rate, world.loop.time() + span_s + 2 * RUN_S)
    )
    await asyncio.sleep(2 * RUN_S)
    before = world.sums()
    await asyncio.sleep(span_s)
    after = world.sums()
    await work
    watcher.cancel()
    n_started = after.n_started - before.n_started
    n_writes = after.n_writes - before.n_writes
    n_commits = max(1, after.n_commits - before.n_commits)
    owned = sum(len(agent.host.owned()) for agent in world.live_agents())
    return {
        "starts_per_s": round(n_started / span_s, 1),
        "writes_per_s": round(n_writes / span_s, 1),
        "reads_per_s": round((after.n_reads - before.n_reads) / span_s, 1),
        "writes_per_start": round(n_writes / max(1, n_started), 2),
        "bytes_per_commit": round((after.n_bytes - before.n_bytes) / n_commits),
        "processor_ms_per_s": round(
            1000 * (after.processor_s - before.processor_s) / span_s, 2
        ),
        "n_shards_owned": owned,
    }


def run_rate(arguments: argparse.Namespace, rate: float) -> dict[str, Any]:
    world = WideWorld(arguments.workers, arguments.shards, arguments.interval)
    asyncio.set_event_loop(world.loop)
    found = world.loop.run_until_complete(measure(world, rate, arguments.span))
    for runnable in [*world.agents.values(), world.entry]:
        runnable.process.is_dead = True
    world.loop.set_exception_handler(lambda loop, context: None)
    world.loop.close()
    return {"rate": rate, **found}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rates", type=float, nargs="+", default=[0, 10, 30, 94])
    parser.add_argument("--workers", type=int, default=20)
    parser.add_argument("--shards", type=int, default=64)
    parser.add_argument("--span", type=float, default=30.0)
    parser.add_argument("--interval", type=float, default=0.25)
    arguments = parser.parse_args()
    rows = [run_rate(arguments, rate) for rate in arguments.rates]
    idle_ms = rows[0]["processor_ms_per_s"]
    for row in rows[1:]:
        used_ms = row["processor_ms_per_s"] - idle_ms
        row["processor_ms_per_job"] = round(used_ms / max(1, row["starts_per_s"]), 3)
    settings = {key: value for key, value in vars(arguments).items() if key != "rates"}
    print(json.dumps({"settings": settings, "rows": rows}, indent=1))


if __name__ == "__main__":
    main()
