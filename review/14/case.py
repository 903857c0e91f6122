"""A graceful shutdown cuts off requests that an entry has read, without an answer."""

import asyncio
import json
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-3"))

from rig import (
    BOUNDS,
    IS_TROUBLED,
    Answer,
    Rig,
    aiohttp,
    job_body,
    play,
)

N_WORKERS = 4
SETTLE_S = 42.0
"""Admission decides from 30 s after the owner has begun."""

SENT_AT_S = (2.3, 2.9, 3.5, 4.1, 4.5, 4.7, 4.77)
"""When consumers with an open channel send, from the SIGTERM."""


async def hand_in(
    rig: Rig, entry: str, number: int, at_s: float, session: aiohttp.ClientSession
) -> Answer:
    """Hand in a job that fits on no worker, on an open channel."""
    await asyncio.sleep(max(0.0, at_s - rig.now_s))
    body = job_body(64_000, 500, 1_000)
    return await rig.ask(entry, "POST", f"{number + 0xB000:016x}", body, 3_000, session)


async def case(rig: Rig) -> bool:
    """Stop an entry with SIGTERM, while consumers go on on their open channels."""
    rig.configure()
    names = ("edge-1", "edge-2", "edge-3")
    programs = {name: await rig.start_entry(name) for name in names}
    for number in range(N_WORKERS):
        await rig.start_worker(number, 16_000, 64_000, "a,r1")
    owner = await rig.wait_for_owner()
    await rig.wait_for_workers(N_WORKERS)
    entry = next(name for name in names if name != owner)
    rig.note(f"{owner} owns the jobs, {entry} is to be stopped")
    for number in range(3):
        body = job_body(200, 100, 500)
        await rig.ask(names[number], "POST", f"{number + 0xA000:016x}", body)
    await asyncio.sleep(SETTLE_S)
    sessions = [aiohttp.ClientSession() for _ in SENT_AT_S]
    for session in sessions:
        await rig.ask(entry, "GET", f"{0xA000:016x}", session=session)
    stopped_s = rig.now_s
    if IS_TROUBLED:
        rig.note(f"SIGTERM for {entry}")
        programs[entry].signal(signal.SIGTERM)
    answers = await asyncio.gather(
        *(
            hand_in(rig, entry, number, stopped_s + at_s, sessions[number])
            for number, at_s in enumerate(SENT_AT_S)
        )
    )
    for session in sessions:
        await session.close()
    await asyncio.sleep(2.0)
    for line in (rig.folder / f"{entry}.log").read_text().splitlines():
        if json.loads(line)["event"] in ("draining", "drain_cut", "stopped"):
            rig.note(f"log of {entry}: {line}")
    n_broken = 0
    for answer in answers:
        # The channel was open; a request that is refused with it has not been read.
        open_s = answer.answered_s - answer.sent_s
        is_cut = not answer.status and "Timeout" not in answer.error
        if is_cut and open_s > BOUNDS["lossSlackMs"] / 1000:
            n_broken += 1
            rig.note(
                f"cut {open_s:.3f} s after it was sent, at SIGTERM +"
                f" {answer.answered_s - stopped_s:.3f} s: {answer.error}"
            )
    return n_broken > 0


play(case, __file__)
