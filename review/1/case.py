"""Completed jobs run again when the store comes back without its history."""

import asyncio
import sys
import time
from pathlib import Path

from runner import Work
from small_fleet import Record, SmallFleet, route, run_case, wait_until

JOBS = tuple(f"{number:016x}" for number in range(0xA100, 0xA100 + 48))
STATUS_S = 30
OUTAGE_S = 4.5
SWEEP_S = 10.0
N_OUTAGES = 3
"""A further one only if nothing was seen after the one before."""


async def case(record: Record, folder: Path, is_troubled: bool) -> bool:
    """Let the store be down as the owner removes jobs that have ended long ago."""

    def work(task: str, attempt: int) -> Work:
        return Work(0.3)

    fleet = SmallFleet(record, folder, work)
    fleet.bounds["status_s"] = STATUS_S
    try:
        await fleet.start([route("clips")])
        await asyncio.sleep(2)
        step = {"count": 1, "cpu": 1000, "memMb": 512, "estimateMs": 300}
        accepted = await asyncio.gather(*(fleet.submit(job, [step]) for job in JOBS))
        if not all(accepted):
            raise RuntimeError("a job was not accepted")
        states = [await fleet.wait_for(job, {"completed"}, 10) for job in JOBS]
        if set(states) != {"completed"}:
            raise RuntimeError("a job was not completed")
        if not await wait_until(
            lambda: fleet.store.removed_s > 0, 1.25 * STATUS_S + 15
        ):
            raise RuntimeError("no job was removed")
        traffic = asyncio.create_task(hand_in_jobs(fleet))
        await asyncio.sleep(1)
        for _ in range(N_OUTAGES):
            next_s = fleet.store.removed_s + SWEEP_S - time.monotonic()
            await asyncio.sleep(max(next_s - OUTAGE_S / 2, 0.5))
            if is_troubled:
                record.note("store_down", for_s=OUTAGE_S)
                fleet.store.refuse(OUTAGE_S)
            await asyncio.sleep(OUTAGE_S + 1.5)
            if started_again(record):
                break
        await asyncio.sleep(3)
        traffic.cancel()
    finally:
        await fleet.close()
    again = started_again(record)
    record.note("started_again", n=len(again), tasks=again[:10])
    return bool(again)


async def hand_in_jobs(fleet: SmallFleet) -> None:
    """Hand in a small job every half second, as consumers do all the time."""
    step = {"count": 2, "cpu": 1000, "memMb": 512, "estimateMs": 1000}
    number = 0xB200
    while True:
        number += 1
        await fleet.request("POST", f"{number:016x}", {"spec": "{}", "steps": [step]})
        await asyncio.sleep(0.5)


def started_again(record: Record) -> list[tuple[str, float, float, int]]:
    """Return the tasks that started after an end `done` that was taken note of."""
    done: dict[tuple[str, int, int], str] = {}
    noted: dict[str, float] = {}
    again: list[tuple[str, float, float, int]] = []
    for row in record.rows:
        if row["event"] == "ended" and row["how"] == "done":
            done[row["runner"], row["born"], row["n"]] = row["task"]
        elif row["event"] == "taken_note_of":
            for (runner, born, number), task in done.items():
                if (runner, born) == (row["runner"], row["born"]) and number <= row[
                    "n"
                ]:
                    noted.setdefault(task, row["s"])
        elif row["event"] == "started" and row["task"] in noted:
            again.append((row["task"], noted[row["task"]], row["s"], row["attempt"]))
    return again


if __name__ == "__main__":
    sys.exit(run_case(Path(sys.argv[1]), case))
