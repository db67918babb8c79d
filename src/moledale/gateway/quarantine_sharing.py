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

RESEND_DELAY_S = 0.3
"""The word of an end is told once more after this time, more than a round of states: where 3 in 100
datagrams get lost, both do 0.1 times in 100."""

PEER_SYNC_INTERVAL_S = 1.0
"""A node whose blocks differ is told once in this time by each other node."""

MAX_FINGERPRINTS_PER_DATAGRAM = 64
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


QuarantineMessage = EndNews | ClearedNews | BlockNews


class QuarantineSender(Protocol):
    """Sends news to the nodes that serve, to `everyone`, or to one `peer`."""

    def __call__(
        self, news: QuarantineMessage, *, everyone: bool = False, peer: str | None = None
    ) -> None:
        """Send the news."""
        ...


class QuarantineSharing:
    """Tells the other nodes what a guard sees, and the guard what they tell."""

    def __init__(
        self, guard: RequestGuard, tell: QuarantineSender, now: Callable[[], float] = monotonic
    ) -> None:
        self.synced = False
        self._guard = guard
        self._send = tell
        self._now = now
        self._peer_synced_at: dict[str, float] = {}
        guard.on_crash = self._send_crash_twice
        guard.on_cleared = self._send_cleared

    def digest(self) -> int | None:
        """Return what this node's state says of its blocks; None while it knows of none yet."""
        return self._guard.quarantine.digest() if self.synced else None

    def broadcast_block(self, block: Block) -> None:
        """Tell all nodes of a block."""
        self._send(BlockNews([self._to_wire(block)]), everyone=True)

    def on_message(self, news: QuarantineMessage) -> None:
        """Take over what another node told."""
        if isinstance(news, EndNews):
            at = self._now() - news.age_s
            self._guard.record_peer_crash(news.server, news.requests, at)
        elif isinstance(news, ClearedNews):
            self._guard.record_peer_cleared(news.requests)
        else:
            self._merge_blocks(news)

    def on_peer_digest(self, peer: str, theirs: int | None) -> None:
        """Compare another node's blocks with those here; tell it of these if they differ."""
        own = self._guard.quarantine.digest()
        if theirs == own:
            self.synced = True
            return
        now = self._now()
        if not self.synced or now - self._peer_synced_at.get(peer, -1e9) < PEER_SYNC_INTERVAL_S:
            return
        self._peer_synced_at = {
            each: at for each, at in self._peer_synced_at.items() if now - at < PEER_SYNC_INTERVAL_S
        }
        self._peer_synced_at[peer] = now
        blocks = list(self._guard.quarantine.blocks.values())
        for start in range(0, max(1, len(blocks)), MAX_FINGERPRINTS_PER_DATAGRAM):
            part = [
                self._to_wire(each)
                for each in blocks[start : start + MAX_FINGERPRINTS_PER_DATAGRAM]
            ]
            self._send(BlockNews(part, all=len(blocks) <= MAX_FINGERPRINTS_PER_DATAGRAM), peer=peer)

    def _merge_blocks(self, news: BlockNews) -> None:
        now = self._now()
        for told in news.blocks:
            block = Block(told.fingerprint, now + told.left_s, told.times)
            self._guard.quarantine.merge_block(block)
        self.synced = self.synced or news.all

    def _send_crash_twice(self, end: ObservedCrash) -> None:
        self._send_crash(end)
        asyncio.get_running_loop().call_later(RESEND_DELAY_S, self._send_crash, end)

    def _send_crash(self, end: ObservedCrash) -> None:
        age_s = self._now() - end.at
        for start in range(0, len(end.requests), MAX_FINGERPRINTS_PER_DATAGRAM):
            some = end.requests[start : start + MAX_FINGERPRINTS_PER_DATAGRAM]
            self._send(EndNews(end.server, some, age_s))

    def _send_cleared(self, fingerprint: bytes) -> None:
        self._send(ClearedNews([fingerprint]))

    def _to_wire(self, block: Block) -> ToldBlock:
        return ToldBlock(block.fingerprint, block.until - self._now(), block.times)
