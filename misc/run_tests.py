"""Runs all checks of the workspace and counts the outcomes.

Ruff format, ruff check, mypy, the import rules and the comparison of the capacity page
with its measurements count as one check each. pytest and behave count each test and
scenario in their JUnit reports. Tests listed in KNOWN-RED.txt may fail; they are
printed and not counted as failed. The last line is ``N passed, N failed``.
"""

import os
import re
import subprocess
import sys
import tempfile
import xml.etree.ElementTree as ElementTree
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).resolve().parent.parent
KNOWN_RED: Final = ROOT / "KNOWN-RED.txt"
VENV_BIN: Final = Path(sys.executable).parent


@dataclass
class Tally:
    """Outcomes of one tool."""

    n_passed: int = 0
    failed: list[str] = field(default_factory=list)


def package_dirs() -> list[str]:
    found = [*ROOT.glob("packages/*/almondspan*/"), *ROOT.glob("platform/almondspan*/")]
    return [str(path) for path in sorted(found) if (path / "__init__.py").exists()]


def run(command: list[str]) -> int:
    print("$", " ".join(command[:6]), "..." if len(command) > 6 else "", flush=True)
    return subprocess.run(command, cwd=ROOT, check=False).returncode


def run_tool(name: str, command: list[str]) -> Tally:
    """Run a tool that counts as one check, by its exit code."""
    if run(command) == 0:
        return Tally(n_passed=1)
    return Tally(failed=[name])


def run_pytest() -> Tally:
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "pytest.xml"
        command = [sys.executable, "-m", "pytest", "tests", f"--junitxml={report}"]
        code = run(command)
        return read_junit("pytest", [report], code)


def run_behave() -> Tally:
    features = ROOT / "tests" / "features"
    if not list(features.glob("*.feature")):
        return Tally()
    with tempfile.TemporaryDirectory() as folder:
        command = [sys.executable, "-m", "behave", "--junit", "--junit-directory"]
        command += [folder, "--format", "progress", str(features)]
        code = run(command)
        return read_junit("behave", sorted(Path(folder).glob("*.xml")), code)


def read_junit(name: str, reports: list[Path], code: int) -> Tally:
    tally = Tally()
    for report in reports:
        if not report.exists():
            continue
        for case in ElementTree.parse(report).getroot().iter("testcase"):
            label = f"{case.get('classname')}::{case.get('name')}"
            if case.find("failure") is not None or case.find("error") is not None:
                tally.failed.append(label)
            elif case.find("skipped") is None:
                tally.n_passed += 1
    if code != 0 and not tally.failed:
        tally.failed.append(f"{name} ended with {code}")
    if tally.n_passed + len(tally.failed) == 0:
        tally.failed.append(f"{name} ran no test")
    return tally


def known_red() -> list[str]:
    """Return the test names listed in KNOWN-RED.txt, one per ``test:`` line."""
    if not KNOWN_RED.exists():
        return []
    return re.findall(r"^test:\s*(\S.*)$", KNOWN_RED.read_text(), re.MULTILINE)


def main() -> int:
    os.environ.setdefault("PYTHONHASHSEED", "0")
    sources = ["packages", "platform", "tests", "misc"]
    ruff = str(VENV_BIN / "ruff")
    tallies = [
        run_tool("ruff format", [ruff, "format", "--check", *sources]),
        run_tool("ruff check", [ruff, "check", *sources]),
        run_tool("mypy", [str(VENV_BIN / "mypy"), "--strict", *package_dirs()]),
        run_tool("imports", [sys.executable, "misc/check_imports.py"]),
        run_tool("capacity", [sys.executable, "misc/capacity.py", "--check"]),
        run_pytest(),
        run_behave(),
    ]
    n_passed = sum(tally.n_passed for tally in tallies)
    failed = [label for tally in tallies for label in tally.failed]
    allowed = known_red()
    red = [label for label in failed if label in allowed]
    unexpected = [label for label in failed if label not in allowed]
    for label in red:
        print(f"known red: {label}")
    for label in unexpected:
        print(f"FAILED: {label}")
    print(f"{n_passed} passed, {len(unexpected)} failed")
    return 1 if unexpected else 0


if __name__ == "__main__":
    raise SystemExit(main())
