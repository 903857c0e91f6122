"""Mutation tests of the tasks and jobs systems.

Each mutant is a text replacement in one module of a temporary copy of the package.
The unit tests of its system run on it first, then randomised schedules until one
violates an invariant. A mutant that passes all of them shows a gap in the tests, and
the command ends with 1.

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

from job_mutant_table import JOB_MUTANTS
from mutant_table import MUTANTS, Mutant
from run_tests import known_red

ROOT: Final = Path(__file__).resolve().parent.parent
SIMULATIONS: Final = (
    "tests/tasks/test_faulty_schedules.py",
    "tests/tasks/test_calm_schedules.py",
    "tests/jobs/test_schedules.py",
)
TIMEOUT_S: Final = 600
TESTS_FAILED: Final = 1
"""Exit code of pytest if tests have run and one has failed."""


@dataclass
class Verdict:
    """Which test detected a mutant."""

    caught_by: str
    detail: str


def make_copy(folder: Path, mutant: Mutant) -> None:
    package = mutant.package
    shutil.copytree(ROOT / "packages" / package, folder / package)
    for change in mutant.changes:
        path = folder / package / f"almondspan_{package}" / change.module
        source = path.read_text()
        found = source.count(change.before)
        if found != 1:
            raise SystemExit(f"{mutant.name}: {change.before!r} found {found} times")
        path.write_text(source.replace(change.before, change.after))


def environment(folder: Path) -> dict[str, str]:
    packages = [path for path in sorted((ROOT / "packages").iterdir())]
    copied = [path for path in sorted(folder.iterdir()) if path.is_dir()]
    names = {path.name for path in copied}
    paths = copied + [path for path in packages if path.name not in names]
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


def try_unit_tests(folder: Path, mutant: Mutant) -> Verdict | None:
    ignored = [f"--ignore={name}" for name in SIMULATIONS]
    # A test that is known to fail would catch every mutant.
    red = [f"--deselect={_node_id(label)}" for label in known_red()]
    done = run(["-m", "pytest", *mutant.tests, "-x", "-q", *ignored, *red], folder)
    if done.returncode == 0:
        return None
    if done.returncode != TESTS_FAILED:
        raise SystemExit(f"{mutant.name}: {done.stdout[-500:]}{done.stderr[-500:]}")
    failed = re.findall(r"^FAILED \S*::(\S+)", done.stdout, re.MULTILINE)
    return Verdict("unit test", failed[0] if failed else done.stdout[-60:].strip())


def _node_id(label: str) -> str:
    """Return how pytest names a test that a report calls ``module::name``."""
    module, _, name = label.partition("::")
    return f"{module.replace('.', '/')}.py::{name}"


def try_schedules(folder: Path, mutant: Mutant, n_schedules: int) -> Verdict | None:
    command = ["misc/soak.py", "--system", mutant.system, "--until-broken"]
    command += ["--schedules", str(n_schedules)]
    done = run(command, folder)
    if done.returncode == 0:
        return None
    found = re.findall(r"^schedule \d+: (.*)$", done.stdout, re.MULTILINE)
    return Verdict("schedule", found[0] if found else done.stderr[-60:].strip())


def evaluate(mutant: Mutant, n_schedules: int) -> Verdict | None:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        make_copy(folder, mutant)
        found = try_unit_tests(folder, mutant)
        return found or try_schedules(folder, mutant, n_schedules)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", default="")
    parser.add_argument("--schedules", type=int, default=2_000)
    options = parser.parse_args()
    every = (*MUTANTS, *JOB_MUTANTS)
    chosen = [mutant for mutant in every if options.only in mutant.name]
    n_survived = 0
    for mutant in chosen:
        started_s = time.monotonic()
        verdict = evaluate(mutant, options.schedules)
        took_s = time.monotonic() - started_s
        n_survived += verdict is None
        caught_by = "SURVIVED" if verdict is None else verdict.caught_by
        detail = "" if verdict is None else verdict.detail[:70]
        print(f"{mutant.name:34} {caught_by:10} {took_s:5.0f} s  {detail}", flush=True)
    print(f"{len(chosen)} mutants, {n_survived} survived")
    return 1 if n_survived else 0


if __name__ == "__main__":
    raise SystemExit(main())
