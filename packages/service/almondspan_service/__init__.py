"""Calls of services: routing at the entry, admission at the agent, the runner."""
