"""Builds the messages that describe an agent: `AgentHello` and `AgentStatus`."""

from almondspan_daemon.agent_components import AgentComponents
from almondspan_decisions.ids import AgentId, PlaceName, WorkerId
from almondspan_decisions.shapes import EMPTY_SHAPE
from almondspan_wire.membership import AgentHello, AgentStatus

__all__ = ["agent_hello", "agent_status"]


def agent_hello(
    agent_id: AgentId, place: PlaceName, components: AgentComponents
) -> AgentHello:
    """Return the first message that the agent sends on a channel."""
    info = components.worker_info
    return AgentHello(
        agent_id,
        WorkerId("") if info is None else info.worker_id,
        place,
        EMPTY_SHAPE if info is None else info.capacity,
    )


def agent_status(
    sequence: int, is_draining: bool, config_revision: int, components: AgentComponents
) -> AgentStatus:
    """Return the current state of the agent."""
    attempt_agent, colocation_controller = (
        components.attempt_agent,
        components.colocation_controller,
    )
    return AgentStatus(
        sequence=sequence,
        free=components.free(),
        n_tasks=components.n_tasks(),
        draining=is_draining,
        config_revision=config_revision,
        owned=components.host.owned(),
        runners=components.admissions.statuses(),
        classes=() if attempt_agent is None else attempt_agent.classes(),
        resting=attempt_agent is not None and attempt_agent.is_resting,
        ladder_level=0
        if colocation_controller is None
        else colocation_controller.escalation_level,
        cpu_used_millicores=0
        if colocation_controller is None
        else colocation_controller.cpu_used_millicores,
        slowdowns=()
        if colocation_controller is None
        else colocation_controller.worst_slowdowns(),
        peak_millicores=0
        if colocation_controller is None
        else colocation_controller.peak_millicores,
    )
