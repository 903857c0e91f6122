"""A stand-in of a runner: `PROTOCOL.md`, "Running tasks" and "Service discovery".

A process of its own, so that it can be killed. What a task needs and how long it takes
stands in the `spec` of its job, as words NAME=VALUE: `cpu`, `mem`, `ms` (0: it lasts).
Each start and each end is appended to a file as a line of JSON.

    runner.py ID ADDRESS CONTROL FILE CPU MEM LABEL,...
"""

import asyncio
import json
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "target" / "deps"))

import aiohttp  # noqa: E402
from aiohttp import web  # noqa: E402

HEARTBEAT_S = 1.1
MAX_HOLD_MS = 6_000
STOP_S = 0.2
MAX_ENDS = 500
START_UP_S = 0.4


@dataclass
class Run:
    """A run of a task."""

    task: str
    number: int
    cpu: int
    mem: int
    duration_s: float
    begun_s: float
    stop_s: float = 0.0

    @property
    def percent(self) -> int:
        """Return its progress; 100 for one that lasts and has started up."""
        age_s = time.monotonic() - self.begun_s
        if not self.duration_s:
            return 100 if age_s > START_UP_S else 0
        return min(99, int(100 * age_s / self.duration_s))


class Runner:
    """One lifetime of a runner."""

    def __init__(self, args: list[str]) -> None:
        self.id, self.address, self.control, record, cpu, mem, labels = args
        self.record = Path(record)
        self.cpu, self.mem = int(cpu), int(mem)
        self.labels = labels.split(",")
        self.born = int(time.time() * 1000)
        self.begun_s = time.monotonic()
        self.fence = 0
        self.until_ms = 0
        self.running: dict[str, Run] = {}
        self.ended: list[list[Any]] = []
        self.n_ended = 0
        self.highest: dict[str, int] = {}
        self.has_end = asyncio.Event()

    @property
    def clock_ms(self) -> int:
        """Return the runner's steady clock."""
        return int((time.monotonic() - self.begun_s) * 1000)

    def note(self, what: str, run: Run, how: str = "") -> None:
        """Append a start or an end to the record."""
        line = {
            "t": time.monotonic(),
            "what": what,
            "task": run.task,
            "run": run.number,
            "runner": self.id,
            "born": self.born,
            "how": how,
        }
        with self.record.open("a") as file:
            file.write(json.dumps(line) + "\n")

    # Runs

    def end(self, run: Run, how: str) -> None:
        """End a run."""
        del self.running[run.task]
        self.n_ended += 1
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.ended.append([self.n_ended, run.task, run.number, how, ""])
        self.note("end", run, how)
        self.has_end.set()

    async def advance(self) -> None:
        """End what is due."""
        while True:
            await asyncio.sleep(0.01)
            now_s = time.monotonic()
            for run in tuple(self.running.values()):
                if self.clock_ms > self.until_ms:
                    self.end(run, "lapsed")
                elif run.duration_s and now_s - run.begun_s >= run.duration_s:
                    self.end(run, "done")
                elif run.stop_s and now_s >= run.stop_s:
                    self.end(run, "stopped")

    def extend(self, until_ms: int) -> None:
        """Extend the lease; it never shortens."""
        limit_ms = self.clock_ms + MAX_HOLD_MS
        self.until_ms = max(self.until_ms, min(until_ms, limit_ms))

    # Calls

    def answer(self, status: int, **body: Any) -> web.Response:
        """Return a response with the clock."""
        return web.json_response({"clockMs": self.clock_ms, **body}, status=status)

    def refusal(self, request: web.Request, fence: int) -> web.Response | None:
        """Return the answer to a call for another lifetime or of a lower fence."""
        if request.headers.get("X-Expect-Instance", self.id) != self.id:
            return self.answer(421)
        if fence < self.fence:
            return self.answer(409, reason="fence")
        self.fence = fence
        return None

    async def start(self, request: web.Request) -> web.Response:
        """POST /api/run-start."""
        body = await request.json()
        refused = self.refusal(request, body.get("fenceToken", 0))
        if refused is not None:
            return refused
        task, number = body["task"], body["attempt"]
        if body["deadlineMs"] <= self.clock_ms:
            return self.answer(409, reason="late")
        self.extend(body["deadlineMs"])
        present = self.running.get(task)
        if present is not None and present.number == number:
            return self.answer(200)
        if present is not None or number <= self.highest.get(task, 0):
            return self.answer(409, reason="old")
        words = dict(word.split("=") for word in body["spec"].split())
        run = Run(
            task,
            number,
            int(words["cpu"]),
            int(words["mem"]),
            int(words["ms"]) / 1000,
            time.monotonic(),
        )
        used = [*self.running.values(), run]
        if sum(r.cpu for r in used) > self.cpu or sum(r.mem for r in used) > self.mem:
            return self.answer(409, reason="room")
        self.running[task] = run
        self.note("start", run)
        return self.answer(200)

    async def stop(self, request: web.Request) -> web.Response:
        """POST /api/run-stop."""
        body = await request.json()
        refused = self.refusal(request, body.get("fenceToken", 0))
        if refused is not None:
            return refused
        task, number = body["task"], body["attempt"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run.number <= number and not run.stop_s:
            run.stop_s = time.monotonic() + STOP_S
        return self.answer(200)

    async def pace(self, request: web.Request) -> web.Response:
        """POST /api/pace."""
        body = await request.json()
        refused = self.refusal(request, body.get("fenceToken", 0))
        return refused or self.answer(200)

    async def hold(self, request: web.Request) -> web.Response:
        """POST /api/hold."""
        body = await request.json()
        refused = self.refusal(request, body.get("fenceToken", 0))
        if refused is not None:
            return refused
        if body.get("deadlineMs"):
            self.extend(body["deadlineMs"])
        self.ended = [row for row in self.ended if row[0] > body["lastSeen"]]
        until_s = time.monotonic() + min(body.get("waitMs", 0), 2_000) / 1000
        while not self.ended and (left_s := until_s - time.monotonic()) > 0:
            self.has_end.clear()
            try:
                async with asyncio.timeout(left_s):
                    await self.has_end.wait()
            except TimeoutError:
                pass
        rows = [[r.task, r.number, "", r.percent, 0] for r in self.running.values()]
        return self.answer(
            200, born=self.born, running=rows, ended=self.ended[:MAX_ENDS]
        )

    # The process

    async def report(self) -> None:
        """Send heartbeats to the role on this machine."""
        seq = 0
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                seq += 1
                body = {
                    "backend": "pool",
                    "address": self.address,
                    "zone": "z1",
                    "version": "v1",
                    "slots": 8,
                    "state": "ready",
                    "coldLeftMs": 0,
                    "capacity": {"cpu": self.cpu, "memMb": self.mem, "gpu": 0},
                    "labels": self.labels,
                    "clockMs": self.clock_ms,
                    "seq": seq,
                    "born": self.born,
                }
                url = f"http://{self.control}/api/runners/{self.id}"
                try:
                    async with session.put(url, json=body) as response:
                        await response.read()
                except (aiohttp.ClientError, TimeoutError, OSError):
                    pass
                await asyncio.sleep(HEARTBEAT_S)

    async def run(self) -> None:
        """Serve until the process is killed."""
        app = web.Application()
        app.router.add_post("/api/run-start", self.start)
        app.router.add_post("/api/run-stop", self.stop)
        app.router.add_post("/api/pace", self.pace)
        app.router.add_post("/api/hold", self.hold)
        server = web.AppRunner(app)
        await server.setup()
        host, _, port = self.address.rpartition(":")
        await web.TCPSite(server, host, int(port)).start()
        await asyncio.gather(self.advance(), self.report())


async def main() -> None:
    """Run one lifetime."""
    await Runner(sys.argv[1:]).run()


if __name__ == "__main__":
    asyncio.run(main())
