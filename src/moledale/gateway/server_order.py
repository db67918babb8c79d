"""Servers in the order of their load, and the homes of prompts: neither needs a walk over them."""

import heapq
import random
from bisect import bisect_right, insort
from collections.abc import Iterable

import xxhash

from moledale.gateway.server_view import ServerView

COST_STEP_S = 0.002
"""Estimates that differ by less count as equal. Prompts of one front then go to the same servers,
others elsewhere: nodes that know nothing yet, as after the end of all of them, have equal estimates
of all servers and would send their first requests to the same ones. Plain requests go by chance,
both to a server with a connection at rest first, since a new one takes 1 ms of it."""

POINTS_PER_SERVER = 4
"""Places of a server on the ring of homes. Few are enough: the choice weighs its load besides."""

POINT_BITS = 128 // POINTS_PER_SERVER
POINT_MASK = (1 << POINT_BITS) - 1

REBUILD_FACTOR = 4
"""The order is made anew when it holds this many times as many entries as servers."""

MIN_REBUILD_ENTRIES = 64
"""Fewer entries than these are never worth making the order anew."""


def quantize(cost_s: float) -> int:
    """Return an estimate as a number that is the same for those that differ by little."""
    return round(cost_s / COST_STEP_S)


class ServerPriorityQueue:
    """Servers of one hall, the least loaded first.

    A heap with an entry for each change; those that a later change made stale are dropped when they
    come up.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._heap: list[tuple[int, float, int, ServerView]] = []
        self._current: dict[str, tuple[int, int]] = {}
        self._serial = 0

    def put(self, view: ServerView, priority: int) -> None:
        """Put a server at a place of the order, equal ones by chance."""
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
        """Take a server out of the order."""
        self._current.pop(view.server.id, None)

    def lowest(self, number: int, excluded: frozenset[str]) -> list[ServerView]:
        """Return the least loaded servers but for `excluded`."""
        found: list[ServerView] = []
        passed = []
        while self._heap and len(found) < number:
            entry = heapq.heappop(self._heap)
            if not self._is_current(entry):
                continue
            passed.append(entry)
            if entry[3].server.id not in excluded:
                found.append(entry[3])
        for entry in passed:
            heapq.heappush(self._heap, entry)
        return found

    def _is_current(self, entry: tuple[int, float, int, ServerView]) -> bool:
        newest = self._current.get(entry[3].server.id)
        return newest is not None and newest[0] == entry[2]


class HashRing:
    """Which server is the home of a key: the same one on all nodes, for the same servers.

    Consistent hashing (Karger et al., STOC 1997): a server that comes or goes changes the homes of
    its own share of the keys only.
    """

    def __init__(self) -> None:
        self._points: list[int] = []
        self._owners: dict[int, str] = {}

    def add(self, server: str) -> None:
        """Put a server on the ring."""
        for point in self._points_of(server):
            if point not in self._owners:
                insort(self._points, point)
                self._owners[point] = server

    def add_all(self, servers: Iterable[str]) -> None:
        """Put many servers on the ring at once."""
        for server in servers:
            for point in self._points_of(server):
                self._owners.setdefault(point, server)
        self._points = sorted(self._owners)

    def drop(self, server: str) -> None:
        """Take a server off the ring."""
        for point in self._points_of(server):
            if self._owners.get(point) == server:
                del self._owners[point]
                del self._points[bisect_right(self._points, point) - 1]

    def home(self, key: str) -> str | None:
        """Return the home of a key, None if there are no servers."""
        if not self._points:
            return None
        point = xxhash.xxh3_64_intdigest(key.encode()) & POINT_MASK
        place = bisect_right(self._points, point) % len(self._points)
        return self._owners[self._points[place]]

    def _points_of(self, server: str) -> list[int]:
        """Return places on the ring, cut from one hash since hashing is most of the work."""
        whole = xxhash.xxh3_128_intdigest(server.encode())
        return [whole >> (POINT_BITS * number) & POINT_MASK for number in range(POINTS_PER_SERVER)]
