"""The stand-ins as programs: they print their address and end on SIGTERM."""

import json
import os
import signal
import subprocess
import sys
import urllib.request

import pytest


@pytest.mark.parametrize(
    ("module", "page", "key"),
    [
        pytest.param("store", "/debug", "n_calls", id="store"),
        pytest.param("worker", "/v1/info", "capacity", id="worker"),
        pytest.param("runner", "/debug", "n_over_slots", id="runner"),
        pytest.param("node", "/debug", "n_tasks_in_two_places", id="node"),
    ],
)
def test_program_serves_until_terminated(module: str, page: str, key: str) -> None:
    process = subprocess.Popen(
        [sys.executable, "-m", f"almondspan_standins.{module}", "--port", "0"],
        stdout=subprocess.PIPE,
        env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
    )
    assert process.stdout is not None
    try:
        address = json.loads(process.stdout.readline())["listening"]
        with urllib.request.urlopen(address + page, timeout=20) as answer:
            assert key in json.load(answer)
    finally:
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=20) == 0
        process.stdout.close()
