"""A stand-in of the platform's store: `PROTOCOL.md`, "The platform's metadata store".

One state, and one listening address for each node, so that a fault can be limited to
the calls of one node. It runs in the event loop of the case.
"""

import asyncio
import base64
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

MAX_ITEMS = 500
RETENTION_S = 20.0


@dataclass
class Item:
    """A stored key."""

    key: str
    value: str
    revision: int
    created: int
    lease: int

    def row(self) -> dict[str, Any]:
        """Return the item as the protocol sends it."""
        return dict(vars(self))


@dataclass
class Lease:
    """A lease and the keys that end with it."""

    ttl_ms: int
    ends_s: float
    keys: set[str] = field(default_factory=set)


@dataclass
class Lost:
    """A write that gets no response and is executed `late_s` after its arrival."""

    late_s: float


Fault = Callable[[str, dict[str, Any]], Lost | None]
Handler = Callable[[web.Request, str], Awaitable[web.Response]]


class Store:
    """The state of the store and its HTTP servers."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.leases: dict[int, Lease] = {}
        self.revision = 10
        self.history: list[tuple[float, int, str, Item | None]] = []
        self.first_revision = 10
        self.n_leases = 0
        self.n_writes = 0
        self.n_lost = 0
        self.fault: Fault = lambda node, body: None
        """Called for each write with the node and the body; a loss if not None."""
        self._changed = asyncio.Event()
        self._runners: list[web.AppRunner] = []
        self._late: set[asyncio.Task[None]] = set()
        self._expiry = asyncio.create_task(self._expire())

    async def listen(self, node: str) -> str:
        """Open the address for the calls of one node; return it."""
        app = web.Application(client_max_size=16 * 1024 * 1024)
        routes = [
            ("GET", "/api/kv-key", self._get),
            ("GET", "/api/kv-range", self._range),
            ("GET", "/api/kv-watch", self._watch),
            ("POST", "/api/kv-txn", self._txn),
            ("POST", "/api/kv-lease", self._grant),
            ("POST", "/api/kv-keep/{id}", self._keep),
            ("DELETE", "/api/kv-lease-end/{id}", self._end),
        ]
        for method, path, handler in routes:
            app.router.add_route(method, path, _of_node(handler, node))
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        self._runners.append(runner)
        return f"127.0.0.1:{runner.addresses[0][1]}"

    async def close(self) -> None:
        """Close all addresses."""
        for task in (self._expiry, *self._late):
            task.cancel()
        for runner in self._runners:
            await runner.cleanup()

    def put(self, key: str, data: bytes) -> None:
        """Write a key as the operator does."""
        self.revision += 1
        self._put(key, base64.b64encode(data).decode(), 0)
        self._notify()

    # State

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _put(self, key: str, value: str, lease: int) -> None:
        before = self.items.get(key)
        if before is not None and before.lease in self.leases:
            self.leases[before.lease].keys.discard(key)
        created = before.created if before is not None else self.revision
        item = Item(key, value, self.revision, created, lease)
        if lease:
            self.leases[lease].keys.add(key)
        self.items[key] = item
        self.history.append((time.monotonic(), self.revision, key, item))

    def _remove(self, key: str) -> None:
        item = self.items.pop(key, None)
        if item is None:
            return
        if item.lease in self.leases:
            self.leases[item.lease].keys.discard(key)
        self.history.append((time.monotonic(), self.revision, key, None))

    def _end_lease(self, number: int) -> None:
        lease = self.leases.pop(number, None)
        if lease is None:
            return
        for key in sorted(lease.keys):
            self.revision += 1
            self._remove(key)
        self._notify()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now_s = time.monotonic()
            for number, lease in tuple(self.leases.items()):
                if lease.ends_s <= now_s:
                    self._end_lease(number)
            while self.history and self.history[0][0] < now_s - RETENTION_S:
                self.first_revision = self.history.pop(0)[1]

    def _commit(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        rows = body.get("precondition") or []
        for row in rows:
            item = self.items.get(row["key"])
            if (item.revision if item is not None else 0) != row["revision"]:
                keys = [other["key"] for other in rows]
                found = [self.items[key].row() for key in keys if key in self.items]
                return 412, {"items": found}
        writes = body.get("writes") or []
        if any(row.get("lease", 0) not in {0, *self.leases} for row in writes):
            return 404, {}
        if any(row["key"].startswith(("op/", "servers/")) for row in writes):
            return 403, {}
        self.revision += 1
        for row in writes:
            self._put(row["key"], row["value"], row.get("lease", 0))
        for key in body.get("remove") or []:
            self._remove(key)
        self._notify()
        return 200, {"revision": self.revision}

    # Calls

    async def _get(self, request: web.Request, node: str) -> web.Response:
        item = self.items.get(request.query["key"])
        if item is None:
            return web.json_response({}, status=404)
        return web.json_response({**item.row(), "atRev": self.revision})

    async def _range(self, request: web.Request, node: str) -> web.Response:
        prefix, after = request.query["pathPrefix"], request.query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        rows = [self.items[key].row() for key in keys[:MAX_ITEMS]]
        body = {"items": rows, "hasMore": len(keys) > MAX_ITEMS}
        return web.json_response({**body, "atRev": self.revision})

    async def _watch(self, request: web.Request, node: str) -> web.Response:
        prefix, after = request.query["pathPrefix"], int(request.query["after"])
        until_s = time.monotonic() + int(request.query["waitMs"]) / 1000
        while True:
            if after < self.first_revision:
                return web.json_response({}, status=410)
            rows = [
                {"key": key, "revision": revision, "compacted": True}
                if item is None
                else item.row()
                for _, revision, key, item in self.history
                if revision > after and key.startswith(prefix)
            ]
            left_s = until_s - time.monotonic()
            if rows or left_s <= 0:
                return web.json_response({"events": rows, "atRev": self.revision})
            changed = self._changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                pass

    async def _txn(self, request: web.Request, node: str) -> web.Response:
        body = await request.json()
        self.n_writes += 1
        lost = self.fault(node, body)
        if lost is None:
            status, answer = self._commit(body)
            return web.json_response(answer, status=status)
        self.n_lost += 1
        task = asyncio.create_task(self._commit_late(body, lost.late_s))
        self._late.add(task)
        task.add_done_callback(self._late.discard)
        await asyncio.sleep(30.0)
        return web.json_response({}, status=503)

    async def _commit_late(self, body: dict[str, Any], late_s: float) -> None:
        await asyncio.sleep(late_s)
        self._commit(body)

    async def _grant(self, request: web.Request, node: str) -> web.Response:
        ttl_ms = int((await request.json())["ttlMs"])
        self.n_leases += 1
        self.leases[self.n_leases] = Lease(ttl_ms, time.monotonic() + ttl_ms / 1000)
        return web.json_response({"lease": self.n_leases, "ttlMs": ttl_ms})

    async def _keep(self, request: web.Request, node: str) -> web.Response:
        lease = self.leases.get(int(request.match_info["id"]))
        if lease is None:
            return web.json_response({}, status=404)
        lease.ends_s = time.monotonic() + lease.ttl_ms / 1000
        return web.json_response({"ttlMs": lease.ttl_ms})

    async def _end(self, request: web.Request, node: str) -> web.Response:
        self._end_lease(int(request.match_info["id"]))
        return web.json_response({})


def _of_node(
    handler: Handler, node: str
) -> Callable[[web.Request], Awaitable[web.Response]]:
    async def handle(request: web.Request) -> web.Response:
        await asyncio.sleep(0.004)
        return await handler(request, node)

    return handle
