"""Detection of crashed servers after answers of them broke off.

An answer may break off though its server is alive: a connection was reset, or the answer was
corrupt. Only a server that accepts no connection any more has crashed, unless this node has lost
its links to all servers of the service. Only after a crash are the requests that ran there
suspected of it. One check covers all requests of this node that broke off at a server.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from enum import StrEnum

import msgspec

from moledale.clock import monotonic
from moledale.gateway.messages import Server
from moledale.gateway.pool import ConnectionPool
from moledale.gateway.server_view import Placement
from moledale.gateway.upstream import ConnectFailed, NoResources
from moledale.node.background import BackgroundTasks
from moledale.quarantine.part_guard import NamedPart

COLLECT_WINDOW_S = 0.02
"""All answers of a crashed server break off within this time: its connections are reset at the same
moment (within 2 ms in the logs of 26 crashes), and a node may be busy."""


class BrokenRequests(msgspec.Struct):
    """Requests that broke off at a server, and when the first of them did (monotonic seconds).

    `parts` are those of their prompts that may have crashed the server.
    """

    server: Server
    at: float
    requests: list[bytes] = []
    parts: list[NamedPart] = []
    placements: list[Placement] = []


class Reach(StrEnum):
    """How a server reacts to a new connection; `SILENT` if it does not react in time."""

    ACCEPTS = "accepts"
    REFUSES = "refuses"
    SILENT = "silent"


class Verdict(StrEnum):
    """Whether a server has crashed; `UNKNOWN` if this node's own links may be lost instead."""

    ALIVE = "alive"
    CRASHED = "crashed"
    UNKNOWN = "unknown"


CrashCheckCallback = Callable[[BrokenRequests, Verdict], None]
"""Receives the requests that broke off at a server, and whether the server has crashed."""

LinksLost = Callable[[str, float], Awaitable[bool]]
"""Returns whether this node has lost its links to a service since a time, and peers have not."""


EndedForPeers = Callable[[Server], Awaitable[bool]]
"""Returns whether peers that reach a server's service find that it takes no connection."""


async def no_peer_asked(_server: Server) -> bool:
    """Learn nothing from peers."""
    return False


async def links_intact(_service: str, _since: float) -> bool:
    """Take the links to all services for intact."""
    return False


class CrashDetector:
    """Checks servers whose answers broke off; `on_checked` receives the result.

    If this node may have lost its links to a service, `ended_for_peers` decides.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        on_checked: CrashCheckCallback,
        now: Callable[[], float] = monotonic,
        links_lost: LinksLost = links_intact,
    ) -> None:
        self.ended_for_peers: EndedForPeers = no_peer_asked
        self._links_lost = links_lost
        self._pool = pool
        self._on_checked = on_checked
        self._now = now
        self._broken: dict[str, BrokenRequests] = {}
        self._background = BackgroundTasks("server ends")

    def record_broken(
        self, placement: Placement, fingerprint: bytes, parts: Iterable[NamedPart] = ()
    ) -> None:
        """Record that a request broke off; the first one starts a check of its server."""
        server = placement.view.server
        broken = self._broken.get(server.id)
        if broken is None:
            broken = self._broken[server.id] = BrokenRequests(server, self._now())
            self._background.start(self._check(server.id))
        broken.requests.append(fingerprint)
        broken.parts.extend(parts)
        broken.placements.append(placement)

    async def _check(self, server: str) -> None:
        await asyncio.sleep(COLLECT_WINDOW_S)
        broken = self._broken.pop(server)
        self._on_checked(broken, await self._verdict(broken))

    async def _verdict(self, broken: BrokenRequests) -> Verdict:
        if await self.probe(broken.server) is Reach.ACCEPTS:
            return Verdict.ALIVE
        links_lost = await self._links_lost(broken.server.service, broken.at)
        if links_lost and not await self.ended_for_peers(broken.server):
            return Verdict.UNKNOWN
        return Verdict.CRASHED

    async def probe(self, server: Server) -> Reach:
        """Return whether the server accepts a connection; a new one is kept for reuse.

        If this process can open none, nothing shows that the server has ended.
        """
        if self._pool.has_idle(server.id):
            return Reach.ACCEPTS
        try:
            connection = await self._pool.acquire(server.id, server.address)
        except NoResources:
            return Reach.ACCEPTS
        except ConnectFailed as error:
            refused = isinstance(error.__cause__, ConnectionRefusedError)
            return Reach.REFUSES if refused else Reach.SILENT
        self._pool.release_unused(server.id, connection)
        return Reach.ACCEPTS
