"""Command that runs a runner: ``python -m almondspan_standins.runner --port 0``."""

import argparse
import asyncio
import random

from almondspan_standins.colocation import Poller, slow_runner_by
from almondspan_standins.interference import load_model
from almondspan_standins.runner_app import RunnerApp, RunnerOptions
from almondspan_standins.serving import (
    Component,
    HttpServer,
    add_interference_argument,
    base_parser,
    serve,
)
from almondspan_standins.worker_app import Pressure

__all__ = ["add_runner_arguments", "main", "make_runner"]


def add_runner_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the options for the limits and latencies of a runner."""
    defaults = RunnerOptions()
    parser.add_argument("--service", default=defaults.service)
    parser.add_argument("--slots", type=int, default=defaults.n_slots)
    parser.add_argument("--connections", type=int, default=defaults.n_connections)
    parser.add_argument("--median-ms", type=float, default=defaults.median_ms)
    parser.add_argument("--sigma", type=float, default=defaults.sigma)
    parser.add_argument(
        "--straggler-share", type=float, default=defaults.straggler_share
    )
    parser.add_argument(
        "--straggler-factor", type=float, default=defaults.straggler_factor
    )


def make_runner(options: argparse.Namespace, seed: int) -> RunnerApp:
    """Return a runner configured by the options."""
    runner_options = RunnerOptions(
        options.service,
        options.slots,
        options.connections,
        options.median_ms,
        options.sigma,
        options.straggler_share,
        options.straggler_factor,
    )
    return RunnerApp(runner_options, random.Random(seed))


async def _serve(options: argparse.Namespace) -> None:
    runner = make_runner(options, options.seed)
    server = HttpServer(runner.app)
    runner.n_open_connections = lambda: server.n_connections
    components: list[Component] = []
    if options.interference is not None and options.worker_url:
        poller = Poller(options.worker_url, Pressure(()))
        slow_runner_by(runner, load_model(options.interference), poller)
        components.append(poller)
    await serve(server, components, options)


def main() -> None:
    """Serve until SIGTERM."""
    parser = base_parser("A stand-in of a runner.")
    parser.add_argument(
        "--worker-url", default="", help="URL of the worker on its machine"
    )
    add_interference_argument(parser)
    add_runner_arguments(parser)
    asyncio.run(_serve(parser.parse_args()))


if __name__ == "__main__":
    main()
