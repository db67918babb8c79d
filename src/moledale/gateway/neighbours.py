"""Whom a node tells its news, and whether it serves callers.

While nodes are few, each tells all others each round. When they are many, those that serve tell
each other each round (where many serve, those of other halls now and then) and all others seldom;
those in reserve tell the serving ones of their hall now and then. What a node in reserve hears
grows with the halls, not with the nodes.
"""

import random

import msgspec

from moledale.core.hashing import ring_successors
from moledale.gateway.directory import serving_nodes, should_serve, wanted_nodes
from moledale.gateway.peers import Membership, NodeState, Standing

GOSSIP_INTERVAL_S = 0.2
"""Time between two tellings. Views of loads are half as old on average; placements go at once."""

MAX_MESH_PEERS = 16
"""Up to this many other nodes, all tell all each round."""

ROUNDS_PER_SLOW_ROUND = 5
"""Rounds between two tellings to nodes in reserve."""

LISTEN_S = 0.25
LISTEN_LARGE_S = 0.8
"""A node that starts listens for this long before it serves."""

PROMOTION_JITTER_S = 0.5
"""Nodes in reserve wait up to this long, by chance, before they take a silent one's place."""

STORE_REACHABLE_S = 5.0
"""A node reaches the store if its watch was answered within this time."""

NO_WATCH_RANK = 16
"""Turn of a node that need not watch the store."""

BUSY_S = 3.0
"""A node counts as busy this long after a request: callers keep addresses for 2 s and longer."""

ADDRESS_RETENTION_S = 60.0
"""A silent address is still tried for this long: nodes that were cut off find each other again."""

MAX_HINTS = 8
"""Addresses told with a state, 20 bytes each; a node that starts hears of all others by and by."""

RANDOM_RESERVE_TARGETS = 2
"""Nodes by chance that one in reserve tells: groups that lost each other meet again within
seconds."""

RING_SUCCESSORS = 2
"""Nodes next in the ring of addresses that one passes a change of the servers on to. So two others
tell each node, whatever chance does; one that is told by none hears of it up to a second later."""

RANDOM_RELAYS = 2
"""Nodes by chance that one tells beside these: whole parts of the ring may be cut off."""

PLAN_ANNOUNCE_PEERS = 6
"""Nodes that one that fetched a plan tells of it; so sources outnumber nodes that wait at once."""


class AddressBook(msgspec.Struct):
    """Addresses to send news to, and until when one that is silent is still tried."""

    own: str
    expires_at: dict[str, float] = msgspec.field(default_factory=dict)

    def add(self, address: str, now: float) -> None:
        """Note an address that was told or heard from."""
        if address and address != self.own:
            self.expires_at[address] = now + ADDRESS_RETENTION_S

    def hint(self, address: str, now: float) -> None:
        """Note an address that a peer knows; its time is not made longer."""
        if address and address != self.own and address not in self.expires_at:
            self.expires_at[address] = now + ADDRESS_RETENTION_S

    def known(self, now: float) -> list[str]:
        """Return the addresses that are still tried."""
        for address in [each for each, until in self.expires_at.items() if until < now]:
            del self.expires_at[address]
        return list(self.expires_at)


class Neighbours:
    """A node's own place among the others."""

    def __init__(self, members: Membership, own_address: str, now: float) -> None:
        self.members = members
        self.addresses = AddressBook(own_address)
        self.serving = False
        self._started_at = now
        self._unwanted_at = now
        self._promotion_delay_s = 0.0
        self._busy_at = -1e9
        self._round = 0
        self._rng = random.Random()

    def update_serving(self, own: NodeState, now: float) -> bool:
        """Decide whether this node serves; say whether that changed."""
        before = self.serving
        alive = self.members.alive(now)
        wanted = should_serve(own, alive, wanted_nodes(own, alive))
        if not wanted:
            self._unwanted_at = now
            self._promotion_delay_s = (
                PROMOTION_JITTER_S * self._rng.random() if self.is_large(now) else 0.0
            )
            self.serving = False
        elif self.has_listened(now) and now - self._unwanted_at >= self._promotion_delay_s:
            self.serving = True
        return self.serving != before

    def promoted_without_counts(self, now: float) -> bool:
        """Say whether this node serves now and did not hear before what others counted.

        Where nodes are many, those in reserve are told in short only.
        """
        return self.serving and self.is_large(now)

    def record_busy(self, now: float) -> None:
        """Note that requests are served here, whether callers were told to come or not."""
        self._busy_at = now

    def state_targets(self, own: NodeState, now: float) -> list[str]:
        """Return whom to tell the whole state in this round."""
        self._round += 1
        known = self.addresses.known(now)
        if len(known) <= MAX_MESH_PEERS:
            return known
        slow = self._round % ROUNDS_PER_SLOW_ROUND == 0
        alive = self.members.alive(now)
        busy = self.serving or own.lease is not None or now - self._busy_at < BUSY_S
        chosen: set[str] = set()
        if busy:
            others = [each for each in alive if each.serving or each.lease]
            if len(others) > MAX_MESH_PEERS and not slow:
                others = [each for each in others if each.hall == own.hall or each.lease]
            return [each.peer for each in others]
        if slow or not self.has_listened(now):
            chosen.update(
                each.peer
                for each in alive
                if each.lease or (each.serving and each.hall == own.hall)
            )
            chosen.update(self._rng.sample(known, RANDOM_RESERVE_TARGETS))
        return list(chosen)

    def placement_targets(self, hall: str, now: float) -> list[str]:
        """Return whom to tell at once what is placed: nodes that serve, or its hall's of many."""
        serving = [each for each in self.members.alive(now) if each.serving]
        if len(serving) > MAX_MESH_PEERS:
            serving = [each for each in serving if each.hall == hall]
        return [each.peer for each in serving]

    def brief_targets(self, own: NodeState, told: list[str], now: float) -> list[str]:
        """Return whom to tell in this round just that this node is there, and what it spent."""
        slow = self._round % ROUNDS_PER_SLOW_ROUND == 0
        if not self.is_large(now) or not (
            (slow and self.serving) or self._admits_before_listened(own, now)
        ):
            return []
        return [address for address in self.addresses.known(now) if address not in set(told)]

    def _admits_before_listened(self, own: NodeState, now: float) -> bool:
        """Say whether this node admits requests before it can know who else does.

        Callers come to addresses that they kept at once, also after the end of all processes, when
        nobody serves for `LISTEN_LARGE_S`. While nodes told those that serve only, 19 nodes that
        took an account's requests heard nothing of each other for 0.7 s, and all of them admitted
        what is meant for a few.
        """
        return bool(own.spent) and not self.has_listened(now)

    def possible_readers(self, now: float) -> list[str]:
        """Return the nodes that may read next what one reads for all: those that serve, if many."""
        if not self.is_large(now):
            return self.addresses.known(now)
        return [each.peer for each in self.members.alive(now) if each.serving]

    def change_targets(self, own: NodeState, now: float) -> list[str]:
        """Return whom the node that read a change tells: all, or of many those that pass it on."""
        if not self.is_large(now):
            return self.addresses.known(now)
        return list(
            {
                *self.possible_readers(now),
                *self._own_hall_peers(own, now),
                *self._ring_and_random_peers(now),
            }
        )

    def relay_targets(self, own: NodeState, now: float) -> list[str]:
        """Return whom a node that hears a change for the first time passes it on to.

        Where nodes are few, the one that read it has told all. Of many, each that serves tells its
        hall, and each node the next in the ring and some others by chance, so that no cut keeps the
        news from a node that hears any other.
        """
        if not self.is_large(now):
            return []
        hall = self._own_hall_peers(own, now) if self.serving else []
        return list({*hall, *self._ring_and_random_peers(now)})

    def _own_hall_peers(self, own: NodeState, now: float) -> list[str]:
        return [each.peer for each in self.members.alive(now) if each.hall == own.hall]

    def _ring_and_random_peers(self, now: float) -> list[str]:
        known = self.addresses.known(now)
        by_chance = self._rng.sample(known, min(RANDOM_RELAYS, len(known)))
        return [*ring_successors(self.addresses.own, known, RING_SUCCESSORS), *by_chance]

    def all_addresses(self, now: float) -> list[str]:
        """Return whom to tell news that can't wait."""
        return self.addresses.known(now)

    def random_addresses(self, now: float) -> list[str]:
        """Return a few nodes by chance."""
        known = self.addresses.known(now)
        return self._rng.sample(known, min(PLAN_ANNOUNCE_PEERS, len(known)))

    def hints(self, now: float) -> list[str]:
        """Return some addresses that others may not know."""
        known = [state.peer for state in self.members.alive(now)]
        return self._rng.sample(known, MAX_HINTS) if len(known) > MAX_HINTS else known

    def serving_nodes(self, own: NodeState, now: float) -> list[NodeState]:
        """Return the nodes that callers should use, as this one knows them."""
        return serving_nodes([own, *self.members.alive(now)])

    def rank(self, own: NodeState, now: float, reserve_first: bool) -> int:
        """Return this node's turn among those that may do something for all.

        Nodes in reserve do not hear each other where nodes are many; there those that serve go
        first in any case.
        """
        alive = self.members.alive(now)
        if self.is_large(now) and not self.serving:
            return sum(1 for each in alive if each.serving)
        order = [(each.serving == reserve_first, each.id) for each in (own, *alive)]
        return sorted(order).index((own.serving == reserve_first, own.id))

    def watch_rank(self, own: NodeState, now: float) -> int:
        """Return how many live nodes that reach the store watch it before this one.

        Nodes in reserve do not hear each other where nodes are many; one that serves and reaches
        the store is enough for them, else all of them would watch where few serve.
        """
        before = [
            each
            for each in self.members.alive(now)
            if each.store_age_s < STORE_REACHABLE_S
            and (not each.serving, each.id) < (not own.serving, own.id)
        ]
        if self.is_large(now) and not self.serving and before:
            return NO_WATCH_RANK
        return len(before)

    def backoff_scale(self, own: NodeState) -> float:
        """Return how many times as seldom as a node alone this one repeats calls that failed.

        Nodes that serve or hold the lease call for all others, so they do not wait for these.
        """
        if self.serving or own.lease is not None:
            return 1.0
        return max(1.0, len(self.addresses.expires_at) / MAX_MESH_PEERS)

    def can_direct_callers(self, own: NodeState, now: float) -> bool:
        """Say whether this node may tell callers where to go."""
        if own.standing == Standing.READY and self.serving:
            return True
        return self.has_listened(now) or any(each.serving for each in self.members.alive(now))

    def has_listened(self, now: float) -> bool:
        """Say whether this node has listened for long enough to know how many others there are."""
        wait_s = LISTEN_LARGE_S if self.is_large(now) else LISTEN_S
        return now - self._started_at >= wait_s

    def is_large(self, now: float) -> bool:
        """Say whether there are more nodes than can all tell each other everything."""
        return len(self.addresses.expires_at) > MAX_MESH_PEERS
