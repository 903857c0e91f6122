"""Names of the platform's wire protocol are used only in platform/ and deploy/."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
WIRE_NAMES = (
    "pathPrefix",
    "fenceToken",
    "deadlineMs",
    "lastSeen",
    "waitMs",
    "longRunning",
    "antiAffinity",
    "missAllowed",
    "targetMs",
    "memMb",
    "retryAfterMs",
    "pendingJobs",
    "heartbeatAddr",
    "X-Expect-Instance",
    "kv-txn",
    "kv-watch",
    "run-start",
    "op/config",
    "op/evacuate",
    "evacuateMs",
    "ALMONDSPAN_NODE_FILE",
)
SOURCES = sorted([*ROOT.glob("packages/**/*.py"), *ROOT.glob("misc/*.py")])


@pytest.mark.parametrize("name", WIRE_NAMES)
def test_name_is_used_only_in_the_adapter(name: str) -> None:
    pattern = re.compile(re.escape(name))
    found = [
        str(path.relative_to(ROOT))
        for path in SOURCES
        if pattern.search(path.read_text())
    ]
    assert found == []


def test_the_adapter_is_small() -> None:
    lines = sum(
        len(path.read_text().splitlines())
        for path in ROOT.glob("platform/almondspan_site/*.py")
    )
    product = sum(
        len(path.read_text().splitlines())
        for path in ROOT.glob("packages/jobs/almondspan_jobs/*.py")
    )
    assert lines < product
