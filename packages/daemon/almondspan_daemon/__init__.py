"""The processes of almondspan: settings, supervision, and the entry and agent roles."""
