"""Runs the command with ``python -m almondspan_daemon``."""

from almondspan_daemon.command import main

if __name__ == "__main__":
    main()
