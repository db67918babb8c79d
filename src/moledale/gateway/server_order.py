"""Priority queues of servers and the hash ring of prompts, which avoid scans of all servers."""

import heapq
import random
from bisect import bisect_right, insort
from collections.abc import Iterable

import xxhash

from moledale.gateway.server_view import ServerView

COST_STEP_S = 0.002
"""Costs that differ by less count as equal, so that other criteria decide. An idle connection comes
first, since a new one takes 1 ms of this step. After that, prompts with a common prefix go to the
same servers, other prompts are spread by hash, and plain requests at random. Nodes without
observations, as after a restart of all of them, estimate equal costs for all servers and would
otherwise send their first requests to the same ones."""

POINTS_PER_SERVER = 4
"""Points of a server on the hash ring. A few suffice, since the choice also weighs the load."""

POINT_BITS = 128 // POINTS_PER_SERVER
POINT_MASK = (1 << POINT_BITS) - 1

REBUILD_FACTOR = 4
"""A queue is rebuilt when it holds this many times as many entries as servers."""

MIN_REBUILD_ENTRIES = 64
"""Queues with fewer entries are not rebuilt, since that would save little."""


def quantize(cost_s: float) -> int:
    """Return a cost or time in steps of `COST_STEP_S`, so that close values are equal."""
    return round(cost_s / COST_STEP_S)


class ServerPriorityQueue:
    """Priority queue of servers, lowest priority value first, equal ones in random order.

    A heap with an entry for each change. Entries that a later change made stale are dropped when
    they reach the top.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._heap: list[tuple[int, float, int, ServerView]] = []
        self._current: dict[str, tuple[int, int]] = {}
        self._serial = 0

    def put(self, view: ServerView, priority: int) -> None:
        """Add a server, or change its priority."""
        name = view.server.id
        known = self._current.get(name)
        if known is not None and known[1] == priority:
            return
        self._serial += 1
        self._current[name] = (self._serial, priority)
        heapq.heappush(self._heap, (priority, self._rng.random(), self._serial, view))
        if len(self._heap) > max(MIN_REBUILD_ENTRIES, REBUILD_FACTOR * len(self._current)):
            self._heap = [entry for entry in self._heap if self._is_current(entry)]
            heapq.heapify(self._heap)

    def drop(self, view: ServerView) -> None:
        """Remove a server."""
        self._current.pop(view.server.id, None)

    def lowest(self, number: int, excluded: frozenset[str]) -> list[ServerView]:
        """Return up to `number` servers with the lowest priority values, except for `excluded`."""
        found: list[ServerView] = []
        popped = []
        while self._heap and len(found) < number:
            entry = heapq.heappop(self._heap)
            if not self._is_current(entry):
                continue
            popped.append(entry)
            if entry[3].server.id not in excluded:
                found.append(entry[3])
        for entry in popped:
            heapq.heappush(self._heap, entry)
        return found

    def _is_current(self, entry: tuple[int, float, int, ServerView]) -> bool:
        newest = self._current.get(entry[3].server.id)
        return newest is not None and newest[0] == entry[2]


class HashRing:
    """Maps a key to its home server: the same one on all nodes that have the same servers.

    Consistent hashing (Karger et al., STOC 1997): adding or removing a server only changes the
    homes of its own share of the keys.
    """

    def __init__(self) -> None:
        self._points: list[int] = []
        self._owners: dict[int, str] = {}

    def add(self, server: str) -> None:
        """Add a server to the ring."""
        for point in self._points_of(server):
            if point not in self._owners:
                insort(self._points, point)
                self._owners[point] = server

    def add_all(self, servers: Iterable[str]) -> None:
        """Add many servers to the ring at once."""
        for server in servers:
            for point in self._points_of(server):
                self._owners.setdefault(point, server)
        self._points = sorted(self._owners)

    def drop(self, server: str) -> None:
        """Remove a server from the ring."""
        for point in self._points_of(server):
            if self._owners.get(point) == server:
                del self._owners[point]
                del self._points[bisect_right(self._points, point) - 1]

    def home(self, key: str) -> str | None:
        """Return the home server of a key, or None if there are no servers."""
        if not self._points:
            return None
        point = xxhash.xxh3_64_intdigest(key.encode()) & POINT_MASK
        index = bisect_right(self._points, point) % len(self._points)
        return self._owners[self._points[index]]

    def _points_of(self, server: str) -> list[int]:
        """Return a server's points, cut from a single hash since hashing is most of the work."""
        digest = xxhash.xxh3_128_intdigest(server.encode())
        return [digest >> (POINT_BITS * number) & POINT_MASK for number in range(POINTS_PER_SERVER)]
