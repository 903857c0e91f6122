"""A job is started long after its cancelling was acknowledged with 410."""

import asyncio
import random
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-3"))

from rig import BOUNDS, IS_TROUBLED, Answer, Rig, job_body, play
from store import Lost

N_WORKERS = 8
N_JOBS = 60
LOST_SHARE = 0.35
LOST_S = 4.5
"""How long answers are lost, and the share of the writes: the largest dose."""

LATE_S = 5.5
"""When a lost write is executed; the bench does so after 1 to 6 s."""

SUBMIT_AT_S = 3.2
"""When the jobs are handed in, from the beginning of the disruption."""


async def hand_in_and_cancel(rig: Rig, number: int) -> tuple[str, Answer, Answer]:
    """Hand a job in at one entry, and cancel it at another one if it isn't accepted."""
    job = f"{number + 0xA000:016x}"
    entries = list(rig.entries)
    body = job_body(200, 100, 1_000)
    first, second = entries[number % 3], entries[(number + 1) % 3]
    post = await rig.ask(first, "POST", job, body)
    return job, post, await rig.ask(second, "DELETE", job)


async def case(rig: Rig) -> bool:
    """Lose answers of the store; look for tasks that start after the cancelling."""
    rng = random.Random(1)
    lost_from_s = 0.0

    def fault(node: str, body: dict[str, Any]) -> Lost | None:
        is_on = IS_TROUBLED and lost_from_s <= rig.now_s < lost_from_s + LOST_S
        return Lost(LATE_S) if is_on and rng.random() < LOST_SHARE else None

    rig.configure()
    for name in ("edge-1", "edge-2", "edge-3"):
        await rig.start_entry(name)
    for number in range(N_WORKERS):
        await rig.start_worker(number, 16_000, 64_000, "a,r1")
    await rig.wait_for_owner()
    await rig.wait_for_workers(N_WORKERS)
    await asyncio.sleep(1.0)
    lost_from_s, n_before = rig.now_s, rig.store.n_writes
    rig.store.fault = fault
    if IS_TROUBLED:
        rig.note(f"from now on for {LOST_S} s, {LOST_SHARE} of the writes are lost")
    await asyncio.sleep(SUBMIT_AT_S)
    found = await asyncio.gather(*(hand_in_and_cancel(rig, n) for n in range(N_JOBS)))
    await asyncio.sleep(LATE_S + 6.0)
    n_writes = rig.store.n_writes - n_before
    rig.note(f"{rig.store.n_lost} of {n_writes} writes lost")
    runs = rig.runs()
    contact_s = lost_from_s + LOST_S + BOUNDS["contactMs"] / 1000
    n_broken = 0
    for job, post, delete in found:
        if delete.status not in (200, 410):
            continue
        limit_s = delete.answered_s + BOUNDS["cancel_ms"] / 1000
        for row in runs:
            is_late = row["t"] > max(limit_s, contact_s)
            if row["what"] == "start" and row["task"].startswith(job) and is_late:
                n_broken += 1
                rig.note(
                    f"{row['task']} starts at {row['t']:.3f} s; its POST got"
                    f" {post.status}, its DELETE {delete.status} at"
                    f" {delete.answered_s:.3f} s"
                )
    return n_broken > 0


play(case, __file__)
