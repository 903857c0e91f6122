"""The differences between two configurations, key by key."""

from dataclasses import dataclass
from typing import Any

from almondspan_decisions.fleet import FleetConfig
from almondspan_decisions.fleet_document import fleet_document

__all__ = ["Difference", "clashing_keys", "diff_fleets"]

ABSENT = "(absent)"


@dataclass(frozen=True, slots=True)
class Difference:
    """A key whose value differs; a missing value is ``(absent)``."""

    key: str
    before: str
    after: str

    def __str__(self) -> str:
        return f"{self.key}: {self.before} -> {self.after}"


def diff_fleets(before: FleetConfig, after: FleetConfig) -> tuple[Difference, ...]:
    """Return the differences, sorted by key; the revision is not compared."""
    old = _flatten(fleet_document(before))
    new = _flatten(fleet_document(after))
    return tuple(
        Difference(key, old.get(key, ABSENT), new.get(key, ABSENT))
        for key in sorted(old.keys() | new.keys())
        if old.get(key) != new.get(key)
    )


def clashing_keys(
    ours: tuple[Difference, ...], theirs: tuple[Difference, ...]
) -> tuple[str, ...]:
    """Return the keys that both sides changed to different values.

    Removing a table also conflicts with changing it, since a removed table appears as
    all of its keys absent.
    """
    their_values = {difference.key: difference.after for difference in theirs}
    return tuple(
        difference.key
        for difference in ours
        if their_values.get(difference.key, difference.after) != difference.after
    )


def _flatten(document: dict[str, Any]) -> dict[str, str]:
    flat: dict[str, str] = {}
    for section, content in document.items():
        tables = content if isinstance(content, list) else [content]
        for table in tables:
            name = f"{section}.{table['name']}" if "name" in table else section
            for key, value in table.items():
                if key != "name":
                    flat[f"{name}.{key}"] = _text(value)
    return flat


def _text(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ", ".join(str(item) for item in value)
    if hasattr(value, "isoformat"):
        return str(value.isoformat())
    return str(value)
