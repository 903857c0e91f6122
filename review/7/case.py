"""A heartbeat of a service that is not named reaches an agent."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import fleet  # noqa: E402

N_JOBS = 6
STEPS = [{"count": 1, "cpu": 4000, "memMb": 1000, "estimateMs": 12000}]


async def case(folder: Path, is_disturbed: bool) -> str:
    """Run the case once; return what broke the rule, or nothing."""
    async with fleet.Fleet(folder, n_entries=2, n_agents=3, cpu=16_000) as system:
        jobs = [f"{n:016x}" for n in range(1, N_JOBS + 1)]
        for job in jobs:
            if await system.submit(job, STEPS, duration_s=12.0) != 200:
                raise fleet.CaseFailed("a job was not accepted")
        await asyncio.sleep(3.0)
        runner = max(system.runners, key=lambda r: len(r.life.running) if r.life else 0)
        life = runner.life
        if life is None or not life.running:
            raise fleet.CaseFailed("no runner has a task")
        if is_disturbed:
            # Well-formed, but of a service that is not in the configuration.
            foreign = runner.beat(life) | {
                "backend": "not-named",
                "born": life.born + 1_000,
                "seq": 1,
            }
            await runner.send_beat("i-foreign", foreign)
        await asyncio.sleep(14.0)
        for job in jobs:
            await system.state(job)
        for r in system.runners:
            r.advance()
        twice = fleet.overlaps(system.runs)
        for one, other in twice:
            system.record.line(
                f"TWICE: {one.task} run {one.attempt} on {one.runner} from"
                f" {one.begun_s:.3f} to {one.ended_s}; run {other.attempt} on"
                f" {other.runner} from {other.begun_s:.3f} to {other.ended_s}"
            )
        return f"TWICE: {len(twice)} tasks ran twice at the same time" if twice else ""


fleet.main(case, FOLDER)
