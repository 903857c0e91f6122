"""Gives memory that was freed back to the system.

glibc raises its threshold for separate mappings up to the largest block that was ever
freed. From then on long blocks lie in the heap, which shrinks only at its end, and
which they fragment as they grow. A fixed threshold keeps them out of it. Without glibc
nothing is done.
"""

import ctypes
from collections.abc import Callable
from typing import Final

__all__ = ["fix_mapping_threshold", "release_free_memory"]

M_TRIM_THRESHOLD: Final = -1
M_MMAP_THRESHOLD: Final = -3
MAPPING_THRESHOLD_BYTES: Final = 320 * 1024
"""Bodies of the usual limit are shorter: to map each of them would take longer than to
parse it. Frames and reports that grow beyond it no longer fragment the heap."""

TRIM_THRESHOLD_BYTES: Final = 4 * 1024 * 1024
"""Free memory at the end of the heap that is kept; a shorter end would be given back
and taken again with each large body."""


def _function(name: str) -> Callable[..., int] | None:
    try:
        return getattr(ctypes.CDLL(None), name, None)
    except OSError:
        return None


def fix_mapping_threshold() -> None:
    """Map each longer block separately from now on."""
    mallopt = _function("mallopt")
    if mallopt is not None:
        mallopt(M_MMAP_THRESHOLD, MAPPING_THRESHOLD_BYTES)
        mallopt(M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES)


def release_free_memory() -> None:
    """Return the free pages of the heap to the system; takes a few milliseconds."""
    malloc_trim = _function("malloc_trim")
    if malloc_trim is not None:
        malloc_trim(0)
