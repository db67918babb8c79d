"""Idle connections to backend servers, kept for reuse."""

from collections.abc import Awaitable, Callable, Iterator

from moledale.gateway.upstream import ConnectFailed, NoResources, UpstreamConnection, connect

KEEP_ALIVE_SHARE = 0.7
"""Share of a server's stated keep-alive time during which a connection is reused."""

MAX_IDLE_S = 8.0
"""Idle time after which a connection is not reused if its server states no keep-alive time."""


Connect = Callable[[str], Awaitable[UpstreamConnection]]
"""Opens a connection to `host:port`, or raises ConnectFailed."""


def _ignore_outcome(_server: str, _connected: bool) -> None:
    """Ignore the outcome of an attempt to connect."""


class ConnectionPool:
    """Idle connections by server id: the most recently used is reused first, so that few are kept.

    Servers are ordered by the time at which a connection to them was last released. `opened` counts
    the attempts to open a new connection. `on_connect` is called with a server and whether it took
    a new connection, and with one that did not react on an idle connection any more.
    """

    def __init__(self, now: Callable[[], float], connect: Connect = connect) -> None:
        self.on_connect: Callable[[str, bool], None] = _ignore_outcome
        self._now = now
        self._connect = connect
        self._idle: dict[str, list[UpstreamConnection]] = {}
        self.opened = 0

    def has_idle(self, server: str) -> bool:
        """Return whether there is an idle connection to a server that the server has not closed."""
        return any(each.usable for each in self._idle.get(server, ()))

    def idle_servers(self) -> Iterator[str]:
        """Return the servers with an idle connection, the most recently used first."""
        return (server for server, idle in reversed(self._idle.items()) if idle)

    async def acquire(self, server: str, address: str) -> UpstreamConnection:
        """Return an idle connection, or a new one; raise ConnectFailed if none can be made."""
        idle = self._idle.get(server)
        while idle:
            connection = idle.pop()
            if connection.usable and not self._is_stale(connection):
                return connection
            connection.close()
        return await self._open(server, address)

    async def _open(self, server: str, address: str) -> UpstreamConnection:
        """Open a new connection, and report the outcome."""
        self.opened += 1
        try:
            connection = await self._connect(address)
        except NoResources:
            raise
        except ConnectFailed:
            self.on_connect(server, False)
            raise
        self.on_connect(server, True)
        return connection

    async def probe(self, server: str, address: str) -> bool:
        """Return whether a server takes a new connection, which is kept for reuse.

        If this process can open none, nothing shows that the server takes none.
        """
        try:
            connection = await self._open(server, address)
        except NoResources:
            return True
        except ConnectFailed:
            return False
        self.release_unused(server, connection)
        return True

    def release(self, server: str, connection: UpstreamConnection) -> None:
        """Keep a connection whose exchange ended completely, else close it."""
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
        """Close the idle connections to a server that fell silent or is gone.

        Otherwise four idle connections to a silent server would cost four non-repeatable requests,
        one after the other, and not only the one that detects the silence.
        """
        for connection in self._idle.pop(server, []):
            connection.close()

    def sweep(self) -> None:
        """Close connections that have been idle for too long, and report those that timed out."""
        for server, idle in list(self._idle.items()):
            if any(each.timed_out for each in idle):
                self.on_connect(server, False)
            kept = [each for each in idle if each.usable and not self._is_stale(each)]
            for each in idle:
                if each not in kept:
                    each.close()
            if kept:
                self._idle[server] = kept
            else:
                del self._idle[server]

    def _is_stale(self, connection: UpstreamConnection) -> bool:
        max_idle_s = MAX_IDLE_S
        if connection.keep_alive_s is not None:
            max_idle_s = connection.keep_alive_s * KEEP_ALIVE_SHARE
        return self._now() - connection.idle_since > max_idle_s
