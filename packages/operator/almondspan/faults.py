"""Faults of files that operators write."""

from dataclasses import dataclass

__all__ = ["FileFault", "FileFaults"]


@dataclass(frozen=True, slots=True)
class FileFault:
    """One fault: the key, its value as text, what is allowed."""

    key: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.key} = {self.value}; allowed: {self.allowed}"


@dataclass(frozen=True, slots=True)
class FileFaults:
    """Every fault of a file, at least one."""

    faults: tuple[FileFault, ...]

    def __str__(self) -> str:
        return "\n".join(str(fault) for fault in self.faults)
