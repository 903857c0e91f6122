"""The clocks of a process.

All modules read time through `steady_s` and `wall_ms`; simulations replace the clocks
with `use_clocks`.
"""

import time
from collections.abc import Callable

__all__ = ["steady_s", "use_clocks", "wall_ms"]


def _boottime_s() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


_read_steady_s: Callable[[], float] = _boottime_s
_read_wall_s: Callable[[], float] = time.time


def steady_s() -> float:
    """Return the seconds of a monotonic clock that also advances during suspension."""
    return _read_steady_s()


def wall_ms() -> int:
    """Return the wall-clock time in milliseconds since 1970."""
    return int(_read_wall_s() * 1000)


def use_clocks(
    read_steady_s: Callable[[], float] = _boottime_s,
    read_wall_s: Callable[[], float] = time.time,
) -> None:
    """Replace the clocks; without arguments, restore the system's."""
    global _read_steady_s, _read_wall_s
    _read_steady_s = read_steady_s
    _read_wall_s = read_wall_s
