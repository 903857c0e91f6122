"""The clocks of a process."""

import time

__all__ = ["steady_s", "wall_ms"]


def steady_s() -> float:
    """Return seconds of a clock that never jumps and counts a suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> int:
    """Return milliseconds since 1970 by this machine's time of day."""
    return int(time.time() * 1000)
