"""A bounded histogram of positive values with a relative error bound.

Bucket ``i`` holds the values in ``(growth**(i-1), growth**i]`` with ``growth =
(1 + error) / (1 - error)``, so that the middle of a bucket is within the error of
every value in it. Values are clamped to a fixed range, which bounds the number of
buckets. All sketches share the same buckets, so merging adds counts, is lossless and
does not depend on the order. The unit is the caller's (milliseconds for latencies,
seconds for run times).
"""

import math
from collections.abc import Iterable
from typing import Final

__all__ = ["RELATIVE_ERROR", "LatencySketch"]

RELATIVE_ERROR: Final = 0.01
"""The largest error of a quantile, as a share of the value."""

MIN_VALUE: Final = 1e-3
"""Smaller values count as this one."""

MAX_VALUE: Final = 1e8
"""Larger values count as this one."""

_GROWTH: Final = (1.0 + RELATIVE_ERROR) / (1.0 - RELATIVE_ERROR)
_LOG_GROWTH: Final = math.log(_GROWTH)
_MIN_INDEX: Final = math.ceil(math.log(MIN_VALUE) / _LOG_GROWTH)
_MAX_INDEX: Final = math.ceil(math.log(MAX_VALUE) / _LOG_GROWTH)
_VARINT_LIMIT: Final = 0x80


def bucket_of(value: float) -> int:
    """Return the bucket index of a value."""
    if value <= MIN_VALUE:
        return _MIN_INDEX
    index = math.ceil(math.log(value) / _LOG_GROWTH)
    return min(index, _MAX_INDEX)


def bucket_value(index: int) -> float:
    """Return the value that represents a bucket."""
    return 2.0 * _GROWTH**index / (_GROWTH + 1.0)


class LatencySketch:
    """Counts of values by logarithmic bucket."""

    __slots__ = ("_counts", "n_values")

    def __init__(self, pairs: Iterable[tuple[int, int]] = ()) -> None:
        self._counts: dict[int, int] = {}
        self.n_values = 0
        for index, count in pairs:
            self._add_to_bucket(index, count)

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, LatencySketch):
            return NotImplemented
        return self._counts == other._counts

    __hash__ = None  # type: ignore[assignment]

    def add(self, value: float, count: int = 1) -> None:
        """Count a value `count` times."""
        self._add_to_bucket(bucket_of(value), count)

    def _add_to_bucket(self, index: int, count: int) -> None:
        index = max(_MIN_INDEX, min(index, _MAX_INDEX))
        if count <= 0:
            return
        self._counts[index] = self._counts.get(index, 0) + count
        self.n_values += count

    def merge(self, other: "LatencySketch") -> None:
        """Add the counts of another sketch to this one."""
        for index, count in other._counts.items():
            self._add_to_bucket(index, count)

    def quantile(self, share: float) -> float:
        """Return the quantile at `share` (0 to 1); 0 when empty."""
        if self.n_values == 0:
            return 0.0
        rank = max(1, math.ceil(share * self.n_values))
        seen = 0
        for index in sorted(self._counts):
            seen += self._counts[index]
            if seen >= rank:
                return bucket_value(index)
        raise AssertionError("the counts do not add up to n_values")

    def n_within(self, limit: float) -> int:
        """Return how many values are at most `limit`, within the error bound."""
        last = bucket_of(limit)
        return sum(count for index, count in self._counts.items() if index <= last)

    def share_within(self, limit: float) -> float:
        """Return the share of values that are at most `limit`; 1 when empty."""
        return self.n_within(limit) / self.n_values if self.n_values else 1.0

    def mean_above(self, floor: float) -> float:
        """Return the mean of the values above `floor`; 0 when there are none."""
        first = bucket_of(floor) if floor > 0.0 else _MIN_INDEX - 1
        n_above = 0
        total = 0.0
        for index, count in self._counts.items():
            if index > first:
                n_above += count
                total += count * bucket_value(index)
        return total / n_above if n_above else 0.0

    def scaled(self, factor: float) -> "LatencySketch":
        """Return a copy with each count multiplied by `factor`, rounded down."""
        return LatencySketch(
            (index, int(count * factor)) for index, count in self._counts.items()
        )

    def pairs(self) -> tuple[tuple[int, int], ...]:
        """Return the indexes and counts of the non-empty buckets, ascending."""
        return tuple(sorted(self._counts.items()))

    def encode(self) -> bytes:
        """Return the counts as bytes: index deltas and counts as varints."""
        data = bytearray()
        previous = _MIN_INDEX
        for index, count in self.pairs():
            _append_varint(data, index - previous)
            _append_varint(data, count)
            previous = index
        return bytes(data)

    @classmethod
    def decode(cls, data: bytes) -> "LatencySketch | None":
        """Return the sketch encoded in `data`, or None if it is malformed."""
        numbers = _read_varints(data)
        if numbers is None or len(numbers) % 2:
            return None
        sketch = cls()
        index = _MIN_INDEX
        for gap, count in zip(numbers[::2], numbers[1::2], strict=True):
            index += gap
            if index > _MAX_INDEX or count == 0:
                return None
            sketch._add_to_bucket(index, count)
        return sketch


def _append_varint(data: bytearray, number: int) -> None:
    while number >= _VARINT_LIMIT:
        data.append((number & 0x7F) | _VARINT_LIMIT)
        number >>= 7
    data.append(number)


def _read_varints(data: bytes) -> list[int] | None:
    numbers: list[int] = []
    number = 0
    shift = 0
    for byte in data:
        number |= (byte & 0x7F) << shift
        shift += 7
        if byte < _VARINT_LIMIT:
            numbers.append(number)
            number = 0
            shift = 0
    return numbers if shift == 0 else None
