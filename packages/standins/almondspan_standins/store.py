"""Runs the store stand-in: ``python -m almondspan_standins.store --port 0``."""

import argparse
import asyncio
import random

from almondspan_standins.serving import HttpServer, base_parser, serve
from almondspan_standins.store_app import PROGRESS_S, StoreApp
from almondspan_standins.store_core import StoreCore

__all__ = ["main"]


async def _serve(options: argparse.Namespace) -> None:
    core = StoreCore(asyncio.get_running_loop().time)
    app = StoreApp(core, random.Random(options.seed), options.progress_s).app
    await serve(HttpServer(app), [], options)


def main() -> None:
    """Serve until SIGTERM."""
    parser = base_parser("A stand-in of the key-value service.")
    parser.add_argument("--progress-s", type=float, default=PROGRESS_S)
    asyncio.run(_serve(parser.parse_args()))


if __name__ == "__main__":
    main()
