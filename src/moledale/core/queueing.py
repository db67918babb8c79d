"""The order in which waiting requests are dispatched, and which are rejected or evicted.

A request's rank is its arrival time plus an offset for its priority. So low-priority work ages:
once it has waited longer than its offset, it goes before newly arrived immediate work.
"""

import heapq
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from moledale.bundle.schema import Priority

T = TypeVar("T")

RANK_OFFSET_S = {Priority.IMMEDIATE: 0.0, Priority.NORMAL: 3.0, Priority.CAN_WAIT: 30.0}
"""Seconds by which a priority ranks behind immediate work that arrives at the same time."""


@dataclass(order=True, slots=True)
class _Entry(Generic[T]):
    rank: float
    serial: int
    deadline: float = field(compare=False)
    priority: Priority = field(compare=False)
    item: T = field(compare=False)
    removed: bool = field(default=False, compare=False)


@dataclass(frozen=True, slots=True)
class OfferResult(Generic[T]):
    """The outcome of an offer: whether the item was queued, and which item it evicted."""

    accepted: bool
    evicted: T | None = None


class WaitingQueue(Generic[T]):
    """A bounded queue by rank; when full, it evicts lower-priority work, newest first."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._heap: list[_Entry[T]] = []
        self._entries: dict[int, _Entry[T]] = {}
        self._serial = 0

    def __len__(self) -> int:
        return len(self._entries)

    def offer(self, item: T, priority: Priority, now: float, deadline: float) -> OfferResult[T]:
        """Add an item, or reject it if there is no room for its priority."""
        evicted: T | None = None
        if len(self._entries) >= self._capacity:
            victim = self._find_victim(priority)
            if victim is None:
                return OfferResult(False)
            evicted = victim.item
            self._drop(victim)
        self._serial += 1
        entry = _Entry(now + RANK_OFFSET_S[priority], self._serial, deadline, priority, item)
        self._entries[id(item)] = entry
        heapq.heappush(self._heap, entry)
        return OfferResult(True, evicted)

    def remove(self, item: T) -> None:
        """Remove an item, wherever it is in the queue."""
        entry = self._entries.get(id(item))
        if entry is not None:
            self._drop(entry)

    def pop_expired(self, now: float) -> list[T]:
        """Remove and return every item whose deadline has passed."""
        late = [entry for entry in self._entries.values() if entry.deadline <= now]
        for entry in late:
            self._drop(entry)
        return [entry.item for entry in late]

    def in_order(self) -> list[T]:
        """Return the waiting items in the order of dispatch."""
        return [entry.item for entry in sorted(self._entries.values())]

    def count_ahead(self, priority: Priority, now: float) -> int:
        """Return the number of items that a new one of this priority would wait behind."""
        rank = now + RANK_OFFSET_S[priority]
        return sum(1 for entry in self._entries.values() if entry.rank <= rank)

    def _find_victim(self, priority: Priority) -> _Entry[T] | None:
        lower = [
            entry
            for entry in self._entries.values()
            if RANK_OFFSET_S[entry.priority] > RANK_OFFSET_S[priority]
        ]
        return max(lower, default=None)

    def _drop(self, entry: _Entry[T]) -> None:
        entry.removed = True
        self._entries.pop(id(entry.item), None)
        while self._heap and self._heap[0].removed:
            heapq.heappop(self._heap)


def estimated_wait_s(queued_ahead: int, free_slots: int, slots: int, service_s: float) -> float:
    """Estimate the wait of a request behind `queued_ahead` others, in seconds.

    Of `slots` slots `free_slots` are free, and each request occupies one for `service_s`.
    """
    if slots == 0:
        return float("inf")
    if queued_ahead < free_slots:
        return 0.0
    return (queued_ahead - free_slots + 1) * service_s / slots
