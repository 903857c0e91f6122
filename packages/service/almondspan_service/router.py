"""Routes callers' HTTP requests from an entry to the agents of runners.

The router learns of runners from the agents' hello and status messages. It runs each
call through an `EntryCall`. A call is answered without being sent while the router
drains, when the caller has too many calls in flight, or when the request id was
claimed by an earlier call.
"""

import asyncio
import logging
from collections.abc import Coroutine
from random import Random

from aiohttp import web

from almondspan_decisions.fleet import FleetConfig, ServiceConfig
from almondspan_decisions.ids import AgentId, EntryId, PlaceName, ServiceName
from almondspan_decisions.outcomes import Outcome, OutcomeKind
from almondspan_service.call_spec import AnswerSink, BodyReader, CallSpec
from almondspan_service.caller_shares import CallerShares
from almondspan_service.claim_client import ClaimClient
from almondspan_service.dispatcher import Dispatcher, SendToAgent
from almondspan_service.entry_call import EntryCall
from almondspan_service.http_calls import (
    BadRequest,
    HttpBody,
    HttpSink,
    duplicate_response,
    error_response,
    parse_request,
)
from almondspan_service.router_counters import RouterCounters
from almondspan_service.router_options import RouterOptions
from almondspan_service.runner_table import RunnerTable
from almondspan_tasks.job_client import Claim, ClaimState, ClaimStore
from almondspan_wire.codec import Message
from almondspan_wire.membership import AgentHello, AgentStatus

__all__ = ["RouterOptions", "ServiceRouter"]

_LOGGER = logging.getLogger(__name__)

CALL_ROUTES = ("/call/{service}", "/call/{service}/{path:.*}")


class ServiceRouter:
    """Routes callers' requests to runners.

    Parameters
    ----------
    entry_id : the entry.
    place : the entry's place.
    send : sends a message to an agent; returns False when the channel is lost.
    claims : stores claims of non-idempotent requests.
    options : limits and time-outs.
    rng : random number generator.
    """

    def __init__(
        self,
        entry_id: EntryId,
        place: PlaceName,
        send: SendToAgent,
        claims: ClaimStore,
        options: RouterOptions,
        rng: Random,
    ) -> None:
        self._claims = claims
        self._claim_client = ClaimClient(claims)
        self._options = options
        self.counters = RouterCounters()
        self._table = RunnerTable(entry_id, place, options, self.counters, rng)
        self._dispatcher = Dispatcher(self._table, send, options, self.counters, rng)
        self._shares = CallerShares(options.max_in_flight)
        self._services: dict[ServiceName, ServiceConfig] = {}
        self._draining = False
        self._idle = asyncio.Event()
        self._idle.set()
        self._background: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Do nothing; present for symmetry with `close`."""

    async def close(self) -> None:
        """Cancel the work in the background; call `drain` first to let it finish."""
        self._draining = True
        for task in self._background:
            task.cancel()
        await asyncio.gather(*self._background, return_exceptions=True)
        await self._dispatcher.finish()

    async def drain(self) -> None:
        """Refuse new calls and wait until those in flight have ended.

        Outcomes are recorded with their claims if that succeeds in time.
        """
        self._draining = True
        _LOGGER.info("draining %d calls", self.n_in_flight())
        await self._idle.wait()
        if self._background:
            await asyncio.wait(
                self._background, timeout=self._options.claim_settle_wait_s
            )

    def n_in_flight(self) -> int:
        """Return the number of calls in flight."""
        return self._shares.n_in_flight

    def n_open_attempts(self) -> int:
        """Return the number of open attempts."""
        return self._dispatcher.n_open()

    def add_routes(self, app: web.Application) -> None:
        """Register the HTTP routes for calls, with all methods."""
        for route in CALL_ROUTES:
            app.router.add_route("*", route, self._handle)

    def set_fleet(self, fleet: FleetConfig) -> None:
        """Apply the services and the routing policy of a configuration."""
        self._services = {service.name: service for service in fleet.services}
        if not self._table.set_policy(fleet.policies.routing):
            _LOGGER.warning("unknown routing policy %r", fleet.policies.routing)

    def agent_joined(self, agent_id: AgentId, hello: AgentHello) -> None:
        """Add an agent whose channel has opened."""
        self._table.agent_joined(agent_id, hello)
        self._dispatcher.agent_joined(agent_id)

    def on_status(self, agent_id: AgentId, status: AgentStatus) -> None:
        """Update the load of an agent's runners."""
        self._table.on_status(agent_id, status, _now_s())

    def agent_left(self, agent_id: AgentId) -> None:
        """Remove an agent whose channel was lost, and mark its attempts as lost."""
        self._table.agent_left(agent_id, _now_s())
        self._dispatcher.agent_left(agent_id)

    def on_message(self, agent_id: AgentId, message: Message) -> bool:
        """Handle a message of an agent; False when it is not about a call."""
        return self._dispatcher.on_message(agent_id, message)

    async def call(
        self, spec: CallSpec, body: BodyReader, sink: AnswerSink
    ) -> Outcome | Claim:
        """Run one call.

        Returns its outcome, also when the answer was sent to `sink`; or the earlier
        claim if its request id is taken.
        """
        if self._draining:
            return _refused_outcome(spec, "the entry is draining")
        if not self._shares.admit(spec.caller):
            self.counters.n_refused_callers += 1
            return _refused_outcome(spec, "the caller has too many calls in flight")
        self._idle.clear()
        try:
            ended = await self._process(spec, body, sink)
            if isinstance(ended, Outcome):
                self.counters.n_outcomes[ended.kind] += 1
            return ended
        finally:
            self._shares.release(spec.caller)
            if self._shares.n_in_flight == 0:
                self._idle.set()

    async def _process(
        self, spec: CallSpec, body: BodyReader, sink: AnswerSink
    ) -> Outcome | Claim:
        call = EntryCall(spec, body, sink, self._dispatcher)
        body_error = await call.read_first_part()
        if body_error:
            return _refused_outcome(spec, body_error)
        if not spec.idempotent:
            claim = await self._claim_client.claim(spec)
            if claim.state is ClaimState.TAKEN:
                return claim
            if claim.state is ClaimState.UNAVAILABLE:
                return _refused_outcome(
                    spec, f"the request could not be claimed: {claim.reason}"
                )
        return await self._run_attempts(spec, call)

    async def _run_attempts(self, spec: CallSpec, call: EntryCall) -> Outcome:
        outcome: Outcome | None = None
        try:
            outcome = await call.run()
            return outcome
        finally:
            call.abandon()
            if not spec.idempotent:
                self._start_background(self._settle(spec, call, outcome))

    async def _settle(
        self, spec: CallSpec, call: EntryCall, outcome: Outcome | None
    ) -> None:
        if call.has_undecided_attempt() or outcome is None:
            outcome = await call.await_late_outcome()
        await self._claims.settle(spec.request_id, outcome)

    def _start_background(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        spec = parse_request(
            request, self._default_timeout_ms(request), self._options.max_timeout_ms
        )
        if isinstance(spec, BadRequest):
            return web.Response(
                status=400, text=spec.reason, headers={"X-Outcome": "not_run"}
            )
        sink = HttpSink(request, spec)
        ended = await self.call(spec, HttpBody(request), sink)
        if sink.response is not None:
            return sink.response
        if isinstance(ended, Claim):
            return duplicate_response(spec, ended.outcome)
        return error_response(spec, ended)

    def _default_timeout_ms(self, request: web.Request) -> float:
        service = self._services.get(ServiceName(request.match_info["service"]))
        if service is None:
            return self._options.default_timeout_ms
        return service.default_timeout_ms


def _refused_outcome(spec: CallSpec, reason: str) -> Outcome:
    """Return the outcome of a call that was not sent and holds no claim.

    If the caller chose the request id, an earlier call with it may have run.
    """
    if spec.idempotent or spec.generated_id:
        return Outcome(OutcomeKind.NOT_RUN, reason)
    reason = f"not sent: {reason}; an earlier request with this id may have run"
    return Outcome(OutcomeKind.UNKNOWN, reason)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
