"""Answers of the platform, reports and requests that another writer has made odd."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
import pytest
from aiohttp import web
from fake_platform import FakeServer

from almondspan_decisions.ids import ServiceName, WorkerId
from almondspan_jobs.client_gate import ClientGate, ClientLimits
from almondspan_jobs.metrics import Metrics
from almondspan_jobs.options import JobOptions
from almondspan_jobs.worker_agent import WorkerAgent
from almondspan_platform.group_store import WriteGroup
from almondspan_platform.store import (
    LeaseId,
    RangeFound,
    Revision,
    Unavailable,
    WatchEvent,
)
from almondspan_platform.task_worker import (
    PollFailed,
    StartAnswer,
    StartTask,
    Verdict,
    WorkerPoll,
)
from almondspan_site.http_server import HttpServer
from almondspan_site.http_task_worker import HttpTaskWorker
from almondspan_site.kv_store import KvStore
from almondspan_site.worker_reports import MAX_REPORT_BYTES, WorkerReports

DEEP = "[" * 5_000 + "]" * 5_000
HUGE = "9" * 400
"""A number that no float can hold."""

MAX_LOGGED_CHARS = 1_000
LIMIT_S = 15.0
WORKER = WorkerId("i-1")
TASK = "00000000000000aa.0.0.0"


class Log:
    """Collects the lines that are logged."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, Any]]] = []

    def line(self, event: str, **fields: Any) -> None:
        assert len(str(fields)) <= MAX_LOGGED_CHARS
        self.lines.append((event, fields))


class ScriptedServer(FakeServer):
    """Answers every call with the same status and body."""

    def __init__(self, status: int, body: str) -> None:
        async def handle(request: web.Request) -> web.Response:
            return web.Response(
                status=status, text=body, content_type="application/json"
            )

        super().__init__([web.route("*", "/{path:.*}", handle)])


def call_store(
    status: int, body: str, call: Callable[[KvStore], Awaitable[object]]
) -> object:
    async def main() -> object:
        server = ScriptedServer(status, body)
        await server.start()
        client = KvStore(server.address, 1_000.0)
        await client.start()
        try:
            return await call(client)
        finally:
            await client.close()
            await server.close()

    return asyncio.run(main())


STORE_CALLS = [
    pytest.param(lambda store: store.get("k"), 200, id="get"),
    pytest.param(lambda store: store.get_range("k"), 200, id="get_range"),
    pytest.param(lambda store: store.commit(WriteGroup()), 200, id="commit"),
    pytest.param(lambda store: store.commit(WriteGroup()), 412, id="conflict"),
    pytest.param(lambda store: store.grant_lease(1.0), 200, id="grant_lease"),
    pytest.param(lambda store: store.keep_lease(LeaseId(1)), 200, id="keep_lease"),
    pytest.param(lambda store: store.changes("k", Revision(1), 0), 200, id="changes"),
]


@pytest.mark.parametrize(("call", "status"), STORE_CALLS)
def test_deeply_nested_answer_of_the_store(
    call: Callable[[KvStore], Awaitable[object]], status: int
) -> None:
    outcome = call_store(status, f'{{"more": {DEEP}}}', call)
    assert isinstance(outcome, Unavailable)


@pytest.mark.parametrize(
    ("call", "body"),
    [
        pytest.param(
            lambda store: store.get("k"),
            f'{{"key": "k", "value": "", "revision": {HUGE}}}',
            id="get",
        ),
        pytest.param(
            lambda store: store.get_range("k"),
            f'{{"items": [], "hasMore": false, "atRev": {HUGE}}}',
            id="get_range",
        ),
        pytest.param(
            lambda store: store.commit(WriteGroup()),
            f'{{"revision": {HUGE}}}',
            id="commit",
        ),
        pytest.param(
            lambda store: store.grant_lease(1.0),
            f'{{"lease": 1, "ttlMs": {HUGE}}}',
            id="grant_lease",
        ),
        pytest.param(
            lambda store: store.grant_lease(1.0),
            f'{{"lease": {HUGE}, "ttlMs": 1}}',
            id="lease",
        ),
        pytest.param(
            lambda store: store.keep_lease(LeaseId(1)),
            f'{{"ttlMs": {HUGE}}}',
            id="keep_lease",
        ),
        pytest.param(
            lambda store: store.changes("k", Revision(1), 0),
            f'{{"events": [], "atRev": {HUGE}}}',
            id="changes",
        ),
    ],
)
def test_number_out_of_range_in_an_answer_of_the_store(
    call: Callable[[KvStore], Awaitable[object]], body: str
) -> None:
    assert isinstance(call_store(200, body, call), Unavailable)


ODD_VALUE = '{"key": "p/odd", "value": "?", "revision": 1}'
GOOD_VALUE = '{"key": "p/good", "value": "Zw==", "revision": 2}'


@pytest.mark.parametrize(
    ("call", "body"),
    [
        pytest.param(
            lambda store: store.get_range("p/"),
            f'{{"items": [{ODD_VALUE}, {GOOD_VALUE}], "hasMore": false, "atRev": 2}}',
            id="get_range",
        ),
        pytest.param(
            lambda store: store.changes("p/", Revision(0), 0),
            f'{{"events": [{ODD_VALUE}, {GOOD_VALUE}], "atRev": 2}}',
            id="changes",
        ),
    ],
)
def test_value_that_is_no_base64_hides_no_other(
    call: Callable[[KvStore], Awaitable[object]], body: str
) -> None:
    """The value is empty, which is no record, so its reader logs and skips it."""
    outcome = call_store(200, body, call)
    assert isinstance(outcome, RangeFound | WatchEvent)
    items = outcome.items if isinstance(outcome, RangeFound) else outcome.changed
    assert [(item.key, item.value) for item in items] == [
        ("p/odd", b""),
        ("p/good", b"g"),
    ]


def test_page_without_items_that_is_not_the_last_is_no_whole_range() -> None:
    """Guards against keys that are taken for deleted: agents, the owner, progress."""
    body = '{"items": [], "hasMore": true, "atRev": 2}'
    outcome = call_store(200, body, lambda store: store.get_range("p/"))
    assert isinstance(outcome, Unavailable)


def call_runner(
    status: int, body: str, call: Callable[[HttpTaskWorker], Awaitable[object]]
) -> object:
    async def main() -> object:
        server = ScriptedServer(status, body)
        await server.start()
        client = HttpTaskWorker(server.address, 0.4, 0.6)
        await client.start()
        try:
            return await call(client)
        finally:
            await client.close()
            await server.close()

    return asyncio.run(main())


def list_tasks(client: HttpTaskWorker) -> Awaitable[object]:
    return client.list_tasks(WORKER, 1)


def start_task(client: HttpTaskWorker) -> Awaitable[object]:
    return client.start_task(WORKER, StartTask(TASK, 1, "spec", "", 5_000, 1))


def listing(running: str = "", ended: str = "", **fields: str) -> str:
    more = "".join(f', "{name}": {value}' for name, value in fields.items())
    return f'{{"clockMs": 1, "running": [{running}], "ended": [{ended}]{more}}}'


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(listing(more=DEEP), id="additional_field_nested_too_deeply"),
        pytest.param(listing(f'["{TASK}", 1, "", {DEEP}]'), id="row_nested_too_deeply"),
        pytest.param(listing(clockMs=HUGE), id="clock"),
        pytest.param(listing(born=HUGE), id="start_time"),
        pytest.param(listing(born=str(2**64)), id="start_time_of_65_bits"),
        pytest.param(listing(f'["{TASK}", {HUGE}, "", 0]'), id="attempt"),
        pytest.param(listing(f'["{TASK}", -1, "", 0]'), id="attempt_negative"),
        pytest.param(listing(f'["{TASK}", "{"9" * 5_000}", "", 0]'), id="attempt_text"),
        pytest.param(listing(f'["{TASK}", 1, "", {HUGE}]'), id="percent"),
        pytest.param(listing(f'["{TASK}", 1, "", 0, {HUGE}]'), id="measurement"),
        pytest.param(listing(f'["{TASK}", 1, "", 0, 1e300]'), id="measurement_float"),
        pytest.param(listing(f'["{TASK}", 1, "", 0, "nan"]'), id="measurement_nan"),
        pytest.param(listing(f'["{TASK}"]'), id="row_too_short"),
        pytest.param(listing("", f'[{HUGE}, "{TASK}", 1, "done", ""]'), id="number"),
        pytest.param(listing("", f'[1, "{TASK}", {HUGE}, "done", ""]'), id="ended"),
        pytest.param(
            listing("", f'[1, "{TASK}", 1, "{"x" * 99_999}", ""]'), id="reason"
        ),
        pytest.param(listing(f'["{"x" * 99_999}", 1, "", 0]'), id="name_too_long"),
        pytest.param(
            listing("", f'[1, "{"x" * 99_999}", 1, "done", ""]'), id="name_of_an_end"
        ),
        pytest.param(
            listing(", ".join([f'["{TASK}", 1, "", 0]'] * 60_000)), id="answer_too_long"
        ),
    ],
)
def test_odd_listing_of_the_runner(body: str) -> None:
    outcome = call_runner(200, body, list_tasks)
    assert isinstance(outcome, PollFailed)
    assert outcome.verdict is Verdict.MALFORMED
    assert len(outcome.reason) <= MAX_LOGGED_CHARS


@pytest.mark.parametrize(
    ("n_chars", "n_taken"),
    [
        pytest.param(64_000, 64_000, id="longest"),
        pytest.param(64_001, 0, id="too_long"),
    ],
)
def test_checkpoint_that_is_too_long_is_left_out(n_chars: int, n_taken: int) -> None:
    """Guards against LOST: a worker that counts as silent for one task's checkpoint."""
    text = "x" * n_chars
    ended = f'[1, "{TASK}", 1, "stopped", "{text}"]'
    poll = call_runner(200, listing(f'["{TASK}", 2, "{text}", 5]', ended), list_tasks)
    assert isinstance(poll, WorkerPoll)
    found = [(row.attempt, len(row.checkpoint)) for row in (*poll.running, *poll.ended)]
    assert found == [(2, n_taken), (1, n_taken)]


def test_checkpoints_do_not_make_a_listing_too_long() -> None:
    """Guards against LOST: a worker that counts as silent for its checkpoints."""
    row = f'["{TASK}", 1, "{"x" * 64_000}", 0]'
    poll = call_runner(200, listing(", ".join([row] * 40)), list_tasks)
    assert isinstance(poll, WorkerPoll)
    assert len(poll.running) == 40


@pytest.mark.parametrize(
    ("n_ends", "lists_all_ends"),
    [pytest.param(499, True, id="some"), pytest.param(500, False, id="full")],
)
def test_full_list_of_ends_may_hide_others(n_ends: int, lists_all_ends: bool) -> None:
    """Guards against TWICE: an end that is listed later, taken for no end."""
    ends = ", ".join(f'[{n}, "{TASK}", {n}, "done", ""]' for n in range(1, n_ends + 1))
    poll = call_runner(200, listing("", ends), list_tasks)
    assert isinstance(poll, WorkerPoll)
    assert len(poll.ended) == n_ends
    assert poll.lists_all_ends is lists_all_ends


def test_deeply_nested_refusal_of_the_runner() -> None:
    body = f'{{"reason": "fence", "more": {DEEP}}}'
    assert call_runner(409, body, start_task) == StartAnswer(Verdict.MALFORMED)


RUNNER_ADDRESS = "127.0.0.1:1"
FIELDS = {
    "backend": "pool",
    "address": RUNNER_ADDRESS,
    "zone": "here",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldLeftMs": 0,
    "capacity": {"cpu": 1, "memMb": 1, "gpu": 0},
    "labels": ["a"],
    "born": 7,
}
REPORT = json.dumps(FIELDS)[1:-1]
"""The fields of a report, to which `seq` and later values are added."""


async def send_reports(*reports: tuple[str, str]) -> tuple[list[int], Log]:
    """Send reports of id and body; return the statuses and the log."""
    log = Log()
    worker = HttpTaskWorker(RUNNER_ADDRESS, 0.1, 0.1)
    agent = WorkerAgent(
        "machine", "127.0.0.1", 1, NoNetwork(), worker, JobOptions(), log, Metrics()
    )
    gate = ClientGate(ClientLimits(), 0, {"control": 1}, log, Metrics())
    reports_handler = WorkerReports(
        agent, ServiceName("pool"), RUNNER_ADDRESS, LIMIT_S, log
    )
    server = HttpServer("127.0.0.1:0", reports_handler.handle, gate.listener("control"))
    await server.start()
    port = server.port
    statuses = []
    async with aiohttp.ClientSession() as session:
        for worker_id, body in reports:
            url = f"http://127.0.0.1:{port}/api/runners/{worker_id}"
            async with session.put(url, data=body) as response:
                statuses.append(response.status)
    await server.close()
    return statuses, log


class NoNetwork:
    """A network on which nothing listens."""

    async def listen(self, host: str, port: int, handler: Any) -> Any:
        raise NotImplementedError

    async def dial(self, host: str, port: int, timeout_s: float) -> Any:
        raise NotImplementedError


@pytest.mark.parametrize(
    ("worker_id", "body"),
    [
        pytest.param("i-2", f'{{{REPORT}, "seq": 1, "more": {DEEP}}}', id="deep"),
        pytest.param(
            "i-2", f'{{{REPORT}, "seq": 1, "state": "{"x" * 99_999}"}}', id="long_state"
        ),
        pytest.param(
            "i-2",
            f'{{{REPORT}, "seq": 1, "labels": ["{"x" * 900_000}"]}}',
            id="long_label",
        ),
        pytest.param(
            "i-2",
            f'{{{REPORT}, "seq": 1, "labels": {json.dumps(["a"] * 1_001)}}}',
            id="too_many_labels",
        ),
        pytest.param(
            "i-2", f'{{{REPORT}, "seq": 1, "zone": "{"x" * 99_999}"}}', id="long_zone"
        ),
        pytest.param("i-2", f'{{{REPORT}, "seq": {HUGE}}}', id="count"),
        pytest.param("i-2", f'{{{REPORT}, "seq": 1, "born": {HUGE}}}', id="start_time"),
        pytest.param(
            "i-2", f'{{{REPORT}, "seq": 1, "born": {2**53}}}', id="born_in_another_age"
        ),
        pytest.param(
            "i-2", f'{{{REPORT}, "seq": 1, "born": {2**64}}}', id="start_of_65_bits"
        ),
        pytest.param(
            "i-2", f'{{{REPORT}, "seq": 1, "remainingMs": {HUGE}}}', id="remaining"
        ),
        pytest.param(
            "i-2",
            f'{{{REPORT}, "seq": 1, "capacity": {{"cpu": {HUGE}, "memMb": 1}}}}',
            id="processors",
        ),
        pytest.param("a%0Ab", f'{{{REPORT}, "seq": 1}}', id="line_break_in_the_id"),
        pytest.param("a%00b", f'{{{REPORT}, "seq": 1}}', id="null_character_in_the_id"),
        pytest.param("x" * 2_000, f'{{{REPORT}, "seq": 1}}', id="id_too_long"),
        pytest.param("", f'{{{REPORT}, "seq": 1}}', id="no_id"),
        pytest.param(
            "i-1", f'{{{REPORT}, "seq": 9, "state": "gone"}}', id="state_not_named"
        ),
        *(
            pytest.param("i-1", json.dumps(fields | {"seq": 9}), id=f"without_{name}")
            for name in FIELDS
            if (fields := {k: v for k, v in FIELDS.items() if k != name})
        ),
        *(
            pytest.param(
                "i-1", f'{{{REPORT}, "seq": 9, "{name}": [[1]]}}', id=f"type_of_{name}"
            )
            for name in FIELDS
        ),
        pytest.param("i-1", f"{{{REPORT}}}", id="without_seq"),
    ],
)
def test_odd_report_is_refused_and_the_next_is_accepted(
    worker_id: str, body: str
) -> None:
    good = f'{{{REPORT}, "seq": 2}}'
    statuses, log = asyncio.run(send_reports((worker_id, body), ("i-1", good)))
    assert statuses == [400, 200]
    assert log.lines[0][0] == "report_malformed"
    assert log.lines[1:] == [("report_unconfirmed", {"worker": WORKER, "born": 7})]


@pytest.mark.parametrize("worker_id", ["i-1", "i-foreign"])
@pytest.mark.parametrize(
    ("name", "value"),
    [
        pytest.param("backend", "not-named", id="service"),
        pytest.param("backend", "", id="no_service"),
        pytest.param("address", "127.0.0.1:2", id="address"),
    ],
)
@pytest.mark.parametrize(
    "more",
    [
        pytest.param({}, id="same_start"),
        pytest.param({"born": 1_007}, id="later_start"),
        pytest.param({"born": 6}, id="earlier_start"),
        pytest.param({"state": "draining"}, id="draining"),
    ],
)
def test_report_of_another_worker_is_refused_and_outdates_none(
    worker_id: str, name: str, value: str, more: dict[str, Any]
) -> None:
    """Guards against tasks that run twice after another writer's heartbeat (TWICE).

    The agent took it for the next incarnation of its worker, or for a later report.
    """
    foreign = json.dumps(FIELDS | {name: value, "seq": 99} | more)
    good = f'{{{REPORT}, "seq": 2}}'
    statuses, log = asyncio.run(send_reports((worker_id, foreign), ("i-1", good)))
    assert statuses == [400, 200]
    assert log.lines[0][0] == "report_malformed"
    assert log.lines[1:] == [("report_unconfirmed", {"worker": WORKER, "born": 7})]


@pytest.mark.parametrize("cold_left_ms", [0, 1_500, 1_500.5])
def test_report_of_a_worker_that_is_still_slow_is_accepted(
    cold_left_ms: float,
) -> None:
    report = json.dumps(FIELDS | {"seq": 1, "coldLeftMs": cold_left_ms})
    statuses, log = asyncio.run(send_reports(("i-1", report)))
    assert statuses == [200]
    assert log.lines == [("report_unconfirmed", {"worker": WORKER, "born": 7})]


def test_report_counts_as_late_within_its_incarnation_only() -> None:
    """Guards against a worker that is no longer heard after another's report."""
    statuses, log = asyncio.run(
        send_reports(
            ("i-1", f'{{{REPORT}, "seq": 5}}'),
            ("i-2", f'{{{REPORT}, "seq": 1, "born": 99}}'),
            ("i-1", f'{{{REPORT}, "seq": 5}}'),
            ("i-1", f'{{{REPORT}, "seq": 6}}'),
        )
    )
    assert statuses == [200, 200, 200, 200]
    found = [(event, fields["worker"]) for event, fields in log.lines]
    assert found == [
        ("report_unconfirmed", "i-1"),
        ("report_unconfirmed", "i-2"),
        ("report_late", "i-1"),
        ("report_unconfirmed", "i-1"),
    ]


@pytest.mark.parametrize(
    ("n_bytes", "statuses"),
    [
        pytest.param(3_000_000, [200], id="long"),
        pytest.param(MAX_REPORT_BYTES - len(REPORT) - 100, [200], id="up_to_the_limit"),
        pytest.param(MAX_REPORT_BYTES, [413], id="too_long"),
    ],
)
def test_report_of_allowed_length_is_accepted(
    n_bytes: int, statuses: list[int]
) -> None:
    body = f'{{{REPORT}, "seq": 1, "more": "{"x" * n_bytes}"}}'
    found, log = asyncio.run(send_reports(("i-1", body)))
    assert found == statuses
    events = [event for event, _ in log.lines]
    assert ("report_malformed" in events) is (statuses == [413])
