"""Types of all identifiers."""

from typing import NewType

__all__ = [
    "AgentId",
    "CallerId",
    "Epoch",
    "EntryId",
    "JobId",
    "OrderName",
    "PlaceName",
    "RegionName",
    "RequestId",
    "ServiceName",
    "ShardId",
    "TaskClass",
    "TaskId",
    "TeamName",
    "WorkerId",
]

AgentId = NewType("AgentId", str)
"""One run of one agent process; a restarted agent has a new id."""

WorkerId = NewType("WorkerId", str)
"""A worker machine; it keeps its id when its agent restarts."""

EntryId = NewType("EntryId", str)
"""One run of one entry process."""

JobId = NewType("JobId", str)
"""A job, named by its submitter; submitting it twice results in one job."""

TaskId = NewType("TaskId", str)
"""One stage of a job: ``<job id>/<stage index>``."""

ShardId = NewType("ShardId", int)
"""A partition of the jobs of a region, from 0 to ``n_shards`` - 1."""

Epoch = NewType("Epoch", int)
"""Counts the owners of a shard; incremented by compare-and-swap at each takeover."""

RequestId = NewType("RequestId", str)
"""A request of a caller to a service."""

CallerId = NewType("CallerId", str)
"""A sender of requests to a service."""

ServiceName = NewType("ServiceName", str)
TeamName = NewType("TeamName", str)
OrderName = NewType("OrderName", str)
PlaceName = NewType("PlaceName", str)
RegionName = NewType("RegionName", str)
TaskClass = NewType("TaskClass", str)
"""Tasks of one class are expected to behave alike (``alignment``, ``validation``)."""
