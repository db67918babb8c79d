"""What nodes tell each other of requests that end servers.

Ends of servers are told at once to the nodes that serve, and once more in case a datagram was lost;
each node decides by itself on what it heard. Blocks are told to all. Each state names a digest of
the blocks that its node has, so one that missed some is told again by those that have others.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol

import msgspec

from moledale.clock import monotonic
from moledale.core.quarantine import Block
from moledale.gateway.request_guard import ObservedCrash, RequestGuard

TELL_AGAIN_S = 0.3
"""The word of an end is told once more after this time, more than a round of states: where 3 in 100
datagrams get lost, both do 0.1 times in 100."""

SAME_PEER_S = 1.0
"""A node whose blocks differ is told once in this time by each other node."""

MOST_TOLD = 64
"""Requests named in a datagram, 1.2 KB: what runs on a server at once."""


class EndNews(msgspec.Struct, array_like=True, tag="ended"):
    """A server that ended so long ago, and the requests that a node had running there."""

    server: str
    requests: list[bytes]
    age_s: float


class ClearedNews(msgspec.Struct, array_like=True, tag="cleared"):
    """Suspected requests that a server survived."""

    requests: list[bytes]


class ToldBlock(msgspec.Struct, array_like=True):
    """A block that ends in `left_s` seconds, or has ended if that is below zero."""

    fingerprint: bytes
    left_s: float
    times: int


class BlockNews(msgspec.Struct, array_like=True, tag="blocks"):
    """Blocks that a node has; `all` tells that it has no others."""

    blocks: list[ToldBlock]
    all: bool = False


QuarantineNews = EndNews | ClearedNews | BlockNews


class Tell(Protocol):
    """Sends news to the nodes that serve, to `everyone`, or to one `peer`."""

    def __call__(
        self, news: QuarantineNews, *, everyone: bool = False, peer: str | None = None
    ) -> None:
        """Send the news."""
        ...


class QuarantineSharing:
    """Tells the other nodes what a guard sees, and the guard what they tell."""

    def __init__(
        self, guard: RequestGuard, tell: Tell, now: Callable[[], float] = monotonic
    ) -> None:
        self.informed = False
        self._guard = guard
        self._tell = tell
        self._now = now
        self._told_at: dict[str, float] = {}
        guard.on_crash = self._tell_end
        guard.on_cleared = self._tell_cleared

    def digest(self) -> int | None:
        """Return what this node's state says of its blocks; None while it knows of none yet."""
        return self._guard.quarantine.digest() if self.informed else None

    def tell_block(self, block: Block) -> None:
        """Tell all nodes of a block."""
        self._tell(BlockNews([self._told(block)]), everyone=True)

    def heard(self, news: QuarantineNews) -> None:
        """Take over what another node told."""
        if isinstance(news, EndNews):
            at = self._now() - news.age_s
            self._guard.record_peer_crash(news.server, news.requests, at)
        elif isinstance(news, ClearedNews):
            self._guard.record_peer_cleared(news.requests)
        else:
            self._heard_blocks(news)

    def heard_digest(self, peer: str, theirs: int | None) -> None:
        """Compare another node's blocks with those here; tell it of these if they differ."""
        own = self._guard.quarantine.digest()
        if theirs == own:
            self.informed = True
            return
        now = self._now()
        if not self.informed or now - self._told_at.get(peer, -1e9) < SAME_PEER_S:
            return
        self._told_at = {each: at for each, at in self._told_at.items() if now - at < SAME_PEER_S}
        self._told_at[peer] = now
        blocks = list(self._guard.quarantine.blocks.values())
        for start in range(0, max(1, len(blocks)), MOST_TOLD):
            part = [self._told(each) for each in blocks[start : start + MOST_TOLD]]
            self._tell(BlockNews(part, all=len(blocks) <= MOST_TOLD), peer=peer)

    def _heard_blocks(self, news: BlockNews) -> None:
        now = self._now()
        for told in news.blocks:
            block = Block(told.fingerprint, now + told.left_s, told.times)
            self._guard.quarantine.merge_block(block)
        self.informed = self.informed or news.all

    def _tell_end(self, end: ObservedCrash) -> None:
        self._send_end(end)
        asyncio.get_running_loop().call_later(TELL_AGAIN_S, self._send_end, end)

    def _send_end(self, end: ObservedCrash) -> None:
        age_s = self._now() - end.at
        for start in range(0, len(end.requests), MOST_TOLD):
            some = end.requests[start : start + MOST_TOLD]
            self._tell(EndNews(end.server, some, age_s))

    def _tell_cleared(self, fingerprint: bytes) -> None:
        self._tell(ClearedNews([fingerprint]))

    def _told(self, block: Block) -> ToldBlock:
        return ToldBlock(block.fingerprint, block.until - self._now(), block.times)
