"""Formats tables, times and shares as plain text for terminals."""

import re
from collections.abc import Iterable, Sequence
from datetime import UTC, datetime
from typing import Final

__all__ = ["format_duration", "format_share", "format_table", "format_time"]


_NUMBER: Final = re.compile(r"-?\d+(\.\d+)?")


def format_table(headers: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return a table with aligned columns; numeric columns are right-aligned."""
    cells = [[str(cell) for cell in row] for row in rows]
    columns = [[row[at] for row in cells] for at in range(len(headers))]
    widths = [
        max(map(len, [header, *column]))
        for header, column in zip(headers, columns, strict=True)
    ]
    is_right_aligned = [
        bool(column) and all(map(_is_number, column)) for column in columns
    ]
    return "\n".join(
        _format_row(line, widths, is_right_aligned) for line in [list(headers), *cells]
    )


def _is_number(cell: str) -> bool:
    return cell == "-" or _NUMBER.fullmatch(cell) is not None


def _format_row(
    cells: Sequence[str], widths: Sequence[int], is_right_aligned: Sequence[bool]
) -> str:
    padded = [
        cell.rjust(width) if right_aligned else cell.ljust(width)
        for cell, width, right_aligned in zip(
            cells, widths, is_right_aligned, strict=True
        )
    ]
    return "  ".join(padded).rstrip()


def format_time(unix_s: float) -> str:
    """Return a time in UTC with seconds, or ``-`` if it is 0."""
    if unix_s <= 0:
        return "-"
    return datetime.fromtimestamp(unix_s, UTC).strftime("%Y-%m-%d %H:%M:%SZ")


def format_share(share: float) -> str:
    """Return a share as a percentage."""
    return f"{100 * share:.1f}%"


def format_duration(seconds: float) -> str:
    """Return a duration in its two largest units, such as ``2 h 5 min``."""
    if seconds < 60:
        return f"{seconds:g} s" if seconds < 10 else f"{seconds:.0f} s"
    minutes, s = divmod(int(seconds), 60)
    hours, minutes = divmod(minutes, 60)
    days, hours = divmod(hours, 24)
    if days:
        return f"{days} d {hours} h" if hours else f"{days} d"
    if hours:
        return f"{hours} h {minutes} min" if minutes else f"{hours} h"
    return f"{minutes} min {s} s" if s else f"{minutes} min"
