"""Starts a small deployment for a case: entries, agents, runners and the store.

The entries and agents are the project's own programs, with the commands of the deploy
file and the built `target/deps`. Every address is a loopback address with free ports.
A case is a coroutine that gets a `Rig` and returns what it saw of the rule.
"""

import asyncio
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
DEPS = ROOT / "target" / "deps"
sys.path.insert(0, str(DEPS))

import aiohttp  # noqa: E402
from store import Store  # noqa: E402

METRICS_PORT = 9180
"""The port that `metrics` in the deploy file names."""

HOST = "jobs.test"
PREFIX = "/q/"
CASE_LIMIT_S = 115.0

BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchupS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "recoveryS": 12,
    "maxHoldMs": 6000,
    "stopMs": 200,
    "gangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "noticeMs": 4500,
    "leaseMs": 3000,
    "thawSlackMs": 300,
    "paceMs": 100,
    "harmMs": 4000,
}

IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case can't run here."""


@dataclass
class Answer:
    """A response, or `status` 0 if there was none; times are those of the record."""

    status: int
    body: Any
    sent_s: float
    answered_s: float
    error: str = ""


@dataclass
class Program:
    """A process that the case has started."""

    name: str
    process: subprocess.Popen[bytes]

    def signal(self, number: int) -> None:
        """Send a signal, if the process still runs."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        self.process.wait()


def free_host() -> str:
    """Return a loopback address where the ports that the roles use are free."""
    rng = random.SystemRandom()
    for _ in range(100):
        host = f"127.{rng.randint(2, 250)}.{rng.randint(1, 250)}.{rng.randint(1, 250)}"
        try:
            for port in range(METRICS_PORT, METRICS_PORT + 6):
                with socket.socket() as probe:
                    probe.bind((host, port))
            return host
        except OSError:
            continue
    raise CannotRun("no free loopback address")


class Rig:
    """A small deployment, and its record."""

    def __init__(self, folder: Path, record: Path) -> None:
        self.folder = folder
        self.begun_s = time.monotonic()
        self._record = record.open("w")
        self.runs_file = folder / "runs.jsonl"
        self.runs_file.touch()
        self.store = Store()
        self.programs: list[Program] = []
        self.entries: dict[str, str] = {}
        """The `front` address of each entry."""
        self.runners: dict[str, list[str]] = {}
        self._commands = tomllib.loads((ROOT / "deploy/system.toml").read_text())

    # Record

    @property
    def now_s(self) -> float:
        """Return the time since the start of the case."""
        return time.monotonic() - self.begun_s

    def note(self, text: str) -> None:
        """Write a line to the record."""
        self._record.write(f"{self.now_s:9.3f} s  {text}\n")
        self._record.flush()

    def runs(self) -> list[dict[str, Any]]:
        """Return all starts and ends that the runners have noted."""
        lines = self.runs_file.read_text().splitlines()
        rows = [json.loads(line) for line in lines]
        for row in rows:
            row["t"] -= self.begun_s
        return sorted(rows, key=lambda row: float(row["t"]))

    # Processes

    def _spawn(self, name: str, command: list[str], env: dict[str, str]) -> Program:
        out = (self.folder / f"{name}.log").open("ab")
        kept = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        process = subprocess.Popen(
            command, cwd=ROOT, env=kept | env, stdout=out, stderr=out
        )
        out.close()
        program = Program(name, process)
        self.programs.append(program)
        self.note(f"started {name}")
        return program

    async def start_role(
        self, role: str, name: str, extra: dict[str, Any], host: str = ""
    ) -> tuple[Program, str]:
        """Start an entry or an agent; return it and its host."""
        host = host or free_host()
        store = await self.store.listen(name)
        ports = {"front": 1, "ready": 2} if role == "entry" else {"control": 3}
        settings = {
            "node": name,
            "role": role,
            "machineClass": "edge" if role == "entry" else "side",
            "serves": ["edge" if role == "entry" else "side"],
            "ip": host,
            "zone": "z1",
            "region": "r1",
            "zones": {"z1": "r1"},
            "listenAddrs": {
                key: f"{host}:{METRICS_PORT + offset}" for key, offset in ports.items()
            },
            "portRange": [METRICS_PORT + 4, METRICS_PORT + 5],
            "seeds": [],
            "bootstrap": True,
            "inFaultBudget": False,
            "limits": {
                "cpuShare": 0.6,
                "cpuCores": 1,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "local",
            "entry": "vip",
            "heartbeatMs": 1100,
            "bounds": BOUNDS,
            "controlMode": "dispatch",
            "platform": {
                "address": store,
                "form": "kv",
                "writesPerS": 400,
                "readsPerS": 2000,
                "retentionS": 20,
                "maxValueBytes": 1048576,
                "minTtlMs": 1000,
            },
            **extra,
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        words = shlex.split(self._commands["roles"][role]["run"])
        env = {"PYTHONPATH": str(DEPS), "ALMONDSPAN_NODE_FILE": str(path)}
        return self._spawn(name, words, env), host

    async def start_entry(self, name: str) -> Program:
        """Start an entry."""
        program, host = await self.start_role("entry", name, {})
        self.entries[name] = f"{host}:{METRICS_PORT + 1}"
        return program

    async def start_worker(
        self, number: int, cpu: int, mem: int, labels: str
    ) -> tuple[Program, Program]:
        """Start an agent with its runner; return both."""
        host = free_host()
        app = f"{host}:{METRICS_PORT + 2}"
        extra = {"app": app, "backend": "pool"}
        agent, _ = await self.start_role("agent", f"side-{number}", extra, host)
        control = f"{host}:{METRICS_PORT + 3}"
        words = [app, control, str(self.runs_file), str(cpu), str(mem), labels]
        self.runners[f"runner-{number}"] = words
        return agent, self.start_runner(f"runner-{number}", f"i-{number}")

    def start_runner(self, name: str, runner_id: str) -> Program:
        """Start a lifetime of a runner."""
        script = str(ROOT / "review/standins-3/runner.py")
        return self._spawn(
            name, ["python3", script, runner_id, *self.runners[name]], {}
        )

    def end(self) -> None:
        """End all processes."""
        for program in self.programs:
            program.kill()
        self._record.close()

    # The operator and the consumers

    def configure(self, max_attempts: int = 3) -> None:
        """Write the configuration: one queue."""
        route = {
            "name": "queue",
            "host": HOST,
            "pathPrefix": PREFIX,
            "backend": "pool",
            "priority": 0,
            "maxAttempts": max_attempts,
            "stretch": 2.0,
            "targetLatencyMs": 1000,
        }
        config = {
            "version": 3,
            "routes": [route],
            "services": [{"name": "pool", "preconditions": True}],
            "limits": {"maxBodyBytes": 262144},
        }
        self.store.put("op/config", json.dumps(config).encode())

    async def ask(
        self,
        entry: str,
        method: str,
        job: str,
        body: Any = None,
        deadline_ms: int = 3000,
        session: aiohttp.ClientSession | None = None,
        limit_s: float = 0.0,
    ) -> Answer:
        """Send a consumer's request, on a channel of its own unless one is given."""
        own = session or aiohttp.ClientSession()
        url = f"http://{self.entries[entry]}{PREFIX}{job}"
        headers = {"Host": HOST, "X-Deadline-Ms": str(deadline_ms)}
        sent_s = self.now_s
        self.note(f"sent     {method} {job} to {entry}")
        try:
            async with asyncio.timeout(limit_s or deadline_ms / 1000):
                async with own.request(method, url, json=body, headers=headers) as got:
                    text = await got.text()
                    data = json.loads(text) if text else None
                    answer = Answer(got.status, data, sent_s, self.now_s)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            reason = f"{type(error).__name__} {error}"
            answer = Answer(0, None, sent_s, self.now_s, reason)
        finally:
            if session is None:
                await own.close()
        self.note(
            f"answered {method} {job} by {entry}: {answer.status or 'nothing'}"
            f" {answer.body if answer.status else answer.error}"
        )
        return answer

    async def wait(self, what: str, is_met: Callable[[], bool], limit_s: float) -> None:
        """Wait until a condition of the set-up is met."""
        until_s = time.monotonic() + limit_s
        while not is_met():
            if time.monotonic() > until_s:
                raise CannotRun(f"{what} takes longer than {limit_s} s")
            await asyncio.sleep(0.05)

    async def wait_for_owner(self, limit_s: float = 20.0) -> str:
        """Wait until an entry owns the jobs; return its name, from its log."""
        await self.wait("the takeover", lambda: bool(self.owner()), limit_s)
        return self.owner()

    def owner(self) -> str:
        """Return the entry that has taken over last."""
        found = []
        for name in self.entries:
            for line in (self.folder / f"{name}.log").read_text().splitlines():
                if '"takeover"' in line:
                    found.append((json.loads(line)["epoch"], name))
        return max(found)[1] if found else ""

    async def wait_for_workers(self, n_workers: int) -> None:
        """Wait until the owner knows its workers, from its log."""

        def is_met() -> bool:
            log = self.folder / f"{self.owner()}.log"
            return log.read_text().count('"worker_seen"') >= n_workers

        await self.wait("the workers' first reports", is_met, 20.0)


def job_body(
    cpu: int, mem: int, ms: int, *, count: int = 1, label: str = ""
) -> dict[str, Any]:
    """Return a job of one step."""
    step: dict[str, Any] = {"count": count, "cpu": cpu, "memMb": mem}
    if ms:
        step["estimateMs"] = ms
    else:
        step["longRunning"] = True
    if label:
        step["constraints"] = label
    return {"spec": f"cpu={cpu} mem={mem} ms={ms}", "steps": [step]}


Case = Callable[[Rig], Awaitable[bool]]


async def _play(case: Case, folder: Path, record: Path) -> int:
    rig = Rig(folder, record)
    try:
        async with asyncio.timeout(CASE_LIMIT_S):
            is_broken = await case(rig)
        for row in rig.runs():
            rig.note(
                f"run      {row['t']:.3f} s {row['what']} {row['task']} run"
                f" {row['run']} on {row['runner']} born {row['born']} {row['how']}"
            )
        rig.note("the rule was BROKEN" if is_broken else "the rule held")
        return 1 if is_broken else 0
    except (CannotRun, TimeoutError) as error:
        rig.note(f"the case could not run: {error!r}")
        return 2
    finally:
        rig.end()
        await rig.store.close()


def play(case: Case, script: str) -> None:
    """Run a case, and exit with 1 if its rule was broken, 0 if not, 2 if it can't."""
    record = Path(script).resolve().parent / "record.txt"
    code = 2
    try:
        with tempfile.TemporaryDirectory() as folder:
            code = asyncio.run(_play(case, Path(folder), record))
    except Exception:
        traceback.print_exc()
    print(record.read_text().splitlines()[-1])
    sys.exit(code)
