"""The entry's client of the shard owners, for callers' requests.

Each request is sent to the owner of the shard and repeated until it is answered or
times out. Requests are idempotent at the owner, so a repetition after a lost answer,
or one that reaches the next owner, changes nothing.
"""

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import TypeVar

from almondspan_decisions.ids import (
    AgentId,
    EntryId,
    JobId,
    OrderName,
    RequestId,
    ShardId,
    TeamName,
    WorkerId,
)
from almondspan_decisions.outcomes import Outcome
from almondspan_decisions.tasks import JobSpec, shard_of_job
from almondspan_tasks.job_client import (
    Claim,
    ClaimState,
    JobState,
    JobStatus,
    OrderLedger,
    OwnerUnavailable,
    SubmitResult,
    SubmitState,
)
from almondspan_tasks.options import ShardClientOptions
from almondspan_tasks.state import spec_bytes
from almondspan_wire.codec import Message
from almondspan_wire.messaging import MessageSender
from almondspan_wire.task_messages import (
    CancelJobs,
    ClaimAnswer,
    ClaimRequest,
    DeclareLost,
    JobAnswer,
    JobView,
    LossAnswer,
    OrderAnswer,
    OrderQuery,
    SettleAnswer,
    SettleClaim,
    StatusQuery,
    SubmitAnswer,
    SubmitJobs,
)

__all__ = ["ShardClient"]

AnyAnswer = TypeVar("AnyAnswer", bound=Message)
AnyItem = TypeVar("AnyItem")


class ShardClient:
    """Implements `JobClient` and `ClaimStore` by requests to the owners of shards."""

    def __init__(
        self,
        entry_id: EntryId,
        outbox: MessageSender,
        owner_of: Callable[[ShardId], AgentId | None],
        options: ShardClientOptions,
        rng: random.Random,
        n_shards: int,
    ) -> None:
        self._entry_id = entry_id
        self._outbox = outbox
        self._owner_of = owner_of
        self._options = options
        self._rng = rng
        self._n_shards = n_shards
        self._waiting: dict[str, asyncio.Future[Message]] = {}
        self._is_open = False

    async def start(self) -> None:
        """Start to accept requests."""
        self._is_open = True

    async def close(self) -> None:
        """End all pending requests as unanswered."""
        self._is_open = False
        for future in self._waiting.values():
            future.cancel()

    def on_routed_message(self, sender: str, body: Message) -> None:
        """Pass an answer to the request that waits for it."""
        question_id = getattr(body, "question_id", None)
        future = self._waiting.get(question_id) if question_id else None
        if future is not None and not future.done():
            future.set_result(body)

    # Jobs.

    async def submit(
        self, jobs: tuple[JobSpec, ...]
    ) -> tuple[SubmitResult, ...] | OwnerUnavailable:
        """Submit jobs; returns once they are committed."""
        batches = [
            (shard_id, batch)
            for shard_id, specs in self._by_shard(jobs, lambda spec: spec.job_id)
            for batch in self._batches(specs)
        ]
        answers = await asyncio.gather(
            *(self._submit_batch(shard_id, batch) for shard_id, batch in batches)
        )
        found: dict[JobId, SubmitResult] = {}
        for answer in answers:
            if answer is None:
                return OwnerUnavailable("no owner answered; a job may have been stored")
            for verdict in answer.verdicts:
                found[verdict.job_id] = SubmitResult(
                    verdict.job_id, SubmitState(verdict.state), verdict.reason
                )
        return tuple(found[spec.job_id] for spec in jobs)

    async def _submit_batch(
        self, shard_id: ShardId, batch: list[JobSpec]
    ) -> SubmitAnswer | None:
        body = SubmitJobs(shard_id, self._new_question_id(), tuple(batch))
        return await self._send_request(shard_id, body.question_id, body, SubmitAnswer)

    def _batches(self, specs: Sequence[JobSpec]) -> list[list[JobSpec]]:
        batches: list[list[JobSpec]] = [[]]
        n_bytes = 0
        for spec in specs:
            size = len(spec_bytes(spec))
            is_full = (
                len(batches[-1]) >= self._options.batch_jobs
                or n_bytes + size > self._options.batch_bytes
            )
            if batches[-1] and is_full:
                batches.append([])
                n_bytes = 0
            batches[-1].append(spec)
            n_bytes += size
        return batches

    async def cancel(
        self, team: TeamName, job_ids: tuple[JobId, ...]
    ) -> tuple[JobStatus, ...] | OwnerUnavailable:
        """Cancel jobs of a team; returns once the cancellations are committed."""
        return await self._request_jobs(
            job_ids,
            lambda shard_id, question_id, ids: CancelJobs(
                shard_id, question_id, team, ids
            ),
        )

    async def status(
        self, team: TeamName, job_ids: tuple[JobId, ...]
    ) -> tuple[JobStatus, ...] | OwnerUnavailable:
        """Return the state of jobs of a team."""
        return await self._request_jobs(
            job_ids,
            lambda shard_id, question_id, ids: StatusQuery(
                shard_id, question_id, team, ids
            ),
        )

    async def _request_jobs(
        self,
        job_ids: tuple[JobId, ...],
        build: Callable[[ShardId, str, tuple[JobId, ...]], Message],
    ) -> tuple[JobStatus, ...] | OwnerUnavailable:
        requests: list[asyncio.Task[JobAnswer | None]] = []
        for shard_id, ids in self._by_shard(job_ids, lambda job_id: job_id):
            question_id = self._new_question_id()
            body = build(shard_id, question_id, tuple(ids))
            work = self._send_request(shard_id, question_id, body, JobAnswer)
            requests.append(asyncio.create_task(work))
        found: dict[JobId, JobStatus] = {}
        for answer in await asyncio.gather(*requests):
            if answer is None:
                return OwnerUnavailable("no owner answered")
            for view in answer.jobs:
                found[view.job_id] = _status(view)
        return tuple(found[job_id] for job_id in job_ids)

    async def order(
        self, team: TeamName, order_name: OrderName
    ) -> OrderLedger | OwnerUnavailable:
        """Return the ledger of an order of a team."""
        parts = await asyncio.gather(
            *(
                self._shard_order(ShardId(number), team, order_name)
                for number in range(self._n_shards)
            )
        )
        jobs: list[JobStatus] = []
        n_missing = 0
        for part in parts:
            if part is None:
                n_missing += 1
            else:
                jobs += part
        jobs.sort(key=lambda status: status.job_id)
        return OrderLedger(order_name, tuple(jobs), n_missing)

    async def _shard_order(
        self, shard_id: ShardId, team: TeamName, order_name: OrderName
    ) -> list[JobStatus] | None:
        jobs: list[JobStatus] = []
        after = JobId("")
        while True:
            question_id = self._new_question_id()
            body = OrderQuery(shard_id, question_id, team, order_name, after)
            answer = await self._send_request(shard_id, question_id, body, OrderAnswer)
            if answer is None:
                return None
            jobs += [_status(view) for view in answer.jobs]
            if not answer.more or not answer.jobs:
                return jobs
            after = answer.jobs[-1].job_id

    async def declare_lost(
        self, workers: tuple[WorkerId, ...]
    ) -> int | OwnerUnavailable:
        """Close all attempts on lost workers, in all shards.

        Returns the number of closed attempts. When a shard did not answer, the
        declaration may be repeated.
        """
        answers = await asyncio.gather(
            *(
                self._declare_lost(ShardId(number), workers)
                for number in range(self._n_shards)
            )
        )
        n_attempts = 0
        for answer in answers:
            if answer is None:
                return OwnerUnavailable("not all shards answered; declare it again")
            n_attempts += answer.n_attempts
        return n_attempts

    async def _declare_lost(
        self, shard_id: ShardId, workers: tuple[WorkerId, ...]
    ) -> LossAnswer | None:
        question_id = self._new_question_id()
        body = DeclareLost(shard_id, question_id, workers)
        return await self._send_request(shard_id, question_id, body, LossAnswer)

    # Claims.

    async def claim(self, request_id: RequestId, nonce: str) -> Claim:
        """Claim a request; repeating a claim with the same nonce is idempotent."""
        shard_id = shard_of_job(JobId(request_id), self._n_shards)
        question_id = self._new_question_id()
        body = ClaimRequest(shard_id, question_id, request_id, nonce)
        answer = await self._send_request(shard_id, question_id, body, ClaimAnswer)
        if answer is None:
            return Claim(ClaimState.UNAVAILABLE, None, "no owner answered")
        return Claim(ClaimState(answer.state), answer.outcome, answer.reason)

    async def settle(self, request_id: RequestId, outcome: Outcome) -> bool:
        """Record the outcome of a claimed request; False when it was not recorded."""
        shard_id = shard_of_job(JobId(request_id), self._n_shards)
        question_id = self._new_question_id()
        body = SettleClaim(shard_id, question_id, request_id, outcome)
        answer = await self._send_request(shard_id, question_id, body, SettleAnswer)
        return answer is not None and answer.recorded

    # Requests.

    def _new_question_id(self) -> str:
        return f"{self._entry_id}:{self._rng.getrandbits(64):016x}"

    def _by_shard(
        self, items: Sequence[AnyItem], job_of: Callable[[AnyItem], JobId]
    ) -> list[tuple[ShardId, list[AnyItem]]]:
        groups: dict[ShardId, list[AnyItem]] = {}
        for item in items:
            shard_id = shard_of_job(job_of(item), self._n_shards)
            groups.setdefault(shard_id, []).append(item)
        return list(groups.items())

    async def _send_request(
        self,
        shard_id: ShardId,
        question_id: str,
        body: Message,
        kind: type[AnyAnswer],
    ) -> AnyAnswer | None:
        """Repeat a request until it is answered; None at the timeout."""
        if not self._is_open:
            return None
        future: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self._waiting[question_id] = future
        try:
            async with asyncio.timeout(self._options.timeout_s):
                answer = await self._repeat(shard_id, body, future)
        except TimeoutError:
            return None
        except asyncio.CancelledError:
            if self._is_open:
                raise
            return None
        finally:
            del self._waiting[question_id]
        return answer if isinstance(answer, kind) else None

    async def _repeat(
        self, shard_id: ShardId, body: Message, future: asyncio.Future[Message]
    ) -> Message:
        while True:
            owner = self._owner_of(shard_id)
            if owner is not None:
                self._outbox.send(owner, body)
            pause_s = self._options.repeat_s * (0.8 + 0.4 * self._rng.random())
            done, _ = await asyncio.wait({future}, timeout=pause_s)
            if done:
                return future.result()


def _status(view: JobView) -> JobStatus:
    return JobStatus(
        job_id=view.job_id,
        state=JobState(view.state),
        stage_index=view.stage_index,
        n_stages=view.n_stages,
        n_attempts=view.n_attempts,
        n_evictions=view.n_evictions,
        waiting_reason=view.waiting_reason,
        outcome=view.outcome,
        order_name=view.order_name,
        record_name=view.record_name,
        ended_unix_s=view.ended_unix_s,
    )
