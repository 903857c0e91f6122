"""Puts the simulations' modules on the import path, and provides `harness`."""

import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent))
sys.path.insert(0, str(Path(__file__).parent.parent / "tasks"))
sys.path.insert(0, str(Path(__file__).parent.parent.parent / "platform"))

from scheduler_harness import SchedulerHarness

from almondspan_jobs import clocks


@pytest.fixture
def harness() -> Iterator[SchedulerHarness]:
    """Yield a scheduler with a manual clock, which ends with the test."""
    yield SchedulerHarness()
    clocks.use_clocks()
