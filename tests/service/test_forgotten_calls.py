"""Answers about a call whose record may have been evicted from the ledger.

Such a call may have run, so it must not be reported as `NOT_RUN`.
"""

import asyncio

import pytest
from service_path import SERVICE, FakeRunner
from test_service_faults import echo_slowly
from virtual_clock import run_virtual

from almondspan_decisions.ids import CallerId, EntryId, RequestId
from almondspan_decisions.outcomes import OutcomeKind
from almondspan_service.admission_options import AdmissionOptions
from almondspan_service.runner_admission import RunnerAdmission
from almondspan_wire.codec import Message
from almondspan_wire.service_messages import (
    CallCancel,
    CallEnded,
    CallOpen,
    CallRecover,
)

FIRST = EntryId("entry-1")
SECOND = EntryId("entry-2")
RECOVER = CallRecover(1, 1, 0, SERVICE)
CANCEL = CallCancel(1, 1, SERVICE)


def opening(request_id: str) -> CallOpen:
    return CallOpen(
        incarnation=1,
        call_id=1,
        service=SERVICE,
        request_id=RequestId(request_id),
        caller=CallerId("caller"),
        method="POST",
        path="/",
        headers=(),
        idempotent=False,
        timeout_ms=1000.0,
        credit_bytes=1000,
    )


@pytest.mark.parametrize(
    ("n_entries", "questions", "kind"),
    [
        pytest.param(2, [RECOVER], None, id="remembered"),
        pytest.param(1, [RECOVER], OutcomeKind.UNKNOWN, id="recover"),
        pytest.param(1, [RECOVER, RECOVER], OutcomeKind.UNKNOWN, id="recover-twice"),
        pytest.param(1, [CANCEL, RECOVER], OutcomeKind.UNKNOWN, id="cancel-recover"),
    ],
)
def test_forgotten_call_is_never_reported_as_not_run(
    n_entries: int, questions: list[Message], kind: OutcomeKind | None
) -> None:
    async def main() -> None:
        answers: list[CallEnded] = []

        async def send(entry_id: EntryId, message: Message) -> bool:
            if entry_id == FIRST and isinstance(message, CallEnded):
                answers.append(message)
            return True

        runner = FakeRunner(echo_slowly(5.0))
        options = AdmissionOptions(n_remembered_entries=n_entries)
        admission = RunnerAdmission(SERVICE, "", send, options, runner)
        admission.on_message(FIRST, opening("one"))
        await asyncio.sleep(0.1)
        admission.entry_left(FIRST)
        admission.on_message(SECOND, opening("two"))
        for question in questions:
            admission.on_message(FIRST, question)
            await asyncio.sleep(0.1)
        assert len(runner.runs) == 2
        assert {ended.kind for ended in answers} == ({kind} if kind else set())
        admission.on_message(FIRST, opening("one"))
        await asyncio.sleep(20.0)
        assert len(runner.runs) == 2
        await admission.close()

    run_virtual(main())
