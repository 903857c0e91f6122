"""Changes the configuration in the store, once, for an operator.

Steps: read the key; refuse unless it holds the revision that the operator edited;
write that revision into the history; replace the key by compare-and-swap. A store
that gives no answer is asked again until the time is over.

A write whose answer was lost shows by its nonce, in the key or in the history,
since no revision is replaced before it is in the history. Repeating the swap is
safe: both name the same revision of the key, so one of them at most takes effect.
"""

import asyncio
from dataclasses import dataclass
from typing import Final

from almondspan_admin.config_store import ConfigStore, StoredKey
from almondspan_admin.stored_config import StoredConfig, encode_config
from almondspan_decisions.fleet_document import (
    ConfigFault,
    ConfigFaults,
    KnownPolicies,
    parse_fleet,
)
from almondspan_platform.store import (
    MAX_VALUE_BYTES,
    Conflict,
    Swapped,
    Unavailable,
)
from almondspan_wire.membership import ConfigPush

__all__ = [
    "ConfigAccepted",
    "ConfigConflict",
    "ConfigRefused",
    "ConfigSubmission",
    "ConfigUnavailable",
    "SubmitAttempt",
    "SubmitOptions",
    "SubmitOutcome",
    "check_submission",
]


LOST_AUTHOR: Final = "(unknown)"
"""The author of a revision that an entry holds and the store has lost."""


@dataclass(frozen=True, slots=True)
class SubmitOptions:
    """How long a submission may take, and how much history is kept."""

    timeout_s: float = 10.0
    retry_s: float = 0.5
    n_history: int = 50


@dataclass(frozen=True, slots=True)
class ConfigSubmission:
    """A change that an operator submits.

    ``nonce`` names the submission: repeating it with the same nonce, at any entry,
    changes nothing twice.
    """

    expected_revision: int
    toml: str
    author: str
    submitted_unix_s: float
    nonce: str

    def stored(self) -> StoredConfig:
        """Return the revision that the submission would make."""
        return StoredConfig(
            revision=self.expected_revision + 1,
            author=self.author,
            submitted_unix_s=self.submitted_unix_s,
            nonce=self.nonce,
            toml=self.toml,
        )


@dataclass(frozen=True, slots=True)
class ConfigAccepted:
    """The change is in the store at ``revision``."""

    revision: int


@dataclass(frozen=True, slots=True)
class ConfigConflict:
    """The store holds another revision than expected: ``current``."""

    current: StoredConfig | None


@dataclass(frozen=True, slots=True)
class ConfigRefused:
    """The text is at fault; nothing was changed."""

    faults: ConfigFaults


@dataclass(frozen=True, slots=True)
class ConfigUnavailable:
    """The store gave no answer in time; the change may take effect."""

    reason: str
    may_have_applied: bool


SubmitOutcome = ConfigAccepted | ConfigConflict | ConfigRefused | ConfigUnavailable


def check_submission(
    submission: ConfigSubmission, policies: KnownPolicies
) -> ConfigRefused | None:
    """Return why a submission is refused, whatever the store holds."""
    parsed = parse_fleet(submission.toml, policies=policies)
    if isinstance(parsed, ConfigFaults):
        return ConfigRefused(parsed)
    n_bytes = len(encode_config(submission.stored()))
    if n_bytes <= MAX_VALUE_BYTES:
        return None
    fault = ConfigFault("(text)", f"{n_bytes} bytes", f"at most {MAX_VALUE_BYTES}")
    return ConfigRefused(ConfigFaults((fault,)))


class SubmitAttempt:
    """One submission, repeated until the store has answered.

    Parameters
    ----------
    keys : ConfigStore
    submission : ConfigSubmission
    held : ConfigPush or None
        The revision that the entry holds, in case the store has lost it.
    options : SubmitOptions
    """

    def __init__(
        self,
        keys: ConfigStore,
        submission: ConfigSubmission,
        held: ConfigPush | None,
        options: SubmitOptions,
    ) -> None:
        self._keys = keys
        self._submission = submission
        self._held = held
        self._options = options
        self._reason = "the store gave no answer in time"
        self._may_have_applied = False
        self._accepted: ConfigAccepted | None = None

    async def run(self) -> SubmitOutcome:
        """Submit within the time that the options allow."""
        try:
            async with asyncio.timeout(self._options.timeout_s):
                while True:
                    outcome = await self._try_once()
                    if outcome is not None:
                        return outcome
                    await asyncio.sleep(self._options.retry_s)
        except TimeoutError:
            if self._accepted is not None:
                return self._accepted
            return ConfigUnavailable(self._reason, self._may_have_applied)

    async def _try_once(self) -> SubmitOutcome | None:
        """Return the outcome, or None when the store has to be asked again."""
        stored = await self._keys.read()
        if isinstance(stored, Unavailable):
            self._reason = stored.reason
            return None
        if stored.unreadable:
            return ConfigConflict(None)
        current = self._in_force(stored)
        if stored.config is not None:
            if stored.config.nonce == self._submission.nonce:
                return ConfigAccepted(stored.config.revision)
            if stored.config is current and self._is_in_force(current):
                return ConfigAccepted(current.revision)
        revision = current.revision if current is not None else 0
        if revision != self._submission.expected_revision:
            return await self._explain_conflict(current)
        if current is not None:
            missing = await self._keys.archive(current)
            if missing is not None:
                self._reason = missing.reason
                return None
        return await self._replace(stored)

    def _is_in_force(self, current: StoredConfig) -> bool:
        """Tell whether the submission would change nothing."""
        is_expected = current.revision == self._submission.expected_revision
        return is_expected and current.toml == self._submission.toml

    def _in_force(self, stored: StoredKey) -> StoredConfig | None:
        """Return what is in force, which a store that went back may have lost."""
        held, config = self._held, stored.config
        if held is None or (config is not None and config.revision >= held.revision):
            return config
        toml = held.toml.decode()
        return StoredConfig(held.revision, LOST_AUTHOR, 0.0, "", toml)

    async def _explain_conflict(
        self, current: StoredConfig | None
    ) -> SubmitOutcome | None:
        """Tell a submission that was taken and then replaced from a lost race."""
        kept = await self._keys.read_archived(self._submission.expected_revision + 1)
        if isinstance(kept, Unavailable):
            self._reason = kept.reason
            return None
        if kept is not None and kept.nonce == self._submission.nonce:
            return ConfigAccepted(kept.revision)
        return ConfigConflict(current)

    async def _replace(self, stored: StoredKey) -> SubmitOutcome | None:
        config = self._submission.stored()
        before = self._may_have_applied
        # Set first: the time may be over while the answer is awaited.
        self._may_have_applied = True
        outcome = await self._keys.replace(stored.key_revision, config)
        match outcome:
            case Swapped():
                self._accepted = ConfigAccepted(config.revision)
                await self._keys.prune(config.revision - self._options.n_history)
                return self._accepted
            case Unavailable(may_have_applied=False):
                self._may_have_applied = before
                self._reason = outcome.reason
                return None
            case Unavailable():
                self._reason = outcome.reason
                return None
            case Conflict():
                # The next read tells whether an earlier try is what it met.
                return None
