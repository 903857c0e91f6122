"""Dispatches messages about calls to the runner admissions of one agent.

`CallOpen` names its service. Later messages name only the call and go to the
admission that knows it. A message about a call that no admission knows goes to all of
them, so that none runs the call if its `CallOpen` arrives later.
"""

import asyncio
from collections.abc import Callable, Sequence

from almondspan_decisions.fleet import FleetConfig
from almondspan_decisions.ids import EntryId
from almondspan_decisions.outcomes import OutcomeKind
from almondspan_service.runner_admission import RunnerAdmission
from almondspan_wire.codec import Message
from almondspan_wire.membership import RunnerStatus
from almondspan_wire.service_messages import (
    AnswerCredit,
    CallCancel,
    CallEnded,
    CallOpen,
    CallRecover,
    RequestData,
)

__all__ = ["RunnerAdmissionSet"]

_LaterMessage = AnswerCredit | CallCancel | CallRecover | RequestData


class RunnerAdmissionSet:
    """All runner admissions of an agent."""

    def __init__(
        self,
        admissions: Sequence[RunnerAdmission],
        post: Callable[[EntryId, Message], bool],
    ) -> None:
        self.admissions = tuple(admissions)
        self._by_service = {admission.service: admission for admission in admissions}
        self._post = post

    async def start(self) -> None:
        """Start every admission."""
        for admission in self.admissions:
            await admission.start()

    async def close(self) -> None:
        """Close every admission."""
        for admission in self.admissions:
            await admission.close()

    async def drain(self) -> None:
        """Refuse new calls and wait for those in flight."""
        await asyncio.gather(*(admission.drain() for admission in self.admissions))

    def resume(self) -> None:
        """Accept calls again after a drain."""
        for admission in self.admissions:
            admission.resume()

    def set_fleet(self, fleet: FleetConfig) -> None:
        """Apply a configuration to every admission."""
        for admission in self.admissions:
            admission.set_fleet(fleet)

    def entry_left(self, entry_id: EntryId) -> None:
        """Detach the calls of an entry whose channel was lost."""
        for admission in self.admissions:
            admission.entry_left(entry_id)

    def statuses(self) -> tuple[RunnerStatus, ...]:
        """Return the load of every runner."""
        return tuple(admission.status() for admission in self.admissions)

    def on_message(self, entry_id: EntryId, body: Message) -> bool:
        """Handle a message of an entry; return False if it is not about a call."""
        if isinstance(body, CallOpen):
            self._open(entry_id, body)
            return True
        if not isinstance(body, _LaterMessage):
            return False
        for admission in self.admissions:
            if admission.knows(entry_id, body.incarnation, body.call_id):
                return admission.on_message(entry_id, body)
        for admission in self.admissions:
            admission.on_message(entry_id, body)
        return True

    def _open(self, entry_id: EntryId, body: CallOpen) -> None:
        admission = self._by_service.get(body.service)
        if admission is not None:
            admission.on_message(entry_id, body)
            return
        refusal = CallEnded(
            body.incarnation,
            body.call_id,
            OutcomeKind.NOT_RUN,
            f"this agent has no runner of {body.service}",
            n_busy=0,
            n_queued=0,
            latency_ms=0.0,
        )
        self._post(entry_id, refusal)
