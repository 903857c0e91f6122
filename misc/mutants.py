"""Breaks the task system on purpose and checks that its tests notice.

Each mutant is a replacement in one module, made on a scratch copy of the package.
First the unit tests of tests/tasks run on it, then randomised schedules until one
breaks. A mutant that survives both is a hole in the tests: the command ends with 1.

Usage: ``mutants.py [--only NAME] [--schedules N]``.
"""

import argparse
import os
import re
import shutil
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from mutant_table import MUTANTS, Mutant

ROOT: Final = Path(__file__).resolve().parent.parent
SIMULATIONS: Final = ("test_faulty_schedules.py", "test_calm_schedules.py")
TIMEOUT_S: Final = 600


@dataclass
class Verdict:
    """What noticed a mutant."""

    caught_by: str
    detail: str


def make_copy(folder: Path, mutant: Mutant) -> None:
    shutil.copytree(ROOT / "packages" / "tasks", folder / "tasks")
    for change in mutant.changes:
        path = folder / "tasks" / "almondspan_tasks" / change.module
        source = path.read_text()
        found = source.count(change.before)
        if found != 1:
            raise SystemExit(f"{mutant.name}: {change.before!r} found {found} times")
        path.write_text(source.replace(change.before, change.after))


def environment(folder: Path) -> dict[str, str]:
    packages = [path for path in sorted((ROOT / "packages").iterdir())]
    paths = [folder / "tasks"] + [path for path in packages if path.name != "tasks"]
    return {
        **os.environ,
        "PYTHONPATH": os.pathsep.join(map(str, paths)),
        "PYTHONHASHSEED": "0",
        "PYTHONDONTWRITEBYTECODE": "1",
    }


def run(command: list[str], folder: Path) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, *command],
        cwd=ROOT,
        env=environment(folder),
        capture_output=True,
        text=True,
        check=False,
        timeout=TIMEOUT_S,
    )


def try_unit_tests(folder: Path) -> Verdict | None:
    ignored = [f"--ignore=tests/tasks/{name}" for name in SIMULATIONS]
    done = run(["-m", "pytest", "tests/tasks", "-x", "-q", *ignored], folder)
    if done.returncode == 0:
        return None
    failed = re.findall(r"^FAILED \S*::(\S+)", done.stdout, re.MULTILINE)
    return Verdict("unit test", failed[0] if failed else done.stdout[-60:].strip())


def try_schedules(folder: Path, n_schedules: int) -> Verdict | None:
    command = ["misc/soak.py", "--until-broken", "--schedules", str(n_schedules)]
    done = run(command, folder)
    if done.returncode == 0:
        return None
    found = re.findall(r"^schedule \d+: (.*)$", done.stdout, re.MULTILINE)
    return Verdict("schedule", found[0] if found else done.stderr[-60:].strip())


def judge(mutant: Mutant, n_schedules: int) -> Verdict | None:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        make_copy(folder, mutant)
        return try_unit_tests(folder) or try_schedules(folder, n_schedules)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", default="")
    parser.add_argument("--schedules", type=int, default=2_000)
    options = parser.parse_args()
    chosen = [mutant for mutant in MUTANTS if options.only in mutant.name]
    n_survived = 0
    for mutant in chosen:
        began_s = time.monotonic()
        verdict = judge(mutant, options.schedules)
        took_s = time.monotonic() - began_s
        n_survived += verdict is None
        caught_by = "SURVIVED" if verdict is None else verdict.caught_by
        detail = "" if verdict is None else verdict.detail[:70]
        print(f"{mutant.name:34} {caught_by:10} {took_s:5.0f} s  {detail}", flush=True)
    print(f"{len(chosen)} mutants, {n_survived} survived")
    return 1 if n_survived else 0


if __name__ == "__main__":
    raise SystemExit(main())
