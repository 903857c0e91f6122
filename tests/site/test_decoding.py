"""Decoding of jobs, configurations and settings, valid and malformed."""

import json
from pathlib import Path
from typing import Any

import pytest

from almondspan_decisions.ids import ServiceName
from almondspan_decisions.job_graph import JobSpec, QueueName, QueueRules, StepSpec
from almondspan_decisions.shapes import Shape
from almondspan_jobs.client_gate import ClientLimits
from almondspan_site.configuration import Configuration, decode_configuration
from almondspan_site.job_decoding import JobFault, decode_job
from almondspan_site.node_settings import (
    SETTINGS_VARIABLE,
    NodeSettings,
    SettingsFault,
    read_settings,
)

DEEP = b"[" * 5_000 + b"]" * 5_000
"""The value of an additional field, nested too deeply for the decoder."""

QUEUE = QueueName("q")
RULES = QueueRules(ServiceName("pool"), 1, 3, 2.0, 500)
STEP = {"count": 4, "cpu": 500, "memMb": 256}


@pytest.mark.parametrize(
    ("body", "step"),
    [
        pytest.param(STEP, StepSpec(4, Shape(500, 256, 0)), id="defaults"),
        pytest.param(
            {
                **STEP,
                "gpu": 1,
                "estimateMs": 900,
                "constraints": "b",
                "affinity": "r1-3",
                "antiAffinity": 2,
                "checkpointing": True,
                "speculative": True,
                "image": "x",
                "fills": True,
            },
            StepSpec(
                4,
                Shape(500, 256, 1),
                900,
                label="b",
                data_rack="r1-3",
                max_per_worker=2,
                saves_progress=True,
                may_copy=True,
                image="x",
                fills=True,
            ),
            id="batch",
        ),
        pytest.param(
            {**STEP, "longRunning": True, "targetMs": 18, "missAllowed": 1},
            StepSpec(
                4, Shape(500, 256, 0), lasts=True, tail_target_ms=18, n_may_be_away=1
            ),
            id="lasting",
        ),
    ],
)
def test_step(body: dict[str, Any], step: StepSpec) -> None:
    data = json.dumps({"spec": "text", "steps": [body], "unknown": 1}).encode()
    found = decode_job(data, QUEUE, RULES, 7, 4_000)
    assert found == JobSpec(QUEUE, "text", (step,), 7, accepted_rules=RULES)


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"{", id="cut_short"),
        pytest.param(b"[]", id="list"),
        pytest.param(b'{"steps": 3}', id="steps_no_list"),
        pytest.param(b'{"steps": [{"count": "4"}]}', id="count_no_number"),
        pytest.param(b"\xff\xfe", id="no_text"),
        pytest.param(b'{"steps": [], "more": ' + DEEP + b"}", id="nested_too_deeply"),
        *(
            pytest.param(
                json.dumps({"steps": [{**STEP, field: 2**64}]}).encode(), id=field
            )
            for field in ("count", "cpu", "memMb", "gpu", "estimateMs", "targetMs")
        ),
        *(
            pytest.param(json.dumps({"steps": [STEP], field: 2**64}).encode(), id=field)
            for field in ("repetitions", "startAtMs", "intervalMs")
        ),
        pytest.param(
            json.dumps({"spec": "x" * 4_001, "steps": [STEP]}).encode(), id="long_spec"
        ),
    ],
)
def test_malformed_job(data: bytes) -> None:
    assert isinstance(decode_job(data, QUEUE, RULES, 7, 4_000), JobFault)


@pytest.mark.parametrize(
    ("n_steps", "is_decoded"),
    [
        pytest.param(5_000, True, id="most_tasks_of_a_job"),
        pytest.param(80_000, False, id="as_many_as_a_body_holds"),
    ],
)
def test_number_of_steps(n_steps: int, is_decoded: bool) -> None:
    """A body of the largest legal size with empty steps took 50 MB to decode."""
    data = b'{"steps":[' + b",".join([b"{}"] * n_steps) + b"]}"
    found = decode_job(data, QUEUE, RULES, 7, 4_000)
    assert isinstance(found, JobSpec) is is_decoded


def route(name: str, prefix: str, **fields: Any) -> dict[str, Any]:
    return {
        "name": name,
        "host": "h.example",
        "pathPrefix": prefix,
        "backend": "pool",
        **fields,
    }


def configuration(*routes: dict[str, Any]) -> Configuration:
    body = {"version": 3, "routes": list(routes), "services": []}
    found = decode_configuration(json.dumps(body).encode())
    assert isinstance(found, Configuration)
    return found


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        pytest.param("h.example", "/a/1", "short", id="prefix"),
        pytest.param("h.example", "/a/b/1", "long", id="longest_prefix"),
        pytest.param("h.example", "/c/1", None, id="no_prefix"),
        pytest.param("other.example", "/a/1", None, id="other_host"),
    ],
)
def test_route(host: str, path: str, name: str | None) -> None:
    found = configuration(route("short", "/a/"), route("long", "/a/b/")).find(
        host, path
    )
    assert (found.name if found is not None else None) == name


def test_rules_of_a_route() -> None:
    rules = configuration(
        route("r", "/a/", priority=2, maxAttempts=3, stretch=1.5, targetLatencyMs=250)
    ).rules[QueueName("r")]
    assert (rules.service, rules.priority, rules.max_failures) == ("pool", 2, 3)
    assert (rules.stretch, rules.target_ms, rules.has_advisor) == (1.5, 250, False)
    advised = configuration(route("r", "/a/", advisor={"decisionMs": 5}))
    assert advised.rules[QueueName("r")].has_advisor


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"nonsense", id="no_json"),
        pytest.param(b'{"version": "3", "routes": []}', id="version_no_number"),
        pytest.param(b'{"version": 3}', id="no_routes"),
        pytest.param(
            b'{"version": 3, "routes": [], "more": ' + DEEP + b"}",
            id="nested_too_deeply",
        ),
        pytest.param(b'{"version": %d, "routes": []}' % 2**64, id="version"),
    ],
)
def test_malformed_configuration(data: bytes) -> None:
    assert isinstance(decode_configuration(data), str)


SETTINGS: dict[str, Any] = {
    "node": "edge-1",
    "ip": "10.0.0.1",
    "zone": "suva",
    "listenAddrs": {"front": "10.0.0.1:1", "ready": "10.0.0.1:2"},
    "portRange": [7720, 7735],
    "bounds": {"maxHoldMs": 6000, "graceS": 6, "status_s": 120},
    "platform": {"address": "10.0.0.9:3", "form": "kv"},
    "newField": 1,
}


def read(tmp_path: Path, monkeypatch: pytest.MonkeyPatch, body: Any) -> Any:
    path = tmp_path / "node"
    path.write_text(body if isinstance(body, str) else json.dumps(body))
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    return read_settings()


def test_settings(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    found = read(tmp_path, monkeypatch, SETTINGS)
    assert isinstance(found, NodeSettings)
    assert (found.node, found.place, found.peer_port) == ("edge-1", "suva", 7720)
    assert (found.max_lease_ms, found.grace_s, found.retention_s) == (6000, 6, 120)
    assert found.max_value_bytes == 1_048_576
    assert found.evacuation_limit_s == 0.0
    assert found.clients == ClientLimits()


def test_settings_of_a_deployment_with_evacuations(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    bounds = {**SETTINGS["bounds"], "evacuateMs": 5_000}
    found = read(tmp_path, monkeypatch, {**SETTINGS, "bounds": bounds})
    assert isinstance(found, NodeSettings)
    assert found.evacuation_limit_s == 5.0


def test_limits_for_clients(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    body = {
        **SETTINGS,
        "limits": {"memoryMb": 552, "maxFds": 8192, "cpuShare": 0.5},
        "clients": {"headS": 2, "maxHeadBytes": 65_536},
    }
    found = read(tmp_path, monkeypatch, body).clients
    assert (found.memory_mb, found.max_fds) == (552, 8192)
    assert (found.head_s, found.max_head_bytes) == (2, 65_536)
    assert found.idle_s == ClientLimits().idle_s


@pytest.mark.parametrize(
    "body",
    [
        pytest.param("{", id="cut_short"),
        pytest.param({}, id="empty"),
        pytest.param({**SETTINGS, "portRange": "7720"}, id="other_type"),
        pytest.param({**SETTINGS, "portRange": [65_536, 65_540]}, id="port"),
        pytest.param({**SETTINGS, "portRange": [0, 1]}, id="port_zero"),
        pytest.param({**SETTINGS, "bounds": {"maxHoldMs": 2**64}}, id="bound"),
        pytest.param({**SETTINGS, "bounds": {"evacuateMs": -1}}, id="evacuation"),
        pytest.param('{"more": ' + DEEP.decode() + "}", id="nested_too_deeply"),
        pytest.param({**SETTINGS, "limits": {"memoryMb": -1}}, id="memory"),
        pytest.param({**SETTINGS, "limits": {"maxFds": "many"}}, id="descriptors"),
        pytest.param({**SETTINGS, "clients": {"memoryShare": 0.9}}, id="share"),
        pytest.param({**SETTINGS, "clients": {"headS": 0}}, id="no_time"),
        pytest.param(
            {**SETTINGS, "platform": {"address": "a", "form": "log"}}, id="other_store"
        ),
    ],
)
def test_invalid_settings(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, body: Any
) -> None:
    assert isinstance(read(tmp_path, monkeypatch, body), SettingsFault)


def test_settings_variable_is_not_set(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv(SETTINGS_VARIABLE, raising=False)
    assert isinstance(read_settings(), SettingsFault)
