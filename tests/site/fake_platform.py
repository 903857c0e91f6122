"""Fake HTTP servers on loopback for the platform's store and a runner.

They implement the published protocol on top of the stand-ins, so the adapter is tested
against the same behaviour that the simulations use.
"""

import asyncio
import base64
import json
import random
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

from almondspan_decisions.ids import WorkerId
from almondspan_platform.group_store import GroupConflict, Write, WriteGroup
from almondspan_platform.store import (
    KeyValue,
    LeaseId,
    LeaseLapsed,
    Revision,
    Swapped,
    WatchLost,
)
from almondspan_platform.task_worker import (
    PollFailed,
    PollRequest,
    StartTask,
    Verdict,
)
from almondspan_standins.memory_group_store import MemoryGroupStore, StoreFaults
from almondspan_standins.memory_task_worker import MemoryTaskWorker

Handler = Callable[[web.Request], Awaitable[web.Response]]
GuardedHandler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class FakeServer:
    """A server on a free port of the loopback interface."""

    def __init__(self, routes: list[web.RouteDef]) -> None:
        app = web.Application()
        app.add_routes(routes)
        self._runner = web.AppRunner(app)
        self.address = ""

    async def start(self, port: int = 0) -> None:
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", port)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        await self._runner.cleanup()


def item_row(item: KeyValue) -> dict[str, Any]:
    return {
        "key": item.key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "created": item.revision,
        "lease": 0,
    }


class FakeStore(FakeServer):
    """The store's API over a `MemoryGroupStore`."""

    PAGE = 3

    def __init__(self) -> None:
        self.state = MemoryGroupStore(random.Random(1))
        self._client = self.state.client(StoreFaults(answer_s=0.0))
        self.status = 0
        """If set, every call is answered with this status."""
        self.bytes_per_s = 0
        """If set, answers are sent at this rate, in pieces."""
        self.is_silent = False
        """Whether calls get no answer until the store is closed."""
        self._closing = asyncio.Event()

        super().__init__(
            [
                web.get("/api/kv-key", self._guard(self._get)),
                web.get("/api/kv-range", self._guard(self._range)),
                web.get("/api/kv-watch", self._guard(self._watch)),
                web.post("/api/kv-txn", self._guard(self._txn)),
                web.post("/api/kv-lease", self._guard(self._lease)),
                web.post("/api/kv-keep/{id}", self._guard(self._keep)),
            ]
        )

    def _guard(self, handler: Handler) -> GuardedHandler:
        async def handle(request: web.Request) -> web.StreamResponse:
            if self.is_silent:
                await self._closing.wait()
                return web.json_response({}, status=503)
            if self.status:
                return web.json_response({}, status=self.status)
            response = await handler(request)
            if self.bytes_per_s:
                return await self._send_slowly(request, response)
            return response

        return handle

    async def close(self) -> None:
        self._closing.set()
        await super().close()

    async def _send_slowly(
        self, request: web.Request, answer: web.Response
    ) -> web.StreamResponse:
        data = answer.body
        assert isinstance(data, bytes)
        slow = web.StreamResponse(status=answer.status)
        slow.content_length = len(data)
        await slow.prepare(request)
        n_piece = max(self.bytes_per_s // 10, 1)
        for begin in range(0, len(data), n_piece):
            await asyncio.sleep(0.1)
            await slow.write(data[begin : begin + n_piece])
        return slow

    async def _get(self, request: web.Request) -> web.Response:
        item = self.state.get(request.query["key"])
        if item is None:
            return web.json_response({}, status=404)
        return web.json_response({**item_row(item), "atRev": self.state.revision})

    async def _range(self, request: web.Request) -> web.Response:
        after = request.query.get("after", "")
        found = [
            item
            for item in self.state.get_range(request.query["pathPrefix"])
            if item.key > after
        ]
        body = {
            "items": [item_row(item) for item in found[: self.PAGE]],
            "hasMore": len(found) > self.PAGE,
            "atRev": self.state.revision,
        }
        return web.json_response(body)

    async def _watch(self, request: web.Request) -> web.Response:
        event = await self._client.changes(
            request.query["pathPrefix"],
            Revision(int(request.query["after"])),
            int(request.query["waitMs"]) / 1000,
        )
        if isinstance(event, WatchLost):
            return web.json_response({}, status=410)
        rows: list[dict[str, Any]] = [item_row(item) for item in event.changed]
        rows += [
            {"key": key, "revision": event.revision, "compacted": True}
            for key in event.deleted
        ]
        return web.json_response({"events": rows, "atRev": event.revision})

    async def _txn(self, request: web.Request) -> web.Response:
        body = await request.json()
        outcome = self.state.commit(
            WriteGroup(
                tuple(
                    (row["key"], Revision(row["revision"]))
                    for row in body["precondition"]
                ),
                tuple(
                    Write(
                        row["key"],
                        base64.b64decode(row["value"]),
                        LeaseId(row["lease"]) if "lease" in row else None,
                    )
                    for row in body["writes"]
                ),
                tuple(body["remove"]),
            )
        )
        if isinstance(outcome, Swapped):
            return web.json_response({"revision": outcome.revision})
        if isinstance(outcome, GroupConflict):
            rows = [item_row(item) for item in outcome.items]
            return web.json_response({"items": rows}, status=412)
        return web.json_response({}, status=404)

    async def _lease(self, request: web.Request) -> web.Response:
        body = await request.json()
        lease = self.state.grant(body["ttlMs"] / 1000)
        return web.json_response({"lease": lease.lease_id, "ttlMs": body["ttlMs"]})

    async def _keep(self, request: web.Request) -> web.Response:
        kept = self.state.keep(LeaseId(int(request.match_info["id"])))
        if isinstance(kept, LeaseLapsed):
            return web.json_response({}, status=404)
        return web.json_response({"ttlMs": int(kept.ttl_s * 1000)})


REASONS = {
    Verdict.FENCED: "fence",
    Verdict.OLD_ATTEMPT: "old",
    Verdict.TOO_LATE: "late",
    Verdict.NO_CAPACITY: "room",
}


class FakeRunner(FakeServer):
    """A runner's API over a `MemoryTaskWorker`."""

    def __init__(self, worker: MemoryTaskWorker) -> None:
        self.worker = worker
        self.status = 0
        self.raw_answer: bytes | None = None
        super().__init__(
            [
                web.post("/api/hold", self._hold),
                web.post("/api/run-start", self._start),
                web.post("/api/run-stop", self._stop),
            ]
        )

    def _answer(self, verdict: Verdict) -> web.Response:
        if self.status:
            return web.json_response({}, status=self.status)
        body: dict[str, Any] = {"clockMs": self.worker.clock_ms()}
        if verdict is Verdict.DONE:
            return web.json_response(body)
        if verdict is Verdict.OTHER_INCARNATION:
            return web.json_response(body, status=421)
        body["reason"] = REASONS[verdict]
        return web.json_response(body, status=409)

    @staticmethod
    def _expected_worker(request: web.Request) -> WorkerId:
        return WorkerId(request.headers["X-Expect-Instance"])

    async def _start(self, request: web.Request) -> web.Response:
        body = await request.json()
        start = StartTask(
            body["task"],
            body["attempt"],
            body["spec"],
            body.get("checkpoint", ""),
            body["deadlineMs"],
            body["fenceToken"],
        )
        if self.raw_answer is not None:
            return web.Response(body=self.raw_answer, content_type="application/json")
        answer = await self.worker.start_task(self._expected_worker(request), start)
        return self._answer(answer.verdict)

    async def _stop(self, request: web.Request) -> web.Response:
        body = await request.json()
        verdict = await self.worker.stop_task(
            self._expected_worker(request),
            body["task"],
            body["attempt"],
            body["fenceToken"],
        )
        return self._answer(verdict)

    async def _hold(self, request: web.Request) -> web.Response:
        if self.raw_answer is not None:
            return web.Response(body=self.raw_answer, content_type="application/json")
        body = await request.json()
        poll = await self.worker.hold(
            self._expected_worker(request),
            PollRequest(
                body["fenceToken"],
                body["lastSeen"],
                body.get("deadlineMs", 0),
                body.get("waitMs", 0),
            ),
        )
        if isinstance(poll, PollFailed):
            return self._answer(poll.verdict)
        answer = {
            "born": poll.started_ms,
            "clockMs": poll.clock_ms,
            "running": [
                [row.task, row.attempt, row.checkpoint, row.percent, row.measurement]
                for row in poll.running
            ],
            "ended": [
                [row.number, row.task, row.attempt, row.how.value, row.checkpoint]
                for row in poll.ended
            ],
        }
        return web.Response(
            body=json.dumps(answer).encode(), content_type="application/json"
        )
