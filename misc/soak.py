"""Runs many randomised schedules of a system and checks its invariants.

Usage: ``soak.py [--system tasks|jobs] [--seed N] [--schedules N] [--processes N]
[--until-broken] [--trace SEED]``. `jobs` is the system for graphs of tasks, `tasks`
the earlier one. The seed determines the seeds of all schedules. Ends with 1 when a
schedule violates an invariant.
"""

import argparse
import multiprocessing
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests" / "tasks"))
sys.path.insert(0, str(ROOT / "tests" / "jobs"))
sys.path.insert(0, str(ROOT / "platform"))

import job_schedule  # noqa: E402
import sim_schedule  # noqa: E402

Result = sim_schedule.Result | job_schedule.Result
SYSTEMS: Final = {
    "tasks": sim_schedule.run_schedule,
    "jobs": job_schedule.run_schedule,
}

SEED_STRIDE: Final = 1_000_000
"""Distance between the first schedules' seeds of consecutive seeds."""


def run_one(named_seed: tuple[str, int]) -> Result:
    system, seed = named_seed
    result = SYSTEMS[system](seed)
    if not result.violations:
        result.trace = []
    return result


def parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--system", choices=sorted(SYSTEMS), default="tasks")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--schedules", type=int, default=2_000)
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--stop-at", type=int, default=10, help="violations to print")
    parser.add_argument("--until-broken", action="store_true")
    parser.add_argument("--trace", type=int, help="run one schedule, print its trace")
    return parser.parse_args()


def print_trace(system: str, seed: int) -> int:
    result = SYSTEMS[system](seed)
    print("\n".join(result.trace))
    print("\n".join(result.violations) or "no violation")
    return 1 if result.violations else 0


def main() -> int:
    options = parse()
    if options.trace is not None:
        return print_trace(options.system, options.trace)
    first = options.seed * SEED_STRIDE
    seeds = [(options.system, first + n) for n in range(options.schedules)]
    started_s = time.monotonic()
    counts: Counter[str] = Counter()
    broken: list[Result] = []
    with multiprocessing.Pool(options.processes) as pool:
        for result in pool.imap_unordered(run_one, seeds, chunksize=8):
            counts.update(result.counts)
            if result.violations:
                broken.append(result)
                if len(broken) <= options.stop_at:
                    print(f"schedule {result.seed}: {result.violations[0]}", flush=True)
                if options.until_broken:
                    break
    took_s = time.monotonic() - started_s
    for name, count in sorted(counts.items()):
        print(f"{name:24} {count}")
    print(f"{options.schedules} schedules, {len(broken)} broken, {took_s:.0f} s")
    return 1 if broken else 0


if __name__ == "__main__":
    raise SystemExit(main())
