"""A harness for scheduler tests, with a manual clock and the sent messages."""

from almondspan_decisions.ids import JobId, PlaceName, ServiceName, WorkerId
from almondspan_decisions.job_graph import (
    JobSpec,
    QueueName,
    QueueRules,
    StepSpec,
    TaskKey,
)
from almondspan_decisions.job_progress import WorkerIncarnation
from almondspan_decisions.shapes import Shape
from almondspan_jobs import clocks
from almondspan_jobs.messages import (
    StartCommand,
    StartReply,
    WorkerListing,
    WorkerReport,
    WorkerUnreachable,
)
from almondspan_jobs.metrics import Metrics
from almondspan_jobs.options import JobOptions
from almondspan_jobs.scheduler import Scheduler
from almondspan_platform.task_worker import Verdict
from almondspan_wire.codec import Message

QUEUE = QueueName("q")
SERVICE = ServiceName("pool")
WORKER = WorkerId("w-1")
STARTED_MS = 5
JOB = JobId("0123456789abcdef")
TASK = f"{JOB}.0.0.0"
KEY = TaskKey(0, 0, 0)
STEP = StepSpec(1, Shape(1_000, 1_000), estimate_ms=1_000)


class Log:
    def __init__(self) -> None:
        self.events: list[str] = []

    def line(self, event: str, **fields: object) -> None:
        self.events.append(event)


class SchedulerHarness:
    """A scheduler with a manual clock that records the messages it sends."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.jump_s = 0.0
        """By how much the wall clock has been set forward."""
        clocks.use_clocks(
            lambda: self.now_s, lambda: 1_700_000_000 + self.now_s + self.jump_s
        )
        self.options = JobOptions()
        self.sent: list[tuple[WorkerId, Message]] = []
        self.is_linked = True
        """Whether the channels to the agents are open."""
        self.log = Log()
        self.confirmed_s = lambda: self.now_s
        self.restart_owner()

    def restart_owner(self) -> None:
        """Replace the scheduler by that of a new owner without state."""
        self.metrics = Metrics()
        self.scheduler = Scheduler(
            self.options, self.log, self.metrics, self._post, lambda: self.confirmed_s()
        )
        self.scheduler.rules = {QUEUE: QueueRules(SERVICE, 0, 2, 2.0, 500)}

    def _post(self, worker_id: WorkerId, body: Message) -> bool:
        if self.is_linked:
            self.sent.append((worker_id, body))
        return self.is_linked

    def take_sent(self, kind: type[Message]) -> list[Message]:
        """Return the sent messages of a type, and clear all sent messages."""
        found = [body for _, body in self.sent if isinstance(body, kind)]
        self.sent.clear()
        return found

    def answer_starts(
        self, verdict: Verdict = Verdict.DONE, is_proven: bool = True
    ) -> None:
        """Answer every start command that was sent."""
        starts = [(worker, body) for worker, body in self.sent]
        self.sent.clear()
        for worker, body in starts:
            if isinstance(body, StartCommand):
                reply = StartReply(
                    body.started_ms,
                    body.traits.task,
                    body.attempt,
                    verdict.value,
                    is_proven,
                )
                self.scheduler.on_start_reply(worker, reply)

    def report_worker(
        self,
        worker: WorkerId = WORKER,
        started_ms: int = STARTED_MS,
        node: str = "node-1",
        labels: list[str] | None = None,
        is_leaving: bool = False,
        cpu_millicores: int = 4_000,
        memory_mb: int = 8_000,
        is_listed: bool = True,
        place: str = "here",
    ) -> None:
        self.scheduler.on_report(
            node,
            WorkerReport(
                worker,
                started_ms,
                SERVICE,
                PlaceName(place),
                cpu_millicores,
                memory_mb,
                0,
                labels or ["r1"],
                is_leaving,
                0,
            ),
        )
        if is_listed:
            self.list_worker(worker, started_ms)

    def list_worker(
        self,
        worker: WorkerId = WORKER,
        started_ms: int = STARTED_MS,
        running: list[tuple[str, int, str, int, float]] | None = None,
        ended: list[tuple[int, str, int, str, str]] | None = None,
    ) -> None:
        listing = WorkerListing(
            started_ms, int(self.now_s * 1000), running or [], ended or []
        )
        self.scheduler.on_listing(WorkerIncarnation(worker, started_ms), listing)

    def fail_poll(
        self, worker: WorkerId = WORKER, started_ms: int = STARTED_MS
    ) -> None:
        self.scheduler.on_unreachable(
            WorkerIncarnation(worker, started_ms),
            WorkerUnreachable(started_ms, "not_taken"),
        )

    def add(self, *steps: StepSpec) -> None:
        self.scheduler.add_job(JOB, JobSpec(QUEUE, "payload", steps or (STEP,)))
        self.plan_and_store()

    def plan_and_store(self) -> None:
        """Plan, store the changes and send the permitted commands."""
        self.scheduler.plan()
        while self.scheduler.is_dirty:
            self.scheduler.on_stored(self.scheduler.snapshot())

    def advance(self, for_s: float) -> None:
        self.now_s += for_s
        self.scheduler.tick()


def n_placed(harness: SchedulerHarness) -> int:
    return harness.scheduler.jobs[JOB].n_placed
