"""Lets the tests of this folder import its helper modules."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
