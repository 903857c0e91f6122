"""Builds what an agent says of itself: `AgentHello` and `AgentStatus`."""

from almondspan_daemon.agent_parts import AgentParts
from almondspan_decisions.ids import AgentId, PlaceName, WorkerId
from almondspan_decisions.shapes import EMPTY_SHAPE
from almondspan_wire.membership import AgentHello, AgentStatus

__all__ = ["agent_hello", "agent_status"]


def agent_hello(agent_id: AgentId, place: PlaceName, parts: AgentParts) -> AgentHello:
    """Return the agent's first message on a channel."""
    info = parts.worker_info
    return AgentHello(
        agent_id,
        WorkerId("") if info is None else info.worker_id,
        place,
        EMPTY_SHAPE if info is None else info.capacity,
    )


def agent_status(
    sequence: int, is_draining: bool, config_revision: int, parts: AgentParts
) -> AgentStatus:
    """Return the agent's state now."""
    keeper, colocator = parts.keeper, parts.colocator
    return AgentStatus(
        sequence=sequence,
        free=parts.free(),
        n_tasks=parts.n_tasks(),
        draining=is_draining,
        config_revision=config_revision,
        owned=parts.host.owned(),
        runners=parts.admissions.statuses(),
        classes=() if keeper is None else keeper.classes(),
        resting=keeper is not None and keeper.is_resting,
        ladder_level=0 if colocator is None else colocator.ladder_level,
        cpu_used_millicores=0 if colocator is None else colocator.cpu_used_millicores,
        harms=() if colocator is None else colocator.harms(),
        peak_millicores=0 if colocator is None else colocator.peak_millicores,
    )
