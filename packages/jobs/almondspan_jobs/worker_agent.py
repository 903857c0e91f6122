"""The agent of one worker: polls it, executes the owner's commands, paces its tasks.

1. The worker reports itself to the agent. Once `ReportCheck` has confirmed it with the
   worker, a reported incarnation is the current one.
2. An owner connects. The agent follows the owner with the highest epoch. The fence of a
   command is the epoch of the owner that sent it, so the worker refuses commands of
   earlier owners that are still in flight; only that owner gets the answer.
3. `WorkerPolls` polls the worker and forwards what it lists to the owner.
4. `WorkerCommands` executes the owner's commands, concurrently with the polls.
5. `WorkerPacing` paces the best-effort tasks based on the listed tail latencies.
6. `Relay` joins channels of processes that can't reach each other directly.
"""

from typing import Final

from almondspan_decisions.ids import PlaceName, WorkerId
from almondspan_jobs.agent_state import AgentState, KnownIncarnation
from almondspan_jobs.event_log import EventLog
from almondspan_jobs.messages import (
    EvacuatedPlaces,
    InterferenceUpdate,
    LeaseRenewal,
    OwnerHello,
    OwnerReplaced,
    RelayRequest,
    StartCommand,
    StopCommand,
    TaskTraitsUpdate,
    WorkerReport,
)
from almondspan_jobs.metrics import Metrics
from almondspan_jobs.network import Listener, Network
from almondspan_jobs.options import JobOptions
from almondspan_jobs.pacing import WorkerPacing
from almondspan_jobs.relay import Relay
from almondspan_jobs.report_check import ReportCheck
from almondspan_jobs.worker_commands import WorkerCommands
from almondspan_jobs.worker_polls import WorkerPolls
from almondspan_platform.task_worker import TaskWorker, WorkerPoll, WorkerState
from almondspan_wire.channel import Channel, ChannelClosed
from almondspan_wire.codec import Message

__all__ = ["WorkerAgent"]


class WorkerAgent:
    """The agent of one worker."""

    def __init__(
        self,
        node: str,
        host: str,
        port: int,
        network: Network,
        worker: TaskWorker,
        options: JobOptions,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._log: Final = log
        self._node: Final = node
        self._host: Final = host
        self._port: Final = port
        self._network: Final = network
        self._listener: Listener | None = None
        self._state: Final = AgentState()
        self._relay: Final = Relay(network, options, log)
        self._pacing: Final = WorkerPacing(worker, options, log)
        self._polls: Final = WorkerPolls(
            worker, self._state, self._pacing, options, log, metrics
        )
        self._commands: Final = WorkerCommands(
            worker, self._state, self._polls, self._pacing, options, log, metrics
        )
        self._report_check: Final = ReportCheck(
            worker,
            lambda: self._state.fence,
            self._on_confirmed,
            self._on_departed,
            options,
            log,
        )

    async def start(self) -> None:
        """Listen for owners and start to poll."""
        self._listener = await self._network.listen(
            self._host, self._port, self._serve_channel
        )
        await self._polls.start()
        await self._report_check.start()

    async def close(self) -> None:
        """Answer the commands at the worker, stop polling and close the channels.

        The worker's lease then expires.
        """
        await self._commands.drain()
        await self._polls.close()
        await self._report_check.close()
        await self._commands.close()
        if self._listener is not None:
            await self._listener.close()

    # Reports of the worker

    def on_report(self, state: WorkerState) -> None:
        """Handle a report, unless a later incarnation is already known."""
        incarnation = self._state.incarnation
        if incarnation is not None and incarnation.state.started_ms > state.started_ms:
            self._log.line(
                "report_outdated",
                born=state.started_ms,
                known=incarnation.state.started_ms,
            )
            return
        if incarnation is None or incarnation.state.identity != state.identity:
            self._report_check.check_incarnation(state)
            return
        self._update(incarnation, state)
        self._polls.wake()
        self._send_report(has_left=False)

    def _update(self, incarnation: KnownIncarnation, state: WorkerState) -> None:
        """Apply what the current incarnation now says of itself."""
        before = incarnation.state
        if state.is_leaving and not before.is_leaving:
            self._log.line(
                "worker_leaving", worker=state.worker_id, leaves_ms=state.leaves_ms
            )
        if state.capacity != before.capacity:
            self._log.line("worker_capacity", capacity=str(state.capacity))
            self._pacing.set_capacity(state.capacity.cpu_millicores)
        incarnation.state = state

    def _on_confirmed(self, state: WorkerState, poll: WorkerPoll) -> None:
        """Handle a new incarnation, which the worker has confirmed by listing."""
        before = self._state.incarnation
        self._log.line(
            "worker_life",
            worker=state.worker_id,
            born=state.started_ms,
            before=str(before.state.worker_id) if before is not None else "",
            leaving=state.is_leaving,
            leaves_ms=state.leaves_ms,
        )
        self._state.incarnation = KnownIncarnation(state)
        self._pacing.on_new_incarnation(state.capacity.cpu_millicores)
        self._send_report(has_left=False)
        self._polls.forward(self._state.incarnation, poll)
        self._polls.wake()

    def on_left(self, worker_id: WorkerId) -> None:
        """Handle a report that the worker is leaving now."""
        incarnation = self._state.incarnation
        if incarnation is None or incarnation.state.worker_id != worker_id:
            self._log.line("leave_unknown", worker=worker_id)
            return
        self._report_check.check_departure(incarnation.state)

    def _on_departed(self, state: WorkerState) -> None:
        """Handle the departure of an incarnation, which is confirmed."""
        incarnation = self._state.incarnation
        if incarnation is None or incarnation.state.identity != state.identity:
            return
        self._log.line("worker_left", worker=state.worker_id, born=state.started_ms)
        self._send_report(has_left=True)

    def _send_report(self, has_left: bool) -> None:
        incarnation = self._state.incarnation
        if incarnation is None:
            return
        state = incarnation.state
        self._state.post(
            WorkerReport(
                state.worker_id,
                state.started_ms,
                state.service,
                state.place,
                state.capacity.cpu_millicores,
                state.capacity.memory_mb,
                state.capacity.n_accelerators,
                list(state.labels),
                state.is_leaving,
                state.leaves_ms,
                has_left,
                accepts_evacuations=True,
            )
        )

    # The owner

    async def _serve_channel(self, channel: Channel) -> None:
        hello = await channel.receive()
        if isinstance(hello, RelayRequest):
            await self._relay.serve(channel, hello, self._state.owner)
        elif isinstance(hello, OwnerHello):
            await self._serve_owner(channel, hello)
        else:
            reason = hello.reason if isinstance(hello, ChannelClosed) else ""
            got = type(hello).__name__
            self._log.line("link_malformed", got=got, reason=reason)

    async def _serve_owner(self, channel: Channel, hello: OwnerHello) -> None:
        if hello.agent not in ("", self._node):
            # The owner has an old address of that agent, or one of another writer.
            self._log.line("owner_misled", owner=hello.owner, agent=hello.agent)
            return
        if hello.epoch < self._state.epoch:
            self._log.line("owner_outdated", epoch=hello.epoch, known=self._state.epoch)
            return
        self._log.line("owner_linked", owner=hello.owner, epoch=hello.epoch)
        self._state.epoch = hello.epoch
        self._state.owner = hello
        if self._state.channel is not None:
            # An owner without access to the store learns of its successor this way.
            self._state.channel.post(
                OwnerReplaced(hello.epoch, hello.owner, hello.host, hello.port)
            )
        self._state.channel = channel
        self._set_evacuated(hello.evacuated)
        self._send_report(has_left=False)
        incarnation = self._state.incarnation
        if incarnation is not None and incarnation.failed_verdict:
            self._polls.send_unreachable(incarnation)
        self._polls.wake()
        self._report_check.wake()
        while True:
            body = await channel.receive()
            if isinstance(body, ChannelClosed):
                self._log.line("link_closed", cause=body.cause.value, why=body.reason)
                break
            if self._state.channel is not channel:
                self._log.line(
                    "owner_outdated", epoch=hello.epoch, known=self._state.epoch
                )
                break
            self._on_message(body, hello.epoch)
        if self._state.channel is channel:
            self._state.channel = None
            self._log.line("owner_lost", owner=hello.owner, epoch=hello.epoch)

    def _on_message(self, body: Message, epoch: int) -> None:
        if isinstance(body, LeaseRenewal):
            self._on_renewal(body)
        elif isinstance(body, StartCommand):
            self._pacing.add_traits(body.traits)
            self._commands.on_start(body, epoch)
        elif isinstance(body, StopCommand):
            self._commands.on_stop(body, epoch)
        elif isinstance(body, InterferenceUpdate):
            self._pacing.set_weights(body)
        elif isinstance(body, TaskTraitsUpdate):
            self._pacing.replace_traits(body.tasks)
        elif isinstance(body, EvacuatedPlaces):
            self._set_evacuated(body.places)

    def _set_evacuated(self, places: list[str]) -> None:
        evacuated = frozenset(map(PlaceName, places))
        if evacuated != self._state.evacuated:
            self._log.line("evacuations_told", n_places=len(places), places=places[:8])
        self._state.evacuated = evacuated

    def _on_renewal(self, renewal: LeaseRenewal) -> None:
        incarnation = self._state.incarnation
        if incarnation is None or incarnation.state.started_ms != renewal.started_ms:
            return
        incarnation.until_ms = max(incarnation.until_ms, renewal.until_ms)
        incarnation.n_acknowledged = max(
            incarnation.n_acknowledged, renewal.n_acknowledged
        )
        self._polls.wake()
