"""Formats documents as canonical TOML: equal content gives identical bytes.

Tables are sorted by name, keys are in the order of their class's fields, defaults
are written out, and times are in UTC.
"""

from typing import Any

import tomli_w

from almondspan_decisions.fleet import FleetConfig
from almondspan_decisions.fleet_document import fleet_document

__all__ = ["canonical_fleet", "canonical_toml"]


def canonical_toml(document: dict[str, Any]) -> str:
    """Return a document as TOML, keeping the order of its keys."""
    return tomli_w.dumps(document, indent=2)


def canonical_fleet(config: FleetConfig) -> str:
    """Return the canonical text of a configuration."""
    return canonical_toml(fleet_document(config))
