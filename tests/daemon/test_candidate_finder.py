"""Queries for candidates and their answers, in virtual time."""

import asyncio
import random

import pytest

from almondspan_daemon.candidate_finder import ANSWER_TIMEOUT_S, CandidateFinder
from almondspan_decisions.ids import EntryId, TaskClass
from almondspan_decisions.shapes import Shape
from almondspan_standins.virtual_time import run_in_virtual_time
from almondspan_wire.codec import Message
from almondspan_wire.membership import CandidatesFound, FindCandidates

QUERY = FindCandidates(0, Shape(100, 100), TaskClass("align"), 3)


class FakeEntries:
    """Entries that answer in time, answer late, are silent, or have full buffers."""

    def __init__(self, behaviors: dict[str, str], seed: int) -> None:
        self.behaviors = behaviors
        self.asked: list[str] = []
        self.finder = CandidateFinder(self.entry_ids, self.post, random.Random(seed))

    def entry_ids(self) -> list[EntryId]:
        return [EntryId(name) for name in self.behaviors]

    def post(self, entry_id: EntryId, body: Message) -> bool:
        assert isinstance(body, FindCandidates)
        self.asked.append(entry_id)
        behavior = self.behaviors[entry_id]
        answer = CandidatesFound(body.query_id, (), True, n_workers_known=7)
        delays_s = {"answers": 0.01, "late": ANSWER_TIMEOUT_S + 0.01}
        if behavior in delays_s:
            loop = asyncio.get_running_loop()
            loop.call_later(delays_s[behavior], self.finder.on_found, answer)
        return behavior != "full"


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize(
    ("behaviors", "is_found", "within_s"),
    [
        pytest.param({}, False, 0.0, id="no entry"),
        pytest.param({"e1": "answers"}, True, 0.1, id="one answers"),
        pytest.param({"e1": "silent"}, False, ANSWER_TIMEOUT_S, id="one is silent"),
        pytest.param({"e1": "late"}, False, ANSWER_TIMEOUT_S, id="one is late"),
        pytest.param({"e1": "full", "e2": "answers"}, True, 0.1, id="one is full"),
        pytest.param(
            {"e1": "silent", "e2": "answers"},
            True,
            ANSWER_TIMEOUT_S + 0.1,
            id="another answers",
        ),
        pytest.param(
            {"e1": "late", "e2": "silent", "e3": "answers"},
            True,
            2 * ANSWER_TIMEOUT_S + 0.1,
            id="the third answers",
        ),
    ],
)
def test_each_try_queries_another_entry(
    behaviors: dict[str, str], is_found: bool, within_s: float, seed: int
) -> None:
    async def main() -> None:
        entries = FakeEntries(behaviors, seed)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        found = await entries.finder.find(QUERY)
        assert (found is not None) is is_found
        assert loop.time() - started_s <= within_s + 0.001
        assert len(set(entries.asked)) == len(entries.asked)
        assert entries.finder._pending == {}
        await asyncio.sleep(2.0)

    run_in_virtual_time(main())


def test_answers_out_of_order_match_their_queries() -> None:
    async def main() -> None:
        asked: list[FindCandidates] = []

        def post(entry_id: EntryId, body: Message) -> bool:
            assert isinstance(body, FindCandidates)
            asked.append(body)
            return True

        finder = CandidateFinder(lambda: [EntryId("e1")], post, random.Random(1))
        finding = [asyncio.create_task(finder.find(QUERY)) for _ in range(3)]
        await asyncio.sleep(0.01)
        for query in reversed(asked):
            answer = CandidatesFound(query.query_id, (), True, query.query_id)
            finder.on_found(answer)
            finder.on_found(answer)
        found = await asyncio.gather(*finding)
        assert [answer and answer.n_workers_known for answer in found] == [1, 2, 3]

    run_in_virtual_time(main())
