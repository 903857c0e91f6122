"""Shared parts of the tests of the decisions."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
