"""Estimated interference weights of pairs of images, and their prior."""

import math
from dataclasses import dataclass
from typing import Final, NewType

__all__ = [
    "MIN_WEIGHT",
    "PRIOR_WEIGHT",
    "PRIOR_WEIGHT_VARIANCE",
    "Image",
    "InterferenceRow",
]

Image = NewType("Image", str)
"""The program that a task runs; tasks of one image are expected to behave alike."""

PRIOR_WEIGHT: Final = 2.5
"""Mean weight of a pair of images without samples."""
PRIOR_WEIGHT_VARIANCE: Final = 11.0
MIN_WEIGHT: Final = 0.7
"""Lower bound of every weight."""


@dataclass(frozen=True, slots=True)
class InterferenceRow:
    """Estimated weight of one pair of images.

    The weight is the headroom that serving tasks lose when best-effort tasks of
    `best_effort_image` use a whole worker.
    """

    serving: Image
    best_effort_image: Image
    weight: float
    variance: float

    def above(self, n_deviations: float) -> float:
        """Return the weight plus this many standard deviations."""
        deviation = math.sqrt(max(self.variance, 0.0))
        return max(MIN_WEIGHT, self.weight + n_deviations * deviation)
