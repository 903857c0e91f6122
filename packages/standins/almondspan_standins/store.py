"""Runs the store stand-in: ``python -m almondspan_standins.store --port 0``."""

import asyncio
import random

from almondspan_standins.serving import (
    HttpServer,
    Listening,
    base_parser,
    run_until_terminated,
)
from almondspan_standins.store_app import PROGRESS_S, StoreApp
from almondspan_standins.store_core import StoreCore

__all__ = ["main"]


async def _serve(host: str, port: int, seed: int, progress_s: float) -> None:
    core = StoreCore(asyncio.get_running_loop().time)
    server = HttpServer(StoreApp(core, random.Random(seed), progress_s).app)
    await server.start(host, port)
    await run_until_terminated(Listening(server.address))
    await server.close()


def main() -> None:
    """Serve until SIGTERM."""
    parser = base_parser("A stand-in of the key-value service.")
    parser.add_argument("--progress-s", type=float, default=PROGRESS_S)
    options = parser.parse_args()
    asyncio.run(_serve(options.host, options.port, options.seed, options.progress_s))


if __name__ == "__main__":
    main()
