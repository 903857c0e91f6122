"""The path of a request: entry, agent, runner."""
