"""Closes the fleet that the scenarios of a feature share."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))

from fleet_loop import SharedFleet


def after_feature(context, feature):
    SharedFleet.close()
