"""Keeping the list of backend servers: one node reads it and tells all others.

There is no election: each node waits a little longer than the one before it, so the first reads
while it can, and another does as soon as its news stay away.

Servers renew their entries in the same store. While it is away entries may lapse though their
servers live, and these are back soon after it is; so a server that is missing from the first lists
after an outage is kept for that long.
"""

import asyncio
import random
import time
from collections.abc import Callable

import msgspec
import xxhash
from result import Err

from moledale.gateway.backoff import Backoff
from moledale.gateway.gossip import FleetNews
from moledale.gateway.messages import Server
from moledale.gateway.outside import Store
from moledale.gateway.usage import TrueTime
from moledale.log import Event, emit

READ_EVERY_S = 0.8
READ_RANK_S = 0.12
MOST_READ_RANK = 4
READ_TIMEOUT_S = 0.8
AGAIN_S = 0.2
AGAIN_MOST_S = 1.0
LOOK_S = 0.1

CROWD_SPREAD_S = 0.5
"""Nodes in reserve read up to this much later, by chance, for each `neighbours.FEW` nodes."""

OUTAGE_S = 2.0
"""Without a list for this long the store counts as having been away."""

RETURN_S = 1.8
"""Entries that lapsed meanwhile are back within about two seconds of the store's return."""


class FleetWatch:
    """Reads or hears the list and hands it on.

    `rank` is this node's turn, `took` gets each list, and `tell` sends news to all other nodes.
    """

    def __init__(
        self,
        store: Store,
        true_time: TrueTime,
        rank: Callable[[], int],
        took: Callable[[list[Server]], None],
        tell: Callable[[FleetNews], None],
        crowd: Callable[[], float],
    ) -> None:
        self.version = -1
        self._store = store
        self._true_time = true_time
        self._rank = rank
        self._took = took
        self._tell = tell
        self._servers: list[Server] = []
        self._digest = 0
        self._told = 0
        self._fresh_at = -1e9
        self._returned_at = -1e9
        self._kept: list[Server] = []
        self._crowd = crowd
        self._backoff = Backoff(AGAIN_S, AGAIN_MOST_S, crowd)
        self._random = random.Random()
        self._spread_s = 0.0

    async def watch(self) -> None:
        """Read the list whenever it is this node's turn, for ever."""
        while True:
            now = time.monotonic()
            turn = min(self._rank(), MOST_READ_RANK)
            due = self._fresh_at + READ_EVERY_S + turn * READ_RANK_S + self._spread_s
            if now < due:
                await asyncio.sleep(min(LOOK_S, due - now))
            elif await self._read(now):
                self._backoff.answered()
                self._spread_s = 0.0
            else:
                await asyncio.sleep(self._backoff.next_s())

    def heard(self, news: FleetNews) -> None:
        """Take over a peer's reading."""
        now = time.monotonic()
        read_at = now - news.age_s
        if news.servers is not None:
            self._take(news.servers, news.version, read_at)
        elif news.digest == self._digest:
            self._note_fresh(read_at)
            self.version = max(self.version, news.version)
        if news.digest == self._digest:
            self._told = self._digest

    def drop_lapsed(self) -> None:
        """Take servers that are still missing as gone; called often, as lists come seldom."""
        now = time.monotonic()
        if self._kept and now - self._returned_at >= RETURN_S:
            self._believe(self._servers, now)

    async def _read(self, now: float) -> bool:
        outcome = await self._store.servers(READ_TIMEOUT_S)
        if isinstance(outcome, Err):
            return False
        listed = outcome.ok_value
        self._true_time.store_read(listed.store_s, now, time.monotonic())
        self._take(list(listed.servers), listed.version, now)
        same = self._told == self._digest
        self._told = self._digest
        age = time.monotonic() - now
        servers = None if same else self._servers
        self._tell(FleetNews(self.version, self._digest, age, servers))
        return True

    def _take(self, servers: list[Server], version: int, read_at: float) -> None:
        """Take a list that is not older than the one at hand."""
        if version < self.version:
            return
        self._note_fresh(read_at)
        self.version = version
        self._believe(servers, read_at)
        self._servers = servers
        digest = xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(_lasting(servers)))
        changed = digest != self._digest
        self._digest = digest
        if changed:
            emit(
                Event.SERVERS_CHANGED,
                version=version,
                there=len(servers),
                spot=sum(1 for server in servers if server.spot),
                leaving=[server.id for server in servers if server.leaving],
                kept=[server.id for server in self._kept],
            )

    def _note_fresh(self, read_at: float) -> None:
        """Note that the list was read; after a long time without, the store has returned.

        Nodes in reserve that find the next reading late must not read all at once.
        """
        self._spread_s = CROWD_SPREAD_S * (self._crowd() - 1.0) * self._random.random()
        if self._servers and read_at - self._fresh_at > OUTAGE_S:
            self._returned_at = read_at
        self._fresh_at = max(self._fresh_at, read_at)

    def _believe(self, servers: list[Server], read_at: float) -> None:
        """Hand a list on, with the servers that only lapsed while the store was away."""
        before = [*self._servers, *self._kept]
        self._kept = []
        if read_at - self._returned_at < RETURN_S:
            listed = {server.id for server in servers}
            missing = {each.id: each for each in before if each.id not in listed}
            self._kept = [server for server in missing.values() if not server.leaving]
        self._took([*servers, *self._kept])


def _lasting(servers: list[Server]) -> list[Server]:
    """Return servers without what changes with each heartbeat."""
    return [
        msgspec.structs.replace(server, leaves_s=None)
        for server in sorted(servers, key=lambda server: server.id)
    ]
