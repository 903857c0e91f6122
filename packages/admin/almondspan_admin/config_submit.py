"""Submits an operator's change of the configuration to the store, exactly once.

The steps are: read the key of the current configuration; report a conflict unless it
holds the revision that the operator edited; write that revision into the history;
replace the key by compare-and-swap. While the store does not answer, the steps are
repeated until the time-out.

A write whose response was lost is recognised by its nonce, either in the key or in
the history, because a revision is always archived before it is replaced. Repeating
the compare-and-swap is safe: both attempts name the same revision of the key, so at
most one of them takes effect.
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
"""The author shown for a revision that an entry holds and the store has lost."""


@dataclass(frozen=True, slots=True)
class SubmitOptions:
    """Time-out and retry interval of a submission, and the length of the history."""

    timeout_s: float = 10.0
    retry_s: float = 0.5
    n_history: int = 50


@dataclass(frozen=True, slots=True)
class ConfigSubmission:
    """A change that an operator submits.

    ``nonce`` identifies the submission: it is applied once even if it is repeated
    with the same nonce, at any entry.
    """

    expected_revision: int
    toml: str
    author: str
    submitted_unix_s: float
    nonce: str

    def stored(self) -> StoredConfig:
        """Return the revision that the submission would create."""
        return StoredConfig(
            revision=self.expected_revision + 1,
            author=self.author,
            submitted_unix_s=self.submitted_unix_s,
            nonce=self.nonce,
            toml=self.toml,
        )


@dataclass(frozen=True, slots=True)
class ConfigAccepted:
    """The change is stored as ``revision``."""

    revision: int


@dataclass(frozen=True, slots=True)
class ConfigConflict:
    """The current configuration is not the expected revision, but ``current``.

    ``current`` is None when the store's configuration cannot be decoded.
    """

    current: StoredConfig | None


@dataclass(frozen=True, slots=True)
class ConfigRefused:
    """The text is invalid; nothing was changed."""

    faults: ConfigFaults


@dataclass(frozen=True, slots=True)
class ConfigUnavailable:
    """The store did not answer in time.

    With ``may_have_applied`` the change may have taken effect, or still do so.
    """

    reason: str
    may_have_applied: bool


SubmitOutcome = ConfigAccepted | ConfigConflict | ConfigRefused | ConfigUnavailable


def check_submission(
    submission: ConfigSubmission, policies: KnownPolicies
) -> ConfigRefused | None:
    """Return why a submission is invalid regardless of the stored state, or None."""
    parsed = parse_fleet(submission.toml, policies=policies)
    if isinstance(parsed, ConfigFaults):
        return ConfigRefused(parsed)
    n_bytes = len(encode_config(submission.stored()))
    if n_bytes <= MAX_VALUE_BYTES:
        return None
    fault = ConfigFault("(text)", f"{n_bytes} bytes", f"at most {MAX_VALUE_BYTES}")
    return ConfigRefused(ConfigFaults((fault,)))


class SubmitAttempt:
    """Carries out one submission, retrying until the store has answered.

    Parameters
    ----------
    config_store : ConfigStore
    submission : ConfigSubmission
    held : ConfigPush or None
        The revision that the entry holds, in case the store has lost it because it
        was restored from an older copy.
    options : SubmitOptions
    """

    def __init__(
        self,
        config_store: ConfigStore,
        submission: ConfigSubmission,
        held: ConfigPush | None,
        options: SubmitOptions,
    ) -> None:
        self._config_store = config_store
        self._submission = submission
        self._held = held
        self._options = options
        self._reason = "the store did not answer in time"
        self._may_have_applied = False
        self._accepted: ConfigAccepted | None = None

    async def run(self) -> SubmitOutcome:
        """Submit the change and return its outcome, within the time-out."""
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
        """Return the outcome, or None if the steps have to be repeated."""
        stored = await self._config_store.read()
        if isinstance(stored, Unavailable):
            self._reason = stored.reason
            return None
        if stored.unreadable:
            return ConfigConflict(None)
        current = self._effective_config(stored)
        if stored.config is not None:
            if stored.config.nonce == self._submission.nonce:
                return ConfigAccepted(stored.config.revision)
            if stored.config is current and self._is_unchanged(current):
                return ConfigAccepted(current.revision)
        revision = current.revision if current is not None else 0
        if revision != self._submission.expected_revision:
            return await self._resolve_conflict(current)
        if current is not None:
            failure = await self._config_store.archive(current)
            if failure is not None:
                self._reason = failure.reason
                return None
        return await self._replace(stored)

    def _is_unchanged(self, current: StoredConfig) -> bool:
        """Return whether the submission has the expected revision's own text."""
        is_expected = current.revision == self._submission.expected_revision
        return is_expected and current.toml == self._submission.toml

    def _effective_config(self, stored: StoredKey) -> StoredConfig | None:
        """Return the newer of the stored and the held configuration.

        They differ if the store was restored from an older copy.
        """
        held, config = self._held, stored.config
        if held is None or (config is not None and config.revision >= held.revision):
            return config
        toml = held.toml.decode()
        return StoredConfig(held.revision, LOST_AUTHOR, 0.0, "", toml)

    async def _resolve_conflict(
        self, current: StoredConfig | None
    ) -> SubmitOutcome | None:
        """Return the outcome when the current revision is not the expected one.

        The submission is accepted if the history shows that it was applied and has
        since been replaced; otherwise it is a conflict. Returns None if the store did
        not answer.
        """
        kept = await self._config_store.read_archived(
            self._submission.expected_revision + 1
        )
        if isinstance(kept, Unavailable):
            self._reason = kept.reason
            return None
        if kept is not None and kept.nonce == self._submission.nonce:
            return ConfigAccepted(kept.revision)
        return ConfigConflict(current)

    async def _replace(self, stored: StoredKey) -> SubmitOutcome | None:
        config = self._submission.stored()
        may_have_applied_before = self._may_have_applied
        # Set before the call: the time-out may expire while it is in progress.
        self._may_have_applied = True
        outcome = await self._config_store.replace(stored.key_revision, config)
        match outcome:
            case Swapped():
                self._accepted = ConfigAccepted(config.revision)
                await self._config_store.prune(
                    config.revision - self._options.n_history
                )
                return self._accepted
            case Unavailable(may_have_applied=False):
                self._may_have_applied = may_have_applied_before
                self._reason = outcome.reason
                return None
            case Unavailable():
                self._reason = outcome.reason
                return None
            case Conflict():
                # The next read shows whether an earlier attempt caused the conflict.
                return None
