"""Keeps an entry's copy of the configuration and submits changes of it.

One task watches the key; another reads it again at an interval, since a watch may
fall silent without ending. Whatever either sees goes through `adopt`, which keeps
the highest revision only. While the store is down the last copy stays.
"""

import asyncio
import logging
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from almondspan_admin.config_store import ConfigStore
from almondspan_admin.config_submit import (
    ConfigSubmission,
    ConfigUnavailable,
    SubmitAttempt,
    SubmitOptions,
    SubmitOutcome,
    check_submission,
)
from almondspan_admin.stored_config import CURRENT_KEY, StoredConfig
from almondspan_decisions.fleet_document import KnownPolicies
from almondspan_decisions.policy_names import known_policies
from almondspan_platform.store import Revision, Store, Unavailable, WatchLost
from almondspan_wire.membership import ConfigPush

__all__ = ["ConfigClient", "ConfigClientOptions"]

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ConfigClientOptions:
    """How often the relay reads, and how it submits.

    ``refresh_s`` is the least time between reads that requests ask for.
    ``policies`` are the names that a submitted configuration may give.
    """

    reread_s: float = 4.0
    refresh_s: float = 1.0
    retry_s: float = 1.0
    submit: SubmitOptions = field(default_factory=SubmitOptions)
    policies: KnownPolicies = field(default_factory=known_policies)


class ConfigClient:
    """An entry's half of the configuration: reads, watches, submits.

    Parameters
    ----------
    store : Store
        A started client.
    on_change : Callable[[ConfigPush], None]
        Called with each newer revision, in order; must not block.
    options : RelayOptions, optional
    rng : random.Random, optional
        Spreads the reads of several entries.
    """

    def __init__(
        self,
        store: Store,
        on_change: Callable[[ConfigPush], None],
        options: ConfigClientOptions | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._store = store
        self._keys = ConfigStore(store, self._see)
        self._on_change = on_change
        self._options = options or ConfigClientOptions()
        self._rng = rng or random.Random(0)
        self._push: ConfigPush | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._refreshed_s = -math.inf
        self.n_older_refused = 0
        self.n_watches_lost = 0

    async def start(self) -> None:
        """Begin to read and watch; does not wait for the store."""
        self._tasks = [
            asyncio.create_task(self._read_at_interval(), name="config reader"),
            asyncio.create_task(self._watch(), name="config watch"),
        ]

    async def close(self) -> None:
        """Stop reading; the copy stays readable."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks = []

    def current(self) -> ConfigPush | None:
        """Return the highest revision seen, or None before the first."""
        return self._push

    def adopt(self, push: ConfigPush) -> bool:
        """Take a copy from elsewhere; False when it is not newer than the held one.

        An entry that starts while the store is down may learn the configuration
        from an agent.
        """
        if self._push is not None and push.revision <= self._push.revision:
            self.n_older_refused += push.revision < self._push.revision
            return False
        self._push = push
        logger.info("configuration changed", extra={"revision": push.revision})
        self._on_change(push)
        return True

    async def refresh(self) -> None:
        """Read now, for a request that a newer configuration might allow.

        At most one read in ``refresh_s``, whoever asks; an unavailable store
        leaves the copy as it is.
        """
        now_s = asyncio.get_running_loop().time()
        if now_s - self._refreshed_s >= self._options.refresh_s:
            self._refreshed_s = now_s
            await self._keys.read()

    async def submit(self, submission: ConfigSubmission) -> SubmitOutcome:
        """Replace the configuration if it is at the expected revision."""
        refused = check_submission(submission, self._options.policies)
        if refused is not None:
            return refused
        attempt = SubmitAttempt(
            self._keys, submission, self._push, self._options.submit
        )
        return await attempt.run()

    async def history(self) -> tuple[StoredConfig, ...] | ConfigUnavailable:
        """Return the kept revisions and the one in force, oldest first."""
        # The history is read last: a revision replaced in between is in both.
        stored = await self._keys.read()
        if isinstance(stored, Unavailable):
            return ConfigUnavailable(stored.reason, may_have_applied=False)
        archived = await self._keys.list_archived()
        if isinstance(archived, Unavailable):
            return ConfigUnavailable(archived.reason, may_have_applied=False)
        kept = {config.revision: config for config in archived}
        if stored.config is not None:
            kept[stored.config.revision] = stored.config
        return tuple(kept[revision] for revision in sorted(kept))

    async def revision(self, revision: int) -> StoredConfig | ConfigUnavailable | None:
        """Return one kept revision, or None when it is not kept."""
        # The history is read last: a revision replaced in between is in both.
        stored = await self._keys.read()
        if isinstance(stored, Unavailable):
            return ConfigUnavailable(stored.reason, may_have_applied=False)
        if stored.config is not None and stored.config.revision == revision:
            return stored.config
        archived = await self._keys.read_archived(revision)
        if isinstance(archived, Unavailable):
            return ConfigUnavailable(archived.reason, may_have_applied=False)
        return archived

    def _see(self, config: StoredConfig) -> None:
        self.adopt(config.push())

    async def _read_at_interval(self) -> None:
        while True:
            await self._keys.read()
            await asyncio.sleep(self._options.reread_s * self._rng.uniform(0.8, 1.0))

    async def _watch(self) -> None:
        while True:
            stored = await self._keys.read()
            if not isinstance(stored, Unavailable):
                await self._follow_watch(stored.store_revision)
                self.n_watches_lost += 1
            await asyncio.sleep(self._options.retry_s * self._rng.uniform(0.8, 1.2))

    async def _follow_watch(self, after: Revision) -> None:
        async for event in self._store.watch(CURRENT_KEY, after):
            if isinstance(event, WatchLost):
                return
            for item in event.changed:
                if item.key == CURRENT_KEY:
                    self._keys.see(item)
