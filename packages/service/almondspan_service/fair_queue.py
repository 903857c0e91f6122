"""A bounded queue that is fair between callers.

Callers are served round robin, and each caller's items in the order of arrival. When
the queue is full, the newest item of the caller with the most items is dropped. This
may be the item just added.
"""

from collections import OrderedDict, deque
from typing import Generic, TypeVar

from almondspan_decisions.ids import CallerId

__all__ = ["FairQueue"]

Item = TypeVar("Item")


class FairQueue(Generic[Item]):
    """Queue of at most `n_max` items, by caller."""

    def __init__(self, n_max: int) -> None:
        self._n_max = n_max
        self._n_items = 0
        self._by_caller: OrderedDict[CallerId, deque[Item]] = OrderedDict()

    def __len__(self) -> int:
        return self._n_items

    def push(self, caller: CallerId, item: Item) -> Item | None:
        """Add an item; returns the dropped item if the queue was full."""
        items = self._by_caller.setdefault(caller, deque())
        items.append(item)
        self._n_items += 1
        if self._n_items <= self._n_max:
            return None
        longest = max(self._by_caller, key=lambda name: len(self._by_caller[name]))
        if len(items) == len(self._by_caller[longest]):
            longest = caller
        dropped = self._by_caller[longest].pop()
        self._after_removal(longest)
        return dropped

    def pop(self) -> Item | None:
        """Remove and return the next item; None when the queue is empty."""
        if not self._by_caller:
            return None
        caller = next(iter(self._by_caller))
        item = self._by_caller[caller].popleft()
        self._by_caller.move_to_end(caller)
        self._after_removal(caller)
        return item

    def n_ahead(self, caller: CallerId) -> int:
        """Return how many items would be served before a new one of `caller`."""
        n_own = len(self._by_caller.get(caller, ()))
        return sum(min(len(items), n_own + 1) for items in self._by_caller.values())

    def remove(self, caller: CallerId, item: Item) -> bool:
        """Remove an item; returns False when it is not queued."""
        items = self._by_caller.get(caller)
        if items is None or item not in items:
            return False
        items.remove(item)
        self._after_removal(caller)
        return True

    def items(self) -> list[tuple[CallerId, Item]]:
        """Return all items with their callers."""
        return [
            (name, item) for name, items in self._by_caller.items() for item in items
        ]

    def _after_removal(self, caller: CallerId) -> None:
        self._n_items -= 1
        if not self._by_caller[caller]:
            del self._by_caller[caller]
