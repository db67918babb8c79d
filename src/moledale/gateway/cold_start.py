"""A starting node's first plan and first list of servers: from its peers, else from the store.

Where nodes are many, each that starts would ask the store for what its peers have; when all start
at once they would all do so at the same moment. So one waits for word of its peers first, and where
nobody has anything yet a few nodes by chance read the store and the others fetch it from these.
"""

import asyncio
import random
from collections.abc import Callable

from moledale.clock import monotonic

PEER_ANSWER_TIMEOUT_S = 0.06
"""Time in which a peer that lives answers a node's first state: a round trip of a few ms, and a
busy processor. Where all end at once nobody answers, and callers wait for all that is longer."""

STAGGER_MIN_SCALE = 8.0
"""From so many times `neighbours.MAX_MESH_PEERS` nodes on they do not all ask the store at once: 81 nodes read
20 KB each in a moment, 300 nodes before 3,000 servers 0.7 MB each."""

STAGGER_PER_SCALE_S = 0.15
"""Where no peer answers, many nodes ask the store within this time for each `neighbours.MAX_MESH_PEERS` of
them, by chance, so that most of them hear of its answer before they ask."""

POLL_INTERVAL_S = 0.02
"""A document that came is noticed within this time, a third of `PEER_ANSWER_TIMEOUT_S`."""


class ColdStart:
    """Tells a starting node when to ask the store.

    `backoff_scale` is 1.0 where nodes are few, and grows with them (see `Neighbours.backoff_scale`).
    """

    def __init__(
        self, backoff_scale: Callable[[], float], now: Callable[[], float] = monotonic
    ) -> None:
        self._backoff_scale = backoff_scale
        self._now = now
        self._draw = random.Random().random()

    async def wait(self, known: Callable[[], bool], coming: Callable[[], bool]) -> None:
        """Wait until a document is `known`, or until this node is to ask the store for it.

        While it is `coming` from a peer the store is left alone.
        """
        began_at = self._now()
        while True:
            if known():
                return
            if not coming() and self._now() >= began_at + self._peer_wait_s():
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    def _peer_wait_s(self) -> float:
        """Return how long to wait for a peer, from what is known of their number now."""
        backoff_scale = self._backoff_scale()
        return PEER_ANSWER_TIMEOUT_S + (
            STAGGER_PER_SCALE_S * backoff_scale * self._draw
            if backoff_scale >= STAGGER_MIN_SCALE
            else 0.0
        )
