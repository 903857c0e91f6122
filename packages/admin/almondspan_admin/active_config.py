"""Holds the configuration that a process currently applies."""

from almondspan_decisions.fleet import FleetConfig
from almondspan_decisions.fleet_document import ConfigFaults, parse_fleet
from almondspan_wire.membership import ConfigPush

__all__ = ["ActiveConfig"]


class ActiveConfig:
    """The highest accepted revision of the configuration; never reverts to a lower one.

    Attributes
    ----------
    fleet : FleetConfig
        The active configuration; empty until the first one is accepted.
    push : ConfigPush or None
        The message that carried it, to be sent to an entry that requests it.
    n_refused_old, n_refused_faulty : int
        Numbers of messages refused because their revision was not higher, or
        because they could not be parsed.
    """

    def __init__(self) -> None:
        self.fleet = FleetConfig()
        self.push: ConfigPush | None = None
        self.n_refused_old = 0
        self.n_refused_faulty = 0

    @property
    def revision(self) -> int:
        """The active revision; 0 until the first one is accepted."""
        return self.fleet.revision

    def accept(self, push: ConfigPush) -> bool:
        """Activate a newer, valid revision; return whether it was activated."""
        if push.revision <= self.revision:
            self.n_refused_old += 1
            return False
        parsed = parse_fleet(push.toml, strict=False)
        if isinstance(parsed, ConfigFaults):
            self.n_refused_faulty += 1
            return False
        self.fleet = parsed.at_revision(push.revision)
        self.push = push
        return True
