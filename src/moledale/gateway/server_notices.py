"""What servers say of themselves in their answers, and how it reaches all later choices.

A server's answer is the newest word of it: it leaves, it wants no requests for a time, or it is not
the server that was meant. The list of servers may be older by seconds, or by as long as the store
is away, so it never takes back what a server said; only another life of the server does, which has
another id or another address.
"""

from collections.abc import Iterable

import msgspec
from cachetools import LRUCache

from moledale.gateway.messages import Server

MOST_REMEMBERED = 2_048
"""Servers that said that they leave, about twice as many as a large deployment has: 0.2 MB."""

MOST_TOLD = 32
"""Servers that one state tells other nodes of, of each kind: 0.6 KB at most."""


class ServerNotices:
    """Servers that said that they leave, kept apart from the list."""

    def __init__(self) -> None:
        self._address_of: LRUCache[str, str] = LRUCache(MOST_REMEMBERED)
        self._listed_as_leaving: set[str] = set()

    def add(self, server: Server) -> None:
        """Remember that a server leaves."""
        self._address_of[server.id] = server.address

    def applied_to(self, servers: Iterable[Server]) -> list[Server]:
        """Return a list of servers with those marked that said that they leave."""
        listed = list(servers)
        self._listed_as_leaving = {server.id for server in listed if server.leaving}
        return [self._as_said(server) for server in listed]

    def _as_said(self, server: Server) -> Server:
        # A server under the same id at another address is another life of it.
        if server.leaving or self._address_of.get(server.id) != server.address:
            return server
        return msgspec.structs.replace(server, leaving=True)

    def beyond_the_list(self, there: Iterable[str]) -> list[str]:
        """Return those of some servers that are known to leave by their own word only."""
        known = (name for name in there if name in self._address_of)
        return [name for name in known if name not in self._listed_as_leaving][:MOST_TOLD]
