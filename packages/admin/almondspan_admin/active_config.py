"""The configuration that a process has in force."""

from almondspan_decisions.fleet import FleetConfig
from almondspan_decisions.fleet_document import ConfigFaults, parse_fleet
from almondspan_wire.membership import ConfigPush

__all__ = ["ActiveConfig"]


class ActiveConfig:
    """Holds the highest revision that was accepted and refuses to go back.

    Attributes
    ----------
    fleet : FleetConfig
        The configuration in force; empty before the first one is accepted.
    push : ConfigPush or None
        The message that brought it, for an entry that asks for it.
    n_refused_old, n_refused_faulty : int
        Counts of pushes refused since they were not newer, or not readable.
    """

    def __init__(self) -> None:
        self.fleet = FleetConfig()
        self.push: ConfigPush | None = None
        self.n_refused_old = 0
        self.n_refused_faulty = 0

    @property
    def revision(self) -> int:
        """The revision in force; 0 before the first one is accepted."""
        return self.fleet.revision

    def accept(self, push: ConfigPush) -> bool:
        """Put a newer revision in force; False leaves the held one in force."""
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
