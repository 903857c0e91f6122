"""Records of the calls that entries opened at an agent.

The ledger ensures that a call is dispatched at most once: a `CallOpen` that arrives
again, or after its call was cancelled, finds the call's record. A call's state goes
from queued to running to ended, or to refused.

The number of records is bounded. Per entry, the records of finished calls with the
lowest numbers are evicted first; from then on every call without a record and with
a number up to the highest evicted one counts as one that may have run. The records
of the least recently used entries are evicted as a whole; ``n_entries_forgotten``
counts these, and callers of the ledger must then expect that any call without a
record may have run.
"""

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from almondspan_decisions.ids import EntryId
from almondspan_wire.service_messages import AnswerHead

__all__ = ["CallKey", "CallLedger", "CallState"]


class CallState(Enum):
    """State of a call in the ledger."""

    NEW = "new"
    """There is no record of it."""
    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"
    """It was dispatched, and the runner has finished it."""
    REFUSED = "refused"
    """It was not run and never will be."""
    FORGOTTEN = "forgotten"
    """It may have been dispatched; its record was evicted."""


@dataclass(frozen=True, slots=True)
class CallKey:
    """Identifies a call; ``incarnation`` is that of the entry's router."""

    entry_id: EntryId
    incarnation: int
    call_id: int


class _EntryLedger:
    """Records of one incarnation of an entry."""

    __slots__ = ("answers", "highest_forgotten", "states")

    def __init__(self) -> None:
        self.states: dict[int, CallState] = {}
        self.answers: OrderedDict[int, AnswerHead] = OrderedDict()
        self.highest_forgotten = -1


class CallLedger:
    """States of calls, and kept answers, by entry.

    Parameters
    ----------
    n_calls : records per entry.
    n_answers : kept answers per entry.
    n_entries : incarnations of entries with records.
    """

    def __init__(self, n_calls: int, n_answers: int, n_entries: int) -> None:
        self._n_calls = n_calls
        self._n_answers = n_answers
        self._n_entries = n_entries
        self.n_entries_forgotten = 0
        self._entries: OrderedDict[tuple[EntryId, int], _EntryLedger] = OrderedDict()

    def state(self, key: CallKey) -> CallState:
        """Return the state of a call."""
        entry = self._entries.get((key.entry_id, key.incarnation))
        if entry is None:
            return CallState.NEW
        known = entry.states.get(key.call_id)
        if known is not None:
            return known
        return (
            CallState.FORGOTTEN
            if key.call_id <= entry.highest_forgotten
            else CallState.NEW
        )

    def record(self, key: CallKey, state: CallState) -> None:
        """Set the state of a call."""
        entry = self._entry(key)
        entry.states[key.call_id] = state
        if len(entry.states) > self._n_calls:
            self._forget_oldest(entry)

    def keep_answer(self, key: CallKey, answer: AnswerHead) -> None:
        """Keep the complete answer to a call, in case its entry asks for it."""
        entry = self._entry(key)
        entry.answers[key.call_id] = answer
        if len(entry.answers) > self._n_answers:
            entry.answers.popitem(last=False)

    def kept_answer(self, key: CallKey) -> AnswerHead | None:
        """Return the answer kept for a call, if any."""
        entry = self._entries.get((key.entry_id, key.incarnation))
        return None if entry is None else entry.answers.get(key.call_id)

    def _entry(self, key: CallKey) -> _EntryLedger:
        name = (key.entry_id, key.incarnation)
        entry = self._entries.get(name)
        if entry is None:
            entry = self._entries[name] = _EntryLedger()
            if len(self._entries) > self._n_entries:
                self._entries.popitem(last=False)
                self.n_entries_forgotten += 1
        self._entries.move_to_end(name)
        return entry

    def _forget_oldest(self, entry: _EntryLedger) -> None:
        live = (CallState.QUEUED, CallState.RUNNING)
        over = sorted(n for n, state in entry.states.items() if state not in live)
        for number in over[: max(1, len(over) // 4)]:
            entry.highest_forgotten = max(entry.highest_forgotten, number)
            del entry.states[number]
            entry.answers.pop(number, None)
