"""Blocks generations that crash servers.

Accepted work is retried until it is done, by whichever node owns it, so a generation that crashes
every server it starts on would take down all of them. Crashes are counted per account, model and
prompt, and a suspect is blocked for as long as `core.quarantine` decides. Only crashes that this
node saw are counted; they are not shared with other nodes.
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
"""Crashes that a generation must account for before it is blocked: three, so that an accepted one
survives two servers that are killed while running it, which the fault matrix tests at each step."""

COLLECT_WINDOW_S = 0.03
"""Time to collect the requests that break when a server crashes. All of its requests break within
this time, and a broken request is retried after 0.025 s at the earliest."""


@dataclass(slots=True)
class _BrokenRequests:
    """Requests that broke at a server; `checked` is set once the check for a crash has finished."""

    requests: list[bytes] = field(default_factory=list)
    checked: asyncio.Event = field(default_factory=asyncio.Event)


class GenerationGuard:
    """Counts the server crashes seen by one node, and blocks the generations that cause them."""

    def __init__(self, servers: ModelServers, clock: Clock) -> None:
        self._servers = servers
        self._clock = clock
        self._quarantine = Quarantine(MIN_STRIKES)
        self._broken: dict[str, _BrokenRequests] = {}
        self._background = BackgroundTasks("server ends")

    def blocked_for_s(self, request: GenerationRequest) -> float:
        """Return the seconds for which a generation is still blocked, or 0.0 if it may run now."""
        if not self._quarantine.has_suspects:
            return 0.0
        self.update_blocks()
        return self._quarantine.wait_s(_fingerprint(request), self._clock.monotonic())

    def record_served(self, request: GenerationRequest) -> None:
        """Record that a server completed a generation without crashing."""
        if self._quarantine.has_suspects:
            self._quarantine.record_served(_fingerprint(request))

    def record_broken(self, request: GenerationRequest, server: str, address: str) -> None:
        """Record a broken generation, and check in the background whether its server crashed."""
        broken = self._broken.get(server)
        if broken is None:
            broken = self._broken[server] = _BrokenRequests()
            self._background.start(self._check_server(server, address))
        broken.requests.append(_fingerprint(request))

    async def wait_checked(self, server: str) -> None:
        """Wait for a running crash check of a server to finish; return at once if there is none."""
        broken = self._broken.get(server)
        if broken is not None:
            await broken.checked.wait()

    def update_blocks(self) -> None:
        """Block the generations that the recorded crashes point to."""
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
        seen_at = self._clock.monotonic()
        broken = self._broken[server]
        try:
            await self._clock.sleep(COLLECT_WINDOW_S)
            if isinstance(await self._servers.load(address), Err):
                self._record_crash(server, broken.requests, seen_at)
        finally:
            del self._broken[server]
            broken.checked.set()

    def _record_crash(self, server: str, requests: list[bytes], seen_at: float) -> None:
        fingerprints = [each.hex() for each in requests]
        emit(Event.SERVER_ENDED, server=server, requests=len(requests), fingerprints=fingerprints)
        self._quarantine.record_crash(server, requests, seen_at)


def _fingerprint(request: GenerationRequest) -> bytes:
    """Return a digest of account, model and prompt, which is the same for every attempt."""
    return digest_of((request.account.encode(), request.model.encode(), request.prompt.encode()))
