"""Clients of the platform: its key-value service and its workers' API.

`store` and `worker` hold the two Protocols that the rest of almondspan sees;
adapters for a platform's published protocol register themselves in `registry`.
"""
