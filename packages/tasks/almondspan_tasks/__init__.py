"""Shards, attempts and recovery of tasks.

The owner's half (`ShardOwner`) decides and commits; the agent's half
(`AttemptKeeper`) admits, runs and answers; the entry's half (`ShardDesk`) carries
what callers ask to the owners.
"""
