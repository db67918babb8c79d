"""Servers that leave or are gone, of which an older copy of the store may not know.

When the store comes back from such a copy, it lists these servers as they were before. Such an
entry is not believed for a while: a server that is gone never writes again, and its entry lapses.
"""

from collections.abc import Iterable, Mapping

import msgspec
from cachetools import LRUCache

from moledale.gateway.messages import Server

MAX_REMEMBERED_SERVERS = 2_000
"""Servers that are remembered: more than a large system has."""


class Departure(msgspec.Struct, frozen=True):
    """What was known of a server's end: `gone`, or leaving with the time left if that was told."""

    gone: bool
    leaves_s: float | None = None


class DepartureLog:
    """Ends that this node saw, and those that the entries of a restored store contradict."""

    def __init__(self) -> None:
        self._seen: LRUCache[str, Departure] = LRUCache(MAX_REMEMBERED_SERVERS)
        self._contradicted: dict[str, Departure] = {}

    def observe(self, before: Iterable[str], listed: Mapping[str, Server]) -> None:
        """Note the ends that the next list of the same era tells."""
        for name in before:
            if name not in listed:
                self.record(name, Departure(gone=True))
        for name, server in listed.items():
            if server.leaving:
                self.record(name, Departure(gone=False, leaves_s=server.leaves_s))
            else:
                self._seen.pop(name, None)

    def record(self, server: str, departure: Departure) -> None:
        """Note the end of a server."""
        self._seen[server] = departure

    def on_store_restored(self, listed: Mapping[str, Server]) -> None:
        """Compare the first list of a restored store with the ends that were seen before."""
        self._contradicted = {name: self._seen[name] for name in listed if name in self._seen}

    def contradicted_departure(self, server: str) -> Departure | None:
        """Return a server's end that its entry does not tell, if there is one."""
        return self._contradicted.get(server)

    def trust_entries(self) -> bool:
        """Believe all entries from now on; say whether that changes anything."""
        changes = bool(self._contradicted)
        self._contradicted = {}
        return changes
