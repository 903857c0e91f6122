"""Makes platform/, this folder and tests/tasks importable."""

import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
sys.path.insert(0, str(Path(__file__).parent))
sys.path.insert(0, str(ROOT / "platform"))
sys.path.insert(0, str(ROOT / "tests" / "tasks"))
