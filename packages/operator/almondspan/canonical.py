"""Prints documents as canonical TOML: the same content gives the same bytes.

Tables are sorted by their name, keys stand in the order of their class, every
default is written out, and times are in UTC.
"""

from typing import Any

import tomli_w

from almondspan_decisions.fleet import FleetConfig
from almondspan_decisions.fleet_document import fleet_document

__all__ = ["canonical_fleet", "canonical_toml"]


def canonical_toml(document: dict[str, Any]) -> str:
    """Return a document as TOML, in the order of its keys."""
    return tomli_w.dumps(document, indent=2)


def canonical_fleet(config: FleetConfig) -> str:
    """Return the one text of a configuration."""
    return canonical_toml(fleet_document(config))
