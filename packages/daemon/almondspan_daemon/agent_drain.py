"""Draining and resuming an agent.

Phases of a drain:

1. The agent's status reports that it is draining, and its runner admissions and its
   attempt agent refuse new work at once.
2. Calls in flight finish while attempts are checkpointed and stopped. Shards are
   handed over last, so that an owner in this process can still record the ends of
   the attempts.
3. After a drain that an operator requested, the agent stays idle until it is
   resumed. A drain at process shutdown cannot be reverted.

Shards that cannot be handed over within `HAND_OVER_TIMEOUT_S`, for instance because
the store is down, move to other agents once this agent is silent.
"""

import asyncio
import logging
from collections.abc import Callable
from enum import Enum
from typing import Final

from almondspan_daemon.agent_components import AgentComponents
from almondspan_daemon.supervisor import Supervisor
from almondspan_wire.membership import DrainRequest

__all__ = ["AgentDrain", "DrainState"]

HAND_OVER_TIMEOUT_S: Final = 15.0
DRAIN_TASK: Final = "drain"

_log = logging.getLogger(__name__)


class DrainState(Enum):
    """Whether the agent accepts new work, and whether it can be resumed."""

    SERVING = "serving"
    DRAINING = "draining"
    ENDING = "ending"


class AgentDrain:
    """Drains the components of one agent.

    Parameters
    ----------
    supervisor : Supervisor
        Runs the drains that operators request.
    components : AgentComponents
        The components to drain.
    on_change : callable
        Called after each change of the state.
    """

    def __init__(
        self,
        supervisor: Supervisor,
        components: AgentComponents,
        on_change: Callable[[], None],
    ) -> None:
        self._supervisor = supervisor
        self._components = components
        self._on_change = on_change
        self.state = DrainState.SERVING

    @property
    def is_draining(self) -> bool:
        """Whether new work is refused."""
        return self.state is not DrainState.SERVING

    def on_request(self, request: DrainRequest) -> None:
        """Drain or resume on an operator's request; ignored during shutdown."""
        if self.state is DrainState.ENDING:
            return
        if not request.resume and self.state is DrainState.SERVING:
            self._set_state(DrainState.DRAINING)
            self._supervisor.spawn(DRAIN_TASK, self._drain)
        elif request.resume and self.state is DrainState.DRAINING:
            # A drain that keeps running would hand over shards after the resume.
            self._supervisor.stop(DRAIN_TASK)
            self._resume()
            self._set_state(DrainState.SERVING)

    async def drain_to_end(self) -> None:
        """Drain for process shutdown; requests are ignored from here on."""
        self._set_state(DrainState.ENDING)
        self._supervisor.stop(DRAIN_TASK)
        await self._drain()

    async def _drain(self) -> None:
        await asyncio.gather(self._components.admissions.drain(), self._drain_tasks())

    async def _drain_tasks(self) -> None:
        if self._components.attempt_agent is not None:
            await self._components.attempt_agent.drain()
        try:
            async with asyncio.timeout(HAND_OVER_TIMEOUT_S):
                await self._components.host.drain()
        except TimeoutError:
            _log.warning(
                "shards were not handed over in time; other agents take them"
                " over once this agent is silent"
            )

    def _resume(self) -> None:
        self._components.admissions.resume()
        self._components.host.resume()
        if self._components.attempt_agent is not None:
            self._components.attempt_agent.resume()

    def _set_state(self, state: DrainState) -> None:
        self.state = state
        _log.info("drain state", extra={"state": state.value})
        self._on_change()
