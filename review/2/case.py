"""Starts that wait at an agent outlive the lease that released their attempts."""

import asyncio
import sys
import time
from pathlib import Path

from runner import Work
from small_fleet import Record, SmallFleet, route, run_case, wait_until

JOBS = tuple(f"e02f6b18d7c4a{number:03x}" for number in range(8))
N_TASKS = 33
HANG_S = 5.5
START_S = 0.1
WORK_S = 4.6


async def case(record: Record, folder: Path, is_troubled: bool) -> bool:
    """Let a runner hang while it is given many tasks at once."""

    def work(task: str, attempt: int) -> Work:
        return Work(WORK_S)

    fleet = SmallFleet(record, folder, work)
    try:
        fleet.big_cpu = {0: 24_000, 1: 24_000}
        await fleet.start([route("clips")], kinds=["b", "b"] + 9 * ["a"])
        for runner in fleet.runners:
            runner.start_s = START_S
        await asyncio.sleep(12)
        step = {
            "count": N_TASKS,
            "cpu": 180,
            "memMb": 256,
            "estimateMs": 4600,
            "constraints": "b",
        }
        first = fleet.runners[0]
        await wait_until(lambda: 0.7 < time.monotonic() - first.held_s < 0.9, 5)
        if is_troubled:
            first.hang(HANG_S)
        accepted = await asyncio.gather(*(fleet.submit(job, [step]) for job in JOBS))
        if not all(accepted):
            raise RuntimeError("a job was not accepted")
        await asyncio.sleep(20)
    finally:
        await fleet.close()
    return has_run_twice(record)


def has_run_twice(record: Record) -> bool:
    """Return whether one task ran twice at the same time, on runners that are up."""
    begun: dict[tuple[str, int, str, int], float] = {}
    spans: dict[str, list[tuple[float, float, str, int]]] = {}
    for row in record.rows:
        if row["event"] == "started":
            key = (row["runner"], row["born"], row["task"], row["attempt"])
            begun[key] = row["s"]
        elif row["event"] == "ended":
            key = (row["runner"], row["born"], row["task"], row["attempt"])
            span = (begun.pop(key), row["s"], row["runner"], row["attempt"])
            spans.setdefault(row["task"], []).append(span)
        elif row["event"] == "runner_crashed":
            for key in [
                key for key in begun if key[:2] == (row["runner"], row["born"])
            ]:
                span = (begun.pop(key), row["s"], key[0], key[3])
                spans.setdefault(key[2], []).append(span)
    pairs = [
        (task, one, other)
        for task, found in spans.items()
        for number, one in enumerate(found)
        for other in found[number + 1 :]
        if min(one[1], other[1]) > max(one[0], other[0])
    ]
    record.note("two_runs_at_once", n=len(pairs), tasks=pairs[:10])
    return bool(pairs)


if __name__ == "__main__":
    sys.exit(run_case(Path(sys.argv[1]), case))
