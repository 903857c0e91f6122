"""An entry that starts during a store outage fetches the configuration from agents."""

import asyncio

from admin_api import FLEET
from virtual_time import run_virtual

from almondspan_admin.active_config import ActiveConfig
from almondspan_admin.config_client import ConfigClient
from almondspan_admin.config_fetcher import ConfigFetcher, ConfigRequest
from almondspan_decisions.ids import AgentId
from almondspan_decisions.shapes import EMPTY_SHAPE
from almondspan_standins.faults import StoreFaults
from almondspan_standins.memory_store import MemoryStore
from almondspan_standins.store_core import StoreCore
from almondspan_wire.membership import AgentStatus, ConfigPush


def status(revision):
    return AgentStatus(1, EMPTY_SHAPE, 0, False, revision)


async def fetch(reports):
    """Let agents report revisions, 1 s apart, and answer requests if they are to."""
    core = StoreCore(asyncio.get_running_loop().time)
    core.faults = StoreFaults(outage=True)
    pushed = []
    config_client = ConfigClient(MemoryStore(core), pushed.append)
    requested = []

    def send(agent_id, body):
        assert isinstance(body, ConfigRequest)
        requested.append(agent_id)
        revision, answers = next(
            (revision, answers)
            for name, revision, answers in reports
            if name == agent_id
        )
        active_config = ActiveConfig()
        active_config.accept(ConfigPush(revision=revision, toml=FLEET.encode()))
        if answers:
            loop = asyncio.get_running_loop()
            loop.call_later(0.1, fetcher.on_message, agent_id, active_config.push)
        return True

    fetcher = ConfigFetcher(config_client, send)
    await config_client.start()
    for name, revision, _ in reports:
        fetcher.on_status(AgentId(name), status(revision))
        await asyncio.sleep(1)
    await config_client.close()
    return requested, [push.revision for push in pushed]


def test_only_one_agent_is_asked():
    reports = [("a", 4, True), ("b", 4, True), ("c", 3, True)]
    assert run_virtual(fetch(reports)) == (["a"], [4])


def test_another_agent_is_asked_when_the_first_is_silent():
    reports = [("a", 4, False), ("b", 4, True), ("c", 4, True), ("d", 4, True)]
    assert run_virtual(fetch(reports)) == (["a", "c"], [4])


def test_a_newer_revision_is_asked_for():
    reports = [("a", 1, True), ("b", 1, True), ("c", 2, True)]
    assert run_virtual(fetch(reports)) == (["a", "c"], [1, 2])


def test_an_agent_without_configuration_is_not_asked():
    assert run_virtual(fetch([("a", 0, True)])) == ([], [])
