"""Tables of plain text for terminals."""

from collections.abc import Iterable, Sequence
from datetime import UTC, datetime

__all__ = ["format_share", "format_table", "format_time"]


def format_table(headers: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return a table with aligned columns; numbers stand to the right."""
    given = [list(row) for row in rows]
    cells = [[str(cell) for cell in row] for row in given]
    widths = [
        max([len(header), *(len(row[column]) for row in cells)])
        for column, header in enumerate(headers)
    ]
    right = [
        bool(given) and all(isinstance(row[column], int | float) for row in given)
        for column in range(len(headers))
    ]
    lines = [list(headers), *cells]
    return "\n".join(_line(line, widths, right) for line in lines)


def _line(cells: Sequence[str], widths: Sequence[int], right: Sequence[bool]) -> str:
    padded = [
        cell.rjust(width) if to_right else cell.ljust(width)
        for cell, width, to_right in zip(cells, widths, right, strict=True)
    ]
    return "  ".join(padded).rstrip()


def format_time(unix_s: float) -> str:
    """Return a time in UTC to the second, or ``-`` for none."""
    if unix_s <= 0:
        return "-"
    return datetime.fromtimestamp(unix_s, UTC).strftime("%Y-%m-%d %H:%M:%SZ")


def format_share(share: float) -> str:
    """Return a share as a percentage."""
    return f"{100 * share:.1f}%"
