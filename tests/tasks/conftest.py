"""Makes the simulation's modules of this folder importable by its tests."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
