"""Keeping generations that end servers from servers.

Accepted work is tried again until it is done, by whichever node has it, so one generation that ends
each server which begins to run it would end them all. What it did is counted by what is asked for,
and it waits as long as `core.quarantine` says. What other nodes saw is not told here.
"""

import asyncio
from dataclasses import dataclass, field

from result import Err

from moledale.clock import Clock
from moledale.core.fingerprint import digest_of
from moledale.core.quarantine import Quarantine
from moledale.log import Event, emit
from moledale.node.background import BackgroundTasks
from moledale.node.streams import GenerationRequest
from moledale.servers.types import ModelServers

MIN_STRIKES = 2.99
"""Ends that a generation must explain before it waits: three. An accepted one survives two servers
that are killed under it, which the fault matrix proves at each step."""

COLLECT_WINDOW_S = 0.03
"""What a server had in hand breaks off within this time when it ends, and a request that broke off
is sent again after 0.025 s at the earliest."""


@dataclass(slots=True)
class _BrokenRequests:
    """What broke off at a server; `looked` once it is known whether the server has ended."""

    requests: list[bytes] = field(default_factory=list)
    checked: asyncio.Event = field(default_factory=asyncio.Event)


class GenerationGuard:
    """Counts the servers that ended under generations at one node."""

    def __init__(self, servers: ModelServers, clock: Clock) -> None:
        self._servers = servers
        self._clock = clock
        self._quarantine = Quarantine(MIN_STRIKES)
        self._broken: dict[str, _BrokenRequests] = {}
        self._background = BackgroundTasks("server ends")

    def blocked_for_s(self, request: GenerationRequest) -> float:
        """Return how long a generation may not run, 0.0 if it may now."""
        if not self._quarantine.has_suspects:
            return 0.0
        self.update_blocks()
        return self._quarantine.wait_s(_fingerprint(request), self._clock.monotonic())

    def record_served(self, request: GenerationRequest) -> None:
        """Note that a server survived a generation."""
        if self._quarantine.has_suspects:
            self._quarantine.record_served(_fingerprint(request))

    def record_broken(self, request: GenerationRequest, server: str, address: str) -> None:
        """Note that a generation broke off; whether its server ended is found out."""
        broken = self._broken.get(server)
        if broken is None:
            broken = self._broken[server] = _BrokenRequests()
            self._background.start(self._check_server(server, address))
        broken.requests.append(_fingerprint(request))

    async def wait_checked(self, server: str) -> None:
        """Wait until it is known whether a server has ended, if that is being found out."""
        broken = self._broken.get(server)
        if broken is not None:
            await broken.checked.wait()

    def update_blocks(self) -> None:
        """Block the generations that end servers."""
        now = self._clock.monotonic()
        for block in self._quarantine.block_guilty(now):
            emit(
                Event.REQUEST_BLOCKED,
                fingerprint=block.fingerprint.hex(),
                for_s=round(block.until - now),
                times=block.times,
                seen_here=True,
            )

    async def _check_server(self, server: str, address: str) -> None:
        at = self._clock.monotonic()
        broken = self._broken[server]
        try:
            await self._clock.sleep(COLLECT_WINDOW_S)
            if isinstance(await self._servers.load(address), Err):
                self._record_crash(server, broken.requests, at)
        finally:
            del self._broken[server]
            broken.checked.set()

    def _record_crash(self, server: str, requests: list[bytes], at: float) -> None:
        names = [each.hex() for each in requests]
        emit(Event.SERVER_ENDED, server=server, requests=len(requests), fingerprints=names)
        self._quarantine.record_crash(server, requests, at)


def _fingerprint(request: GenerationRequest) -> bytes:
    """Return the digest of who asks for what, the same for each attempt and each time it comes."""
    return digest_of((request.account.encode(), request.model.encode(), request.prompt.encode()))
