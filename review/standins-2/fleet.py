"""Stand-ins of the platform for the cases 6 to 10, and a small fleet to test.

The project's entries and agents are separate processes, started with the commands of
the deploy file. The store, the runners and the consumers run in the process of the
case and speak what PROTOCOL.md says. Every process has a loopback address of its own.
"""

import asyncio
import base64
import bisect
import json
import os
import signal
import socket
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
from aiohttp import web

ROOT = Path(__file__).resolve().parents[2]
SERVICE = "ops-hub"
HOST = "case.example"
MAX_HOLD_MS = 6_000
MAX_VALUE_BYTES = 1_048_576
STOP_S = 0.2
BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchupS": 4,
    "drainMs": 2000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 2000,
    "rollbackSlackMs": 250, "maxStretchMs": 5000, "recoveryS": 12,
    "maxHoldMs": MAX_HOLD_MS, "stopMs": 200, "gangTimeoutMs": 3000,
    "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
    "status_s": 120, "farX": 1.5, "checkpointS": 2, "restoreMs": 250,
    "noticeMs": 4500, "migrateS": 1.5, "maintenanceS": 2, "fenceRequired": True,
    "leaseMs": 3000, "thawSlackMs": 300, "paceMs": 100, "harmMs": 4000,
}  # fmt: skip


class CaseFailed(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._began_s = time.monotonic()
        self._file = (folder / "record.txt").open("w")

    def now_s(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._began_s

    def line(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now_s():8.3f} {text}\n")
        self._file.flush()


# The store


class Store:
    """The platform's store: one revision counter, leases, watches."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._items: dict[str, dict] = {}
        self._history: list[tuple[int, dict]] = []
        self._leases: dict[int, list[float]] = {}
        self._revision = 1
        self._n_leases = 0
        self.is_busy = False
        """Down: every call is answered with 503 and nothing is done."""
        self.address = ""

    def routes(self) -> list[web.RouteDef]:
        """Return the calls that the store answers."""
        return [
            web.get("/api/kv-key", self._guard(self._get)),
            web.get("/api/kv-range", self._guard(self._range)),
            web.get("/api/kv-watch", self._guard(self._watch)),
            web.post("/api/kv-txn", self._guard(self._txn)),
            web.post("/api/kv-lease", self._guard(self._lease)),
            web.post("/api/kv-keep/{id}", self._guard(self._keep)),
            web.delete("/api/kv-lease-end/{id}", self._guard(self._lease_end)),
        ]

    def _guard(self, handler):
        async def handle(request: web.Request) -> web.Response:
            if self.is_busy:
                return web.json_response({}, status=503)
            return await handler(request)

        return handle

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key, as the operator does."""
        self._revision += 1
        self._set(key, base64.b64encode(value).decode(), lease)

    def _set(self, key: str, value: str, lease: int) -> None:
        old = self._items.get(key)
        created = old["created"] if old is not None else self._revision
        item = {"key": key, "value": value, "revision": self._revision,
                "created": created, "lease": lease}  # fmt: skip
        self._items[key] = item
        self._history.append((self._revision, item))

    def _delete(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            gone = {"key": key, "revision": self._revision, "compacted": True}
            self._history.append((self._revision, gone))

    def _end_lease(self, number: int) -> None:
        del self._leases[number]
        for key in [k for k, item in self._items.items() if item["lease"] == number]:
            self._revision += 1
            self._delete(key)

    async def expire(self) -> None:
        """End leases whose time is over, as long as the case runs."""
        while True:
            await asyncio.sleep(0.02)
            now_s = time.monotonic()
            if self.is_busy:
                # The time of leases stands still while the store is down.
                for lease in self._leases.values():
                    lease[1] += 0.02
                continue
            for number, (_, until_s) in tuple(self._leases.items()):
                if until_s <= now_s:
                    self._end_lease(number)

    async def _get(self, request: web.Request) -> web.Response:
        item = self._items.get(request.query["key"])
        if item is None:
            return web.json_response({}, status=404)
        return web.json_response({**item, "atRev": self._revision})

    async def _range(self, request: web.Request) -> web.Response:
        prefix, after = request.query["pathPrefix"], request.query.get("after", "")
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        body = {"items": [self._items[key] for key in keys[:500]],
                "hasMore": len(keys) > 500, "atRev": self._revision}  # fmt: skip
        return web.json_response(body)

    async def _watch(self, request: web.Request) -> web.Response:
        prefix, after = request.query["pathPrefix"], int(request.query["after"])
        until_s = time.monotonic() + int(request.query["waitMs"]) / 1000
        while True:
            first = bisect.bisect_right(self._history, after, key=lambda row: row[0])
            found = [i for _, i in self._history[first:] if i["key"].startswith(prefix)]
            left_s = until_s - time.monotonic()
            if found or left_s <= 0:
                return web.json_response({"events": found, "atRev": self._revision})
            await asyncio.sleep(min(left_s, 0.005))

    async def _txn(self, request: web.Request) -> web.Response:
        body = await request.json()
        rows = body.get("precondition", [])
        held = [self._items.get(row["key"]) for row in rows]
        for row, item in zip(rows, held, strict=True):
            if (item["revision"] if item is not None else 0) != row["revision"]:
                items = [item for item in held if item is not None]
                return web.json_response({"items": items}, status=412)
        writes = body.get("writes", [])
        if any(w.get("lease", 0) and w["lease"] not in self._leases for w in writes):
            return web.json_response({}, status=404)
        if any(len(w["value"]) * 3 // 4 > MAX_VALUE_BYTES for w in writes):
            return web.json_response({"error": "too large"}, status=400)
        self._revision += 1
        for write in writes:
            self._set(write["key"], write["value"], write.get("lease", 0))
        for key in body.get("remove", []):
            self._delete(key)
        return web.json_response({"revision": self._revision})

    async def _lease(self, request: web.Request) -> web.Response:
        ttl_s = max((await request.json())["ttlMs"], 1000) / 1000
        self._n_leases += 1
        self._leases[self._n_leases] = [ttl_s, time.monotonic() + ttl_s]
        body = {"lease": self._n_leases, "ttlMs": int(ttl_s * 1000)}
        return web.json_response(body)

    async def _keep(self, request: web.Request) -> web.Response:
        lease = self._leases.get(int(request.match_info["id"]))
        if lease is None:
            return web.json_response({}, status=404)
        lease[1] = time.monotonic() + lease[0]
        return web.json_response({"ttlMs": int(lease[0] * 1000)})

    async def _lease_end(self, request: web.Request) -> web.Response:
        number = int(request.match_info["id"])
        if number not in self._leases:
            return web.json_response({}, status=404)
        self._end_lease(number)
        return web.json_response({})


# Runners


@dataclass
class Run:
    """One run of a task on a life of a runner."""

    task: str
    attempt: int
    runner: str
    begun_s: float
    duration_s: float
    cpu: int
    mem: int
    lasts: bool
    saves: bool = False
    from_s: float = 0.0
    """The work that the checkpoint of the start holds."""
    how: str = ""
    ended_s: float | None = None
    stop_s: float | None = None
    number: int = 0
    taken_s: float | None = None
    """When the end was taken note of."""

    def worked_s(self, now_s: float) -> float:
        """Return the work done, with that of the checkpoint."""
        return self.from_s + now_s - self.begun_s

    def checkpoint(self, now_s: float) -> str:
        """Return the checkpoint: the work done, in whole steps of `checkpointS`."""
        if not self.saves:
            return ""
        worked_s = self.worked_s(now_s if self.ended_s is None else self.ended_s)
        if self.how != "stopped":
            worked_s -= worked_s % BOUNDS["checkpointS"]
        return f"{int(worked_s * 1000):016x}" if worked_s > 0 else ""


@dataclass
class Life:
    """One life of a runner: it knows nothing of earlier ones."""

    name: str
    born: int
    began_s: float
    fence: int = 0
    until_ms: int = 0
    lapsed_s: float = -1.0
    n_ended: int = 0
    seq: int = 0
    state: str = "ready"
    running: dict[str, Run] = field(default_factory=dict)
    ended: list[Run] = field(default_factory=list)
    highest: dict[str, int] = field(default_factory=dict)


class Runner:
    """The runner beside one agent."""

    def __init__(
        self, name: str, fleet: "Fleet", control: str, cpu: int, mem: int
    ) -> None:
        self.name = name
        self.fleet = fleet
        self.control = control
        self.cpu, self.mem = cpu, mem
        self.runs: list[Run] = []
        self.life: Life | None = None
        self.n_lives = 0
        self.is_dark = False
        """Silent: calls are neither carried out nor answered."""
        self._wake = asyncio.Event()

    def routes(self) -> list[web.RouteDef]:
        """Return the calls that the runner answers."""
        return [
            web.post("/api/run-start", self._start),
            web.post("/api/run-stop", self._stop),
            web.post("/api/hold", self._hold),
            web.post("/api/pace", self._pace),
        ]

    # Lives

    def begin_life(self, name: str = "") -> None:
        """Begin a new life, which knows nothing."""
        self.n_lives += 1
        name = name or f"i-{self.name}-{self.n_lives}"
        self.life = Life(name, int(time.time() * 1000), time.monotonic())
        self.is_dark = False
        self.fleet.record.line(f"{name}: starts, born {self.life.born}")

    def crash(self, how: str) -> None:
        """End all runs at once; nothing is answered from now on."""
        assert self.life is not None
        self.advance()
        now_s = self.fleet.record.now_s()
        for run in self.life.running.values():
            run.ended_s, run.how = now_s, "crashed"
        n_tasks = len(self.life.running)
        line = f"{self.life.name}: crashes ({how}) with {n_tasks} tasks"
        self.fleet.record.line(line)
        self.life = None
        self.is_dark = True
        self._wake.set()

    async def beats(self) -> None:
        """Send heartbeats."""
        sent = 0
        while True:
            life = self.life
            if life is not None:
                life.seq += 1
                sent += 1
                await self.send_beat(life.name, self.beat(life), quiet=life.seq > 1)
            for _ in range(30):
                await asyncio.sleep(0.05)
                if self.life is not life:
                    break

    def beat(self, life: Life) -> dict:
        """Return the body of a heartbeat."""
        return {"backend": SERVICE, "address": self.fleet.app_of(self), "slots": 8,
                "zone": "z1", "version": "v1", "state": life.state, "coldLeftMs": 0,
                "capacity": {"cpu": self.cpu, "memMb": self.mem, "gpu": 0},
                "labels": ["a"], "clockMs": self.clock_ms(), "seq": life.seq,
                "born": life.born}  # fmt: skip

    async def send_beat(self, name: str, body: dict, quiet: bool = False) -> int:
        """Send a heartbeat to the agent; return the status of the answer."""
        url = f"http://{self.control}/api/runners/{name}"
        try:
            timeout = aiohttp.ClientTimeout(total=1.0)
            async with self.fleet.http.put(url, json=body, timeout=timeout) as answer:
                status = answer.status
        except (aiohttp.ClientError, OSError, TimeoutError):
            status = 0
        if not quiet or status != 200:
            text = f"PUT /api/runners/{name} {json.dumps(body)} -> {status}"
            self.fleet.record.line(text)
        return status

    # Runs

    def clock_ms(self) -> int:
        """Return the steady clock of this life."""
        if self.life is None:
            return 0
        return int((time.monotonic() - self.life.began_s) * 1000)

    def advance(self) -> None:
        """End the runs that are over."""
        life = self.life
        if life is None:
            return
        now_s = self.fleet.record.now_s()
        has_lapsed = life.until_ms > 0 and self.clock_ms() > life.until_ms
        if has_lapsed:
            life.lapsed_s = now_s
        for run in tuple(life.running.values()):
            if has_lapsed:
                self._end(life, run, "lapsed", now_s)
            elif run.stop_s is not None and run.stop_s <= now_s:
                self._end(life, run, "stopped", now_s)
            elif not run.lasts and run.worked_s(now_s) >= run.duration_s:
                self._end(life, run, "done", now_s)

    def _end(self, life: Life, run: Run, how: str, now_s: float) -> None:
        del life.running[run.task]
        life.n_ended += 1
        run.how, run.ended_s, run.number = how, now_s, life.n_ended
        life.highest[run.task] = max(life.highest.get(run.task, 0), run.attempt)
        life.ended.append(run)
        line = f"{life.name}: {run.task} run {run.attempt} ends {how}"
        self.fleet.record.line(line)

    async def _begin_call(self, request: web.Request) -> tuple[Life, dict]:
        body = await request.json()
        while self.is_dark:
            await asyncio.sleep(60)
        life = self.life
        assert life is not None
        expected = request.headers.get("X-Expect-Instance", life.name)
        if expected != life.name:
            raise web.HTTPMisdirectedRequest(
                text=json.dumps({"clockMs": self.clock_ms()}),
                content_type="application/json",
            )
        self.advance()
        return life, body

    def _answer(self, reason: str = "") -> web.Response:
        body = {"clockMs": self.clock_ms()}
        if reason:
            return web.json_response({**body, "reason": reason}, status=409)
        return web.json_response(body)

    def _is_fenced(self, life: Life, body: dict) -> bool:
        token = body.get("fenceToken", 0)
        if token < life.fence:
            return True
        life.fence = token
        return False

    def _extend(self, life: Life, until_ms: int) -> None:
        limit_ms = self.clock_ms() + MAX_HOLD_MS
        life.until_ms = max(life.until_ms, min(until_ms, limit_ms))

    async def _start(self, request: web.Request) -> web.Response:
        life, body = await self._begin_call(request)
        answer = self._start_now(life, body)
        reason = json.loads(answer.body).get("reason", "")
        task, attempt = body["task"], body["attempt"]
        words = f"{life.name}: start {task} run {attempt} fence {body['fenceToken']}"
        self.fleet.record.line(f"{words} -> {answer.status} {reason}".rstrip())
        return answer

    def _start_now(self, life: Life, body: dict) -> web.Response:
        task, attempt = body["task"], body["attempt"]
        if self._is_fenced(life, body):
            return self._answer("fence")
        present = life.running.get(task)
        if present is not None and present.attempt == attempt:
            return self._answer()
        if body["deadlineMs"] <= self.clock_ms():
            return self._answer("late")
        self._extend(life, body["deadlineMs"])
        if present is not None or attempt <= life.highest.get(task, 0):
            return self._answer("old")
        job, _, step, _ = task.split(".")
        traits = self.fleet.jobs[job][int(step)]
        cpu = sum(run.cpu for run in life.running.values()) + traits["cpu"]
        mem = sum(run.mem for run in life.running.values()) + traits["memMb"]
        if cpu > self.cpu or mem > self.mem:
            return self._answer("room")
        run = Run(
            task,
            attempt,
            life.name,
            self.fleet.record.now_s(),
            self.fleet.duration_s[job],
            traits["cpu"],
            traits["memMb"],
            traits.get("longRunning", False),
            traits.get("checkpointing", False),
            int(body.get("checkpoint", "0"), 16) / 1000,
        )
        life.running[task] = run
        self.runs.append(run)
        self.fleet.runs.append(run)
        return self._answer()

    async def _stop(self, request: web.Request) -> web.Response:
        life, body = await self._begin_call(request)
        task, attempt = body["task"], body["attempt"]
        self.fleet.record.line(f"{life.name}: stop {task} run {attempt}")
        if self._is_fenced(life, body):
            return self._answer("fence")
        life.highest[task] = max(life.highest.get(task, 0), attempt)
        run = life.running.get(task)
        if run is not None and run.attempt <= attempt and run.stop_s is None:
            run.stop_s = self.fleet.record.now_s() + STOP_S
        return self._answer()

    async def _pace(self, request: web.Request) -> web.Response:
        life, body = await self._begin_call(request)
        return self._answer("fence" if self._is_fenced(life, body) else "")

    async def _hold(self, request: web.Request) -> web.Response:
        life, body = await self._begin_call(request)
        if self._is_fenced(life, body):
            return self._answer("fence")
        seen = body.get("lastSeen", 0)
        for run in life.ended:
            if run.number <= seen and (run.ended_s or 0) > life.lapsed_s:
                run.taken_s = self.fleet.record.now_s()
        life.ended = [run for run in life.ended if run.number > seen]
        if "deadlineMs" in body:
            self._extend(life, body["deadlineMs"])
        until_s = time.monotonic() + body.get("waitMs", 0) / 1000
        while not life.ended and time.monotonic() < until_s:
            await asyncio.sleep(0.02)
            if self.life is not life:
                break
            self.advance()
        while self.life is not life:
            await asyncio.sleep(60)
        now_s = self.fleet.record.now_s()
        rows = [
            [run.task, run.attempt, run.checkpoint(now_s), self._percent(run), 0]
            for run in life.running.values()
        ]
        ended = [
            [run.number, run.task, run.attempt, run.how, run.checkpoint(now_s)]
            for run in life.ended[:500]
        ]
        return web.json_response(
            {
                "clockMs": self.clock_ms(),
                "born": life.born,
                "running": rows,
                "ended": ended,
            }
        )

    def _percent(self, run: Run) -> int:
        if run.lasts:
            return 100
        share = run.worked_s(self.fleet.record.now_s()) / run.duration_s
        return min(99, int(share * 100))


# The fleet


class Fleet:
    """A store, runners, and the project's entries and agents beside them."""

    def __init__(self, folder: Path, n_entries: int, n_agents: int, cpu: int) -> None:
        self.record = Record(folder)
        self.store = Store(self.record)
        self.jobs: dict[str, list[dict]] = {}
        self.duration_s: dict[str, float] = {}
        self.runs: list[Run] = []
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self._tasks: list[asyncio.Task] = []
        self._sites: list[web.AppRunner] = []
        self._temp = tempfile.TemporaryDirectory()
        self._ports = _free_ports(6)
        self._entries = [f"edge-{n}" for n in range(1, n_entries + 1)]
        self._agents = [f"side-{n}" for n in range(1, n_agents + 1)]
        names = [*self._entries, *self._agents]
        # Other cases may run at the same time: the ports of metrics are fixed.
        net = f"127.{1 + os.getpid() // 256 % 120}.{os.getpid() % 256}"
        self._ips = {name: f"{net}.{n}" for n, name in enumerate(names, 1)}
        self._store_ip = f"{net}.250"
        self.runners = [
            Runner(name, self, self._at(name, "control"), cpu, 64_000)
            for name in self._agents
        ]

    def _at(self, name: str, what: str) -> str:
        roles = ("front", "ready", "control", "app", "peer", "store")
        return f"{self._ips[name]}:{self._ports[roles.index(what)]}"

    def app_of(self, runner: Runner) -> str:
        """Return the address at which a runner is called."""
        return self._at(runner.name, "app")

    def front(self, n: int = 0) -> str:
        """Return the address of an entry for consumers."""
        return self._at(self._entries[n], "front")

    async def __aenter__(self) -> "Fleet":
        try:
            await self._open()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _open(self) -> None:
        self.http = aiohttp.ClientSession()
        self.store.address = f"{self._store_ip}:{self._ports[5]}"
        await self._serve(self.store.routes(), self.store.address)
        self._spawn(self.store.expire())
        self._put_config()
        for runner in self.runners:
            await self._serve(runner.routes(), self.app_of(runner))
        for name in (*self._entries, *self._agents):
            await self.start(name)
        for runner in self.runners:
            runner.begin_life()
            self._spawn(runner.beats())
        self._spawn(self._advance_runs())
        await self._until_ready()

    async def __aexit__(self, *_: object) -> None:
        for task in self._tasks:
            task.cancel()
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
        self._temp.cleanup()

    def _spawn(self, body) -> None:
        self._tasks.append(asyncio.create_task(body))

    async def _advance_runs(self) -> None:
        """End the runs that are over, also of runners that nobody calls."""
        while True:
            await asyncio.sleep(0.02)
            for runner in self.runners:
                runner.advance()

    async def _serve(self, routes: list[web.RouteDef], address: str) -> None:
        app = web.Application(client_max_size=8 * 1024**2)
        app.add_routes(routes)
        site = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await site.setup()
        host, _, port = address.rpartition(":")
        await web.TCPSite(site, host, int(port)).start()
        self._sites.append(site)

    def _put_config(self) -> None:
        route = {"name": "r-batch", "host": HOST, "pathPrefix": "/batch/",
                 "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 250,
                 "priority": 0, "backend": SERVICE, "maxAttempts": 4,
                 "stretch": 1.5}  # fmt: skip
        config = {"version": 3, "routes": [route], "limits": {"maxBodyBytes": 262_144},
                  "services": [{"name": SERVICE, "preconditions": True}]}  # fmt: skip
        self.store.put("op/config", json.dumps(config).encode())

    # Processes

    def _settings(self, name: str) -> dict:
        is_edge = name in self._entries
        listen = {"control": self._at(name, "control")}
        if is_edge:
            listen = {
                "front": self._at(name, "front"),
                "ready": self._at(name, "ready"),
            }
        settings = {
            "node": name, "role": "entry" if is_edge else "agent",
            "machineClass": "edge" if is_edge else "side", "ip": self._ips[name],
            "zone": "z1", "region": "r1", "zones": {"z1": "r1"}, "seeds": [],
            "listenAddrs": listen, "bootstrap": True, "dataDir": None,
            "portRange": [self._ports[4], self._ports[4] + 15], "heartbeatMs": 1500,
            "limits": {"memoryMb": 300, "maxFds": 4100}, "discovery": "local",
            "bounds": BOUNDS, "controlMode": "dispatch",
            "platform": {"address": self.store.address, "form": "kv",
                         "writesPerS": 400, "readsPerS": 2000, "retentionS": 20,
                         "maxValueBytes": MAX_VALUE_BYTES, "minTtlMs": 1000},
        }  # fmt: skip
        if not is_edge:
            settings |= {"app": self._at(name, "app"), "backend": SERVICE}
        return settings

    async def start(self, name: str) -> None:
        """Start an entry or an agent, with the command of the deploy file."""
        path = Path(self._temp.name) / f"{name}.yaml"
        path.write_text(json.dumps(self._settings(name)))
        env = {"PATH": os.environ["PATH"], "HOME": self._temp.name,
               "PYTHONPATH": str(ROOT / "target/deps"),
               "ALMONDSPAN_NODE_FILE": str(path)}  # fmt: skip
        role = "entry" if name in self._entries else "agent"
        with (Path(self._temp.name) / f"{name}.log").open("ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                "python3", "-m", "almondspan_site", role,
                cwd=ROOT, env=env, stdout=log, stderr=log,
            )  # fmt: skip
        self.record.line(f"{name}: process started")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of the project."""
        self.processes[name].send_signal(number)
        self.record.line(f"{name}: gets {number.name}")

    def log_of(self, name: str) -> list[dict]:
        """Return the lines that a process has printed."""
        rows = []
        path = Path(self._temp.name) / f"{name}.log"
        for line in path.read_text(errors="replace").splitlines():
            try:
                rows.append(json.loads(line))
            except ValueError:
                rows.append({"event": "raw", "text": line})
        return rows

    async def _until_ready(self) -> None:
        """Wait until the entries are ready and every runner is held by an owner."""
        until_s = time.monotonic() + 25
        while time.monotonic() < until_s:
            await asyncio.sleep(0.2)
            statuses = [await self._ready(name) for name in self._entries]
            held = [r.life is not None and r.life.until_ms > 0 for r in self.runners]
            if all(s == 200 for s in statuses) and all(held):
                self.record.line("all are ready")
                return
        for name in self.processes:
            print(name, self.log_of(name)[-5:], file=sys.stderr)
        raise CaseFailed("the fleet was not ready in time")

    async def _ready(self, name: str) -> int:
        url = f"http://{self._at(name, 'ready')}/api/ready"
        return (await self.call("GET", url, quiet=True))[0]

    # Consumers

    async def call(
        self, method: str, url: str, body: dict | None = None, quiet: bool = False
    ) -> tuple[int, dict]:
        """Send a request of a consumer; return the status and the body."""
        headers = {"Host": HOST, "X-Deadline-Ms": "3000"}
        try:
            timeout = aiohttp.ClientTimeout(total=3.0)
            async with self.http.request(
                method, url, json=body, headers=headers, timeout=timeout
            ) as answer:
                status, data = answer.status, await answer.json()
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            status, data = 0, {"error": type(error).__name__}
        if not quiet:
            path = url.partition("//")[2].partition("/")[2]
            sent = f" {json.dumps(body)}" if body is not None else ""
            self.record.line(f"{method} /{path}{sent} -> {status} {json.dumps(data)}")
        return status, data

    async def submit(
        self, job: str, steps: list[dict], duration_s: float, entry: int = 0
    ) -> int:
        """Hand a job in; return the status."""
        self.jobs[job], self.duration_s[job] = steps, duration_s
        url = f"http://{self.front(entry)}/batch/{job}"
        body = {"spec": "(text)", "steps": steps}
        return (await self.call("POST", url, body))[0]

    async def state(self, job: str, entry: int = 0) -> str:
        """Return the state of a job, or the status of another answer."""
        url = f"http://{self.front(entry)}/batch/{job}"
        status, data = await self.call("GET", url)
        return data.get("state", "") if status == 200 else str(status)

    async def n_pending(self, entry: int = 0) -> int | None:
        """Return the number of pending jobs, if there is an answer."""
        url = f"http://{self.front(entry)}/batch/"
        status, data = await self.call("GET", url)
        return data.get("pendingJobs") if status == 200 else None


def overlaps(runs: list[Run]) -> list[tuple[Run, Run]]:
    """Return pairs of runs of one task that were at work at the same time."""
    found = []
    for n, one in enumerate(runs):
        for other in runs[n + 1 :]:
            if one.task != other.task:
                continue
            ended_s = one.ended_s if one.ended_s is not None else float("inf")
            if other.begun_s < ended_s:
                found.append((one, other))
    return found


def _free_ports(n_ports: int) -> list[int]:
    """Return ports that are free on loopback; the peers' has fifteen after it."""
    sockets = []
    for _ in range(n_ports):
        one = socket.socket()
        one.bind(("127.0.0.1", 0))
        sockets.append(one)
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def main(case, folder: Path) -> None:
    """Run a case: 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    is_disturbed = os.environ.get("TROUBLE", "1") != "0"
    asyncio.run(_run(case, folder, is_disturbed))


async def _run(case, folder: Path, is_disturbed: bool) -> None:
    """Run a case and end this process with its result.

    The stand-ins' open calls are not waited for; the project's processes have ended.
    """
    this = asyncio.current_task()
    assert this is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, this.cancel)
    try:
        async with asyncio.timeout(112):
            broken = await case(folder, is_disturbed)
    except (Exception, asyncio.CancelledError) as error:
        print(f"could not run: {error!r}", flush=True)
        os._exit(2)
    print(f"broken: {broken}" if broken else "held", flush=True)
    os._exit(1 if broken else 0)
