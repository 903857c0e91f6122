"""Quotas of teams: dominant shares, and slices that add up exactly.

A team may hold ``quota_share`` of the fleet, counted in its dominant resource. The
shards of a region admit work on their own, so each holds a slice of every team's
quota in whole units. Slices move between shards by escrow: the giver takes the
units off its slice first and remembers the transfer, then the receiver adds them
once, and the giver forgets the transfer when the receiver has confirmed it. At
every moment the slices and the transfers that were not received add up to the
quota, so a crash or a repeated message never makes units.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Final, NewType

from almondspan_decisions.ids import ShardId, TeamName
from almondspan_decisions.shapes import EMPTY_SHAPE, Shape

__all__ = [
    "QUOTA_UNITS",
    "QuotaSlice",
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
"""The units of the whole fleet; a quota is a share of them."""

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
    """Return the whole units of a quota share."""
    return round(quota_share * QUOTA_UNITS)


def split_exactly(total: int, weights: Sequence[float]) -> tuple[int, ...]:
    """Split `total` in whole parts by `weights`; the parts add up to `total`.

    Largest remainders get the units left over; equal weights when all are 0.

    Raises
    ------
    ValueError
        When there is no weight or one is negative.
    """
    if not weights or min(weights) < 0.0:
        raise ValueError("weights must be given and not negative")
    whole = sum(weights)
    if whole <= 0.0:
        return split_exactly(total, [1.0] * len(weights))
    exact = [total * weight / whole for weight in weights]
    parts = [int(part) for part in exact]
    order = sorted(range(len(parts)), key=lambda n: (parts[n] - exact[n], n))
    left_over = total - sum(parts)
    for n in range(abs(left_over)):
        parts[order[n % len(order)]] += 1 if left_over > 0 else -1
    return tuple(parts)


@dataclass(frozen=True, slots=True)
class Transfer:
    """Units on their way from one shard to another."""

    transfer_id: TransferId
    giver: ShardId
    receiver: ShardId
    n_units: int


@dataclass(frozen=True, slots=True)
class QuotaSlice:
    """One shard's slice of one team's quota.

    ``outgoing`` holds transfers that no receiver has confirmed; ``received`` the
    ids of transfers that were added and not yet confirmed as forgotten.
    """

    shard_id: ShardId
    n_units: int
    n_units_used: int = 0
    outgoing: tuple[Transfer, ...] = ()
    received: frozenset[TransferId] = field(default_factory=frozenset)


def give_units(
    held: QuotaSlice, transfer_id: TransferId, receiver: ShardId, n_units: int
) -> QuotaSlice | None:
    """Take units off a slice for a transfer; None when they are not free."""
    if any(transfer.transfer_id == transfer_id for transfer in held.outgoing):
        return held
    if n_units <= 0 or n_units > held.n_units - held.n_units_used:
        return None
    transfer = Transfer(transfer_id, held.shard_id, receiver, n_units)
    return replace(
        held, n_units=held.n_units - n_units, outgoing=(*held.outgoing, transfer)
    )


def receive_transfer(held: QuotaSlice, transfer: Transfer) -> QuotaSlice:
    """Add a transfer to the receiver's slice; a repeated one changes nothing."""
    if transfer.receiver != held.shard_id or transfer.transfer_id in held.received:
        return held
    return replace(
        held,
        n_units=held.n_units + transfer.n_units,
        received=held.received | {transfer.transfer_id},
    )


def confirm_transfer(held: QuotaSlice, transfer_id: TransferId) -> QuotaSlice:
    """Forget a transfer that its receiver has committed."""
    outgoing = tuple(
        transfer for transfer in held.outgoing if transfer.transfer_id != transfer_id
    )
    return replace(held, outgoing=outgoing)


def units_to_give(held: QuotaSlice, n_units_wanted: int) -> int:
    """Return how many units a shard gives to one that asks: half of its free ones."""
    n_free = held.n_units - held.n_units_used
    return max(0, min(n_units_wanted, (n_free + 1) // 2))
