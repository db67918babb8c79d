"""Detection of requests that crash servers, which are then blocked from all servers.

A caller retries such a request under a new id, at any node; if each arrival counted for itself,
each would crash another server. So broken responses of crashed servers are counted by the
fingerprint of the request, over all arrivals and nodes; one that a server survived a moment ago is
not suspected. Requests of which no two are alike may
share a part of their prompt that crashes servers; `quarantine.part_guard` finds and blocks it.
"""

import asyncio
from collections.abc import Callable, Sequence

import msgspec

from moledale.clock import monotonic
from moledale.core.quarantine import COINCIDENCE_S, Block, Quarantine
from moledale.core.survivors import Survivors
from moledale.core.suspect_parts import SETTLE_S
from moledale.gateway.fingerprint import fingerprint, part_digests
from moledale.gateway.job import Job
from moledale.gateway.messages import MAX_LOGGED_ID_CHARS, InboundRequest, RequestFacts
from moledale.gateway.pool import ConnectionPool
from moledale.gateway.server_ends import (
    COLLECT_WINDOW_S,
    BrokenRequests,
    CrashDetector,
    EndedForPeers,
    LinksLost,
    Reach,
    Verdict,
    links_intact,
)
from moledale.gateway.server_view import Placement
from moledale.log import Event, emit
from moledale.node.background import BackgroundTasks
from moledale.quarantine.part_guard import NamedPart, PartGuard

MAX_LOGGED_FINGERPRINTS = 8
"""Fingerprints in the log line of a crashed server; with all of 64 the line would be 2 KB long."""

RUN_STOP_S = 0.4
"""A run stops within this time after the connection of its answer has closed."""

SURVIVAL_S = 1.0
"""A server that still runs a stream this long after its first event has survived its prompt."""


class ObservedCrash(msgspec.Struct, frozen=True):
    """A server crash seen by this node, with the requests it had running there (monotonic time).

    `parts` are those of their prompts that may have crashed the server.
    """

    server: str
    requests: list[bytes]
    at: float
    parts: list[bytes] = []


def _ignore(_: object) -> None:
    """Ignore the notification."""


class RequestGuard:
    """Blocks requests that crash servers, based on crashes seen by this node and its peers.

    `on_crash` is called for server crashes seen by this node, `on_cleared` for suspected or blocked
    requests and parts that crash no server, and `on_block` for blocks whose crashes this node has
    seen. `record_failure` counts a broken response as a failure of the server's version, and
    `links_lost` tells whether this node has lost its links to all servers of a service.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        now: Callable[[], float] = monotonic,
        record_failure: Callable[[Placement], None] = _ignore,
        links_lost: LinksLost = links_intact,
    ) -> None:
        self.quarantine = Quarantine()
        self.parts = PartGuard(self.quarantine, now)
        self.parts.on_block = lambda block: self.on_block(block)
        self.parts.on_cleared = lambda parts: self.on_cleared(parts)
        self.parts.on_explained = self._discount_crash
        self._record_failure = record_failure
        self.on_crash: Callable[[ObservedCrash], None] = _ignore
        self.on_cleared: Callable[[list[bytes]], None] = _ignore
        self.on_block: Callable[[Block], None] = _ignore
        self._crash_detector = CrashDetector(pool, self._on_server_checked, now, links_lost)
        self._now = now
        self._survivors = Survivors()
        self._seen_locally: set[bytes] = set()
        self._background = BackgroundTasks("unframed ends")

    def wait_s(self, request: InboundRequest, facts: RequestFacts, account: str | None) -> float:
        """Return how long an arriving request is blocked, 0.0 if it may run now."""
        if not self.quarantine.has_suspects:
            return 0.0
        own_s = self.quarantine.wait_s(fingerprint(request, account), self._now())
        return max(own_s, self.parts.wait_s(part_digests(facts.shared_parts)))

    def ask_peers(self, ended_for_peers: EndedForPeers) -> None:
        """Have peers decide whether a server crashed where this node may have lost its links."""
        self._crash_detector.ended_for_peers = ended_for_peers

    def job_wait_s(self, job: Job) -> float:
        """Return how long a request in progress is blocked, 0.0 if it may be sent now."""
        if not self.quarantine.has_suspects:
            return 0.0
        own_s = self.quarantine.wait_s(job.fingerprint, self._now())
        return max(own_s, self.parts.wait_s(job.part_digests))

    def may_retry(self, job: Job) -> bool:
        """Return whether a request that broke off may be sent to another server."""
        return self.job_wait_s(job) == 0.0 and self.parts.may_retry(job.part_digests)

    def take_send(self, job: Job) -> bool:
        """Return whether a request may be sent to a server now, which it then has to be."""
        return self.job_wait_s(job) == 0.0 and self.parts.take_send(job.part_digests)

    def record_broken_answer(self, job: Job, placement: Placement) -> None:
        """Record a response that broke off, and start to find out whether its server crashed.

        A server that announced it is leaving terminates for a reason of its own, so no request is
        suspected.
        """
        if placement.view.server.leaving:
            self._record_failure(placement)
        else:
            parts = [] if self.has_survived(placement) else _named_parts(job)
            self._crash_detector.record_broken(placement, job.fingerprint, parts)

    def has_survived(self, placement: Placement) -> bool:
        """Return whether a server has run a stream for so long that it survived its prompt."""
        return placement.first_at > 0.0 and self._now() - placement.first_at >= SURVIVAL_S

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
        self._survivors.record(job.fingerprint, self._now())
        if self.quarantine.record_served(job.fingerprint):
            self.on_cleared([job.fingerprint])
        self.record_survival(job)

    def record_unframed_end(self, job: Job, placement: Placement) -> None:
        """Record that an answer ended with its connection, and find out whether its server did."""
        self._background.start(self._check_unframed_end(job, placement))

    async def _check_unframed_end(self, job: Job, placement: Placement) -> None:
        await asyncio.sleep(COLLECT_WINDOW_S)
        if await self._crash_detector.probe(placement.view.server) is Reach.ACCEPTS:
            self.record_served(job)
        else:
            self.record_broken_answer(job, placement)

    def record_survival(self, job: Job) -> None:
        """Record that a server survived the parts of a prompt, though it may not have ended yet."""
        self.parts.record_survived(job.part_digests)

    def record_peer_cleared(self, requests: list[bytes]) -> None:
        """Clear requests and parts that servers survived at a peer."""
        for each in requests:
            self.quarantine.record_served(each)
        self.parts.record_peer_survived(requests)

    def record_peer_crash(self, server: str, requests: list[bytes], at: float) -> None:
        """Record the crash of a server where a peer had requests running."""
        self._record_crash(server, requests, [], at)

    def record_peer_parts(self, server: str, parts: list[bytes], at: float) -> None:
        """Record parts of prompts that may have crashed a server where a peer had requests."""
        self._record_crash(server, [], parts, at)

    def merge_block(self, block: Block) -> None:
        """Adopt a block that a peer decided on or the store has, unless this node knows better."""
        is_trusted = self._survivors.is_trusted(block.fingerprint, self._now())
        if is_trusted or self.parts.refuses(block):
            self.on_cleared([block.fingerprint])
        elif self.quarantine.merge_block(block):
            self.parts.record_adopted(block.fingerprint)

    def block_suspects(self) -> None:
        """Block the suspected parts and requests that turn out to crash servers."""
        self.parts.block_guilty()
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
        # a crash is one failure of the version, and none if a suspect was running there.
        if not self._has_suspect(broken):
            self._record_failure(broken.placements[0])
        suspects = [
            each for each in broken.requests if not self._survivors.is_trusted(each, broken.at)
        ]
        self._record_local_crash(broken.server.id, suspects, broken.at, broken.parts)

    def _has_suspect(self, broken: BrokenRequests) -> bool:
        """Return whether servers crashed before under a request that broke off, or under a part."""
        return any(self.quarantine.is_suspect(each) for each in broken.requests) or any(
            self.parts.is_suspect(each) for each in broken.parts
        )

    def _record_local_crash(
        self, server: str, requests: list[bytes], at: float, named: Sequence[NamedPart] = ()
    ) -> None:
        self._seen_locally.update(requests)
        self.parts.record_seen_locally(named)
        names = [each.hex() for each in requests[:MAX_LOGGED_FINGERPRINTS]]
        suspects = self.parts.suspects.suspects((part.digest for part in named), at)
        emit(
            Event.SERVER_ENDED,
            server=server,
            requests=len(requests),
            fingerprints=names,
            suspected_parts=[part.id for part in named if part.digest in suspects][
                :MAX_LOGGED_FINGERPRINTS
            ],
        )
        self._record_crash(server, requests, suspects, at)
        self.on_crash(ObservedCrash(server, requests, at, suspects))

    def _record_crash(
        self, server: str, requests: list[bytes], parts: list[bytes], at: float
    ) -> None:
        """Record a crash; it counts against no request if a blocked part explains it."""
        self.parts.record_crash(server, parts, at)
        if not self.parts.explains(server, at):
            self.quarantine.record_crash(server, requests, at)
        loop = asyncio.get_running_loop()
        for settled_s in (COINCIDENCE_S, SETTLE_S):
            loop.call_later(max(0.0, at + settled_s - self._now()), self.block_suspects)

    def _discount_crash(self, server: str, at: float) -> None:
        """Count a crash against no request, as a blocked part explains it."""
        released = self.quarantine.discount_crash(server, at)
        seen_here = [each for each in released if each in self._seen_locally]
        if seen_here:
            self.on_cleared(seen_here)

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


def _named_parts(job: Job) -> list[NamedPart]:
    """Return the shared parts of a request's prompt."""
    return [
        NamedPart(digest, part.id[:MAX_LOGGED_ID_CHARS])
        for digest, part in zip(job.part_digests, job.facts.shared_parts, strict=True)
    ]
