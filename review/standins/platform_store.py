"""Stand-in of the platform's metadata store, as PROTOCOL.md publishes it.

Every process has a listening port of its own, as a caller of a real store has an
address of its own.
"""

import asyncio
import time
from dataclasses import dataclass
from typing import Any

from aiohttp import web

PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000


@dataclass
class Item:
    """One key with its value, as text in base64."""

    key: str
    value: str
    revision: int
    created: int
    lease: int

    def row(self) -> dict[str, Any]:
        """Return the item as the store's answers show it."""
        return {
            "key": self.key,
            "value": self.value,
            "revision": self.revision,
            "created": self.created,
            "lease": self.lease,
        }


class PlatformStore:
    """The store's state and its HTTP interface."""

    def __init__(self, answer_s: float = 0.004, max_value: int = 1_048_576) -> None:
        self.answer_s = answer_s
        self.max_value = max_value
        self.revision = 10
        self.items: dict[str, Item] = {}
        self.events: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        """Lease: its length and when it ends, in seconds."""
        self.removed_s = 0.0
        """When keys were last removed on request."""
        self._busy_until_s = 0.0
        self._oldest = 0
        """The history up to this revision is gone."""
        self.refused: list[str] = []
        """Writes that were refused because a value is too long."""
        self._changed = asyncio.Event()
        self._runners: list[web.AppRunner] = []
        self._expiry: asyncio.Task[None] | None = None

    async def listen(self, host: str, port: int) -> None:
        """Listen on one more address."""
        app = web.Application(client_max_size=64 * 2**20)
        app.router.add_route("*", "/{tail:.*}", self._handle)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, host, port).start()
        self._runners.append(runner)
        if self._expiry is None:
            self._expiry = asyncio.create_task(self._expire_leases())

    async def close(self) -> None:
        """Stop listening."""
        if self._expiry is not None:
            self._expiry.cancel()
        for runner in self._runners:
            await runner.cleanup()

    def refuse(self, for_s: float) -> None:
        """Be down for a while: answer 503, do nothing, let leases pause.

        The history is gone when the store is back.
        """
        now_s = time.monotonic()
        self._busy_until_s = now_s + for_s
        self.leases = {
            lease: (ttl_s, end_s + for_s)
            for lease, (ttl_s, end_s) in self.leases.items()
        }
        self._oldest = self.revision
        self.events.clear()
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    @property
    def is_busy(self) -> bool:
        """Return whether the store is down."""
        return time.monotonic() < self._busy_until_s

    # State

    def put(self, writes: list[tuple[str, str, int]], remove: list[str]) -> int:
        """Write and remove keys in one revision, which is returned."""
        self.revision += 1
        for key, value, lease in writes:
            known = self.items.get(key)
            created = known.created if known is not None else self.revision
            item = Item(key, value, self.revision, created, lease)
            self.items[key] = item
            self.events.append(item.row())
        for key in remove:
            if self.items.pop(key, None) is not None:
                row = {"key": key, "revision": self.revision, "compacted": True}
                self.events.append(row)
        self._changed.set()
        self._changed = asyncio.Event()
        return self.revision

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now_s = time.monotonic()
            ended = [key for key, (_, end_s) in self.leases.items() if end_s < now_s]
            for lease in ended:
                self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""
        if self.leases.pop(lease, None) is None:
            return
        keys = [key for key, item in self.items.items() if item.lease == lease]
        if keys:
            self.put([], keys)

    # Calls

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        body = await request.json() if request.can_read_body else {}
        if self.is_busy:
            return web.json_response({}, status=503)
        await asyncio.sleep(self.answer_s)
        return await self._answer(request, body)

    async def _answer(
        self, request: web.Request, body: dict[str, Any]
    ) -> web.StreamResponse:
        path = request.path
        if path == "/api/kv-key":
            item = self.items.get(request.query["key"])
            if item is None:
                return web.json_response({"atRev": self.revision}, status=404)
            return web.json_response({**item.row(), "atRev": self.revision})
        if path == "/api/kv-range":
            return self._range(request)
        if path == "/api/kv-watch":
            return await self._watch(request)
        if path == "/api/kv-txn":
            return self._txn(body)
        if path == "/api/kv-lease":
            lease = self.revision * 1000 + len(self.leases) + int(time.time()) % 997
            while lease in self.leases:
                lease += 1
            ttl_s = max(body["ttlMs"] / 1000, 1.0)
            self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return web.json_response({"lease": lease, "ttlMs": int(ttl_s * 1000)})
        if path.startswith("/api/kv-keep/"):
            lease = int(path.rpartition("/")[2])
            if lease not in self.leases:
                return web.json_response({}, status=404)
            ttl_s = self.leases[lease][0]
            self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return web.json_response({"ttlMs": int(ttl_s * 1000)})
        if path.startswith("/api/kv-lease-end/"):
            self.end_lease(int(path.rpartition("/")[2]))
            return web.json_response({})
        return web.json_response({}, status=404)

    def _range(self, request: web.Request) -> web.Response:
        prefix, after = request.query["pathPrefix"], request.query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix))
        rows: list[dict[str, Any]] = []
        n_bytes = 0
        has_more = False
        for key in keys:
            if key <= after:
                continue
            if rows and (len(rows) >= PAGE_ITEMS or n_bytes > PAGE_BYTES):
                has_more = True
                break
            rows.append(self.items[key].row())
            n_bytes += len(self.items[key].value)
        return web.json_response(
            {"items": rows, "hasMore": has_more, "atRev": self.revision}
        )

    async def _watch(self, request: web.Request) -> web.Response:
        prefix, after = request.query["pathPrefix"], int(request.query["after"])
        until_s = time.monotonic() + min(int(request.query["waitMs"]), 30_000) / 1000
        while True:
            if self.is_busy:
                return web.json_response({}, status=503)
            if after < self._oldest:
                return web.json_response({}, status=410)
            changed = self._changed
            rows = [
                row
                for row in self.events
                if row["revision"] > after and row["key"].startswith(prefix)
            ]
            left_s = until_s - time.monotonic()
            if rows or left_s <= 0:
                return web.json_response({"events": rows, "atRev": self.revision})
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                pass

    def _txn(self, body: dict[str, Any]) -> web.Response:
        conditions = body.get("precondition", [])
        writes = body.get("writes", [])
        remove = body.get("remove", [])
        if len(conditions) > 32 or len(writes) + len(remove) > 32:
            return web.json_response({"error": "too many entries"}, status=400)
        for write in writes:
            if len(write["value"]) * 3 // 4 > self.max_value:
                self.refused.append(write["key"])
                return web.json_response({"error": "value too long"}, status=400)
        if any(write.get("lease", 0) not in {0, *self.leases} for write in writes):
            return web.json_response({}, status=404)
        is_met = all(
            (self.items[row["key"]].revision if row["key"] in self.items else 0)
            == row["revision"]
            for row in conditions
        )
        if not is_met:
            found = [
                self.items[row["key"]].row()
                if row["key"] in self.items
                else {"key": row["key"], "revision": 0}
                for row in conditions
            ]
            return web.json_response({"items": found}, status=412)
        if remove:
            self.removed_s = time.monotonic()
        rows = [(row["key"], row["value"], row.get("lease", 0)) for row in writes]
        return web.json_response({"revision": self.put(rows, remove)})
