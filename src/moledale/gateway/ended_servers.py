"""Servers that are leaving or gone, of which an older copy of the store may not know.

A store restored from such a copy lists these servers as they were before. Their entries are ignored
for a while: a server that is gone never writes again, so its entry lapses.
"""

from collections.abc import Iterable, Mapping

import msgspec
from cachetools import LRUCache

from moledale.gateway.messages import Server

MAX_REMEMBERED_SERVERS = 2_000
"""Maximum servers that are remembered: more than a large system has."""


class Departure(msgspec.Struct, frozen=True):
    """What is known of a departure: `gone`, or leaving with the time left if that is known."""

    gone: bool
    leaves_s: float | None = None


class DepartureLog:
    """Departures that this node saw, and those that entries of a restored store contradict."""

    def __init__(self) -> None:
        self._seen: LRUCache[str, Departure] = LRUCache(MAX_REMEMBERED_SERVERS)
        self._contradicted: dict[str, Departure] = {}

    def observe(self, before: Iterable[str], listed: Mapping[str, Server]) -> None:
        """Record the departures that the next list of the same era contains."""
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
