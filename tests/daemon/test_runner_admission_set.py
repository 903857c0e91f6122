"""Dispatch of messages about calls to the runner admissions of an agent."""

import pytest

from almondspan_daemon.runner_admission_set import RunnerAdmissionSet
from almondspan_decisions.ids import CallerId, EntryId, RequestId, ServiceName
from almondspan_decisions.outcomes import OutcomeKind
from almondspan_wire.codec import Message
from almondspan_wire.membership import Goodbye
from almondspan_wire.service_messages import AnswerCredit, CallEnded, CallOpen

ENTRY = EntryId("e1")


class FakeAdmission:
    """An admission that records the messages and calls that it receives."""

    def __init__(self, service: str) -> None:
        self.service = ServiceName(service)
        self.known: set[int] = set()
        self.received: list[Message] = []

    def knows(self, entry_id: EntryId, incarnation: int, call_id: int) -> bool:
        return call_id in self.known

    def on_message(self, entry_id: EntryId, message: Message) -> bool:
        self.received.append(message)
        if isinstance(message, CallOpen):
            self.known.add(message.call_id)
        return True


def make_open(service: str, call_id: int) -> CallOpen:
    return CallOpen(
        1,
        call_id,
        ServiceName(service),
        RequestId("r"),
        CallerId("c"),
        "GET",
        "/",
        (),
        True,
        100.0,
        1024,
    )


def make_credit(call_id: int) -> AnswerCredit:
    return AnswerCredit(1, call_id, 10)


@pytest.mark.parametrize(
    ("messages", "n_clips", "n_bills"),
    [
        pytest.param([make_open("clips", 1)], 1, 0, id="by service"),
        pytest.param([make_open("bills", 1)], 0, 1, id="by the other service"),
        pytest.param(
            [make_open("bills", 1), make_credit(1)], 0, 2, id="later, by call"
        ),
        pytest.param([make_credit(1)], 1, 1, id="an unknown call reaches all"),
        pytest.param([make_open("maps", 1)], 0, 0, id="no such service"),
    ],
)
def test_message_reaches_its_admission(
    messages: list[Message], n_clips: int, n_bills: int
) -> None:
    clips, bills = FakeAdmission("clips"), FakeAdmission("bills")
    admissions = RunnerAdmissionSet([clips, bills], lambda entry_id, body: True)
    assert all(admissions.on_message(ENTRY, message) for message in messages)
    assert (len(clips.received), len(bills.received)) == (n_clips, n_bills)


def test_call_to_a_service_without_runner_is_refused() -> None:
    sent: list[Message] = []

    def post(entry_id: EntryId, body: Message) -> bool:
        sent.append(body)
        return True

    admissions = RunnerAdmissionSet([FakeAdmission("clips")], post)
    admissions.on_message(ENTRY, make_open("maps", 7))
    (refusal,) = sent
    assert isinstance(refusal, CallEnded)
    assert (refusal.call_id, refusal.kind) == (7, OutcomeKind.NOT_RUN)


def test_unrelated_message_is_not_handled() -> None:
    assert not RunnerAdmissionSet(
        [FakeAdmission("clips")], lambda entry_id, body: True
    ).on_message(ENTRY, Goodbye())
