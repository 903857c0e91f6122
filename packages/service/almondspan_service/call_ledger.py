"""What an agent remembers of the calls that entries opened.

Each call of an entry passes through at most these states: queued, running, ended;
or refused. A call is dispatched at most once: an open that comes again, or after
its call was withdrawn, finds the call here. The ledger of an entry is bounded. It
forgets the lowest ended numbers first and then treats every number up to the
highest forgotten one as one that may have run. Whole ledgers of entries are forgotten
too; from then on a call that is not known may have run.
"""

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from almondspan_decisions.ids import EntryId
from almondspan_wire.service_messages import AnswerHead

__all__ = ["CallKey", "CallLedger", "CallState"]


class CallState(Enum):
    """How far a call came."""

    NEW = "new"
    """Nothing was heard of it."""
    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"
    """It was dispatched and is over."""
    REFUSED = "refused"
    """It was not dispatched and never will be."""
    FORGOTTEN = "forgotten"
    """It may have been dispatched; the ledger holds nothing of it any more."""


@dataclass(frozen=True, slots=True)
class CallKey:
    """Names one call of one run of an entry."""

    entry_id: EntryId
    incarnation: int
    call_id: int


class _EntryLedger:
    """Calls of one run of an entry."""

    __slots__ = ("answers", "highest_forgotten", "states")

    def __init__(self) -> None:
        self.states: dict[int, CallState] = {}
        self.answers: OrderedDict[int, AnswerHead] = OrderedDict()
        self.highest_forgotten = -1


class CallLedger:
    """States of calls and kept answers, of every entry.

    Parameters
    ----------
    n_calls : calls remembered for one entry.
    n_answers : answers kept for one entry.
    n_entries : runs of entries remembered.
    """

    def __init__(self, n_calls: int, n_answers: int, n_entries: int) -> None:
        self._n_calls = n_calls
        self._n_answers = n_answers
        self._n_entries = n_entries
        self.n_entries_forgotten = 0
        self._entries: OrderedDict[tuple[EntryId, int], _EntryLedger] = OrderedDict()

    def state(self, key: CallKey) -> CallState:
        """Return how far a call came."""
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
        """Keep the whole answer of a call that its entry did not get."""
        entry = self._entry(key)
        entry.answers[key.call_id] = answer
        if len(entry.answers) > self._n_answers:
            entry.answers.popitem(last=False)

    def kept_answer(self, key: CallKey) -> AnswerHead | None:
        """Return the answer kept for a call."""
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
