"""Stand-in of one runner, as PROTOCOL.md publishes it (`preconditions` is true)."""

import asyncio
import time
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import aiohttp
from aiohttp import web

STOP_S = 0.1
CHECKPOINT_S = 1.0
RESTORE_S = 0.1


@dataclass
class Run:
    """One run of a task."""

    task: str
    attempt: int
    spec: str
    work_s: float
    begun_s: float
    how: str = "done"
    """How the run ends once its work is done."""
    lasts: bool = False
    saves: bool = False
    resumed_s: float = 0.0
    """Seconds of work that the checkpoint of the start had saved."""

    def done_s(self, now_s: float) -> float:
        """Return the seconds of work that are done."""
        restore_s = RESTORE_S if self.resumed_s else 0.0
        return self.resumed_s + max(now_s - self.begun_s - restore_s, 0.0)

    def percent(self, now_s: float) -> int:
        """Return the share of the work that is done."""
        if self.lasts:
            return 100
        return min(99, int(100 * self.done_s(now_s) / self.work_s))

    def checkpoint(self, now_s: float) -> str:
        """Return the newest checkpoint: the seconds of work, and the task's mark."""
        saved_s = int(self.done_s(now_s) / CHECKPOINT_S) * CHECKPOINT_S
        if not self.saves or saved_s <= 0:
            return ""
        return f"{int(saved_s * 1000):08x}{zlib.crc32(self.task.encode()):08x}"


@dataclass
class Life:
    """All that a runner knows in one life."""

    born: int
    began_s: float
    fence: int = 0
    until_ms: int = 0
    running: dict[str, Run] = field(default_factory=dict)
    ended: list[list[Any]] = field(default_factory=list)
    n_ended: int = 0
    last_seen: int = 0
    highest: dict[str, int] = field(default_factory=dict)
    """The highest run of a task that was stopped or has ended here."""
    changed: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass
class Work:
    """What a run of a task does."""

    work_s: float
    how: str = "done"
    lasts: bool = False
    saves: bool = False


Worker = Callable[[str, int], Work]
"""The work of a task's attempt."""

Note = Callable[..., None]


class Runner:
    """A runner with an HTTP server and heartbeats to the agent on its machine."""

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        control: str,
        service: str,
        zone: str,
        work: Worker,
        note: Note,
        cpu: int = 16_000,
        max_hold_ms: int = 6000,
        heartbeat_s: float = 1.1,
    ) -> None:
        self.name = name
        self.address = address
        self.control = control
        self.service = service
        self.zone = zone
        self.work = work
        self.note = note
        self.cpu = cpu
        self.max_hold_ms = max_hold_ms
        self.heartbeat_s = heartbeat_s
        self.life: Life | None = None
        self.kind = "a"
        self.start_s = 0.0
        """How long the runner takes to begin a task and answer."""
        self.held_s = 0.0
        """When a hold was last answered."""
        self._hung_until_s = 0.0
        self._server: web.AppRunner | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    def clock_ms(self) -> int:
        """Return the time of this life's clock."""
        assert self.life is not None
        return int((time.monotonic() - self.life.began_s) * 1000)

    async def start(self) -> None:
        """Begin a life, under the same id."""
        self.life = Life(int(time.time() * 1000), time.monotonic() - 0.05)
        app = web.Application(middlewares=[self._hang_calls])
        app.router.add_post("/api/run-start", self._on_start)
        app.router.add_post("/api/run-stop", self._on_stop)
        app.router.add_post("/api/hold", self._on_hold)
        app.router.add_post("/api/pace", self._on_pace)
        self._server = web.AppRunner(app, access_log=None, shutdown_timeout=0.01)
        await self._server.setup()
        await web.TCPSite(self._server, *self.address).start()
        self.note("runner_up", runner=self.name, born=self.life.born)
        self._spawn(self._beat(self.life))
        self._spawn(self._watch_lease(self.life))

    async def crash(self) -> None:
        """Lose all state; the process is gone, its channels are reset."""
        life, self.life = self.life, None
        assert life is not None
        running = [[run.task, run.attempt] for run in life.running.values()]
        life.running.clear()
        self.note("runner_crashed", runner=self.name, born=life.born, running=running)
        for task in tuple(self._tasks):
            task.cancel()
        if self._server is not None:
            await self._server.cleanup()

    def hang(self, for_s: float) -> None:
        """Leave all calls of the next seconds unanswered and not carried out."""
        self._hung_until_s = time.monotonic() + for_s
        self.note("runner_hangs", runner=self.name, for_s=for_s)

    @web.middleware
    async def _hang_calls(
        self, request: web.Request, handler: Callable[[web.Request], Any]
    ) -> web.StreamResponse:
        if time.monotonic() < self._hung_until_s:
            await asyncio.sleep(60)
        response = await handler(request)
        if time.monotonic() < self._hung_until_s:
            await asyncio.sleep(60)
        assert isinstance(response, web.StreamResponse)
        return response

    async def close(self) -> None:
        """End, if the runner is up."""
        if self.life is not None:
            await self.crash()

    def _spawn(self, body: Any) -> None:
        task = asyncio.create_task(body)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # What the runner says of itself

    async def _beat(self, life: Life) -> None:
        seq = 0
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while self.life is life:
                seq += 1
                body = {
                    "backend": self.service,
                    "address": f"{self.address[0]}:{self.address[1]}",
                    "zone": self.zone,
                    "version": "v1",
                    "slots": 8,
                    "state": "ready",
                    "coldLeftMs": 0,
                    "capacity": {"cpu": self.cpu, "memMb": 62_500, "gpu": 0},
                    "labels": [self.kind, "r1-1"],
                    "clockMs": self.clock_ms(),
                    "seq": seq,
                    "born": life.born,
                }
                url = f"http://{self.control}/api/runners/{self.name}"
                is_acknowledged = False
                try:
                    async with session.put(url, json=body) as response:
                        is_acknowledged = response.status < 300
                except (aiohttp.ClientError, TimeoutError):
                    pass
                await asyncio.sleep(self.heartbeat_s if is_acknowledged else 0.3)

    # Runs

    def _end(self, life: Life, run: Run, how: str) -> None:
        if life.running.get(run.task) is not run:
            return
        del life.running[run.task]
        life.highest[run.task] = max(life.highest.get(run.task, 0), run.attempt)
        life.n_ended += 1
        saved = run.checkpoint(time.monotonic()) if how == "stopped" else ""
        life.ended.append([life.n_ended, run.task, run.attempt, how, saved])
        self.note(
            "ended",
            runner=self.name,
            born=life.born,
            n=life.n_ended,
            task=run.task,
            attempt=run.attempt,
            how=how,
        )
        life.changed.set()
        life.changed = asyncio.Event()

    async def _carry_out(self, life: Life, run: Run) -> None:
        if run.lasts:
            return
        left_s = run.work_s - run.resumed_s
        await asyncio.sleep(left_s + (RESTORE_S if run.resumed_s else 0.0))
        if self.life is life:
            self._end(life, run, run.how)

    async def _watch_lease(self, life: Life) -> None:
        while self.life is life:
            await asyncio.sleep(0.02)
            if life.running and self.clock_ms() > life.until_ms:
                for run in tuple(life.running.values()):
                    self._end(life, run, "lapsed")

    def _extend(self, life: Life, until_ms: int) -> None:
        limit_ms = self.clock_ms() + self.max_hold_ms
        life.until_ms = max(life.until_ms, min(until_ms, limit_ms))

    # Calls

    def _refuse(self, reason: str) -> tuple[int, dict[str, Any]]:
        return 409, {"clockMs": self.clock_ms(), "reason": reason}

    async def _order(
        self,
        request: web.Request,
        carry_out: Callable[[dict[str, Any]], tuple[int, dict[str, Any]]],
    ) -> web.Response:
        body = await request.json()
        if request.headers.get("X-Expect-Instance", self.name) != self.name:
            return web.json_response({"clockMs": self.clock_ms()}, status=421)
        status, answer = carry_out(body)
        return web.json_response(answer, status=status)

    async def _on_start(self, request: web.Request) -> web.Response:
        await asyncio.sleep(self.start_s)
        return await self._order(request, self._start_run)

    def _start_run(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        life = self.life
        assert life is not None
        task, attempt = body["task"], body["attempt"]
        if body.get("fenceToken", 0) < life.fence:
            return self._refuse("fence")
        life.fence = max(life.fence, body.get("fenceToken", 0))
        known = life.running.get(task)
        if known is not None and known.attempt == attempt:
            self._extend(life, body["deadlineMs"])
            return 200, {"clockMs": self.clock_ms()}
        if attempt <= life.highest.get(task, 0) or known is not None:
            self._extend(life, body["deadlineMs"])
            return self._refuse("old")
        if body["deadlineMs"] <= self.clock_ms():
            return self._refuse("late")
        self._extend(life, body["deadlineMs"])
        work = self.work(task, attempt)
        now_s = time.monotonic()
        run = Run(task, attempt, body["spec"], work.work_s, now_s, work.how)
        run.lasts, run.saves = work.lasts, work.saves
        if body.get("checkpoint") and work.saves:
            run.resumed_s = int(body["checkpoint"][:8], 16) / 1000
        life.running[task] = run
        self.note(
            "started",
            runner=self.name,
            born=life.born,
            task=task,
            attempt=attempt,
            resumed_s=run.resumed_s,
        )
        self._spawn(self._carry_out(life, run))
        return 200, {"clockMs": self.clock_ms()}

    async def _on_stop(self, request: web.Request) -> web.Response:
        return await self._order(request, self._stop_run)

    def _stop_run(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        life = self.life
        assert life is not None
        if body.get("fenceToken", 0) < life.fence:
            return self._refuse("fence")
        life.fence = max(life.fence, body.get("fenceToken", 0))
        task, attempt = body["task"], body["attempt"]
        run = life.running.get(task)
        if run is not None and run.attempt <= attempt:
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_S, self._end, life, run, "stopped")
        life.highest[task] = max(life.highest.get(task, 0), attempt)
        return 200, {"clockMs": self.clock_ms()}

    async def _on_pace(self, request: web.Request) -> web.Response:
        return web.json_response({"clockMs": self.clock_ms()})

    async def _on_hold(self, request: web.Request) -> web.Response:
        body = await request.json()
        life = self.life
        assert life is not None
        if request.headers.get("X-Expect-Instance", self.name) != self.name:
            return web.json_response({"clockMs": self.clock_ms()}, status=421)
        if body.get("fenceToken", 0) < life.fence:
            return web.json_response(self._refuse("fence")[1], status=409)
        life.fence = max(life.fence, body.get("fenceToken", 0))
        if body.get("deadlineMs"):
            self._extend(life, body["deadlineMs"])
        seen = body.get("lastSeen", 0)
        if seen > life.last_seen:
            life.last_seen = seen
            self.note("taken_note_of", runner=self.name, born=life.born, n=seen)
        life.ended = [row for row in life.ended if row[0] > life.last_seen]
        if not life.ended and body.get("waitMs"):
            try:
                async with asyncio.timeout(min(body["waitMs"], 2000) / 1000):
                    await life.changed.wait()
            except TimeoutError:
                pass
        if self.life is not life:
            # The runner has crashed meanwhile, and its channels are reset.
            raise web.HTTPServiceUnavailable
        now_s = self.held_s = time.monotonic()
        running = [
            [run.task, run.attempt, run.checkpoint(now_s), run.percent(now_s), 1]
            for run in life.running.values()
        ]
        return web.json_response(
            {
                "clockMs": self.clock_ms(),
                "born": life.born,
                "running": running,
                "ended": life.ended[:500],
            }
        )
