"""The components of an agent, with those that exist only next to a worker.

`AgentComponents` starts and closes the components in order of their dependencies and
gives defaults for the values that only an agent with a worker has.
"""

from dataclasses import dataclass

from almondspan_daemon.colocation import ColocationController
from almondspan_daemon.runner_admission_set import RunnerAdmissionSet
from almondspan_daemon.runner_signals import RunnerSignalSource
from almondspan_decisions.fleet import FleetConfig
from almondspan_decisions.ids import ShardId
from almondspan_decisions.shapes import EMPTY_SHAPE, Shape
from almondspan_platform.worker import Worker, WorkerInfo
from almondspan_tasks.attempt_agent import AttemptAgent
from almondspan_tasks.host import ShardHost

__all__ = ["AgentComponents"]


@dataclass(slots=True)
class AgentComponents:
    """The components of one agent; ``worker`` and what follows may be None."""

    admissions: RunnerAdmissionSet
    host: ShardHost
    worker: Worker | None = None
    worker_info: WorkerInfo | None = None
    attempt_agent: AttemptAgent | None = None
    colocation_controller: ColocationController | None = None

    def set_worker(
        self, worker: Worker, info: WorkerInfo, attempt_agent: AttemptAgent
    ) -> None:
        """Add a worker and its started attempt agent; call this before `start`."""
        self.worker = worker
        self.worker_info = info
        self.attempt_agent = attempt_agent
        self.colocation_controller = ColocationController(
            attempt_agent,
            [RunnerSignalSource(admission) for admission in self.admissions.admissions],
            worker,
            info.capacity.cpu_millicores,
        )

    async def start(self) -> None:
        """Start the runner admissions, the colocation controller and the shards."""
        await self.admissions.start()
        if self.colocation_controller is not None:
            await self.colocation_controller.start()
        await self.host.start()

    def owns_shard(self, shard_id: ShardId) -> bool:
        """Return whether the shard's owner is in this process."""
        return self.host.owner(shard_id) is not None

    def free(self) -> Shape:
        """Return the capacity that the attempt agent can grant now."""
        return EMPTY_SHAPE if self.attempt_agent is None else self.attempt_agent.free()

    def n_tasks(self) -> int:
        """Return the number of attempts that occupy capacity."""
        return 0 if self.attempt_agent is None else self.attempt_agent.n_tasks()

    def set_fleet(self, fleet: FleetConfig) -> None:
        """Apply a configuration to every component."""
        self.host.set_fleet(fleet)
        self.admissions.set_fleet(fleet)
        if self.colocation_controller is not None:
            self.colocation_controller.set_policy(fleet.policies.ladder)

    async def close(self) -> None:
        """Close each component before the components that it uses."""
        await self.host.close()
        if self.colocation_controller is not None:
            await self.colocation_controller.close()
        await self.admissions.close()
        if self.attempt_agent is not None:
            await self.attempt_agent.close()
        if self.worker is not None:
            await self.worker.close()
