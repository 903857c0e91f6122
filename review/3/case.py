"""A queue that the operator takes out and puts back loses its jobs at one failure."""

import asyncio
import sys
from pathlib import Path
from typing import Any

from runner import Work
from small_fleet import Record, SmallFleet, route, run_case, wait_until

JOB = "77a1c3d95b20e64f"
MAX_ATTEMPTS = 4
FAILING_S = 6.0
WORK_S = 4.0
AWAY_S = 8.0


async def case(record: Record, folder: Path, is_troubled: bool) -> bool:
    """Take a queue out of the configuration and put it back."""

    def work(task: str, attempt: int) -> Work:
        """Let the first run of one task of the first step fail, at its end."""
        if task == f"{JOB}.0.0.2" and attempt == 1:
            return Work(FAILING_S, "failed")
        return Work(WORK_S)

    fleet = SmallFleet(record, folder, work)
    clips = route("clips", maxAttempts=MAX_ATTEMPTS)
    other = route("other", pathPrefix="/other/", maxAttempts=MAX_ATTEMPTS)
    try:
        await fleet.start([clips, other])
        await asyncio.sleep(3)
        steps: list[dict[str, Any]] = [
            {"count": 4, "cpu": 1000, "memMb": 512, "estimateMs": 4000},
            {"count": 2, "cpu": 1000, "memMb": 512, "estimateMs": 4000, "after": [0]},
        ]
        if not await fleet.submit(JOB, steps):
            raise RuntimeError("the job was not accepted")
        await wait_until(lambda: len(record.of("started")) == 4, 5)
        await asyncio.sleep(1.0)
        if is_troubled:
            fleet.configure([other])
        await asyncio.sleep(AWAY_S)
        if is_troubled:
            fleet.configure([clips, other])
            await asyncio.sleep(2.0)
        state = await fleet.wait_for(JOB, {"completed", "failed"}, 40)
        record.note("last_state", state=state)
    finally:
        await fleet.close()
    return is_failed_without_cause(record, state)


def is_failed_without_cause(record: Record, state: str) -> bool:
    """Return whether it is shown as failed with fewer failed ends than allowed."""
    counts: dict[str, int] = {}
    for row in record.of("ended", how="failed"):
        counts[row["task"]] = counts.get(row["task"], 0) + 1
    record.note("failed_ends", by_task=counts, allowed_below=MAX_ATTEMPTS)
    return state == "failed" and max(counts.values(), default=0) < MAX_ATTEMPTS


if __name__ == "__main__":
    sys.exit(run_case(Path(sys.argv[1]), case))
