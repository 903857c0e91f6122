"""Limits how many commands of one kind an agent has under way at its worker.

Commands wait for a slot in the order of their arrival. A waiting command can be
withdrawn: it then never leaves the agent.
"""

import asyncio
from collections.abc import Callable, Hashable
from typing import Final, Generic, TypeVar

__all__ = ["CommandSlots"]

Key = TypeVar("Key", bound=Hashable)


class CommandSlots(Generic[Key]):
    """Slots for commands, each of which is identified by a key while it waits."""

    def __init__(self, n_slots: int) -> None:
        self._n_free = n_slots
        self._waiting: Final[dict[Key, asyncio.Future[bool]]] = {}

    def is_waiting(self, key: Key) -> bool:
        """Return whether a command with this key waits for a slot."""
        return key in self._waiting

    async def acquire(self, key: Key) -> bool:
        """Wait for a slot; return False if the command was withdrawn meanwhile."""
        if self._n_free:
            self._n_free -= 1
            return True
        turn: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._waiting[key] = turn
        try:
            return await turn
        finally:
            if self._waiting.get(key) is turn:
                del self._waiting[key]

    def release(self) -> None:
        """Give the slot to the command that has waited for longest."""
        if self._waiting:
            self._waiting.pop(next(iter(self._waiting))).set_result(True)
        else:
            self._n_free += 1

    def withdraw(self, is_withdrawn: Callable[[Key], bool]) -> list[Key]:
        """Withdraw waiting commands; return their keys."""
        keys = [key for key in self._waiting if is_withdrawn(key)]
        for key in keys:
            self._waiting.pop(key).set_result(False)
        return keys
