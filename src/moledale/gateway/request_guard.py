"""Detection of requests that crash servers, which are then blocked from all servers.

A caller retries such a request under a new id, at any node; if each arrival counted for itself,
each would crash another server. So broken responses of crashed servers are counted by the
fingerprint of the request, over all arrivals and nodes.
"""

import asyncio
from collections.abc import Callable

import msgspec

from moledale.clock import monotonic
from moledale.core.quarantine import COINCIDENCE_S, Block, Quarantine
from moledale.gateway.fingerprint import fingerprint
from moledale.gateway.job import Job
from moledale.gateway.messages import InboundRequest
from moledale.gateway.pool import ConnectionPool
from moledale.gateway.server_ends import (
    COLLECT_WINDOW_S,
    BrokenRequests,
    CrashDetector,
    LinksLost,
    Reach,
    Verdict,
    links_intact,
)
from moledale.gateway.server_view import Placement
from moledale.log import Event, emit

MAX_LOGGED_FINGERPRINTS = 8
"""Fingerprints in the log line of a crashed server; with all of 64 the line would be 2 KB long."""

RUN_STOP_S = 0.4
"""A run stops within this time after the connection of its answer has closed."""


class ObservedCrash(msgspec.Struct, frozen=True):
    """A server crash seen by this node, with the requests it had running there (monotonic time)."""

    server: str
    requests: list[bytes]
    at: float


def _ignore(_: object) -> None:
    """Ignore the notification."""


class RequestGuard:
    """Blocks requests that crash servers, based on crashes seen by this node and its peers.

    `on_crash` is called for server crashes seen by this node, `on_cleared` for suspected requests
    that a server survived, and `on_block` for blocked requests whose crashes this node has seen.
    `record_failure` counts a broken response as a failure of the server's version, and `links_lost`
    tells whether this node has lost its links to all servers of a service.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        now: Callable[[], float] = monotonic,
        record_failure: Callable[[Placement], None] = _ignore,
        links_lost: LinksLost = links_intact,
    ) -> None:
        self.quarantine = Quarantine()
        self._record_failure = record_failure
        self.on_crash: Callable[[ObservedCrash], None] = _ignore
        self.on_cleared: Callable[[bytes], None] = _ignore
        self.on_block: Callable[[Block], None] = _ignore
        self._crash_detector = CrashDetector(pool, self._on_server_checked, now, links_lost)
        self._now = now
        self._seen_locally: set[bytes] = set()

    def wait_s(self, request: InboundRequest, account: str | None) -> float:
        """Return how long an arriving request is blocked, 0.0 if it may run now."""
        if not self.quarantine.has_suspects:
            return 0.0
        return self.quarantine.wait_s(fingerprint(request, account), self._now())

    def may_retry(self, job: Job) -> bool:
        """Return whether a request in progress may be sent to another server."""
        if not self.quarantine.has_suspects:
            return True
        return self.quarantine.wait_s(job.fingerprint, self._now()) == 0.0

    def record_broken_answer(self, job: Job, placement: Placement) -> None:
        """Record a response that broke off, and start to find out whether its server crashed.

        A server that announced it is leaving terminates for a reason of its own, so no request is
        suspected.
        """
        if placement.view.server.leaving:
            self._record_failure(placement)
        else:
            self._crash_detector.record_broken(placement, job.fingerprint)

    async def await_server_end(self, placement: Placement, cut_at: float) -> bool:
        """Return whether the server of a response that broke off has ended.

        The run has certainly stopped by then. A server that refuses connections has ended, unless
        it leaves and only takes no new ones. One that does not react may be cut off from this node.
        """
        await asyncio.sleep(COLLECT_WINDOW_S)
        reach = await self._crash_detector.probe(placement.view.server)
        if reach is Reach.ACCEPTS:
            return False
        if reach is Reach.SILENT or placement.view.server.leaving:
            await asyncio.sleep(max(0.0, cut_at + RUN_STOP_S - self._now()))
        return True

    def record_served(self, job: Job) -> None:
        """Record that a server survived a request, which clears it of suspicion."""
        if self.quarantine.has_suspects and self.quarantine.record_served(job.fingerprint):
            self.on_cleared(job.fingerprint)

    def record_peer_cleared(self, requests: list[bytes]) -> None:
        """Clear requests that servers survived at a peer."""
        for each in requests:
            self.quarantine.record_served(each)

    def record_peer_crash(self, server: str, requests: list[bytes], at: float) -> None:
        """Record the crash of a server where a peer had requests running."""
        self._record_crash(server, requests, at)

    def block_suspects(self) -> None:
        """Block the suspected requests that turn out to crash servers."""
        for block in self.quarantine.block_guilty(self._now()):
            self._announce_block(block)
        self._seen_locally = {
            each for each in self._seen_locally if self.quarantine.is_suspect(each)
        }

    def _on_server_checked(self, broken: BrokenRequests, verdict: Verdict) -> None:
        if verdict is Verdict.UNKNOWN:
            emit(Event.END_UNKNOWN, server=broken.server.id, requests=len(broken.requests))
            return
        if verdict is Verdict.ALIVE:
            for placement in broken.placements:
                self._record_failure(placement)
            return
        # One request may crash a server of a good version, and all others there break off with it:
        # a crash is one failure of the version, and none if a suspected request was running there.
        if not any(self.quarantine.is_suspect(each) for each in broken.requests):
            self._record_failure(broken.placements[0])
        self._record_local_crash(broken.server.id, broken.requests, broken.at)

    def _record_local_crash(self, server: str, requests: list[bytes], at: float) -> None:
        self._seen_locally.update(requests)
        names = [each.hex() for each in requests[:MAX_LOGGED_FINGERPRINTS]]
        emit(Event.SERVER_ENDED, server=server, requests=len(requests), fingerprints=names)
        self._record_crash(server, requests, at)
        self.on_crash(ObservedCrash(server, requests, at))

    def _record_crash(self, server: str, requests: list[bytes], at: float) -> None:
        self.quarantine.record_crash(server, requests, at)
        delay_s = max(0.0, at + COINCIDENCE_S - self._now())
        asyncio.get_running_loop().call_later(delay_s, self.block_suspects)

    def _announce_block(self, block: Block) -> None:
        seen_here = block.fingerprint in self._seen_locally
        emit(
            Event.REQUEST_BLOCKED,
            fingerprint=block.fingerprint.hex(),
            for_s=round(block.until - self._now()),
            times=block.times,
            seen_here=seen_here,
        )
        if seen_here:
            self.on_block(block)
