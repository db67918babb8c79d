"""Probes of servers by new connections, to learn whether this node reaches a service.

A probe only connects. Its connection is kept for the next request, so a probe of a server that is
reached costs no more than that request would have.
"""

import asyncio
import random
from collections.abc import Callable

from moledale.gateway.balance import LoadBalancer
from moledale.gateway.messages import Server
from moledale.gateway.pool import ConnectionPool
from moledale.node.background import BackgroundTasks

PROBED_SERVERS = 3
"""Servers that are probed at the same time. If none takes a connection, the service is not reached;
if all do, it is reached again."""

PROBE_INTERVAL_S = 0.5
"""Interval between probes of an unreachable service."""

MIN_CHECK_INTERVAL_S = 1.0
"""Minimum time between two checks of a service. Servers that are silent but take connections are
suspected again in each gossip round, and each probe may be a connection more."""


class ReachProber:
    """Checks suspected services, and probes unreachable ones until they are reached again.

    `peers_reach` returns whether a peer reached a service recently.
    """

    def __init__(
        self,
        balancer: LoadBalancer,
        pool: ConnectionPool,
        now: Callable[[], float],
        peers_reach: Callable[[str], bool],
    ) -> None:
        self._peers_reach = peers_reach
        self._balancer = balancer
        self._reachability = balancer.reachability
        self._pool = pool
        self._now = now
        self._rng = random.Random()
        self._in_progress: set[str] = set()
        self._last_checked_at: dict[str, float] = {}
        self._background = BackgroundTasks("probes")

    def record_connect(self, name: str, connected: bool) -> None:
        """Record whether a server took a new connection, and check its service if it is suspect."""
        view = self._balancer.views.get(name)
        if view is None:
            return
        service = view.server.service
        listed = len(self._balancer.group(service).views)
        if connected:
            self._reachability.record_connected(service, self._now())
            return
        self._reachability.record_failed(service, name)
        if self._reachability.is_suspect(service, listed):
            self.check(service)

    def record_silence(self, name: str) -> None:
        """Record that a server sent nothing although it should have."""
        self.record_connect(name, False)

    async def links_lost(self, service: str, since: float) -> bool:
        """Return whether this node has lost its links to a service since a time.

        The servers of a small service may all have ended, so there the links count as intact.
        """
        if len(self._servers(service)) < PROBED_SERVERS or not self._peers_reach(service):
            return False
        if self._reachability.service(service).reached_at > since:
            return False
        return self._reachability.is_unreachable(service) or not await self._is_reached(service)

    def check_for_peers(self, services: list[str]) -> None:
        """Check services that a peer does not reach, unless this node reached them recently."""
        reached = self._reachability.reached_recently(self._now())
        for service in services:
            if service not in reached:
                self.check(service)

    def check(self, service: str) -> None:
        """Start to find out whether a service is reached, unless that was done just now."""
        now = self._now()
        last_at = self._last_checked_at.get(service)
        if service in self._in_progress or self._reachability.is_unreachable(service):
            return
        if last_at is None or now - last_at >= MIN_CHECK_INTERVAL_S:
            self._in_progress.add(service)
            self._last_checked_at[service] = now
            self._background.start(self._check(service))

    async def _check(self, service: str) -> None:
        try:
            if await self._is_reached(service):
                return
            listed = len(self._balancer.group(service).views)
            self._reachability.record_lost(service, listed, self._now())
            self._check_others()
            restored = False
            while not restored:
                await asyncio.sleep(PROBE_INTERVAL_S)
                restored = await self._is_restored(service)
            self._reachability.record_restored(service, self._now())
        finally:
            self._in_progress.discard(service)

    def _check_others(self) -> None:
        """Check the other services, whose links may be lost with those of this one."""
        services = {view.server.service for view in self._balancer.views.values()}
        self.check_for_peers(sorted(services))

    async def _is_reached(self, service: str) -> bool:
        """Return whether any of a few servers that did not fail yet takes a connection.

        If all have failed, one of them is tried again.
        """
        servers = self._servers(service)
        if not servers:
            return True
        failed = self._reachability.service(service).failed
        untried = [server for server in servers if server.id not in failed]
        probed = self._sample(untried) or [self._rng.choice(servers)]
        return any(await self._probe_all(probed))

    async def _is_restored(self, service: str) -> bool:
        """Return whether all of a few servers take a connection.

        One would not be enough: a node may reach only the few of many servers that started since
        its links were lost, and would first try the others for most requests.
        """
        return all(await self._probe_all(self._sample(self._servers(service))))

    def _sample(self, servers: list[Server]) -> list[Server]:
        return self._rng.sample(servers, min(PROBED_SERVERS, len(servers)))

    async def _probe_all(self, servers: list[Server]) -> list[bool]:
        """Probe servers at the same time; return for each whether it takes a connection."""
        return await asyncio.gather(
            *(self._pool.probe(server.id, server.address) for server in servers)
        )

    def _servers(self, service: str) -> list[Server]:
        views = self._balancer.group(service).allowed_servers()
        return [view.server for view in views if not view.server.leaving]
