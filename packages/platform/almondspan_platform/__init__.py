"""Clients of the platform's key-value store and of its workers' API.

`store` and `worker` define the Protocols `Store` and `Worker` that almondspan's other
packages use; `group_store` and `task_worker` define `GroupStore` and `TaskWorker` for
platforms with atomic groups of writes and with one lease per worker. Adapters of
`Store` and `Worker` register themselves in `registry`.
"""
