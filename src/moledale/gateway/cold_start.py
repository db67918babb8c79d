"""A starting node's first plan and first list of servers: from its peers, else from the store.

Where nodes are many, each that starts would ask the store for what its peers have; when all start
at once they would all do so at the same moment. So one waits for word of its peers first, and where
nobody has anything yet a few nodes by chance read the store and the others fetch it from these.
"""

import asyncio
import random
from collections.abc import Callable

from moledale.clock import monotonic

ANSWER_S = 0.06
"""Time in which a peer that lives answers a node's first state: a round trip of a few ms, and a
busy processor. Where all end at once nobody answers, and callers wait for all that is longer."""

MANY = 8.0
"""From so many times `neighbours.FEW` nodes on they do not all ask the store at once: 81 nodes read
20 KB each in a moment, 300 nodes before 3,000 servers 0.7 MB each."""

SPREAD_S = 0.15
"""Where no peer answers, many nodes ask the store within this time for each `neighbours.FEW` of
them, by chance, so that most of them hear of its answer before they ask."""

LOOK_S = 0.02
"""A document that came is noticed within this time, a third of `ANSWER_S`."""


class ColdStart:
    """Tells a starting node when to ask the store.

    `crowd` is 1.0 where nodes are few, and grows with them (see `Neighbours.crowd`).
    """

    def __init__(self, crowd: Callable[[], float], now: Callable[[], float] = monotonic) -> None:
        self._crowd = crowd
        self._now = now
        self._chance = random.Random().random()

    async def wait(self, known: Callable[[], bool], coming: Callable[[], bool]) -> None:
        """Wait until a document is `known`, or until this node is to ask the store for it.

        While it is `coming` from a peer the store is left alone.
        """
        began_at = self._now()
        while True:
            if known():
                return
            if not coming() and self._now() >= began_at + self._patience_s():
                return
            await asyncio.sleep(LOOK_S)

    def _patience_s(self) -> float:
        """Return how long to wait for a peer, from what is known of their number now."""
        crowd = self._crowd()
        return ANSWER_S + (SPREAD_S * crowd * self._chance if crowd >= MANY else 0.0)
