"""A complete administration API with in-memory replacements for its dependencies."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer

from almondspan_admin.api import AdminApi, AdminOptions
from almondspan_admin.auth import token_digest
from almondspan_admin.config_client import ConfigClient, ConfigClientOptions
from almondspan_admin.config_submit import SubmitOptions
from almondspan_admin.fleet_view import AgentSummary, ChangeResult, ShardSummary
from almondspan_decisions.ids import AgentId, Epoch, JobId, ShardId
from almondspan_decisions.outcomes import Outcome, OutcomeKind
from almondspan_decisions.shapes import Shape
from almondspan_decisions.tasks import JobSpec
from almondspan_standins.memory_store import MemoryStore
from almondspan_standins.store_core import StoreCore
from almondspan_tasks.job_client import (
    JobState,
    JobStatus,
    OrderLedger,
    OwnerUnavailable,
    SubmitResult,
    SubmitState,
)

NOW_UNIX_S = 1_765_000_000.0
BOOTSTRAP = "bootstrap-token"

FLEET = f"""
[[teams]]
name = "operators"
quota_share = 1.0
token_sha256 = "{token_digest("operator-token")}"
operator = true
[[teams]]
name = "archive"
quota_share = 0.5
token_sha256 = "{token_digest("archive-token")}"
[[teams]]
name = "water"
quota_share = 0.5
token_sha256 = "{token_digest("water-token")}"
max_requests_per_s = 2.0
[[task_classes]]
name = "validate"
cpu_millicores = 1000
memory_mb = 500
[[orders]]
name = "return-2026"
team = "archive"
deadline = 2026-12-20T08:00:00Z
stages = ["validate"]
"""


@dataclass
class MemoryJobClient:
    """Keeps jobs in memory and ends them at once; `unavailable` simulates no owner."""

    jobs: dict[JobId, JobSpec] = field(default_factory=dict)
    cancelled: set[JobId] = field(default_factory=set)
    unavailable: bool = False
    n_shards_missing: int = 0

    async def submit(self, jobs):
        if self.unavailable:
            return OwnerUnavailable("no owner")
        return tuple(self._submit(job) for job in jobs)

    def _submit(self, job):
        held = self.jobs.setdefault(job.job_id, job)
        if held is job:
            return SubmitResult(job.job_id, SubmitState.ACCEPTED)
        known = held == job
        state = SubmitState.ALREADY_KNOWN if known else SubmitState.CONFLICT
        return SubmitResult(job.job_id, state)

    async def cancel(self, team, job_ids):
        if self.unavailable:
            return OwnerUnavailable("no owner")
        self.cancelled.update(job_ids)
        return tuple(self._status(team, job_id) for job_id in job_ids)

    async def status(self, team, job_ids):
        if self.unavailable:
            return OwnerUnavailable("no owner")
        return tuple(self._status(team, job_id) for job_id in job_ids)

    def _status(self, team, job_id):
        job = self.jobs.get(job_id)
        if job is None or job.team != team:
            return JobStatus(job_id, JobState.ABSENT)
        kind = OutcomeKind.CANCELLED if job_id in self.cancelled else OutcomeKind.DONE
        return JobStatus(
            job_id,
            JobState.ENDED,
            stage_index=len(job.stages) - 1,
            n_stages=len(job.stages),
            outcome=Outcome(kind, result=b"\x00\xff"),
            order_name=job.order_name,
            record_name=job.record_name,
            ended_unix_s=NOW_UNIX_S,
        )

    async def order(self, team, order_name):
        if self.unavailable:
            return OwnerUnavailable("no owner")
        jobs = tuple(
            self._status(team, job.job_id)
            for job in self.jobs.values()
            if job.order_name == order_name and job.team == team
        )
        return OrderLedger(order_name, jobs, self.n_shards_missing)


@dataclass
class MemoryFleet:
    """A fleet of a few agents; records the operators' requests."""

    summaries: tuple[AgentSummary, ...] = ()
    drained: list[AgentId] = field(default_factory=list)
    resumed: list[AgentId] = field(default_factory=list)
    lost: list[tuple[str, ...]] = field(default_factory=list)

    def agents(self):
        return self.summaries

    def shards(self):
        return (ShardSummary(ShardId(0), AgentId("agent-1"), Epoch(3)),)

    async def burn(self):
        return ()

    async def drain(self, agent_id, resume=False):
        if agent_id not in {agent.agent_id for agent in self.summaries}:
            return ChangeResult.NOT_FOUND
        self.drained += [] if resume else [agent_id]
        self.resumed += [agent_id] if resume else []
        return ChangeResult.DONE

    async def declare_lost(self, workers):
        self.lost.append(workers)
        return ChangeResult.DONE


def agent(name, place="suva", revision=1, silent_s=0.5, n_tasks=2):
    return AgentSummary(
        agent_id=AgentId(name),
        worker_id=f"worker-of-{name}",
        place=place,
        capacity=Shape(16_000, 60_000, 0),
        free=Shape(8_000, 30_000, 0),
        n_tasks=n_tasks,
        draining=False,
        resting=False,
        config_revision=revision,
        silent_s=silent_s,
    )


class Api:
    """A running API with its components, and an HTTP client with a team's token."""

    def __init__(self, config_client, job_client, fleet, core, store, api, client):
        self.config_client, self.job_client, self.fleet = (
            config_client,
            job_client,
            fleet,
        )
        self.core, self.store, self.api, self.client = core, store, api, client

    async def call(self, method, path, token="operator-token", json=None, data=None):
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        async with self.client.request(
            method, path, headers=headers, json=json, data=data
        ) as response:
            return response.status, await response.json()


@asynccontextmanager
async def running_api(toml: str = FLEET, **options) -> AsyncIterator[Api]:
    """Serve an API; a non-empty `toml` is submitted as revision 1."""
    loop = asyncio.get_running_loop()
    core = StoreCore(loop.time)
    store = MemoryStore(core)
    submit = SubmitOptions(timeout_s=0.2, retry_s=0.01)
    config_client = ConfigClient(
        store, lambda push: None, ConfigClientOptions(submit=submit)
    )
    job_client, fleet = (
        MemoryJobClient(),
        MemoryFleet((agent("agent-1"), agent("agent-2"))),
    )
    options = {"wall_clock": lambda: NOW_UNIX_S, "max_requests_per_s": 1000} | options
    api = AdminApi(
        job_client,
        config_client,
        fleet,
        AdminOptions(bootstrap_token_sha256=token_digest(BOOTSTRAP), **options),
    )
    app = web.Application()
    api.add_routes(app)
    server = TestServer(app)
    await server.start_server(access_log=None)
    async with TestClient(server) as client:
        running = Api(config_client, job_client, fleet, core, store, api, client)
        if toml:
            body = {"expected_revision": 0, "toml": toml}
            status, answer = await running.call("POST", "/v1/config", BOOTSTRAP, body)
            assert status == 200, answer
        yield running
