"""A router and runner admissions over in-memory channels, with fake end points."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

from almondspan_decisions.ids import (
    AgentId,
    CallerId,
    EntryId,
    PlaceName,
    RequestId,
    ServiceName,
    WorkerId,
)
from almondspan_decisions.outcomes import Outcome
from almondspan_decisions.shapes import EMPTY_SHAPE
from almondspan_service.admission_options import AdmissionOptions
from almondspan_service.admitted_call import BodyAborted
from almondspan_service.call_spec import BodyFailure, CallSpec
from almondspan_service.router import ServiceRouter
from almondspan_service.router_options import RouterOptions
from almondspan_service.runner_admission import RunnerAdmission
from almondspan_service.runner_client import RunnerFault, RunnerRequest
from almondspan_tasks.job_client import Claim, ClaimState
from almondspan_wire.codec import Malformed, Message, decode, encode
from almondspan_wire.membership import AgentHello, AgentStatus

SERVICE = ServiceName("clips")
HERE = PlaceName("here")
ENTRY = EntryId("entry-1")


class MemoryClaims:
    """A `ClaimStore` in memory that can be unavailable."""

    def __init__(self) -> None:
        self.holders: dict[RequestId, str] = {}
        self.settled: dict[RequestId, Outcome] = {}
        self.up = True
        self.drops_answers = False

    async def claim(self, request_id: RequestId, nonce: str) -> Claim:
        await asyncio.sleep(0)
        if not self.up:
            return Claim(ClaimState.UNAVAILABLE, None, "the store is down")
        holder = self.holders.setdefault(request_id, nonce)
        if self.drops_answers:
            return Claim(ClaimState.UNAVAILABLE, None, "no answer")
        if holder == nonce:
            return Claim(ClaimState.GRANTED)
        return Claim(ClaimState.TAKEN, self.settled.get(request_id))

    async def settle(self, request_id: RequestId, outcome: Outcome) -> bool:
        await asyncio.sleep(0)
        assert request_id not in self.settled, "settled twice"
        self.settled[request_id] = outcome
        return True


@dataclass
class FakeAnswer:
    """A `RunnerAnswer` with a body in parts, which may be truncated."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body_bytes: int
    parts: deque[bytes]
    is_truncated: bool = False
    on_close: Callable[[], None] = lambda: None

    async def read(self, n_bytes: int) -> bytes | RunnerFault:
        await asyncio.sleep(0)
        if not self.parts:
            return RunnerFault(True, "truncated") if self.is_truncated else b""
        part = self.parts.popleft()
        if len(part) > n_bytes:
            self.parts.appendleft(part[n_bytes:])
        return part[:n_bytes]

    def close(self) -> None:
        self.on_close()


async def read_request(request: RunnerRequest) -> bytes:
    if isinstance(request.body, bytes):
        return request.body
    return b"".join([part async for part in request.body])


Serve = Callable[[RunnerRequest], Awaitable[FakeAnswer | RunnerFault]]


async def echo(request: RunnerRequest) -> FakeAnswer | RunnerFault:
    """Answer with the request's path and body."""
    body = request.path.encode() + b"|" + await read_request(request)
    return FakeAnswer(200, (("X-Kind", "echo"),), len(body), deque([body]))


class FakeRunner:
    """A `RunnerClient` that records the requests it runs."""

    def __init__(self, serve: Serve = echo, n_slots: int = 8) -> None:
        self.serve = serve
        self.n_slots = n_slots
        self.n_busy = 0
        self.runs: list[str] = []

    async def start(self) -> None:
        pass

    async def close(self) -> None:
        pass

    async def send(self, request: RunnerRequest) -> FakeAnswer | RunnerFault:
        self.n_busy += 1
        assert self.n_busy <= self.n_slots, "more calls than slots"
        self.runs.append(dict(request.headers)["X-Request-Id"])
        try:
            answer = await self.serve(request)
        except BodyAborted:
            answer = RunnerFault(True, "the body was aborted")
        except BaseException:
            self.n_busy -= 1
            raise
        if isinstance(answer, RunnerFault):
            self.n_busy -= 1
        else:
            answer.on_close = self._closed
        return answer

    def _closed(self) -> None:
        self.n_busy -= 1


@dataclass
class MemoryBody:
    """A request's body in parts, which may be truncated."""

    parts: deque[bytes] = field(default_factory=deque)
    is_truncated: bool = False

    async def read(self, n_bytes: int) -> bytes | BodyFailure:
        await asyncio.sleep(0)
        if not self.parts:
            return BodyFailure("truncated") if self.is_truncated else b""
        part = self.parts.popleft()
        if len(part) > n_bytes:
            self.parts.appendleft(part[n_bytes:])
        return part[:n_bytes]


class MemorySink:
    """An `AnswerSink` in memory; each write takes `write_s`."""

    def __init__(self, write_s: float = 0.0) -> None:
        self.write_s = write_s
        self.status = 0
        self.body = bytearray()
        self.is_complete = False
        self.is_aborted = False
        self.disconnected = False

    async def send_whole(self, head) -> bool:
        self.status = head.status
        self.body += head.data
        self.is_complete = not self.disconnected
        return not self.disconnected

    async def send_head(self, head) -> bool:
        self.status = head.status
        return not self.disconnected

    async def write(self, data: bytes) -> bool:
        await asyncio.sleep(self.write_s)
        self.body += data
        return not self.disconnected

    async def finish(self) -> bool:
        self.is_complete = not self.disconnected
        return not self.disconnected

    def abort(self) -> None:
        self.is_aborted = True

    def is_disconnected(self) -> bool:
        return self.disconnected


class ServicePath:
    """One router and several admissions; every message is encoded and decoded."""

    def __init__(
        self,
        runners: dict[str, FakeRunner],
        router_options: RouterOptions | None = None,
        admission_options: AdmissionOptions | None = None,
        seed: int = 1,
    ) -> None:
        self.claims = MemoryClaims()
        self.rng = Random(seed)
        self.carry_to_agent: Callable[[AgentId, Message], None] = self.to_agent
        self.carry_to_router: Callable[[AgentId, Message], None] = self.to_router
        self.router = ServiceRouter(
            ENTRY,
            HERE,
            self._send_to_agent,
            self.claims,
            router_options or RouterOptions(),
            self.rng,
        )
        self.runners = {AgentId(name): runner for name, runner in runners.items()}
        options = admission_options or AdmissionOptions()
        self.admissions = {
            agent_id: RunnerAdmission(
                SERVICE,
                "",
                self._sender_of(agent_id),
                options,
                runner,
            )
            for agent_id, runner in self.runners.items()
        }
        self.connected: set[AgentId] = set()

    async def __aenter__(self) -> "ServicePath":
        await self.router.start()
        for agent_id, admission in self.admissions.items():
            await admission.start()
            self.connect(agent_id)
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.router.close()
        for admission in self.admissions.values():
            await admission.close()

    def connect(self, agent_id: AgentId, place: PlaceName = HERE) -> None:
        self.connected.add(agent_id)
        hello = AgentHello(agent_id, WorkerId(""), place, EMPTY_SHAPE)
        self.router.agent_joined(agent_id, hello)
        self.send_status(agent_id)

    def send_status(self, agent_id: AgentId, draining: bool = False) -> None:
        runners = (self.admissions[agent_id].status(),)
        status = AgentStatus(0, EMPTY_SHAPE, 0, draining, 0, runners=runners)
        self.router.on_status(agent_id, status)

    def disconnect(self, agent_id: AgentId) -> None:
        self.connected.discard(agent_id)
        self.router.agent_left(agent_id)
        self.admissions[agent_id].entry_left(ENTRY)

    def to_agent(self, agent_id: AgentId, message: Message) -> None:
        assert self.admissions[agent_id].on_message(ENTRY, message)

    def to_router(self, agent_id: AgentId, message: Message) -> None:
        assert self.router.on_message(agent_id, message)

    async def _send_to_agent(self, agent_id: AgentId, message: Message) -> bool:
        if agent_id not in self.connected:
            return False
        loop = asyncio.get_running_loop()
        loop.call_soon(self.carry_to_agent, agent_id, through_codec(message))
        return True

    def _sender_of(
        self, agent_id: AgentId
    ) -> Callable[[EntryId, Message], Awaitable[bool]]:
        async def send(entry_id: EntryId, message: Message) -> bool:
            if agent_id not in self.connected:
                return False
            loop = asyncio.get_running_loop()
            loop.call_soon(self.carry_to_router, agent_id, through_codec(message))
            return True

        return send

    def spec(self, name: str, idempotent: bool = True, **changes) -> CallSpec:
        now_s = asyncio.get_running_loop().time()
        fields = {
            "service": SERVICE,
            "request_id": RequestId(name),
            "caller": CallerId("school"),
            "method": "GET" if idempotent else "POST",
            "path": f"/{name}",
            "headers": (),
            "idempotent": idempotent,
            "deadline_s": now_s + 2.0,
        }
        return CallSpec(**(fields | changes))

    async def call(self, spec: CallSpec, *parts: bytes, sink: MemorySink | None = None):
        """Make a call; returns its outcome and its sink."""
        sink = sink or MemorySink()
        ended = await self.router.call(spec, MemoryBody(deque(parts)), sink)
        return ended, sink


def through_codec(message: Message) -> Message:
    decoded = decode(encode(message))
    assert not isinstance(decoded, Malformed)
    return decoded


async def body_parts(parts: list[bytes]) -> AsyncIterator[bytes]:
    for part in parts:
        yield part
