"""Checks of internal invariants.

A broken invariant is a defect of the program, never of its environment: the process
ends with a traceback instead of continuing from an undefined state.
"""

__all__ = ["InvariantError", "require"]


class InvariantError(AssertionError):
    """Raised for a broken invariant; the process must end."""


def require(holds: bool, text: str) -> None:
    """Raise `InvariantError` with `text` unless `holds`."""
    if not holds:
        raise InvariantError(text)
