"""What an agent tells its owner about failed polls of its worker."""

import asyncio
from collections.abc import Sequence

import pytest

from almondspan_decisions.ids import PlaceName, ServiceName, WorkerId
from almondspan_decisions.shapes import Shape
from almondspan_jobs.messages import (
    LeaseRenewal,
    OwnerHello,
    WorkerListing,
    WorkerReport,
    WorkerUnreachable,
)
from almondspan_jobs.metrics import Metrics
from almondspan_jobs.network import DialFailed, Handler
from almondspan_jobs.options import JobOptions
from almondspan_jobs.worker_agent import WorkerAgent
from almondspan_platform.task_worker import (
    PollFailed,
    PollRequest,
    Verdict,
    WorkerPoll,
    WorkerState,
)
from almondspan_wire.channel import ChannelClosed
from almondspan_wire.codec import Message

WORKER = WorkerId("w")
STARTED_MS = 7
STATE = WorkerState(
    WORKER,
    STARTED_MS,
    ServiceName("pool"),
    PlaceName("here"),
    Shape(1, 1),
    (),
    False,
    0,
)
RENEWAL = LeaseRenewal(STARTED_MS, 5_000, 0)
LISTED = WorkerPoll(STARTED_MS, 1, (), ())
OTHER = WorkerPoll(STARTED_MS - 1, 1, (), ())
LOST = PollFailed(Verdict.NO_ANSWER, "no answer")
DOWN = PollFailed(Verdict.NOT_TAKEN, "cannot connect")
OLD_OWNER = OwnerHello(1, "entry", "entry", 1)
OWNER = OwnerHello(1, "entry", "entry", 1, accepts_unreachable=True)
NEXT_OWNER = OwnerHello(2, "entry", "entry", 1, accepts_unreachable=True)


class Worker:
    """Answers polls as scripted, and the one after the last of them never.

    It confirms what is reported of it: the owner gets that listing first.
    """

    def __init__(self, polls: Sequence[WorkerPoll | PollFailed]) -> None:
        self.polls = list(polls)
        self.requests: list[PollRequest] = []
        self.is_done = asyncio.Event()

    async def poll(
        self, worker_id: WorkerId, request: PollRequest
    ) -> WorkerPoll | PollFailed:
        self.requests.append(request)
        if not self.polls:
            self.is_done.set()
            await asyncio.Event().wait()
        return self.polls.pop(0)

    async def list_tasks(
        self, worker_id: WorkerId, fence: int
    ) -> WorkerPoll | PollFailed:
        return LISTED


class OwnerChannel:
    """Records what the agent posts to an owner, which renews the lease at a report."""

    def __init__(self, hello: OwnerHello) -> None:
        self.inbox: asyncio.Queue[Message] = asyncio.Queue()
        self.inbox.put_nowait(hello)
        self.posted: list[Message] = []

    async def send(self, body: Message) -> bool:
        return self.post(body)

    def post(self, body: Message) -> bool:
        self.posted.append(body)
        if isinstance(body, WorkerReport):
            self.inbox.put_nowait(RENEWAL)
        return True

    async def receive(self) -> Message | ChannelClosed:
        return await self.inbox.get()

    async def close(self) -> None:
        pass


class Network:
    """Keeps the agent's handler of new channels."""

    handler: Handler

    async def listen(self, host: str, port: int, handler: Handler) -> "Network":
        self.handler = handler
        return self

    async def dial(self, host: str, port: int, timeout_s: float) -> DialFailed:
        return DialFailed("refused", was_refused=True)

    async def close(self) -> None:
        pass


class Log:
    def line(self, event: str, **fields: object) -> None:
        pass


async def _serve(
    worker: Worker, hellos: Sequence[OwnerHello]
) -> list[list[WorkerListing | WorkerUnreachable]]:
    network = Network()
    options = JobOptions(poll_retry_s=0.0)
    agent = WorkerAgent("agent", "agent", 1, network, worker, options, Log(), Metrics())
    await agent.start()
    agent.on_report(STATE)
    channels = [OwnerChannel(hello) for hello in hellos]
    serving = []
    for channel in channels:
        serving.append(asyncio.create_task(network.handler(channel)))
        async with asyncio.timeout(5.0):
            await worker.is_done.wait()
    await asyncio.sleep(0)
    await agent.close()
    for task in serving:
        task.cancel()
    await asyncio.gather(*serving, return_exceptions=True)
    kinds = (WorkerListing, WorkerUnreachable)
    return [
        [body for body in channel.posted if isinstance(body, kinds)]
        for channel in channels
    ]


def serve(
    polls: Sequence[WorkerPoll | PollFailed], *hellos: OwnerHello
) -> tuple[list[list[str]], list[PollRequest]]:
    """Serve owners one after another; return what each got, and the polls."""

    async def run() -> tuple[list[list[str]], list[PollRequest]]:
        worker = Worker(polls)
        posted = await _serve(worker, hellos)
        assert all(body.started_ms == STARTED_MS for row in posted for body in row)
        return [[_name(body) for body in row] for row in posted], worker.requests

    return asyncio.run(run())


def _name(body: WorkerListing | WorkerUnreachable) -> str:
    return "listed" if isinstance(body, WorkerListing) else body.verdict


@pytest.mark.parametrize(
    ("polls", "posted"),
    [
        pytest.param([LISTED], ["listed"], id="answered"),
        pytest.param([LISTED, DOWN], ["listed", "not_taken"], id="worker_is_down"),
        pytest.param([DOWN, DOWN, LOST], ["not_taken"], id="once_a_series"),
        pytest.param(
            [LOST, LISTED, DOWN],
            ["no_answer", "listed", "not_taken"],
            id="again_after_a_listing",
        ),
        pytest.param([LISTED, OTHER], ["listed", "other_life"], id="other_incarnation"),
    ],
)
def test_owner_hears_at_once_of_the_first_failed_poll(
    polls: Sequence[WorkerPoll | PollFailed], posted: list[str]
) -> None:
    assert serve(polls, OWNER)[0] == [["listed", *posted]]


def test_owner_that_links_later_hears_of_an_earlier_failed_poll() -> None:
    posted, _ = serve([DOWN], OWNER, NEXT_OWNER)
    assert posted == [["listed", "not_taken"], ["not_taken"]]


def test_owner_that_does_not_know_the_message_is_not_sent_it() -> None:
    posted, _ = serve([LISTED, DOWN, LISTED], OLD_OWNER)
    assert posted == [["listed", "listed", "listed"]]


def test_poll_after_a_lost_answer_does_not_wait_for_an_end() -> None:
    _, requests = serve([LISTED, LOST, LISTED], OWNER)
    wait_ms = JobOptions().poll_wait_ms
    assert [request.wait_ms for request in requests] == [wait_ms, wait_ms, 0, wait_ms]
