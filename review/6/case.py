"""The store is down as more tasks end on a runner than it lists at a time."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import fleet  # noqa: E402

N_JOBS = 17
STEPS = [{"count": 36, "cpu": 100, "memMb": 50, "estimateMs": 6_000}]
TASK_S = 6.0
DOWN_S = 4.5


async def case(folder: Path, is_disturbed: bool) -> str:
    """Run the case once; return what broke the rule, or nothing."""
    async with fleet.Fleet(folder, n_entries=2, n_agents=1, cpu=64_000) as system:
        jobs = [f"{n:016x}" for n in range(1, N_JOBS + 1)]
        for n, job in enumerate(jobs):
            if await system.submit(job, STEPS, TASK_S, n % 2) != 200:
                raise fleet.CaseFailed("a job was not accepted")
        runner = system.runners[0]
        n_tasks = N_JOBS * STEPS[0]["count"]
        until_s = system.record.now_s() + 5.0
        while len(runner.runs) < n_tasks:
            await asyncio.sleep(0.05)
            if system.record.now_s() > until_s:
                raise fleet.CaseFailed(f"{len(runner.runs)} tasks run")
        first_end_s = runner.runs[0].begun_s + TASK_S
        await asyncio.sleep(first_end_s - system.record.now_s() - 0.3)
        if is_disturbed:
            system.store.is_busy = True
            system.record.line("the store is down: it answers 503")
        await asyncio.sleep(DOWN_S)
        system.store.is_busy = False
        system.record.line("the store is up")
        await asyncio.sleep(15.0)
        twice = []
        for run in system.runs:
            if run.how != "done" or run.taken_s is None:
                continue
            for other in system.runs:
                is_later = other.task == run.task and other.begun_s > run.ended_s
                if is_later:
                    twice.append(run.task)
                    system.record.line(
                        f"TWICE: {run.task} run {run.attempt} ended done at"
                        f" {run.ended_s:.3f}, taken note of at {run.taken_s:.3f};"
                        f" run {other.attempt} started at {other.begun_s:.3f}"
                    )
        for job in jobs:
            await system.state(job)
        return f"TWICE: {len(twice)} tasks were started again" if twice else ""


fleet.main(case, FOLDER)
