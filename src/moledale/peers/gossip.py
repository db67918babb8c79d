"""Gossip of small digests with random peers: bundle head, leaving servers, open requests."""

import random
from collections.abc import Callable

from result import Err

from moledale.backing.types import Instance
from moledale.clock import Clock
from moledale.log import Event, emit
from moledale.node.fleet import Fleet
from moledale.peers.link import PeerLink
from moledale.peers.pb import peers_pb2

PEERS_PER_ROUND = 1
PEERS_PER_UPDATE = 6
"""Peers with which a node exchanges digests immediately when it learns of an update itself."""

PEERS_PER_UPDATE_RELAY = 3
"""Peers to which a node relays an update immediately when it first receives it from a peer."""


MAX_PEERS_ASKED = 3
"""Peers that are asked one after the other to find out whether this node is isolated."""


class Gossip:
    """Exchanges digests with one random peer per round, and immediately with several on an update.

    `own_digest` returns the digest to send, and `on_digest` is called with each one received.
    """

    def __init__(
        self,
        link: PeerLink,
        fleet: Fleet,
        own_digest: Callable[[], peers_pb2.DigestMessage],
        on_digest: Callable[[peers_pb2.DigestMessage], None],
        interval_s: float,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._link = link
        self._fleet = fleet
        self._own_digest = own_digest
        self._on_digest = on_digest
        self._interval_s = interval_s
        self._clock = clock
        self._rng = rng
        self._down: set[str] = set()

    async def run(self) -> None:
        """Exchange digests periodically, with jitter, until cancelled."""
        while True:
            await self._clock.sleep(self._interval_s * self._rng.uniform(0.75, 1.25))
            await self.exchange(PEERS_PER_ROUND)

    async def exchange(self, number: int) -> None:
        """Exchange digests with up to `number` random peers, one after the other."""
        for peer in self._random_peers(number):
            await self._exchange_with(peer)

    async def find_peer(self) -> bool:
        """Exchange digests with random peers until one answers; return whether one did."""
        for peer in self._random_peers(MAX_PEERS_ASKED):
            if await self._exchange_with(peer):
                return True
        return False

    def _random_peers(self, number: int) -> list[Instance]:
        peers = [node for node in self._fleet.peer_nodes() if node.peer_address]
        return self._rng.sample(peers, min(number, len(peers)))

    async def _exchange_with(self, peer: Instance) -> bool:
        """Exchange digests with a peer; return whether it answered."""
        outcome = await self._link.digest(peer.peer_address, self._own_digest())
        if isinstance(outcome, Err):
            if peer.id not in self._down:
                self._down.add(peer.id)
                emit(Event.PEER_DOWN, peer=peer.id, detail=outcome.err_value)
            return False
        self._down.discard(peer.id)
        self._on_digest(outcome.ok_value)
        return True
