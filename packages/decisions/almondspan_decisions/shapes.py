"""Amounts of a worker's resources.

A `Shape` is what a task requests or what a worker has. Shapes are compared and added by
dimension: processors, memory and accelerators.
"""

from dataclasses import dataclass

__all__ = ["EMPTY_SHAPE", "Shape"]


@dataclass(frozen=True, slots=True)
class Shape:
    """Processors, memory and accelerators, each in whole units."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    n_accelerators: int = 0

    def __add__(self, other: "Shape") -> "Shape":
        return Shape(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.n_accelerators + other.n_accelerators,
        )

    def __sub__(self, other: "Shape") -> "Shape":
        return Shape(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.n_accelerators - other.n_accelerators,
        )

    def fits_in(self, free: "Shape") -> bool:
        """Return whether every dimension is at most that of `free`."""
        return (
            self.cpu_millicores <= free.cpu_millicores
            and self.memory_mb <= free.memory_mb
            and self.n_accelerators <= free.n_accelerators
        )

    def dominant_share(self, capacity: "Shape") -> float:
        """Return the largest share of `capacity` over all dimensions, at least 0."""
        shares = [0.0]
        for used, held in (
            (self.cpu_millicores, capacity.cpu_millicores),
            (self.memory_mb, capacity.memory_mb),
            (self.n_accelerators, capacity.n_accelerators),
        ):
            if held > 0:
                shares.append(used / held)
        return max(shares)


EMPTY_SHAPE = Shape()
