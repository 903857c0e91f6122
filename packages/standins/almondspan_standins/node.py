"""Runs many nodes in one process: ``python -m almondspan_standins.node --n-nodes 10``.

A node is a worker and a runner on the same machine. Each has its own port; a line of
JSON lists all ports when they listen. The control address serves ``/debug`` with
totals over all nodes, including the number of tasks that ran on two of these workers
at the same time.
"""

import argparse
import asyncio
import random
from dataclasses import dataclass

import msgspec
from aiohttp import web

from almondspan_decisions.ids import WorkerId
from almondspan_standins.colocation import SlowdownRefresher, colocate
from almondspan_standins.interference import InterferenceModel, load_model
from almondspan_standins.runner import add_runner_arguments, make_runner
from almondspan_standins.runner_app import RunnerApp
from almondspan_standins.serving import (
    HttpServer,
    add_interference_argument,
    base_parser,
    json_answer,
    run_until_terminated,
)
from almondspan_standins.worker import add_worker_arguments, make_core
from almondspan_standins.worker_app import WorkerApp
from almondspan_standins.worker_core import DuplicateRunDetector, Effect, WorkerCore

__all__ = ["NodeAddresses", "NodesDebug", "NodesListening", "main"]


class NodeAddresses(msgspec.Struct, frozen=True):
    """Addresses of a node's worker and runner."""

    worker_id: WorkerId
    worker: str
    runner: str


class NodesListening(msgspec.Struct, frozen=True):
    """The line that the program prints when all servers listen."""

    listening: str
    nodes: tuple[NodeAddresses, ...]


class NodesDebug(msgspec.Struct, frozen=True):
    """Totals over all nodes, all effects of tasks and all bills."""

    n_nodes: int
    n_tasks_in_two_places: int
    n_over_capacity: int
    n_duplicate_running: int
    n_started: int
    n_evicted: int
    n_over_slots: int
    n_over_connections: int
    n_served: int
    n_bills: int
    n_bills_repeated: int
    ledger: tuple[Effect, ...]
    bills: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class _Node:
    core: WorkerCore
    runner: RunnerApp
    worker_server: HttpServer
    runner_server: HttpServer

    def addresses(self) -> NodeAddresses:
        worker, runner = self.worker_server.address, self.runner_server.address
        return NodeAddresses(self.core.worker_id, worker, runner)


def _make_node(
    options: argparse.Namespace,
    index: int,
    model: InterferenceModel | None,
    detector: DuplicateRunDetector,
) -> _Node:
    seed = options.seed + index
    core = make_core(options, f"{options.worker_prefix}{index + 1}", model, detector)
    runner = make_runner(options, seed)
    if model is not None:
        colocate(core, runner, model)
    worker_server = HttpServer(WorkerApp(core, random.Random(seed)).app)
    runner_server = HttpServer(runner.app)
    runner.n_open_connections = lambda: runner_server.n_connections
    return _Node(core, runner, worker_server, runner_server)


def _describe(nodes: tuple[_Node, ...], detector: DuplicateRunDetector) -> NodesDebug:
    cores = [node.core for node in nodes]
    for core in cores:
        core.advance()
    runners = [node.runner.describe() for node in nodes]
    return NodesDebug(
        n_nodes=len(nodes),
        n_tasks_in_two_places=detector.n_concurrent_duplicates,
        n_over_capacity=sum(one.n_over_capacity for one in cores),
        n_duplicate_running=sum(one.n_duplicate_running for one in cores),
        n_started=sum(one.n_started for one in cores),
        n_evicted=sum(one.n_evicted for one in cores),
        n_over_slots=sum(one.n_over_slots for one in runners),
        n_over_connections=sum(one.n_over_connections for one in runners),
        n_served=sum(one.n_served for one in runners),
        n_bills=sum(one.n_bills for one in runners),
        n_bills_repeated=sum(one.n_bills_repeated for one in runners),
        ledger=tuple(effect for one in cores for effect in one.ledger),
        bills=tuple(bill for one in runners for bill in one.ledger),
    )


async def _serve(options: argparse.Namespace) -> None:
    model = None if options.interference is None else load_model(options.interference)
    detector = DuplicateRunDetector()
    nodes = tuple(
        _make_node(options, index, model, detector) for index in range(options.n_nodes)
    )
    control = web.Application()

    async def show(request: web.Request) -> web.Response:
        return json_answer(_describe(nodes, detector))

    control.router.add_get("/debug", show)
    control_server = HttpServer(control)
    servers = [control_server]
    for node in nodes:
        servers += [node.worker_server, node.runner_server]
    await control_server.start(options.host, options.port)
    for server in servers[1:]:
        await server.start(options.host)
    refresher = SlowdownRefresher(tuple(node.core for node in nodes))
    await refresher.start()
    addresses = tuple(node.addresses() for node in nodes)
    await run_until_terminated(NodesListening(control_server.address, addresses))
    await refresher.close()
    await asyncio.gather(*(server.close() for server in servers))


def main() -> None:
    """Serve until SIGTERM."""
    parser = base_parser(
        "Stand-ins of workers, each with a runner on the same machine."
    )
    parser.add_argument("--n-nodes", type=int, default=1)
    parser.add_argument("--worker-prefix", default="w")
    add_interference_argument(parser)
    add_worker_arguments(parser)
    add_runner_arguments(parser)
    asyncio.run(_serve(parser.parse_args()))


if __name__ == "__main__":
    main()
