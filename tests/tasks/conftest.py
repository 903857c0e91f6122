"""Puts this folder on the import path, so that its tests find the simulation."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
