"""How an agent drains, takes work again, and drains for good before it ends.

Phases of a drain:

1. The agent's status says that it drains, and its gates and its keeper refuse new
   work at once.
2. At the same time, calls in flight are finished, and attempts are checkpointed
   and stopped. The shards go last, so that the attempts' ends are still written by
   an owner in this process where there is one.
3. A drain that an operator asked for leaves the agent idle until a resume. A drain
   before the end of the process can't be taken back.

Shards that can't be handed over within `HAND_OVER_TIMEOUT_S`, as when the store is
down, go to other agents by silence.
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
    """What the agent does about new work."""

    SERVING = "serving"
    DRAINING = "draining"
    ENDING = "ending"


class AgentDrain:
    """Drains the parts of one agent.

    Parameters
    ----------
    supervisor : Supervisor
        Runs the drains that operators ask for.
    parts : AgentParts
        What is drained.
    on_change : callable
        Called when the state changes.
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
        """Do what an operator asks, unless the process is ending."""
        if self.state is DrainState.ENDING:
            return
        if not request.resume and self.state is DrainState.SERVING:
            self._set_state(DrainState.DRAINING)
            self._supervisor.spawn(DRAIN_TASK, self._drain)
        elif request.resume and self.state is DrainState.DRAINING:
            # A drain under way would still hand over shards after the resume.
            self._supervisor.stop(DRAIN_TASK)
            self._resume()
            self._set_state(DrainState.SERVING)

    async def drain_to_end(self) -> None:
        """Drain before the process ends."""
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
            _log.warning("shards not handed over in time")

    def _resume(self) -> None:
        self._components.admissions.resume()
        self._components.host.resume()
        if self._components.attempt_agent is not None:
            self._components.attempt_agent.resume()

    def _set_state(self, state: DrainState) -> None:
        self.state = state
        _log.info("drain state", extra={"state": state.value})
        self._on_change()
