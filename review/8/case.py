"""A job that is repeated often outgrows the largest value of the store."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import fleet  # noqa: E402

STEPS = [{"count": 120, "cpu": 4_000, "memMb": 100, "estimateMs": 1_000}]
N_TIMES = 1_600
N_TIMES_CALM = 20
INTERVAL_MS = 50
FINAL = ("completed", "failed", "cancelled")


async def case(folder: Path, is_disturbed: bool) -> str:
    """Run the case once; return what broke the rule, or nothing."""
    async with fleet.Fleet(folder, n_entries=2, n_agents=3, cpu=16_000) as system:
        job = f"{1:016x}"
        system.jobs[job], system.duration_s[job] = STEPS, 0.2
        body = {
            "spec": "(text)",
            "steps": STEPS,
            "repetitions": N_TIMES if is_disturbed else N_TIMES_CALM,
            "startAtMs": int(time.time() * 1000) + 1_000,
            "intervalMs": INTERVAL_MS,
        }
        url = f"http://{system.front()}/batch/{job}"
        if (await system.call("POST", url, body))[0] != 200:
            raise fleet.CaseFailed("the job was not accepted")
        state = ""
        for _ in range(45):
            await asyncio.sleep(2.0)
            state = await system.state(job)
            if state in FINAL:
                break
        hows = [run.how for run in system.runs]
        system.record.line(f"{len(hows)} runs, {hows.count('failed')} ended failed")
        if state == "failed" and "failed" not in hows:
            system.record.line("LOST: the job is shown as failed without a failed end")
            return "LOST: a job failed without a failed end"
        return ""


fleet.main(case, FOLDER)
