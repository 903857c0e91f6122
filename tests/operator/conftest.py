"""Runs the command line against an administration API in this process."""

import asyncio
import contextlib
import io
import json
import sys
import threading
from pathlib import Path
from types import SimpleNamespace

import pytest

from almondspan.command import main

sys.path.insert(0, str(Path(__file__).parents[1] / "admin"))

import admin_api

TOKENS = {name: f"{name}-token" for name in ("operator", "archive", "water")}
TOKENS["bootstrap"] = admin_api.BOOTSTRAP


class Ended(SimpleNamespace):
    """How a command ended: ``code``, ``out`` and ``err``."""

    @property
    def result(self):
        document = json.loads(self.out)
        assert document["exit_code"] == self.code
        return document["result"]


def run_command(monkeypatch, *arguments):
    """Run the command line in this process."""
    out, err = io.StringIO(), io.StringIO()
    code = None
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        try:
            main(arguments)
        except SystemExit as ended:
            code = int(ended.code or 0)
    return Ended(code=code, out=out.getvalue(), err=err.getvalue())


class Served:
    """An API that is served by a thread of its own, and a command line to it."""

    def __init__(self, monkeypatch, toml, options):
        self._monkeypatch = monkeypatch
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
        self._monkeypatch.setenv("ALMONDSPAN_ENTRIES", self.address)
        self._monkeypatch.setenv("ALMONDSPAN_TOKEN", TOKENS.get(team, team))
        return run_command(self._monkeypatch, *arguments)


@pytest.fixture
def serve(monkeypatch):
    """Return how to make a `Served` API; use it in a ``with``."""
    return lambda toml=admin_api.FLEET, **options: Served(monkeypatch, toml, options)


@pytest.fixture
def run(monkeypatch):
    """Run the command line without any entry."""
    monkeypatch.delenv("ALMONDSPAN_ENTRIES", raising=False)
    monkeypatch.delenv("ALMONDSPAN_TOKEN", raising=False)
    return lambda *arguments: run_command(monkeypatch, *arguments)
