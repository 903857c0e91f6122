"""The parts of an agent that admit work, and what depends on its having a worker."""

from dataclasses import dataclass

from almondspan_daemon.colocation import Colocator
from almondspan_daemon.colocation_views import RunnerServiceView
from almondspan_daemon.runner_admission_set import RunnerAdmissionSet
from almondspan_decisions.fleet import FleetConfig
from almondspan_decisions.ids import ShardId
from almondspan_decisions.shapes import EMPTY_SHAPE, Shape
from almondspan_platform.worker import Worker, WorkerInfo
from almondspan_tasks.host import ShardHost
from almondspan_tasks.keeper import AttemptKeeper

__all__ = ["AgentParts"]


@dataclass(slots=True)
class AgentParts:
    """The gates, the shards, and with a worker its keeper and its colocator."""

    admissions: RunnerAdmissionSet
    host: ShardHost
    worker: Worker | None = None
    worker_info: WorkerInfo | None = None
    keeper: AttemptKeeper | None = None
    colocator: Colocator | None = None

    def set_worker(
        self, worker: Worker, info: WorkerInfo, keeper: AttemptKeeper
    ) -> None:
        """Add a worker with its started keeper, before `start`."""
        self.worker = worker
        self.worker_info = info
        self.keeper = keeper
        self.colocator = Colocator(
            keeper,
            [RunnerServiceView(admission) for admission in self.admissions.admissions],
            worker,
            info.capacity.cpu_millicores,
        )

    async def start(self) -> None:
        """Start the gates, the colocator and the shards."""
        await self.admissions.start()
        if self.colocator is not None:
            await self.colocator.start()
        await self.host.start()

    def owns_shard(self, shard_id: ShardId) -> bool:
        """Tell whether the shard's owner is in this process."""
        return self.host.owner(shard_id) is not None

    def free(self) -> Shape:
        """Return the room that the keeper would grant now."""
        return EMPTY_SHAPE if self.keeper is None else self.keeper.free()

    def n_tasks(self) -> int:
        """Return the number of attempts that take room."""
        return 0 if self.keeper is None else self.keeper.n_tasks()

    def set_fleet(self, fleet: FleetConfig) -> None:
        """Hand a configuration to every part."""
        self.host.set_fleet(fleet)
        self.admissions.set_fleet(fleet)
        if self.colocator is not None:
            self.colocator.set_policy(fleet.policies.ladder)

    async def close(self) -> None:
        """Close the parts; who uses another one goes first."""
        await self.host.close()
        if self.colocator is not None:
            await self.colocator.close()
        await self.admissions.close()
        if self.keeper is not None:
            await self.keeper.close()
        if self.worker is not None:
            await self.worker.close()
