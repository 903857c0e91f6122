"""The clocks of a process.

Modules call `steady_s` and `wall_ms`; a simulation puts its own clocks in their place
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
    """Return seconds of a clock that never jumps and counts a suspension."""
    return _read_steady_s()


def wall_ms() -> int:
    """Return milliseconds since 1970 by this machine's time of day."""
    return int(_read_wall_s() * 1000)


def use_clocks(
    read_steady_s: Callable[[], float] = _boottime_s,
    read_wall_s: Callable[[], float] = time.time,
) -> None:
    """Read these clocks from now on; without arguments, the machine's."""
    global _read_steady_s, _read_wall_s
    _read_steady_s = read_steady_s
    _read_wall_s = read_wall_s
