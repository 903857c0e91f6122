"""Lets the tests of this folder import its helper modules."""

import sys
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent))

from served_api import Served


@pytest.fixture
def serve():
    """Return how to make a `Served` API; use it in a ``with``."""
    return Served
