"""Runs the command line against an administration API in the same process."""

import asyncio
import contextlib
import io
import json
import os
import sys
import threading
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

sys.path.insert(0, str(Path(__file__).parents[1] / "admin"))

import admin_api

from almondspan.command import main

TOKENS = {name: f"{name}-token" for name in ("operator", "archive", "water")}
TOKENS["bootstrap"] = admin_api.BOOTSTRAP


class Ended(SimpleNamespace):
    """The result of a command: ``code``, ``out`` and ``err``."""

    @property
    def result(self):
        document = json.loads(self.out)
        assert document["exit_code"] == self.code
        return document["result"]


def run_command(*arguments, **variables):
    """Run the command line with only the given ALMONDSPAN variables."""
    out, err = io.StringIO(), io.StringIO()
    kept = {k: v for k, v in os.environ.items() if not k.startswith("ALMONDSPAN_")}
    code = None
    with (
        mock.patch.dict(os.environ, kept | variables, clear=True),
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(err),
    ):
        try:
            main(arguments)
        except SystemExit as ended:
            code = int(ended.code or 0)
    return Ended(code=code, out=out.getvalue(), err=err.getvalue())


class Served:
    """An API that runs in a separate thread; `run` runs commands against it."""

    def __init__(self, toml=admin_api.FLEET, **options):
        self._toml, self._options = toml, options
        self._ready = threading.Event()
        self._thread = threading.Thread(target=lambda: asyncio.run(self._serve()))

    def __enter__(self):
        self._thread.start()
        assert self._ready.wait(10)
        return self

    def __exit__(self, *_):
        self._loop.call_soon_threadsafe(self._end.set)
        self._thread.join(10)

    async def _serve(self):
        self._loop, self._end = asyncio.get_running_loop(), asyncio.Event()
        try:
            async with admin_api.running_api(self._toml, **self._options) as self.api:
                self.address = str(self.api.client.make_url("")).rstrip("/")
                self._ready.set()
                await self._end.wait()
        finally:
            self._ready.set()

    def run(self, *arguments, team="operator"):
        return run_command(
            *arguments,
            ALMONDSPAN_ENTRIES=self.address,
            ALMONDSPAN_TOKEN=TOKENS.get(team, team),
        )
