"""Command that runs a worker: ``python -m almondspan_standins.worker --port 0``."""

import argparse
import asyncio
import random

from almondspan_decisions.ids import ServiceName, WorkerId
from almondspan_decisions.shapes import Shape
from almondspan_standins.colocation import Poller, SlowdownRefresher, slow_worker_by
from almondspan_standins.interference import InterferenceModel, load_model
from almondspan_standins.runner_app import RunnerPressure
from almondspan_standins.serving import (
    Component,
    HttpServer,
    add_interference_argument,
    base_parser,
    serve,
)
from almondspan_standins.worker_app import WorkerApp
from almondspan_standins.worker_core import (
    DuplicateRunDetector,
    WorkerCore,
    WorkerOptions,
)

__all__ = ["add_worker_arguments", "main", "make_core"]


def add_worker_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the options for the capacity and the times of a worker."""
    defaults = WorkerOptions()
    parser.add_argument("--cpu-millicores", type=int, default=16_000)
    parser.add_argument("--memory-mb", type=int, default=60_000)
    parser.add_argument("--accelerators", type=int, default=2)
    parser.add_argument("--lease-s", type=float, default=defaults.lease_s)
    parser.add_argument("--usage-lag-s", type=float)
    parser.add_argument("--checkpoint-s", type=float, default=defaults.checkpoint_s)


def make_core(
    options: argparse.Namespace,
    worker_id: str,
    model: InterferenceModel | None = None,
    detector: DuplicateRunDetector | None = None,
) -> WorkerCore:
    """Return a worker configured by the options.

    The lag of its usage is that of the options or, by default, that of the model.
    """
    lag_s = options.usage_lag_s
    if lag_s is None:
        lag_s = WorkerOptions().usage_lag_s if model is None else model.usage_lag_s
    return WorkerCore(
        WorkerId(worker_id),
        Shape(options.cpu_millicores, options.memory_mb, options.accelerators),
        asyncio.get_running_loop().time,
        WorkerOptions(options.lease_s, lag_s, options.checkpoint_s),
        detector,
    )


async def _serve(options: argparse.Namespace) -> None:
    model = None if options.interference is None else load_model(options.interference)
    core = make_core(options, options.worker_id, model)
    server = HttpServer(WorkerApp(core, random.Random(options.seed)).app)
    components: list[Component] = [SlowdownRefresher((core,))]
    if model is not None and options.runner_url:
        poller = Poller(options.runner_url, RunnerPressure(0.0))
        slow_worker_by(core, model, ServiceName(options.service), poller)
        components.append(poller)
    await serve(server, components, options)


def main() -> None:
    """Serve until SIGTERM."""
    parser = base_parser("A stand-in of a worker.")
    parser.add_argument("--worker-id", default="w1")
    parser.add_argument(
        "--runner-url", default="", help="URL of the runner on its machine"
    )
    parser.add_argument("--service", default="clips", help="the runner's service")
    add_interference_argument(parser)
    add_worker_arguments(parser)
    asyncio.run(_serve(parser.parse_args()))


if __name__ == "__main__":
    main()
