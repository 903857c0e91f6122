"""Odd addresses and messages of other processes: each ends as a value, none raises."""

import asyncio

import msgspec
import pytest

from almondspan_decisions.ids import PlaceName, ServiceName, WorkerId
from almondspan_jobs.messages import (
    InterferenceUpdate,
    OwnerHello,
    OwnerReplaced,
    RelayReady,
    RelayRequest,
    WorkerListing,
    WorkerReport,
)
from almondspan_jobs.network import DialFailed, TcpNetwork
from almondspan_wire.codec import Malformed, Message, decode, encode

TIMEOUT_S = 2.0
TOO_LARGE = 2**64 - 1
HOST = "127.0.0.1"


@pytest.mark.parametrize(
    ("host", "port"),
    [
        pytest.param(HOST, 65_536, id="port_out_of_range"),
        pytest.param(HOST, -1, id="port_negative"),
        pytest.param(HOST, 0, id="port_zero"),
        pytest.param(HOST, 2**64 - 1, id="port_of_64_bits"),
        pytest.param("", 1, id="no_host"),
        pytest.param("a\0b", 1, id="host_with_a_null_character"),
        pytest.param("x" * 300, 1, id="label_too_long"),
        pytest.param("..", 1, id="label_empty"),
        pytest.param("\ud800", 1, id="host_that_can_not_be_encoded"),
        pytest.param("127.0.0.1.5", 1, id="no_ip_number"),
    ],
)
def test_odd_address_is_a_failed_dial(host: str, port: int) -> None:
    found = asyncio.run(TcpNetwork().dial(host, port, TIMEOUT_S))
    assert isinstance(found, DialFailed)


def test_name_is_not_resolved() -> None:
    """Guards against resolver threads, which outlive the time limit of a dial."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        loop.getaddrinfo = None  # type: ignore[method-assign, assignment]
        found = await TcpNetwork().dial("odd.example", 1, TIMEOUT_S)
        assert isinstance(found, DialFailed)
        assert not found.was_refused

    asyncio.run(main())


def report(**fields: int) -> WorkerReport:
    body = WorkerReport(
        WorkerId("w"), 1, ServiceName("pool"), PlaceName("p"), 1, 1, 0, [], False, 0
    )
    return msgspec.structs.replace(body, **fields)


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(OwnerHello(1, "entry0", HOST, 65_536), id="hello"),
        pytest.param(OwnerHello(1, "entry0", "a\0b", 1), id="hello_host"),
        pytest.param(OwnerReplaced(1, "entry0", HOST, 0), id="replaced"),
        pytest.param(OwnerReplaced(1, "entry0", "", 1), id="replaced_host"),
        pytest.param(RelayRequest(HOST, -1), id="relay_request"),
        pytest.param(RelayReady(1, "entry0", HOST, 2**63), id="relay_ready"),
        pytest.param(OwnerHello(TOO_LARGE, "entry0", HOST, 1), id="hello_epoch"),
        pytest.param(OwnerReplaced(TOO_LARGE, "entry0", HOST, 1), id="replaced_epoch"),
        pytest.param(RelayReady(TOO_LARGE, "entry0", HOST, 1), id="relay_ready_epoch"),
        pytest.param(report(started_ms=TOO_LARGE), id="report_start_time"),
        pytest.param(report(cpu_millicores=TOO_LARGE), id="report_processors"),
        pytest.param(report(memory_mb=TOO_LARGE), id="report_memory"),
        pytest.param(report(leaves_ms=TOO_LARGE), id="report_leaves"),
        pytest.param(WorkerListing(TOO_LARGE, 1, [], []), id="listing_start_time"),
        pytest.param(WorkerListing(1, TOO_LARGE, [], []), id="listing_clock"),
        pytest.param(
            WorkerListing(1, 1, [("t", TOO_LARGE, "", 0, 0.0)], []), id="attempt"
        ),
        pytest.param(
            WorkerListing(1, 1, [("t", 1, "", TOO_LARGE, 0.0)], []), id="percent"
        ),
        pytest.param(
            WorkerListing(1, 1, [("t", 1, "", 0, float("nan"))], []), id="measurement"
        ),
        pytest.param(
            WorkerListing(1, 1, [], [(TOO_LARGE, "t", 1, "done", "")]), id="end_number"
        ),
        pytest.param(
            InterferenceUpdate([("live", "heavy", float("inf"))]), id="weight"
        ),
    ],
)
def test_message_out_of_range_is_malformed(body: Message) -> None:
    assert isinstance(decode(encode(body)), Malformed)


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(RelayRequest("", 0), id="relay_to_the_owner"),
        pytest.param(OwnerHello(1, "entry0", "::1", 65_535), id="hello"),
        pytest.param(report(leaves_ms=-1), id="report"),
        pytest.param(
            WorkerListing(1, 1, [("t", 1, "", 41, 0.5)], [(1, "t", 1, "done", "")]),
            id="listing",
        ),
    ],
)
def test_message_with_an_address_is_decoded(body: Message) -> None:
    assert decode(encode(body)) == body
