"""Validation errors of files that operators write."""

from dataclasses import dataclass

__all__ = ["FileFault", "FileFaults"]


@dataclass(frozen=True, slots=True)
class FileFault:
    """One invalid entry: its key, its value as text, and what is allowed."""

    key: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.key} = {self.value}; allowed: {self.allowed}"


@dataclass(frozen=True, slots=True)
class FileFaults:
    """All validation errors of a file; at least one."""

    faults: tuple[FileFault, ...]

    def __str__(self) -> str:
        return "\n".join(str(fault) for fault in self.faults)
