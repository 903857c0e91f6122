"""Command that runs a store: ``python -m almondspan_standins.store --port 0``."""

import argparse
import asyncio
import random

from almondspan_standins.serving import HttpServer, base_parser, serve
from almondspan_standins.store_app import PROGRESS_S, StoreApp, StoreRates
from almondspan_standins.store_core import StoreCore

__all__ = ["main"]


async def _serve(options: argparse.Namespace) -> None:
    core = StoreCore(asyncio.get_running_loop().time)
    rates = StoreRates(options.writes_per_s, options.reads_per_s)
    rng = random.Random(options.seed)
    app = StoreApp(core, rng, options.progress_s, rates).app
    await serve(HttpServer(app), [], options)


def main() -> None:
    """Serve until SIGTERM."""
    parser = base_parser("A stand-in of the key-value service.")
    parser.add_argument("--progress-s", type=float, default=PROGRESS_S)
    defaults = StoreRates()
    parser.add_argument("--writes-per-s", type=float, default=defaults.writes_per_s)
    parser.add_argument("--reads-per-s", type=float, default=defaults.reads_per_s)
    asyncio.run(_serve(parser.parse_args()))


if __name__ == "__main__":
    main()
