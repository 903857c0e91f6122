"""Keeps an entry's copy of the configuration up to date and submits changes to it.

One task watches the configuration's key in the store; another reads the key
periodically, because a watch may stop delivering events without being closed. Both
pass what they receive to `adopt`, which keeps only the highest revision. While the
store is unavailable the entry keeps its last copy.
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
    """Intervals of reads and options of submissions.

    ``reread_s`` is the interval of the periodic reads, ``refresh_s`` the least time
    between reads on behalf of requests, and ``retry_s`` the pause before a lost
    watch is opened again. ``policies`` are the policy names that a submitted
    configuration may use.
    """

    reread_s: float = 4.0
    refresh_s: float = 1.0
    retry_s: float = 1.0
    submit: SubmitOptions = field(default_factory=SubmitOptions)
    policies: KnownPolicies = field(default_factory=known_policies)


class ConfigClient:
    """An entry's client for the configuration in the store.

    Parameters
    ----------
    store : Store
        A started client.
    on_change : Callable[[ConfigPush], None]
        Called with each newer revision, in increasing order; must not block.
    options : ConfigClientOptions, optional
    rng : random.Random, optional
        Adds jitter so that the reads of several entries are spread out.
    """

    def __init__(
        self,
        store: Store,
        on_change: Callable[[ConfigPush], None],
        options: ConfigClientOptions | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._store = store
        self._config_store = ConfigStore(store, self._on_config)
        self._on_change = on_change
        self._options = options or ConfigClientOptions()
        self._rng = rng or random.Random(0)
        self._push: ConfigPush | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._refreshed_s = -math.inf
        self.n_outdated = 0
        self.n_watches_lost = 0

    async def start(self) -> None:
        """Start reading and watching; does not wait for the store."""
        self._tasks = [
            asyncio.create_task(self._read_at_interval(), name="config reader"),
            asyncio.create_task(self._watch(), name="config watch"),
        ]

    async def close(self) -> None:
        """Stop reading and watching; `current` still returns the last copy."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks = []

    def current(self) -> ConfigPush | None:
        """Return the highest revision received, or None before the first one."""
        return self._push

    def adopt(self, push: ConfigPush) -> bool:
        """Replace the copy if `push` is newer; return whether it was replaced.

        `push` may also come from an agent, when the entry starts while the store is
        unavailable.
        """
        if self._push is not None and push.revision <= self._push.revision:
            self.n_outdated += push.revision < self._push.revision
            return False
        self._push = push
        logger.info("configuration changed", extra={"revision": push.revision})
        self._on_change(push)
        return True

    async def refresh(self) -> None:
        """Read the store now, for a request that a newer configuration might allow.

        All callers together cause at most one read per ``refresh_s``. If the store
        is unavailable, the copy stays as it is.
        """
        now_s = asyncio.get_running_loop().time()
        if now_s - self._refreshed_s >= self._options.refresh_s:
            self._refreshed_s = now_s
            await self._config_store.read()

    async def submit(self, submission: ConfigSubmission) -> SubmitOutcome:
        """Replace the configuration if its revision is the expected one."""
        refusal = check_submission(submission, self._options.policies)
        if refusal is not None:
            return refusal
        attempt = SubmitAttempt(
            self._config_store, submission, self._push, self._options.submit
        )
        return await attempt.run()

    async def history(self) -> tuple[StoredConfig, ...] | ConfigUnavailable:
        """Return the archived revisions and the current one, oldest first."""
        # The archive is read last: a revision that is replaced between the two reads
        # is already in the archive, since it is archived before it is replaced.
        stored = await self._config_store.read()
        if isinstance(stored, Unavailable):
            return ConfigUnavailable(stored.reason, may_have_applied=False)
        archived = await self._config_store.list_archived()
        if isinstance(archived, Unavailable):
            return ConfigUnavailable(archived.reason, may_have_applied=False)
        kept = {config.revision: config for config in archived}
        if stored.config is not None:
            kept[stored.config.revision] = stored.config
        return tuple(kept[revision] for revision in sorted(kept))

    async def revision(self, revision: int) -> StoredConfig | ConfigUnavailable | None:
        """Return the current or an archived revision, or None if there is none."""
        # The archive is read last, as in `history`.
        stored = await self._config_store.read()
        if isinstance(stored, Unavailable):
            return ConfigUnavailable(stored.reason, may_have_applied=False)
        if stored.config is not None and stored.config.revision == revision:
            return stored.config
        archived = await self._config_store.read_archived(revision)
        if isinstance(archived, Unavailable):
            return ConfigUnavailable(archived.reason, may_have_applied=False)
        return archived

    def _on_config(self, config: StoredConfig) -> None:
        self.adopt(config.push())

    async def _read_at_interval(self) -> None:
        while True:
            await self._config_store.read()
            await asyncio.sleep(self._options.reread_s * self._rng.uniform(0.8, 1.0))

    async def _watch(self) -> None:
        while True:
            stored = await self._config_store.read()
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
                    self._config_store.observe(item)
