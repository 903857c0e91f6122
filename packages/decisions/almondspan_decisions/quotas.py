"""Team quotas: dominant shares, and slices of quotas that add up exactly.

A team may use ``quota_share`` of the fleet, measured in its dominant resource. The
shards of a region admit work independently, so each holds a slice of every team's
quota in whole units. Units move between shards by escrow: the giver first deducts the
units from its slice and records the transfer, the receiver then adds them exactly once,
and the giver drops the transfer when the receiver has confirmed it. At all times the
slices and the transfers in flight add up to the quota, so neither a crash nor a
duplicate message can create units.

A giver numbers its transfers to each receiver. It repeats each until it is confirmed,
so the receiver gets every number in the end and need only remember how far it has got,
and the numbers that arrived ahead of a missing one.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Final, NewType

from almondspan_decisions.ids import ShardId, TeamName
from almondspan_decisions.shapes import EMPTY_SHAPE, Shape

__all__ = [
    "QUOTA_UNITS",
    "QuotaSlice",
    "ReceivedNumbers",
    "Transfer",
    "TransferId",
    "confirm_transfer",
    "give_units",
    "quota_units",
    "receive_transfer",
    "split_exactly",
    "team_shares",
    "units_to_give",
]

QUOTA_UNITS: Final = 1_000_000
"""Number of units of the whole fleet."""

TransferId = NewType("TransferId", str)


def team_shares(
    running: Mapping[TeamName, Shape],
    quotas: Mapping[TeamName, float],
    fleet: Shape,
) -> dict[TeamName, float]:
    """Return each team's dominant share in use over its quota.

    A team without a quota has an infinite share as soon as it runs anything.
    """
    shares: dict[TeamName, float] = {}
    for team in running.keys() | quotas.keys():
        used = running.get(team, EMPTY_SHAPE).dominant_share(fleet)
        quota = quotas.get(team, 0.0)
        if quota > 0.0:
            shares[team] = used / quota
        else:
            shares[team] = float("inf") if used > 0.0 else 0.0
    return shares


def quota_units(quota_share: float) -> int:
    """Return a quota share in whole units."""
    return round(quota_share * QUOTA_UNITS)


def split_exactly(total: int, weights: Sequence[float]) -> tuple[int, ...]:
    """Split `total` into whole parts by `weights`; the parts add up to `total`.

    The largest remainders get the units left over. If all weights are 0, they count as
    equal.

    Raises
    ------
    ValueError
        If `weights` is empty or holds a negative number.
    """
    if not weights or min(weights) < 0.0:
        raise ValueError("weights must not be empty or negative")
    total_weight = sum(weights)
    if total_weight <= 0.0:
        return split_exactly(total, [1.0] * len(weights))
    exact = [total * weight / total_weight for weight in weights]
    parts = [int(part) for part in exact]
    order = sorted(range(len(parts)), key=lambda n: (parts[n] - exact[n], n))
    left_over = total - sum(parts)
    for n in range(abs(left_over)):
        parts[order[n % len(order)]] += 1 if left_over > 0 else -1
    return tuple(parts)


@dataclass(frozen=True, slots=True)
class Transfer:
    """Units in flight from one shard to another.

    ``number`` counts the giver's transfers to this receiver, from 1.
    """

    transfer_id: TransferId
    giver: ShardId
    receiver: ShardId
    number: int
    n_units: int


@dataclass(frozen=True, slots=True)
class ReceivedNumbers:
    """The numbers of the transfers that were added, of one giver.

    These are all up to ``last_contiguous``, and those in ``beyond``, which follow a
    number that is missing.
    """

    last_contiguous: int = 0
    beyond: frozenset[int] = field(default_factory=frozenset)

    def __contains__(self, number: int) -> bool:
        return number <= self.last_contiguous or number in self.beyond

    def add(self, number: int) -> "ReceivedNumbers":
        """Return the numbers with one more."""
        beyond = set(self.beyond) | {number}
        last = self.last_contiguous
        while last + 1 in beyond:
            last += 1
            beyond.remove(last)
        return ReceivedNumbers(last, frozenset(beyond))


@dataclass(frozen=True, slots=True)
class QuotaSlice:
    """One shard's slice of one team's quota.

    ``outgoing`` holds the transfers that the receiver has not confirmed, ``last_given``
    the last number given to each receiver, and ``received`` the numbers of the
    transfers that were added, by giver.
    """

    shard_id: ShardId
    n_units: int
    n_units_used: int = 0
    outgoing: tuple[Transfer, ...] = ()
    last_given: Mapping[ShardId, int] = field(default_factory=dict)
    received: Mapping[ShardId, ReceivedNumbers] = field(default_factory=dict)


def give_units(
    quota_slice: QuotaSlice, transfer_id: TransferId, receiver: ShardId, n_units: int
) -> QuotaSlice | None:
    """Deduct units from a slice for a transfer; None if they are not free."""
    if any(transfer.transfer_id == transfer_id for transfer in quota_slice.outgoing):
        return quota_slice
    if n_units <= 0 or n_units > quota_slice.n_units - quota_slice.n_units_used:
        return None
    number = quota_slice.last_given.get(receiver, 0) + 1
    transfer = Transfer(transfer_id, quota_slice.shard_id, receiver, number, n_units)
    return replace(
        quota_slice,
        n_units=quota_slice.n_units - n_units,
        outgoing=(*quota_slice.outgoing, transfer),
        last_given={**quota_slice.last_given, receiver: number},
    )


def receive_transfer(quota_slice: QuotaSlice, transfer: Transfer) -> QuotaSlice:
    """Add a transfer to the receiver's slice; a duplicate has no effect."""
    numbers = quota_slice.received.get(transfer.giver, ReceivedNumbers())
    if transfer.receiver != quota_slice.shard_id or transfer.number in numbers:
        return quota_slice
    return replace(
        quota_slice,
        n_units=quota_slice.n_units + transfer.n_units,
        received={**quota_slice.received, transfer.giver: numbers.add(transfer.number)},
    )


def confirm_transfer(quota_slice: QuotaSlice, transfer_id: TransferId) -> QuotaSlice:
    """Drop a transfer that its receiver has committed."""
    outgoing = tuple(
        transfer
        for transfer in quota_slice.outgoing
        if transfer.transfer_id != transfer_id
    )
    return replace(quota_slice, outgoing=outgoing)


def units_to_give(quota_slice: QuotaSlice, n_units_wanted: int) -> int:
    """Return how many units to give on a request: half of the free ones at most."""
    n_free = quota_slice.n_units - quota_slice.n_units_used
    return max(0, min(n_units_wanted, (n_free + 1) // 2))
