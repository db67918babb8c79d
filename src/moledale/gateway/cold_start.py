"""Delays the first reads of a starting node, which gets its documents from peers if they have them.

In a large cluster each starting node would read from the store what its peers have, and nodes that
start together would all do so at the same moment. So a starting node first waits for its peers. If
no node has the documents yet, a few random nodes read the store first and the others fetch the
documents from them.
"""

import asyncio
import random
from collections.abc import Callable

from moledale.clock import monotonic

PEER_ANSWER_TIMEOUT_S = 0.06
"""Time within which a live peer answers a node's first state: a round trip of a few ms, plus time
for a busy processor. If all nodes stopped at once no peer answers, and each longer wait delays
callers."""

STAGGER_MIN_SCALE = 8.0
"""Store reads are staggered from this multiple of `neighbours.MAX_MESH_PEERS` nodes on: 81 nodes
read 20 KB each in a moment, but 300 nodes with 3,000 servers read 0.7 MB each."""

STAGGER_PER_SCALE_S = 0.15
"""Without an answer of a peer, staggered nodes read the store at a random time within this, for
each `neighbours.MAX_MESH_PEERS` nodes, so that most of them learn of a read before their own."""

POLL_INTERVAL_S = 0.02
"""Interval between checks for a document that arrived: a third of `PEER_ANSWER_TIMEOUT_S`."""


class ColdStart:
    """Decides when a starting node reads the store.

    `backoff_scale` is 1.0 in a small cluster and grows with the number of nodes (see
    `Neighbours.backoff_scale`).
    """

    def __init__(
        self, backoff_scale: Callable[[], float], now: Callable[[], float] = monotonic
    ) -> None:
        self._backoff_scale = backoff_scale
        self._now = now
        self._draw = random.Random().random()

    async def wait(self, known: Callable[[], bool], coming: Callable[[], bool]) -> None:
        """Wait until a document is `known`, or until this node should read it from the store.

        It does not read while the document is `coming` from a peer.
        """
        began_at = self._now()
        while True:
            if known():
                return
            if not coming() and self._now() >= began_at + self._peer_wait_s():
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    def _peer_wait_s(self) -> float:
        """Return how long to wait for a peer, given the number of nodes known now."""
        backoff_scale = self._backoff_scale()
        return PEER_ANSWER_TIMEOUT_S + (
            STAGGER_PER_SCALE_S * backoff_scale * self._draw
            if backoff_scale >= STAGGER_MIN_SCALE
            else 0.0
        )
