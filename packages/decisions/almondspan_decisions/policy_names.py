"""Names of all registered policies, by configuration key."""

from almondspan_decisions.escalation import ESCALATION_POLICIES
from almondspan_decisions.fleet_document import KnownPolicies
from almondspan_decisions.placement import PLACEMENT_POLICIES
from almondspan_decisions.queue_order import QUEUE_POLICIES
from almondspan_decisions.routing import ROUTING_POLICIES

__all__ = ["known_policies"]


def known_policies() -> KnownPolicies:
    """Return the valid names for each key of ``[policies]``."""
    return {
        "queue": frozenset(QUEUE_POLICIES),
        "placement": frozenset(PLACEMENT_POLICIES),
        "routing": frozenset(ROUTING_POLICIES),
        "ladder": frozenset(ESCALATION_POLICIES),
    }
