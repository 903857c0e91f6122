"""What must always hold inside a process.

A broken invariant is a defect of the program, never of its surroundings: the
process ends with its trace rather than go on from a state nobody planned.
"""

__all__ = ["InvariantError", "require"]


class InvariantError(AssertionError):
    """An invariant is broken; the process must end."""


def require(holds: bool, text: str) -> None:
    """Raise `InvariantError` with `text` unless `holds`."""
    if not holds:
        raise InvariantError(text)
