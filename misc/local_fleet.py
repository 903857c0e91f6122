"""Complete fleet on the loopback interface, for demos, measurements and feature tests.

All processes are started here, write their logs to files in a temporary folder and are
ended by their process ids when the fleet is closed. `LocalFleet.start` starts the
store, then the workers and runners, then the entries, then one agent for each worker
and its runner.
"""

import asyncio
import hashlib
import json
import os
import signal
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import tomli_w

__all__ = ["FleetShape", "LocalFleet", "ManagedProcess"]

START_TIMEOUT_S: Final = 30.0
END_TIMEOUT_S: Final = 15.0
POLL_S: Final = 0.05
REGION: Final = "viti"
OPERATOR_TOKEN: Final = "local-operator-token"


@dataclass(frozen=True)
class FleetShape:
    """Size and options of a fleet."""

    n_entries: int = 3
    n_nodes: int = 10
    n_places: int = 3
    n_shards: int = 16
    cpu_millicores: int = 16_000
    memory_mb: int = 60_000
    n_accelerators: int = 2
    horizon_s: float = 8.0
    margin_s: float = 3.0
    worker_lease_s: float = 3.0
    service: str = "clips"
    n_services: int = 1
    n_slots: int = 8
    n_connections: int = 64
    seed: int = 1
    interference: str = ""
    log_level: str = "info"


@dataclass
class ManagedProcess:
    """A process started by the fleet; ``log_fields`` holds its start-up log line."""

    name: str
    command: list[str]
    log_path: Path
    process: asyncio.subprocess.Process | None = None
    log_fields: dict[str, Any] = field(default_factory=dict)

    async def start(self) -> None:
        """Start the process with its output in the log file."""
        log = self.log_path.open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *self.command, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL
        )
        log.close()

    @property
    def pid(self) -> int:
        """The process id."""
        assert self.process is not None
        return self.process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        if self.is_running:
            os.kill(self.pid, number)

    async def end(self) -> int:
        """Terminate the process, kill it after a time-out; return its exit code."""
        assert self.process is not None
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(END_TIMEOUT_S):
                return await self.process.wait()
        except TimeoutError:
            return await self.kill()

    async def kill(self) -> int:
        """Kill the process."""
        assert self.process is not None
        self.signal(signal.SIGKILL)
        return await self.process.wait()

    async def wait_for_log_line(self, key: str) -> dict[str, Any]:
        """Wait for the first JSON log line with `key` and return its fields."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                found = self._find_log_line(key)
                if found is not None:
                    self.log_fields = found
                    return found
                if not self.is_running:
                    text = self.log_path.read_text()[-2000:]
                    raise RuntimeError(f"{self.name} ended at start:\n{text}")
                await asyncio.sleep(POLL_S)

    def _find_log_line(self, key: str) -> dict[str, Any] | None:
        for line in self.log_path.read_text().splitlines():
            try:
                fields = json.loads(line)
            except ValueError:
                continue
            if isinstance(fields, dict) and key in fields:
                return fields
        return None


class LocalFleet:
    """All processes of a fleet on the loopback interface."""

    def __init__(self, shape: FleetShape, token: str = OPERATOR_TOKEN) -> None:
        self.shape = shape
        self.token = token
        self._folder = tempfile.TemporaryDirectory(prefix="almondspan-")
        self.folder = Path(self._folder.name)
        self._n_started = 0
        self.store: ManagedProcess | None = None
        self.workers: list[ManagedProcess] = []
        self.runners: list[ManagedProcess] = []
        self.entries: list[ManagedProcess] = []
        self.agents: list[ManagedProcess] = []
        self._starting: list[ManagedProcess] = []

    @property
    def store_url(self) -> str:
        """The address of the store."""
        assert self.store is not None
        return str(self.store.log_fields["listening"])

    @property
    def admin_urls(self) -> list[str]:
        """The administration addresses of the entries."""
        return [f"http://127.0.0.1:{e.log_fields['admin_port']}" for e in self.entries]

    @property
    def call_urls(self) -> list[str]:
        """The addresses of the entries for callers."""
        return [f"http://127.0.0.1:{e.log_fields['http_port']}" for e in self.entries]

    @property
    def worker_urls(self) -> list[str]:
        """The addresses of the worker stand-ins."""
        return [str(worker.log_fields["listening"]) for worker in self.workers]

    @property
    def runner_urls(self) -> list[str]:
        """The addresses of the runner stand-ins."""
        return [str(runner.log_fields["listening"]) for runner in self.runners]

    async def start(self) -> None:
        """Start all processes and wait until they listen."""
        self.store = await self._start_module("store", "almondspan_standins.store", [])
        await self.store.wait_for_log_line("listening")
        await self._start_nodes()
        self.entries = [
            await self._start_entry(index) for index in range(self.shape.n_entries)
        ]
        for entry in self.entries:
            await entry.wait_for_log_line("agent_port")
        for index in range(self.shape.n_nodes):
            self.agents.append(await self.start_agent(index))
        for agent in self.agents:
            await agent.wait_for_log_line("health_port")

    async def _start_nodes(self) -> None:
        shape = self.shape
        for index in range(shape.n_nodes):
            worker = await self._start_module(
                f"worker-{index}",
                "almondspan_standins.worker",
                self._worker_args(index),
            )
            self.workers.append(worker)
        for worker in self.workers:
            await worker.wait_for_log_line("listening")
        for index in range(shape.n_nodes):
            runner = await self._start_module(
                f"runner-{index}",
                "almondspan_standins.runner",
                self._runner_args(index),
            )
            self.runners.append(runner)
        for runner in self.runners:
            await runner.wait_for_log_line("listening")

    def _worker_args(self, index: int) -> list[str]:
        shape = self.shape
        args = ["--worker-id", f"w{index}", "--seed", str(shape.seed + index)]
        args += ["--cpu-millicores", str(shape.cpu_millicores)]
        args += ["--memory-mb", str(shape.memory_mb)]
        args += ["--accelerators", str(shape.n_accelerators)]
        args += ["--lease-s", str(shape.worker_lease_s)]
        return args + self._interference_args()

    def _runner_args(self, index: int) -> list[str]:
        shape = self.shape
        args = ["--service", shape.service, "--seed", str(shape.seed + 1000 + index)]
        args += ["--slots", str(shape.n_slots)]
        args += ["--connections", str(shape.n_connections)]
        if shape.interference:
            args += ["--worker-url", self.worker_urls[index]]
        return args + self._interference_args()

    def _interference_args(self) -> list[str]:
        if not self.shape.interference:
            return []
        return ["--interference", self.shape.interference]

    async def _start_module(
        self, name: str, module: str, args: list[str]
    ) -> ManagedProcess:
        self._n_started += 1
        log_path = self.folder / f"{self._n_started:03d}-{name}.log"
        log_path.touch()
        command = [sys.executable, "-m", module, *args]
        process = ManagedProcess(name, command, log_path)
        await process.start()
        return process

    def _write_settings(self, name: str, settings: dict[str, Any]) -> str:
        path = self.folder / f"{name}.toml"
        path.write_text(tomli_w.dumps(settings))
        return str(path)

    def _common_settings(self, role: str, index: int) -> dict[str, Any]:
        shape = self.shape
        return {
            "process": {
                "role": role,
                "id_prefix": f"{role}-{index}",
                "region": REGION,
                "place": f"place-{index % shape.n_places}",
                "host": "127.0.0.1",
            },
            "store": {"addresses": [self.store_url]},
            "shards": {"n_shards": shape.n_shards},
            "leases": {"horizon_s": shape.horizon_s, "margin_s": shape.margin_s},
            "log": {"level": shape.log_level},
        }

    async def _start_entry(self, index: int) -> ManagedProcess:
        settings = self._common_settings("entry", index)
        settings["entry"] = {"http_port": 0, "agent_port": 0, "admin_port": 0}
        digest = hashlib.sha256(self.token.encode()).hexdigest()
        settings["admin"] = {
            "bootstrap_token_sha256": digest,
            "max_requests_per_s": 1000.0,
        }
        path = self._write_settings(f"entry-{index}", settings)
        args = ["entry", "--settings", path]
        return await self._start_module(f"entry-{index}", "almondspan_daemon", args)

    def service_of(self, index: int) -> str:
        """Return the service of a node's runner."""
        return self.shape.service

    async def start_agent(self, index: int) -> ManagedProcess:
        """Start an agent for a node's worker and runner, also as a replacement."""
        settings = self._common_settings("agent", index)
        addresses = [f"127.0.0.1:{e.log_fields['agent_port']}" for e in self.entries]
        services = [
            {
                "name": self.service_of(index) + (f"-{number}" if number else ""),
                "runner_address": self.runner_urls[index],
                "n_slots": self.shape.n_slots,
                "n_connections": self.shape.n_connections,
            }
            for number in range(self.shape.n_services)
        ]
        settings["agent"] = {
            "entries": addresses,
            "worker_address": self.worker_urls[index],
            "services": services,
        }
        path = self._write_settings(f"agent-{index}", settings)
        args = ["agent", "--settings", path]
        return await self._start_module(f"agent-{index}", "almondspan_daemon", args)

    async def replace_entry(self, index: int) -> None:
        """Start a new entry to replace an ended one."""
        entry = await self._start_entry(index)
        self._starting.append(entry)
        await entry.wait_for_log_line("agent_port")
        self.entries[index] = entry

    async def replace_agent(self, index: int) -> None:
        """Start a new agent to replace an ended one."""
        agent = await self.start_agent(index)
        self._starting.append(agent)
        await agent.wait_for_log_line("health_port")
        self.agents[index] = agent

    def every_process(self) -> list[ManagedProcess]:
        """Return all processes, the latest started first."""
        store = [] if self.store is None else [self.store]
        others = [*self.agents, *self.entries, *self.runners, *self.workers, *store]
        return [*(p for p in self._starting if p not in others), *others]

    async def close(self) -> None:
        """End all processes and remove the folder."""
        running = [process for process in self.every_process() if process.is_running]
        await asyncio.gather(*(process.end() for process in running))
        self._folder.cleanup()
