"""Shards, attempts and recovery of tasks.

Jobs are stored in shards. The owner of a shard (`ShardOwner`) places its jobs and
commits every decision to the store. The agent of a worker (`AttemptAgent`) admits
attempts to that worker, runs them and reports how they ended. An entry
(`ShardClient`) forwards callers' requests to the owners of the shards.
"""
