"""Dispatches the messages of entries to the components of an agent."""

from almondspan_admin.active_config import ActiveConfig
from almondspan_admin.burn_collect import answer_burn
from almondspan_admin.burn_messages import BurnAsk
from almondspan_admin.config_fetcher import ConfigRequest
from almondspan_daemon.agent_components import AgentComponents
from almondspan_daemon.agent_drain import AgentDrain
from almondspan_daemon.burn_evidence import RunnerBurnEvidence
from almondspan_daemon.candidate_finder import CandidateFinder
from almondspan_daemon.entry_links import EntryLinks
from almondspan_daemon.message_routing import AgentMessageRouter
from almondspan_decisions.ids import EntryId
from almondspan_wire.codec import Message
from almondspan_wire.membership import (
    CandidatesFound,
    ConfigPush,
    DrainRequest,
    NominateOwner,
    ReleaseShard,
    RoutedMessage,
)

__all__ = ["AgentDispatcher"]


class AgentDispatcher:
    """The agent's `LinkListener`; dispatches each message by its type.

    It keeps the latest accepted configuration push, to answer an entry that lacks it.
    """

    def __init__(
        self,
        components: AgentComponents,
        drain: AgentDrain,
        links: EntryLinks,
        router: AgentMessageRouter,
        finder: CandidateFinder,
        active_config: ActiveConfig,
    ) -> None:
        self._components = components
        self._drain = drain
        self._links = links
        self._router = router
        self._finder = finder
        self._active_config = active_config
        self._push: ConfigPush | None = None

    def entry_joined(self, entry_id: EntryId) -> None:
        """Do nothing: `EntryLinks` sends the status when a channel opens."""

    def entry_left(self, entry_id: EntryId) -> None:
        """Notify the runner admissions that this entry is unreachable."""
        self._components.admissions.entry_left(entry_id)

    def on_entry_message(self, entry_id: EntryId, body: Message) -> None:
        """Pass a message to the component that handles its type."""
        match body:
            case RoutedMessage():
                self._router.receive(body)
            case CandidatesFound():
                self._finder.on_found(body)
            case NominateOwner():
                self._components.host.nominate(body.shard_id)
            case ReleaseShard():
                self._components.host.release(body.shard_id, body.epoch)
            case ConfigPush():
                self._accept_config(body)
            case ConfigRequest():
                self._answer(entry_id, self._push)
            case BurnAsk():
                self._answer(entry_id, answer_burn(body, self._evidence()))
            case DrainRequest():
                self._drain.on_request(body)
            case _:
                self._components.admissions.on_message(entry_id, body)

    def _accept_config(self, push: ConfigPush) -> None:
        if not self._active_config.accept(push):
            return
        self._components.set_fleet(self._active_config.fleet)
        self._push = push
        self._links.status_changed()

    def _answer(self, entry_id: EntryId, body: Message | None) -> None:
        if body is not None:
            self._links.post(entry_id, body)

    def _evidence(self) -> list[RunnerBurnEvidence]:
        colocation_controller = self._components.colocation_controller
        return [
            RunnerBurnEvidence(admission, colocation_controller)
            for admission in self._components.admissions.admissions
        ]
