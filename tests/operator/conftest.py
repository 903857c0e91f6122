"""Makes the helper modules importable and provides the fixture `serve`."""

import sys
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent))

from served_api import Served


@pytest.fixture
def serve():
    """Return the class `Served`; use its instances as context managers."""
    return Served
