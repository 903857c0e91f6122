"""Runs a worker stand-in: ``python -m almondspan_standins.worker --port 0``."""

import argparse
import asyncio
import random

from almondspan_decisions.ids import WorkerId
from almondspan_decisions.shapes import Shape
from almondspan_standins.serving import (
    HttpServer,
    Listening,
    base_parser,
    run_until_terminated,
)
from almondspan_standins.worker_app import WorkerApp
from almondspan_standins.worker_core import WorkerCore, WorkerOptions

__all__ = ["add_worker_arguments", "main", "make_core"]


def add_worker_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the options of a worker's size and times."""
    defaults = WorkerOptions()
    parser.add_argument("--cpu-millicores", type=int, default=16_000)
    parser.add_argument("--memory-mb", type=int, default=60_000)
    parser.add_argument("--accelerators", type=int, default=2)
    parser.add_argument("--lease-s", type=float, default=defaults.lease_s)
    parser.add_argument("--usage-lag-s", type=float, default=defaults.usage_lag_s)
    parser.add_argument("--checkpoint-s", type=float, default=defaults.checkpoint_s)


def make_core(options: argparse.Namespace, worker_id: str) -> WorkerCore:
    """Return a worker of the size that the options give."""
    return WorkerCore(
        WorkerId(worker_id),
        Shape(options.cpu_millicores, options.memory_mb, options.accelerators),
        asyncio.get_running_loop().time,
        WorkerOptions(options.lease_s, options.usage_lag_s, options.checkpoint_s),
    )


async def _serve(options: argparse.Namespace) -> None:
    core = make_core(options, options.worker_id)
    server = HttpServer(WorkerApp(core, random.Random(options.seed)).app)
    await server.start(options.host, options.port)
    await run_until_terminated(Listening(server.address))
    await server.close()


def main() -> None:
    """Serve until SIGTERM."""
    parser = base_parser("A stand-in of a worker.")
    parser.add_argument("--worker-id", default="w1")
    add_worker_arguments(parser)
    asyncio.run(_serve(parser.parse_args()))


if __name__ == "__main__":
    main()
