"""Departures of servers, which an older copy of the store may not contain.

A store restored from such a copy lists these servers as they were before. Their entries are ignored
for a while: a server that is gone never writes again, so its entry lapses.
"""

from collections.abc import Iterable, Mapping

import msgspec
from cachetools import LRUCache

from moledale.gateway.messages import Server

MAX_REMEMBERED_SERVERS = 2_000
"""Maximum departures that are remembered: more than a large system has servers."""


class Departure(msgspec.Struct, frozen=True):
    """A server that is gone, or else leaving, with `leaves_s` as the time it has left if known."""

    gone: bool
    leaves_s: float | None = None


class DepartureLog:
    """Holds the departures seen by this node, and which of them a restored store contradicts."""

    def __init__(self) -> None:
        self._seen: LRUCache[str, Departure] = LRUCache(MAX_REMEMBERED_SERVERS)
        self._contradicted: dict[str, Departure] = {}

    def observe(self, before: Iterable[str], listed: Mapping[str, Server]) -> None:
        """Record the departures between a list, given by its ids, and the next of the same era."""
        for name in before:
            if name not in listed:
                self.record(name, Departure(gone=True))
        for name, server in listed.items():
            if server.leaving:
                self.record(name, Departure(gone=False, leaves_s=server.leaves_s))
            else:
                self._seen.pop(name, None)

    def record(self, server: str, departure: Departure) -> None:
        """Record the departure of a server."""
        self._seen[server] = departure

    def on_store_restored(self, listed: Mapping[str, Server]) -> None:
        """Compare the first list of a restored store with the departures seen before."""
        self._contradicted = {name: self._seen[name] for name in listed if name in self._seen}

    def contradicted_departure(self, server: str) -> Departure | None:
        """Return a server's departure that its entry contradicts, if any."""
        return self._contradicted.get(server)

    def trust_entries(self) -> bool:
        """Trust all entries from now on; return whether that changes anything."""
        changes = bool(self._contradicted)
        self._contradicted = {}
        return changes
