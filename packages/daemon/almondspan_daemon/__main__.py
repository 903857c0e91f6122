"""Lets ``python -m almondspan_daemon`` run the command."""

from almondspan_daemon.command import main

if __name__ == "__main__":
    main()
