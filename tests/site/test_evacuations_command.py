"""The operators' command: what it prints, and its exit codes."""

import asyncio
import json
import random
import socket
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import pytest
from fake_platform import FakeStore

from almondspan_decisions.evacuation import Outlook
from almondspan_jobs.entry import JobEntry
from almondspan_jobs.evacuation_status import ask_evacuations
from almondspan_jobs.messages import EvacuationsReply, RemainingTaskRow
from almondspan_jobs.metrics import Metrics
from almondspan_jobs.network import TcpNetwork
from almondspan_jobs.options import JobOptions
from almondspan_platform.group_store import Write, WriteGroup
from almondspan_site.configuration import ConfigFollower
from almondspan_site.evacuation_keys import EVACUATION_PREFIX, EvacuationKeys
from almondspan_site.evacuations_command import (
    EXIT_NO_ANSWER,
    EXIT_USAGE,
    MEANINGS,
    render,
    run_evacuations,
)
from almondspan_site.kv_store import KvStore
from almondspan_standins.virtual_time import run_with_sockets


class Log:
    def line(self, event: str, **fields: object) -> None:
        pass


ROW = RemainingTaskRow("0123456789abcdef.0.0.1", "w-1", "dc-1", "no_capacity")


def reply(**fields: object) -> EvacuationsReply:
    values: dict[str, object] = {
        "number": 1,
        "is_used": True,
        "is_owner": True,
        "owner": "edge-1",
        "host": "10.0.0.1",
        "port": 7720,
        "age_ms": 800,
        "places": [("dc-1", 65_000)],
        "counts": [("dc-1", "ends_soon", 3), ("dc-1", "no_capacity", 1)],
        "tasks": [ROW],
    }
    return EvacuationsReply(**{**values, **fields})  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("found", "texts"),
    [
        pytest.param(
            reply(),
            [
                "read from the store: 0.8 s ago",
                "'dc-1' is evacuated, requested 65.0 s ago, 4 tasks",
                "1 no_capacity: waits for free capacity elsewhere",
                "0123456789abcdef.0.0.1 on w-1 in 'dc-1': no_capacity",
                "and 3 more tasks",
            ],
            id="owner",
        ),
        pytest.param(
            reply(is_owner=False, counts=[], tasks=[]),
            ["'dc-1' is evacuated", "(edge-1) did not answer"],
            id="owner_does_not_answer",
        ),
        pytest.param(
            reply(places=[], counts=[], tasks=[]), ["no place is evacuated"], id="none"
        ),
        pytest.param(reply(age_ms=-1), ["store: never"], id="never_read"),
        pytest.param(reply(is_used=False), ["has no evacuations"], id="not_used"),
        pytest.param(
            reply(places=[("dc\n1", 0)]), ["'dc\\n1' is evacuated"], id="odd_name"
        ),
    ],
)
def test_what_is_printed(found: EvacuationsReply, texts: list[str]) -> None:
    lines = "\n".join(render(found))
    for text in texts:
        assert text in lines


def test_every_outlook_is_explained() -> None:
    assert set(MEANINGS) == {outlook.value for outlook in Outlook}


@pytest.mark.parametrize(
    "arguments", [["host"], ["host:x"], ["host:70000"], ["a:1", "b:2"]]
)
def test_malformed_arguments(arguments: list[str]) -> None:
    assert run_evacuations(arguments) == EXIT_USAGE


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


def test_entry_answers_over_tcp() -> None:
    """An entry that reads the requests from a store over HTTP, and owns the jobs."""
    options = replace(JobOptions(), evacuation_limit_s=5.0)

    async def main() -> EvacuationsReply | str:
        store = FakeStore()
        await store.start()
        client = KvStore(store.address, 1_000.0)
        await client.start()
        port = free_port()
        entry = JobEntry(
            "edge-1",
            "127.0.0.1",
            port,
            TcpNetwork(),
            client,
            options,
            Log(),
            Metrics(),
            random.Random(1),
        )
        keys = EvacuationKeys(
            client, options, Log(), entry.leadership.set_evacuations, lambda: True
        )
        follower = ConfigFollower(client, options, Log(), lambda found: None, keys)
        for name in ("dc-1", "dc-2", "dc-3", "dc-4"):
            write = Write(EVACUATION_PREFIX + name, b"")
            store.state.commit(WriteGroup(writes=(write,)))
        await entry.start()
        await follower.start()
        await keys.start()
        for _ in range(200):
            await asyncio.sleep(0.05)
            owner = entry.leadership.owner
            if owner is not None and owner.is_serving:
                break
        found = await ask_evacuations(TcpNetwork(), "127.0.0.1", port)
        for part in (keys, follower, entry, client, store):
            await part.close()
        return found

    found = run_with_sockets(main())
    assert isinstance(found, EvacuationsReply)
    assert found.is_owner
    assert [place for place, _ in found.places] == ["dc-1", "dc-2", "dc-3", "dc-4"]
    assert 0 <= found.age_ms < 5_000


def test_entry_that_does_not_answer(tmp_path: Path) -> None:
    """The process as an operator starts it, on a machine without an entry."""
    settings = tmp_path / "node"
    settings.write_text(
        json.dumps(
            {
                "node": "edge-1",
                "ip": "127.0.0.1",
                "zone": "dc-1",
                "listenAddrs": {},
                "portRange": [9, 9],
                "platform": {"address": "127.0.0.1:9", "form": "kv"},
                "bounds": {},
            }
        )
    )
    done = subprocess.run(
        [sys.executable, "-m", "almondspan_site", "evacuations"],
        env={"PYTHONPATH": ":".join(sys.path), "ALMONDSPAN_NODE_FILE": str(settings)},
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )
    assert done.returncode == EXIT_NO_ANSWER
    assert "127.0.0.1:9 can't be reached" in done.stderr
