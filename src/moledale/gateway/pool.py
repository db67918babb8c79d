"""Idle connections to backend servers, kept for the next request."""

from collections.abc import Callable, Iterator

from moledale.gateway.upstream import UpstreamConnection, connect

KEEP_ALIVE_SHARE = 0.7
"""Part of a server's stated keep-alive during which a connection is used again."""

MAX_IDLE_S = 8.0
"""Connections at rest for longer are not used again where a server states no time."""


class ConnectionPool:
    """Connections by server id: the one used last is used first, so that few are kept.

    Servers stand in the order in which a connection to them was last given back.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._idle: dict[str, list[UpstreamConnection]] = {}
        self.opened = 0

    def has_idle(self, server: str) -> bool:
        """Say whether a connection to a server is at rest, and was not closed there."""
        return any(each.usable for each in self._idle.get(server, ()))

    def idle_servers(self) -> Iterator[str]:
        """Return the servers to which a connection is at rest, the one used last first."""
        return (server for server, idle in reversed(self._idle.items()) if idle)

    async def acquire(self, server: str, address: str) -> UpstreamConnection:
        """Return a connection at rest, or a new one; ConnectFailed if there is none."""
        idle = self._idle.get(server)
        while idle:
            connection = idle.pop()
            if connection.usable and not self._is_stale(connection):
                return connection
            connection.close()
        self.opened += 1
        return await connect(address)

    def release(self, server: str, connection: UpstreamConnection) -> None:
        """Keep a connection whose exchange ended whole, else close it."""
        if connection.finish(self._now()):
            self._keep(server, connection)

    def release_unused(self, server: str, connection: UpstreamConnection) -> None:
        """Keep a connection that carried no request yet."""
        if connection.usable:
            connection.idle_since = self._now()
            self._keep(server, connection)

    def _keep(self, server: str, connection: UpstreamConnection) -> None:
        idle = self._idle.pop(server, [])
        idle.append(connection)
        self._idle[server] = idle

    def discard(self, server: str) -> None:
        """Close what is kept of a server.

        With four connections at rest that went silent, four not-repeatable requests were lost to
        them one after the other; now one is, which finds it out (counted by a test).
        """
        for connection in self._idle.pop(server, []):
            connection.close()

    def sweep(self) -> None:
        """Close connections that have been at rest for too long."""
        for server, idle in list(self._idle.items()):
            kept = [each for each in idle if each.usable and not self._is_stale(each)]
            for each in idle:
                if each not in kept:
                    each.close()
            if kept:
                self._idle[server] = kept
            else:
                del self._idle[server]

    def _is_stale(self, connection: UpstreamConnection) -> bool:
        most = MAX_IDLE_S
        if connection.keep_alive_s is not None:
            most = connection.keep_alive_s * KEEP_ALIVE_SHARE
        return self._now() - connection.idle_since > most
