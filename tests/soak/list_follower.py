"""A service whose only server is replaced again and again: do nodes follow the list?"""

import asyncio
import random
import time
from collections.abc import Callable

from tests.soak.backend import Backend
from tests.soak.callers import SoakCaller
from tests.soak.records import Joined, Leaving
from tests.soak.troubles import DRAIN_S
from tests.soak.world import ACCOUNTS, SoakWorld

SERVICE = "followed"
CALLERS = 2
OVERLAP_S = 1.0
"""A server is listed for this long before the one that it replaces is listed as leaving."""

ALONE_S = 1.0


class ListFollower:
    """Replaces the server of a service of its own, and sends requests to it."""

    def __init__(self, world: SoakWorld, rng: random.Random) -> None:
        self._world = world
        self._rng = rng
        world.followed.append(SERVICE)

    async def start(self) -> Backend:
        """Start the first server."""
        started = await self._world.start_side_servers(SERVICE, "v1", 1)
        self._world.list_side_servers(started)
        return started[0]

    async def run(self, server: Backend, is_over: Callable[[], bool]) -> None:
        """Replace the server, and send requests, until `is_over`."""
        callers = [
            SoakCaller(
                f"{SERVICE}{number}",
                ACCOUNTS[0],
                self._world.nodes,
                self._world.ledger,
                random.Random(self._rng.random()),
                lambda: (SERVICE,),
            )
            for number in range(CALLERS)
        ]
        await asyncio.gather(
            self._replace(server, is_over), *(caller.run(is_over) for caller in callers)
        )

    async def _replace(self, old: Backend, is_over: Callable[[], bool]) -> None:
        ledger = self._world.ledger
        while not is_over():
            (new,) = await self._world.start_side_servers(SERVICE, "v1", 1)
            self._world.list_side_servers([new])
            await asyncio.sleep(OVERLAP_S)
            ledger.record_fault("replace", f"{old.id} by {new.id}", planned=True)
            self._world.list_backend(old, "draining")
            now = time.monotonic()
            ledger.leaving.append(Leaving(old.id, now))
            ledger.joined.append(Joined(new.id, now))
            await asyncio.sleep(DRAIN_S + ALONE_S)
            self._world.end_side_server(old)
            old = new
