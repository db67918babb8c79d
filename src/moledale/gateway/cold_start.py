"""A starting node's first plan and first list of servers: from its peers, else from the store.

Where nodes are many, each that starts would ask the store for what its peers have; when all start
at once they would all do so at the same moment. So one waits for word of its peers first, and where
nobody has anything yet a few nodes by chance read the store and the others fetch it from these.
"""

import asyncio
import random
import time
from collections.abc import Callable

REGISTERED_S = 0.15
"""Time for the calls that tell how many others there are; without an answer to them the store is
asked at once."""

ANSWER_S = 0.15
"""Time in which a peer that lives answers a node's first state: a round trip of a few ms, and the
peer's processor may be busy for a tenth of a second."""

SPREAD_S = 0.15
"""Where no peer answers, nodes ask the store within this time for each `neighbours.FEW` of them, by
chance: of 81 that start at once four have asked it when the first of them tells of the answer."""

LOOK_S = 0.02


class ColdStart:
    """Tells a starting node when to ask the store.

    `crowd` is 1.0 where nodes are few, and grows with them (see `Neighbours.crowd`).
    """

    def __init__(
        self, crowd: Callable[[], float], now: Callable[[], float] = time.monotonic
    ) -> None:
        self.registered = asyncio.Event()
        self._crowd = crowd
        self._now = now
        self._chance = random.Random().random()

    async def wait(self, known: Callable[[], bool], coming: Callable[[], bool]) -> None:
        """Wait until a document is `known`, or until this node is to ask the store for it.

        While it is `coming` from a peer the store is left alone.
        """
        try:
            async with asyncio.timeout(REGISTERED_S):
                await self.registered.wait()
        except TimeoutError:
            return
        others = self._crowd() - 1.0
        if others <= 0:
            return
        ask_at = self._now() + ANSWER_S + SPREAD_S * others * self._chance
        while True:
            if known() or not (coming() or self._now() < ask_at):
                return
            await asyncio.sleep(LOOK_S)
