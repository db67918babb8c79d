"""Exchange between nodes of what they know about requests that crash servers.

A server crash is sent at once to the serving nodes, and resent once in case the datagram was lost.
Each node decides by itself which requests to block. Blocks are sent to all nodes. Each gossiped
state carries a digest of its node's blocks, so peers whose blocks differ send theirs.
"""

import asyncio
from collections.abc import Callable, Iterator
from typing import Protocol

import msgspec

from moledale.clock import monotonic
from moledale.core.quarantine import Block
from moledale.gateway.request_guard import ObservedCrash, RequestGuard

RESEND_DELAY_S = 0.3
"""A crash is resent once after this time, which is longer than a gossip round. With 3 in 100
datagrams lost, both copies are lost 0.1 times in 100."""

PEER_SYNC_INTERVAL_S = 1.0
"""Minimum interval at which a node sends its blocks to a peer whose digest differs."""

MAX_FINGERPRINTS_PER_DATAGRAM = 64
"""Maximum number of requests in one datagram: as many as run on a server at once, about 1.2 KB."""


class EndNews(msgspec.Struct, array_like=True, tag="ended"):
    """A server that crashed `age_s` ago, and the requests that the sender had running on it.

    Requests are given by their fingerprints.
    """

    server: str
    requests: list[bytes]
    age_s: float


class PartNews(msgspec.Struct, array_like=True, tag="parts"):
    """A server that crashed `age_s` ago, and suspected parts of prompts that the sender had there.

    Parts are given by their digests. Only nodes whose state says `part_news` read it.
    """

    server: str
    parts: list[bytes]
    age_s: float


class ClearedNews(msgspec.Struct, array_like=True, tag="cleared"):
    """Fingerprints of suspected requests, and digests of parts, that a server survived."""

    requests: list[bytes]


class ToldBlock(msgspec.Struct, array_like=True):
    """A block that expires in `left_s` seconds; negative if it has expired.

    `times` is how often the request has been blocked.
    """

    fingerprint: bytes
    left_s: float
    times: int


class BlockNews(msgspec.Struct, array_like=True, tag="blocks"):
    """Blocks that the sender has; `all` is set if these are all of them."""

    blocks: list[ToldBlock]
    all: bool = False


QuarantineMessage = EndNews | PartNews | ClearedNews | BlockNews


class QuarantineSender(Protocol):
    """Sends a message to the serving nodes, to all nodes (`everyone`), or to one `peer`."""

    def __call__(
        self, message: QuarantineMessage, *, everyone: bool = False, peer: str | None = None
    ) -> None:
        """Send the message."""
        ...


class QuarantineSharing:
    """Sends what a request guard observes to peers, and passes what they send to the guard.

    `synced` is true once this node has all known blocks, from a peer or from the store.
    """

    def __init__(
        self, guard: RequestGuard, send: QuarantineSender, now: Callable[[], float] = monotonic
    ) -> None:
        self.synced = False
        self._guard = guard
        self._send = send
        self._now = now
        self._peer_synced_at: dict[str, float] = {}
        guard.on_crash = self._send_crash_twice
        guard.on_cleared = self._send_cleared

    def digest(self) -> int | None:
        """Return the digest of this node's blocks for its gossiped state; None until synced."""
        return self._guard.quarantine.digest() if self.synced else None

    def broadcast_block(self, block: Block) -> None:
        """Send a block to all nodes."""
        self._send(BlockNews([self._to_wire(block)]), everyone=True)

    def on_message(self, message: QuarantineMessage) -> None:
        """Apply a message from a peer."""
        if isinstance(message, EndNews):
            at = self._now() - message.age_s
            self._guard.record_peer_crash(message.server, message.requests, at)
        elif isinstance(message, PartNews):
            at = self._now() - message.age_s
            self._guard.record_peer_parts(message.server, message.parts, at)
        elif isinstance(message, ClearedNews):
            self._guard.record_peer_cleared(message.requests)
        else:
            self._merge_blocks(message)

    def on_peer_digest(self, peer: str, peer_digest: int | None) -> None:
        """Compare a peer's digest with this node's; send it this node's blocks if they differ.

        This is done at most once per `PEER_SYNC_INTERVAL_S` and peer, and only once synced. An
        equal digest makes this node synced.
        """
        own = self._guard.quarantine.digest()
        if peer_digest == own:
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

    def _merge_blocks(self, message: BlockNews) -> None:
        now = self._now()
        for received in message.blocks:
            self._guard.merge_block(
                Block(received.fingerprint, now + received.left_s, received.times)
            )
        self.synced = self.synced or message.all

    def _send_crash_twice(self, crash: ObservedCrash) -> None:
        self._send_crash(crash)
        asyncio.get_running_loop().call_later(RESEND_DELAY_S, self._send_crash, crash)

    def _send_crash(self, crash: ObservedCrash) -> None:
        age_s = self._now() - crash.at
        for requests in _split(crash.requests):
            self._send(EndNews(crash.server, requests, age_s))
        for parts in _split(crash.parts):
            self._send(PartNews(crash.server, parts, age_s))

    def _send_cleared(self, cleared: list[bytes]) -> None:
        for each in _split(cleared):
            self._send(ClearedNews(each), everyone=True)

    def _to_wire(self, block: Block) -> ToldBlock:
        return ToldBlock(block.fingerprint, block.until - self._now(), block.times)


def _split(digests: list[bytes]) -> Iterator[list[bytes]]:
    """Split digests into as many as one datagram takes."""
    for start in range(0, len(digests), MAX_FINGERPRINTS_PER_DATAGRAM):
        yield digests[start : start + MAX_FINGERPRINTS_PER_DATAGRAM]
