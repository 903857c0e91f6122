"""The simulated system: processes, messages, the store, workers and their faults.

`AttemptAgent`, `ShardHost`, `ShardClient` and the codec are the production code.
Everything between them (message delivery, the store, the workers and the callers)
runs outside any simulated process, so it continues while a process is paused.
"""

import asyncio
import contextvars
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from sim_checks import CheckedCore, InvariantChecks
from virtual_loop import Process, VirtualLoop

from almondspan_decisions.fleet import FleetConfig, TeamConfig
from almondspan_decisions.ids import (
    AgentId,
    EntryId,
    PlaceName,
    RegionName,
    ShardId,
    TeamName,
    WorkerId,
)
from almondspan_decisions.shapes import Shape
from almondspan_platform.store import Unavailable
from almondspan_platform.worker import WorkerUnavailable
from almondspan_standins.store_core import StoreCore
from almondspan_standins.worker_core import WorkerOptions
from almondspan_tasks.attempt_agent import AttemptAgent
from almondspan_tasks.head import decode_head, head_key
from almondspan_tasks.host import ShardHost
from almondspan_tasks.options import (
    AttemptAgentOptions,
    OwnerOptions,
    ShardClientOptions,
)
from almondspan_tasks.shard_client import ShardClient
from almondspan_wire.codec import Malformed, Message, decode, encode
from almondspan_wire.membership import CandidatesFound, FindCandidates, FoundAgent
from almondspan_wire.task_messages import AttemptReport

REGION = RegionName("viti")
PLACE = PlaceName("place")
CAPACITY = Shape(4_000, 4_000, 1)
HORIZON_S = 8.0
WORKER_LEASE_S = 3.0
CALL_BOUND_S = 1.0
DRIFT_MARGIN_S = 1.5
SHARED_S = 3.0

AGENT_OPTIONS = AttemptAgentOptions(
    horizon_s=HORIZON_S,
    renew_interval_s=1.0,
    poll_interval_s=0.4,
    report_interval_s=0.7,
    call_bound_s=CALL_BOUND_S,
    rest_n_tasks=4,
    rest_s=5.0,
    drain_timeout_s=5.0,
)
OWNER_OPTIONS = OwnerOptions(
    horizon_s=HORIZON_S,
    drift_margin_s=DRIFT_MARGIN_S,
    heartbeat_interval_s=0.8,
    silence_s=2.0,
    min_commit_interval_s=0.1,
    tail_limit_bytes=600,
    merge_n_chunks=3,
    compact_min_bytes=2_000,
    gc_interval_s=7.0,
    reservation_ttl_s=3.0,
    infeasible_after_s=3.0,
    infeasible_min_workers=2,
    backoff_s=0.5,
    backoff_max_s=2.0,
    max_placements=4,
)
SHARD_CLIENT_OPTIONS = ShardClientOptions(timeout_s=4.0, repeat_s=0.4)


@dataclass
class MessageFaults:
    """Shares of messages that are lost, repeated or late."""

    lose_share: float = 0.0
    repeat_share: float = 0.0
    late_share: float = 0.0
    late_s: float = 4.0


@dataclass
class CallFaults:
    """Faults of the calls to the store or to one worker."""

    outage: bool = False
    slow_s: float = 0.0
    lose_answer_share: float = 0.0
    lose_call_share: float = 0.0


class World:
    """The simulated system of one schedule.

    ``disconnected`` names agents and workers that exchange no messages and answer no
    calls; ``outside_context`` is a context that belongs to no simulated process.
    """

    def __init__(
        self,
        seed: int,
        n_workers: int = 3,
        n_shards: int = 2,
        agent_options: AttemptAgentOptions = AGENT_OPTIONS,
        owner_options: OwnerOptions = OWNER_OPTIONS,
    ) -> None:
        self.agent_options = agent_options
        self.owner_options = owner_options
        self.loop = VirtualLoop()
        self.rng = random.Random(seed)
        self.n_shards = n_shards
        self.checks = InvariantChecks(self.log, self.loop.time)
        self.store = StoreCore(self.loop.time)
        self.store_faults = CallFaults()
        self.worker_faults: dict[WorkerId, CallFaults] = {}
        self.message_faults = MessageFaults()
        self.disconnected: set[str] = set()
        self.disconnected_from_store: set[str] = set()
        self.is_watching = True
        self.silent_links: set[tuple[str, str]] = set()
        self.cores: dict[WorkerId, CheckedCore] = {}
        self.agents: dict[str, Agent] = {}
        self.known_owners: dict[ShardId, AgentId] = {}
        self.trace: list[str] = []
        self.n_agents = 0
        self.shared_s: dict[WorkerId, float] = {}
        self.outside_context = contextvars.Context()
        for number in range(n_workers):
            worker_id = WorkerId(f"w{number}")
            options = WorkerOptions(lease_s=WORKER_LEASE_S, checkpoint_s=0.2)
            self.cores[worker_id] = CheckedCore(
                worker_id, CAPACITY, self.loop.time, options, checks=self.checks
            )
            self.worker_faults[worker_id] = CallFaults()
        self.checks.is_shared = self.is_shared
        self.entry = Entry(self)

    def log(self, text: str) -> None:
        self.trace.append(f"{self.loop.now_s - 1000:8.3f} {text}")

    def run_after(
        self, delay_s: float, callback: Callable[..., Any], *args: Any
    ) -> None:
        self.loop.call_later(delay_s, callback, *args, context=self.outside_context)

    def live_agents(self) -> list["Agent"]:
        return [agent for agent in self.agents.values() if not agent.process.is_dead]

    def n_awake_agents(self, worker_id: WorkerId) -> int:
        return sum(
            agent.worker_id == worker_id and not agent.process.is_paused
            for agent in self.live_agents()
        )

    def is_shared(self, worker_id: WorkerId) -> bool:
        """Return whether two agents of a worker are running, or were until recently."""
        return (
            self.n_awake_agents(worker_id) > 1
            or self.loop.now_s - self.shared_s.get(worker_id, 0.0) < SHARED_S
        )

    def stop(self, agent: "Agent", forever: bool) -> None:
        """Kill or pause a process."""
        if self.n_awake_agents(agent.worker_id) > 1:
            self.shared_s[agent.worker_id] = self.loop.now_s
        agent.process.is_dead |= forever
        agent.process.is_paused = True

    def start_agent(self, worker_id: WorkerId) -> "Agent":
        self.n_agents += 1
        agent = Agent(self, AgentId(f"a{self.n_agents}@{worker_id}"), worker_id)
        self.agents[agent.agent_id] = agent
        agent.run(agent.start())
        self.log(f"start {agent.agent_id}")
        return agent

    # Messages.

    def send_message(self, sender: str, to: str, body: Message) -> None:
        if isinstance(body, AttemptReport):
            self.checks.on_report(body)
        self._trace_message(sender, to, body)
        data = encode(body)
        faults, rng = self.message_faults, self.rng
        if rng.random() < faults.lose_share:
            return
        n_copies = 2 if rng.random() < faults.repeat_share else 1
        for _ in range(n_copies):
            delay_s = 0.001 + 0.004 * rng.random()
            if rng.random() < faults.late_share:
                delay_s += faults.late_s * rng.random()
            self.run_after(delay_s, self._deliver, sender, to, data)

    def _trace_message(self, sender: str, to: str, body: Message) -> None:
        task = getattr(body, "task_id", None)
        if task is not None:
            attempt = getattr(body, "attempt", 0)
            detail = ""
            if isinstance(body, AttemptReport):
                detail = f"{body.outcome.kind.value} {body.outcome.reason}"
            kind = type(body).__name__
            self.log(f"{task}#{attempt} {sender} -> {to} {kind} {detail}")

    def _deliver(self, sender: str, to: str, data: bytes) -> None:
        if to.startswith("shard:"):
            owner = self.known_owners.get(ShardId(int(to[6:])))
            if owner is None:
                return
            to = owner
        if (
            sender in self.disconnected
            or to in self.disconnected
            or (sender, to) in self.silent_links
        ):
            return
        target = self.entry if to == self.entry.entry_id else self.agents.get(to)
        if target is None or target.process.is_dead:
            return
        body = decode(data)
        assert not isinstance(body, Malformed), body.reason
        self.loop.call_soon(
            target.on_routed_message, sender, body, context=target.process.new_context()
        )

    # Calls to the store and the workers.

    async def call(
        self,
        name: str,
        faults: CallFaults,
        bound_s: float,
        operation: Callable[[], Any],
        lost: Callable[[str, bool], Any],
    ) -> Any:
        """Simulate a call, which takes effect within ``bound_s`` or never."""
        future: asyncio.Future[Any] = self.loop.create_future()
        rng = self.rng
        if faults.outage or name in self.disconnected:
            self.run_after(0.3 * rng.random(), _resolve, future, lost("down", False))
            return await future
        out_s = 0.001 + 0.002 * rng.random()
        if faults.slow_s:
            out_s = min(0.95 * bound_s, out_s + faults.slow_s * rng.random())
        timeout_s = bound_s * (0.4 + 0.6 * rng.random())
        self.run_after(timeout_s, _resolve, future, lost("no answer", True))
        if rng.random() < faults.lose_call_share:
            return await future
        is_answered = rng.random() >= faults.lose_answer_share
        self.run_after(out_s, self._apply, operation, future, is_answered)
        return await future

    def _apply(
        self, operation: Callable[[], Any], future: Any, is_answered: bool
    ) -> None:
        answer = operation()
        if is_answered:
            self.run_after(0.001 + 0.002 * self.rng.random(), _resolve, future, answer)

    # The entry's view of the owners.

    async def watch_owners(self) -> None:
        """Poll the heads, as an entry's watch would, and nominate owners."""
        while True:
            await asyncio.sleep(0.3)
            if self.store_faults.outage:
                continue
            live = {
                str(agent.agent_id) for agent in self.live_agents()
            } - self.disconnected
            for number in range(self.n_shards):
                shard_id = ShardId(number)
                item = self.store.get(head_key(REGION, shard_id))
                owner = decode_head(item.value).owner if item is not None else ""
                if owner and self.is_watching:
                    self.known_owners[shard_id] = AgentId(owner)
                is_wanted = (
                    owner not in live - self.disconnected_from_store
                    or self.rng.random() < 0.01
                )
                if is_wanted and live and self.rng.random() < 0.4:
                    self.nominate(shard_id, self.rng.choice(sorted(live)))

    def nominate(self, shard_id: ShardId, agent_id: str) -> None:
        agent = self.agents[agent_id]
        self.loop.call_soon(
            agent.host.nominate, shard_id, context=agent.process.new_context()
        )


def _resolve(future: "asyncio.Future[Any]", answer: Any) -> None:
    if not future.done():
        future.set_result(answer)


class SimMessageSender:
    """Sends a process's messages through the simulated network."""

    def __init__(self, world: World, sender: str) -> None:
        self._world = world
        self._sender = sender

    def send(self, to: str, body: Message) -> None:
        self._world.send_message(self._sender, to, body)


class SimStore:
    """A process's client of the simulated store."""

    def __init__(self, world: World, name: str) -> None:
        self._world = world
        self._name = name

    async def start(self) -> None:
        pass

    async def close(self) -> None:
        pass

    async def _call(self, operation: Callable[[], Any]) -> Any:
        world = self._world
        faults = world.store_faults
        if self._name in world.disconnected_from_store:
            faults = CallFaults(outage=True)
        return await world.call(self._name, faults, 2.0, operation, Unavailable)

    async def get(self, key: str) -> Any:
        from almondspan_platform.store import Found

        return await self._call(lambda: Found(self._world.store.get(key)))

    async def get_range(self, prefix: str) -> Any:
        return await self._call(lambda: self._world.store.get_range(prefix))

    async def compare_and_swap(
        self, key: str, expected: Any, value: Any, lease_id: Any = None
    ) -> Any:
        store = self._world.store
        return await self._call(
            lambda: store.compare_and_swap(key, expected, value, lease_id)
        )


class SimWorker:
    """An agent's client of its simulated worker."""

    def __init__(self, world: World, worker_id: WorkerId) -> None:
        self._world = world
        self._worker_id = worker_id

    async def start(self) -> None:
        pass

    async def close(self) -> None:
        pass

    async def _call(self, name: str, *args: Any) -> Any:
        world = self._world
        core = world.cores[self._worker_id]
        return await world.call(
            self._worker_id,
            world.worker_faults[self._worker_id],
            CALL_BOUND_S,
            lambda: getattr(core, name)(*args),
            WorkerUnavailable,
        )

    async def info(self) -> Any:
        return await self._call("info")

    async def list_attempts(self) -> Any:
        return await self._call("list_attempts")

    async def start_attempt(self, request: Any) -> Any:
        return await self._call("start_attempt", request)

    async def renew(self, attempts: Any) -> Any:
        return await self._call("renew", attempts)

    async def throttle(self, task_id: Any, attempt: int, share: float) -> Any:
        return await self._call("throttle", (task_id, attempt), share)

    async def checkpoint(self, task_id: Any, attempt: int) -> Any:
        return await self._call("checkpoint", (task_id, attempt))

    async def stop(self, task_id: Any, attempt: int) -> Any:
        return await self._call("stop", (task_id, attempt))

    async def forget(self, attempts: Any) -> Any:
        return await self._call("forget", attempts)

    async def usage(self) -> Any:
        return await self._call("usage")


class Runnable:
    """A component with a simulated process of its own."""

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.process = Process(name)

    def run(self, work: Coroutine[Any, Any, Any]) -> "asyncio.Task[Any]":
        """Run `work` inside the process."""
        context = self.process.new_context()
        return self.world.loop.create_task(work, context=context)


class Agent(Runnable):
    """An agent process with its `AttemptAgent` and its `ShardHost`."""

    def __init__(self, world: World, agent_id: AgentId, worker_id: WorkerId) -> None:
        super().__init__(world, agent_id)
        self.agent_id = agent_id
        self.worker_id = worker_id
        outbox = SimMessageSender(world, agent_id)
        rng = random.Random(f"{agent_id}/{world.rng.random()}")
        self.attempt_agent = AttemptAgent(
            agent_id, SimWorker(world, worker_id), outbox, world.agent_options, rng
        )
        self.host = ShardHost(
            agent_id,
            SimStore(world, agent_id),
            outbox,
            self.find_candidates,
            world.owner_options,
            rng,
            world.n_shards,
            REGION,
            world.loop.time,
        )

    async def start(self) -> None:
        await self.attempt_agent.start()
        await self.host.start()
        self.host.set_fleet(FleetConfig(teams=(TeamConfig(TeamName("team"), 0.5, ""),)))

    def on_routed_message(self, sender: str, body: Message) -> None:
        self.attempt_agent.on_routed_message(sender, body)
        self.host.on_routed_message(sender, body)

    async def find_candidates(self, query: FindCandidates) -> CandidatesFound | None:
        world = self.world
        await asyncio.sleep(0.003)
        if self.agent_id in world.disconnected:
            return None
        agents = world.live_agents()
        found = [
            FoundAgent(
                agent.agent_id, agent.worker_id, PLACE, agent.attempt_agent.free()
            )
            for agent in agents
            if query.shape.fits_in(agent.attempt_agent.free())
            and agent.worker_id not in query.avoid
        ]
        world.rng.shuffle(found)
        feasible = any(
            query.shape.fits_in(agent.attempt_agent.capacity()) for agent in agents
        )
        n_known = sum(
            bool(agent.attempt_agent.capacity().memory_mb) for agent in agents
        )
        return CandidatesFound(
            query.query_id, tuple(found[: query.n_wanted]), feasible, n_known
        )


class Entry(Runnable):
    """An entry process with its `ShardClient`."""

    def __init__(self, world: World) -> None:
        self.entry_id = EntryId("entry")
        super().__init__(world, self.entry_id)
        self.job_client = ShardClient(
            self.entry_id,
            SimMessageSender(world, self.entry_id),
            world.known_owners.get,
            SHARD_CLIENT_OPTIONS,
            random.Random(world.rng.random()),
            world.n_shards,
        )

    def on_routed_message(self, sender: str, body: Message) -> None:
        self.job_client.on_routed_message(sender, body)
