"""Local fleet with the workers and runners of a mix, and an observer of the workers.

The workers and runners of one service run in one stand-in process, so that they slow
each other down directly. `Observer` polls the workers during a measurement: it records
when each task was first seen, integrates the processors in use and sets faults.
"""

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from typing import Any, Final

import aiohttp
from local_fleet import FleetShape, LocalFleet, ManagedProcess
from measure_load import INTERFERENCE, PolicyCombination

__all__ = ["MixFleet", "Observer"]

POLL_S: Final = 0.25
TIME_SCALE: Final = 4.0
"""Factor by which calls take longer and arrive more rarely than in the mix."""


class MixFleet(LocalFleet):
    """A fleet with the size of a mix."""

    def __init__(self, mix: dict[str, Any], combination: PolicyCombination, seed: int):
        part = 2 if combination.partition else 1
        interference = "" if combination.partition else mix["name"]
        shape = FleetShape(
            n_entries=2,
            n_nodes=mix["n_workers"],
            n_shards=8,
            cpu_millicores=mix["cores"] * 1000 // part,
            memory_mb=mix["memory_mb"] // part,
            seed=seed,
            interference=interference,
        )
        super().__init__(shape)
        self.mix = mix
        self.node_processes: list[ManagedProcess] = []
        self.nodes: list[dict[str, str]] = []
        self.services: list[str] = []

    @property
    def worker_urls(self) -> list[str]:
        """The addresses of the worker stand-ins."""
        return [node["worker"] for node in self.nodes]

    @property
    def runner_urls(self) -> list[str]:
        """The addresses of the runner stand-ins."""
        return [node["runner"] for node in self.nodes]

    async def _start_nodes(self) -> None:
        for index, service in enumerate(self.mix["services"]):
            process = await self._start_module(
                f"nodes-{service['name']}",
                "almondspan_standins.node",
                self._node_args(index, service),
            )
            await process.wait_for_log_line("nodes")
            self.node_processes.append(process)
            self.nodes += process.log_fields["nodes"]
            self.services += [service["name"]] * service["n_runners"]

    def _node_args(self, index: int, service: dict[str, Any]) -> list[str]:
        shape = self.shape
        args = ["--n-nodes", str(service["n_runners"])]
        args += ["--worker-prefix", f"{service['name']}-"]
        args += ["--seed", str(shape.seed + 100 * index)]
        args += ["--service", service["name"]]
        args += ["--median-ms", str(service["run_ms"] * TIME_SCALE)]
        args += ["--sigma", str(service["run_sigma"]), "--straggler-share", "0"]
        args += ["--cpu-millicores", str(shape.cpu_millicores)]
        args += ["--memory-mb", str(shape.memory_mb)]
        args += ["--lease-s", str(shape.worker_lease_s)]
        args += ["--usage-lag-s", str(self.mix["usage_lag_s"])]
        if shape.interference:
            path = INTERFERENCE / f"{shape.interference}.toml"
            args += ["--interference", str(path)]
        return args

    def service_of(self, index: int) -> str:
        """Return the service of a node's runner."""
        return self.services[index]

    async def close(self) -> None:
        """Kill all processes, since draining is not measured, and clean up."""
        running = [process for process in self.every_process() if process.is_running]
        await asyncio.gather(*(process.kill() for process in running))
        await super().close()

    def every_process(self) -> list[ManagedProcess]:
        """Return all processes, the latest started first."""
        store = [] if self.store is None else [self.store]
        return [*self.agents, *self.entries, *self.node_processes, *store]


@dataclass
class Observer:
    """Polls the workers of a fleet and sets faults of stand-ins."""

    fleet: MixFleet
    session: aiohttp.ClientSession
    now_s: Any
    first_seen_s: dict[str, float] = field(default_factory=dict)
    seen_s: Counter[str] = field(default_factory=Counter)
    used_core_s: float = 0.0
    n_concurrent_duplicates: int = 0
    n_polls_failed: int = 0

    async def run(self) -> None:
        """Poll until cancelled."""
        polled_s = self.now_s()
        while True:
            await asyncio.sleep(POLL_S)
            elapsed_s = self.now_s() - polled_s
            polled_s += elapsed_s
            await self._poll(elapsed_s)

    async def _poll(self, elapsed_s: float) -> None:
        urls = self.fleet.worker_urls
        pages = await asyncio.gather(
            *(self.get(f"{url}/debug/pressure") for url in urls),
            *(self.get(f"{url}/debug") for url in urls),
        )
        pressures, workers = pages[: len(urls)], pages[len(urls) :]
        cores = self.fleet.shape.cpu_millicores / 1000
        for page in pressures:
            used = sum(share for _, share in page.get("running", []))
            self.used_core_s += elapsed_s * used * cores
        self._record_running(workers, elapsed_s)

    def _record_running(self, workers: list[dict[str, Any]], elapsed_s: float) -> None:
        running = Counter(
            task for page in workers for task, _ in page.get("running", [])
        )
        ended = [effect["task_id"] for page in workers for effect in page["ledger"]]
        for task in [*running, *ended]:
            self.first_seen_s.setdefault(task, self.now_s())
        for task, n_places in running.items():
            self.seen_s[task] += elapsed_s
            self.n_concurrent_duplicates += n_places > 1

    async def get(self, url: str) -> dict[str, Any]:
        """Return a debug page, one without tasks if there is no response."""
        try:
            async with self.session.get(url) as response:
                found: dict[str, Any] = await response.json()
                return found
        except (aiohttp.ClientError, TimeoutError):
            self.n_polls_failed += 1
            return {"ledger": [], "running": []}

    async def node_totals(self) -> list[dict[str, Any]]:
        """Return the totals over the nodes of each stand-in process."""
        urls = [
            process.log_fields["listening"] for process in self.fleet.node_processes
        ]
        return [await self.get(f"{url}/debug") for url in urls]

    async def set_faults(self, url: str, faults: dict[str, Any]) -> None:
        """Set the faults of a stand-in."""
        async with self.session.post(f"{url}/debug/faults", json=faults) as response:
            response.raise_for_status()
