"""Faults of settings files: the reported key, value and allowed values."""

from pathlib import Path

import pytest

from almondspan_daemon.settings import (
    AgentSettings,
    EntrySettings,
    SettingsFaults,
    load_settings,
)

ENTRY = """
[process]
role = "entry"
id_prefix = "entry-1"
region = "viti"
place = "suva"
[store]
addresses = ["http://127.0.0.1:2379"]
[entry]
http_port = 8080
agent_port = 7000
admin_port = 8081
"""

AGENT = """
[process]
role = "agent"
id_prefix = "agent-1"
region = "viti"
place = "suva"
[store]
addresses = ["http://127.0.0.1:2379"]
[agent]
entries = ["127.0.0.1:7000", "[::1]:7000"]
worker_address = "http://127.0.0.1:9000"
[[agent.services]]
name = "clips"
runner_address = "http://127.0.0.1:9100"
"""


def load(tmp_path: Path, text: str) -> EntrySettings | AgentSettings | SettingsFaults:
    path = tmp_path / "node.toml"
    path.write_text(text)
    return load_settings(path)


def test_entry_with_defaults(tmp_path: Path) -> None:
    settings = load(tmp_path, ENTRY)
    assert isinstance(settings, EntrySettings)
    assert settings.entry.admin_port == 8081
    assert settings.leases.horizon_s == 30.0
    assert settings.process.host == "127.0.0.1"
    assert not settings.tls.enabled


def test_agent_with_defaults(tmp_path: Path) -> None:
    settings = load(tmp_path, AGENT)
    assert isinstance(settings, AgentSettings)
    assert settings.agent.entries == ("127.0.0.1:7000", "[::1]:7000")
    assert settings.agent.services[0].n_slots == 8
    assert settings.agent.services[0].n_connections == 64


@pytest.mark.parametrize(
    ("text", "key", "value", "allowed"),
    [
        pytest.param(
            ENTRY.replace('"entry"', '"router"'),
            "process.role",
            '"router"',
            "'entry' or 'agent'",
            id="unknown role",
        ),
        pytest.param(
            ENTRY.replace('role = "entry"', ""),
            "process.role",
            "(missing)",
            "'entry'",
            id="no role",
        ),
        pytest.param(
            ENTRY + "\n[leases]\nhorizon_ms = 30000",
            "leases.horizon_ms",
            "(unknown key)",
            "did you mean horizon_s?",
            id="wrong unit in the key",
        ),
        pytest.param(
            ENTRY + '\n[leases]\nhorizon_s = "30s"',
            "leases.horizon_s",
            '"30s"',
            "seconds",
            id="unit in the value",
        ),
        pytest.param(
            ENTRY + "\n[leases]\nhorizon_s = inf",
            "leases.horizon_s",
            "Infinity",
            "seconds",
            id="not finite",
        ),
        pytest.param(
            ENTRY + "\n[leases]\nhorizon_s = 3",
            "leases.margin_s",
            "3.0",
            "below leases.horizon_s (3)",
            id="margin not below the horizon",
        ),
        pytest.param(
            ENTRY + "\n[streams]\nheartbeat_s = 5.0",
            "streams.heartbeat_s",
            "5.0",
            "below streams.silence_s (3)",
            id="heartbeat not below the silence",
        ),
        pytest.param(
            ENTRY.replace("http://127.0.0.1:2379", "http://store.example:2379"),
            "store.addresses.0",
            '"http://store.example:2379"',
            "IP number",
            id="host name",
        ),
        pytest.param(
            ENTRY.replace("http://127.0.0.1:2379", "127.0.0.1:2379"),
            "store.addresses.0",
            '"127.0.0.1:2379"',
            "http://ip:port",
            id="no scheme",
        ),
        pytest.param(
            ENTRY.replace('["http://127.0.0.1:2379"]', "[]"),
            "store.addresses",
            "[]",
            "at least one",
            id="no store address",
        ),
        pytest.param(
            ENTRY.replace("8080", "80800"),
            "entry.http_port",
            "80800",
            "0 to 65535",
            id="port too high",
        ),
        pytest.param(
            ENTRY.replace("8080", "true"),
            "entry.http_port",
            "true",
            "0 to 65535",
            id="port of another type",
        ),
        pytest.param(
            ENTRY.replace("8080", "8081"),
            "entry.admin_port",
            "8081",
            "no other key",
            id="port twice",
        ),
        pytest.param(
            ENTRY.replace("[entry]", "[agent]\n[entry]"),
            "agent",
            "(unknown key)",
            "admin, entry",
            id="section of the other role",
        ),
        pytest.param(
            ENTRY.partition("[entry]")[0],
            "entry",
            "(missing)",
            "[entry]",
            id="no section",
        ),
        pytest.param(
            ENTRY.replace('region = "viti"', 'region = "Viti Levu"'),
            "process.region",
            '"Viti Levu"',
            "a-z",
            id="bad name",
        ),
        pytest.param(
            ENTRY.replace('place = "suva"', 'place = "suva"\nhost = "10.0.0.7"'),
            "process.host",
            '"10.0.0.7"',
            "tls.allow_plain_nonloopback",
            id="plain beyond loopback",
        ),
        pytest.param(
            ENTRY + '\n[tls]\nca = "/nowhere/ca.pem"\ncert = "/nowhere/c.pem"',
            "tls.key",
            '""',
            "go together",
            id="TLS key left out",
        ),
        pytest.param(
            ENTRY + '\n[admin]\nbootstrap_token_sha256 = "a plain token"',
            "admin.bootstrap_token_sha256",
            "(hidden)",
            "SHA-256",
            id="token instead of its digest",
        ),
        pytest.param(
            ENTRY + '\n[log]\nlevel = "loud"',
            "log.level",
            '"loud"',
            "'info'",
            id="unknown level",
        ),
        pytest.param(
            AGENT.replace('"[::1]:7000"', '"[::1]"'),
            "agent.entries.1",
            '"[::1]"',
            "ip:port",
            id="entry without port",
        ),
        pytest.param(
            AGENT + "n_slot = 4\n",
            "agent.services.0.n_slot",
            "(unknown key)",
            "did you mean n_slots?",
            id="unknown key in a list",
        ),
        pytest.param(
            AGENT
            + AGENT.partition("[[agent.services]]")[2].join(["[[agent.services]]", ""]),
            "agent.services.1.name",
            '"clips"',
            "no other",
            id="service twice",
        ),
        pytest.param(
            AGENT.partition("worker_address")[0],
            "agent.worker_address",
            "null",
            "at least one",
            id="agent without work",
        ),
        pytest.param(
            "a = " + "[" * 5000, "(file)", "nested too deeply", "tables", id="deep"
        ),
        pytest.param("[process", "(file)", "Expected", "TOML", id="no TOML"),
        pytest.param("a = " + "9" * 5000, "(file)", "4300", "TOML", id="digits"),
    ],
)
def test_fault(tmp_path: Path, text: str, key: str, value: str, allowed: str) -> None:
    found = load(tmp_path, text)
    assert isinstance(found, SettingsFaults)
    by_key = {fault.key: fault for fault in found.faults}
    assert key in by_key
    assert value in by_key[key].value
    assert allowed in by_key[key].allowed
    assert by_key[key].file.endswith("node.toml")
    assert "a plain token" not in str(found)


def test_missing_file_is_reported(tmp_path: Path) -> None:
    found = load_settings(tmp_path / "absent.toml")
    assert isinstance(found, SettingsFaults)
    assert "absent.toml" in str(found)


def test_all_faults_are_reported_at_once(tmp_path: Path) -> None:
    text = ENTRY.replace("8080", "-1").replace('"viti"', "3")
    text += '\n[leases]\nhorizon_s = 1\n[tls]\ncert = "x"\n[streams]\nsilence_s = "x"'
    found = load(tmp_path, text)
    assert isinstance(found, SettingsFaults)
    assert [fault.key for fault in found.faults] == [
        "process.region",
        "leases.margin_s",
        "streams.silence_s",
        "tls.ca",
        "tls.cert",
        "tls.key",
        "entry.http_port",
    ]
    assert len(str(found).splitlines()) == 7
