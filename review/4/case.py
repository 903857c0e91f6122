"""Starts of a cancelled job wait at an agent and reach the runner seconds later."""

import asyncio
import sys
from pathlib import Path

from runner import Work
from small_fleet import BOUNDS, Record, SmallFleet, route, run_case

JOBS = ("c4d7712e90ab35f6", "c4d7712e90ab35f7", "c4d7712e90ab35f8")
N_TASKS = 33
HANG_S = 5.0
CANCEL_S = 0.9


async def case(record: Record, folder: Path, is_troubled: bool) -> bool:
    """Cancel jobs while their runner hangs."""

    def work(task: str, attempt: int) -> Work:
        return Work(1.7)

    fleet = SmallFleet(record, folder, work)
    try:
        fleet.big_cpu = {0: 24_000}
        await fleet.start([route("clips")], kinds=["b"] + 10 * ["a"])
        await asyncio.sleep(3)
        step = {
            "count": N_TASKS,
            "cpu": 240,
            "memMb": 256,
            "estimateMs": 1700,
            "constraints": "b",
        }
        if is_troubled:
            fleet.runners[0].hang(HANG_S)
        accepted = await asyncio.gather(*(fleet.submit(job, [step]) for job in JOBS))
        if not all(accepted):
            raise RuntimeError("a job was not accepted")
        await asyncio.sleep(CANCEL_S)
        answers = await asyncio.gather(*(fleet.request("DELETE", job) for job in JOBS))
        if any(status != 200 for status, _ in answers):
            raise RuntimeError("a job was not cancelled")
        await asyncio.sleep(12)
    finally:
        await fleet.close()
    return has_started_after_cancelling(record)


def has_started_after_cancelling(record: Record) -> bool:
    """Return whether a start came later than `cancel_ms` after the cancelling."""
    cancelled_s = {
        row["job"]: row["s"] for row in record.of("asked", how="DELETE", status=200)
    }
    after_s = [
        row["s"] - cancelled_s[row["task"].partition(".")[0]]
        for row in record.of("started")
    ]
    late = [passed_s for passed_s in after_s if passed_s > BOUNDS["cancel_ms"] / 1000]
    record.note(
        "starts_after_cancelling",
        n=len(late),
        first_s=min(late, default=None),
        last_s=max(late, default=None),
    )
    return bool(late)


if __name__ == "__main__":
    sys.exit(run_case(Path(sys.argv[1]), case))
