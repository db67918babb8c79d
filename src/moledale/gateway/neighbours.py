"""Selects the targets of a node's gossip and decides whether the node serves callers.

In a small cluster gossip is full mesh: each node sends its state to all others each round. In a
large one, serving nodes send to each other each round (to those of other halls only in slow rounds
if many serve) and to all other nodes in slow rounds. Nodes in reserve send to the serving nodes of
their hall in slow rounds. So the traffic to a node in reserve grows with the number of halls, not
with the number of nodes.
"""

import random

import msgspec

from moledale.core.hashing import ring_successors
from moledale.gateway.directory import serving_nodes, should_serve, wanted_nodes
from moledale.gateway.peers import Membership, NodeState, Standing
from moledale.gateway.watch_turn import WATCHER_COUNT, Watchers

GOSSIP_INTERVAL_S = 0.2
"""Time between two gossip rounds. Views of loads are half as old on average; placements are sent
at once."""

MAX_MESH_PEERS = 16
"""Up to this many other nodes, gossip is full mesh: all send to all each round."""

ROUNDS_PER_SLOW_ROUND = 5
"""Every n-th round is a slow round, which also reaches nodes in reserve and other halls."""

LISTEN_S = 0.25
LISTEN_LARGE_S = 0.8
"""A starting node listens for this long before it serves, in a small and in a large cluster."""

PROMOTION_JITTER_S = 0.5
"""Nodes in reserve wait a random time up to this long before one replaces a silent node."""

SLOW_ROUND_S = 1.0
"""Time between two slow rounds."""

BUSY_S = 3.0
"""A node counts as busy for this long after a request: callers cache addresses for 2 s and
longer."""

MIN_BUSY_REQUESTS_PER_S = 0.1
"""A node in reserve that reports at least this many requests per second gets brief states each
round."""

ADDRESS_RETENTION_S = 60.0
"""A silent address is still tried for this long, so that nodes find each other again after a
network partition."""

MAX_HINTS = 8
"""Addresses sent with a state, 20 bytes each. A starting node learns those of all others over
several rounds."""

RANDOM_RESERVE_TARGETS = 2
"""Random nodes to which a node in reserve sends its state, so that separated groups find each other
again within seconds."""

RING_SUCCESSORS = 2
"""Next nodes in the ring of addresses to which a node relays a change of the server list. So each
node gets it from two others independently of the random targets. A node that misses all of them
learns of the change up to a second later."""

RANDOM_RELAYS = 2
"""Random nodes that get a relayed change as well: whole parts of the ring may be unreachable."""

PLAN_ANNOUNCE_PEERS = 6
"""Nodes to which a node announces a plan that it fetched. So sources soon outnumber the nodes that
wait for it."""


class AddressBook(msgspec.Struct):
    """Gossip addresses, and until when each is tried if nothing more is received from it."""

    own: str
    expires_at: dict[str, float] = msgspec.field(default_factory=dict)

    def add(self, address: str, now: float) -> None:
        """Add an address that is configured or sent a message, and renew its expiry."""
        if address and address != self.own:
            self.expires_at[address] = now + ADDRESS_RETENTION_S

    def hint(self, address: str, now: float) -> None:
        """Add an address that a peer knows; the expiry of a known one is not renewed."""
        if address and address != self.own and address not in self.expires_at:
            self.expires_at[address] = now + ADDRESS_RETENTION_S

    def known(self, now: float) -> list[str]:
        """Drop expired addresses and return the others."""
        for address in [each for each, at in self.expires_at.items() if at < now]:
            del self.expires_at[address]
        return list(self.expires_at)


class Neighbours:
    """Decides a node's role among its peers: whether it serves, its rank and its gossip targets."""

    def __init__(self, members: Membership, own_address: str, now: float) -> None:
        self.members = members
        self.addresses = AddressBook(own_address)
        self.serving = False
        self._started_at = now
        self._unwanted_at = now
        self._promotion_delay_s = 0.0
        self._busy_at = -1e9
        self._sent_as_busy = False
        self._round = 0
        self._rng = random.Random()

    def update_serving(self, own: NodeState, now: float) -> bool:
        """Decide whether this node serves; return whether that changed."""
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
        """Return whether this node, if it has just begun to serve, lacks its peers' counts.

        In a large cluster, nodes in reserve only get brief states.
        """
        return self.serving and self.is_large(now)

    def record_busy(self, now: float) -> None:
        """Record that requests are served here, whether or not callers were directed here."""
        self._busy_at = now

    @property
    def in_slow_round(self) -> bool:
        """Return whether the current round is a slow one, in which states reach all halls."""
        return self._round % ROUNDS_PER_SLOW_ROUND == 0

    def state_targets(self, own: NodeState, now: float, lease_holder: str = "") -> list[str]:
        """Start the next round and return the addresses that get the full state in it.

        `lease_holder` is among them also if only others hear it: it needs the counts of all nodes.
        """
        self._round += 1
        known = self.addresses.known(now)
        if len(known) <= MAX_MESH_PEERS:
            return known
        slow = self.in_slow_round
        alive = self.members.alive(now)
        busy = self.serving or own.lease is not None or now - self._busy_at < BUSY_S
        chosen = self._address_of(lease_holder)
        if busy:
            peers = [each for each in alive if each.serving or each.lease]
            if len(peers) > MAX_MESH_PEERS and not slow:
                peers = [each for each in peers if each.hall == own.hall or each.lease]
            return list(chosen.union(each.peer for each in peers))
        if slow or not self.has_listened(now):
            chosen.update(
                each.peer
                for each in alive
                if each.lease or (each.serving and each.hall == own.hall)
            )
            chosen.update(self._rng.sample(known, RANDOM_RESERVE_TARGETS))
            return list(chosen)
        return []

    def _address_of(self, node: str) -> set[str]:
        """Return the gossip address of another node, empty if it is not known."""
        member = self.members.members.get(node)
        return set() if member is None else {member.state.peer}

    def placement_targets(self, hall: str, now: float) -> list[str]:
        """Return the serving nodes, to get placements at once; if many, those of the hall."""
        serving = [each for each in self.members.alive(now) if each.serving]
        if len(serving) > MAX_MESH_PEERS:
            serving = [each for each in serving if each.hall == hall]
        return [each.peer for each in serving]

    def brief_targets(self, own: NodeState, full_targets: list[str], now: float) -> list[str]:
        """Return the addresses besides `full_targets` that get the brief state in this round.

        A node in reserve may get requests of callers that know its address from earlier. What it
        grants of account limits has to reach all other nodes that may get requests, as that of the
        serving nodes does, or each of them would grant the limits anew.
        """
        if not self.is_large(now):
            return []
        busy = self.serving or now - self._busy_at < BUSY_S
        became_busy = busy and not self.serving and not self._sent_as_busy
        self._sent_as_busy = busy
        if (self.in_slow_round and busy) or became_busy or self._admits_before_listened(own, now):
            addresses = self.addresses.known(now)
        elif busy:
            alive = self.members.alive(now)
            addresses = [
                each.peer
                for each in alive
                if not each.serving and each.requests_per_s >= MIN_BUSY_REQUESTS_PER_S
            ]
        else:
            return []
        sent = set(full_targets)
        return [address for address in addresses if address not in sent]

    def _admits_before_listened(self, own: NodeState, now: float) -> bool:
        """Return whether this node admits requests before it can know which others do.

        Callers use cached addresses at once, even after a restart of all processes, when no node
        serves for `LISTEN_LARGE_S`. If nodes sent to serving nodes only, those that take requests
        of one account would not know of each other (19 nodes for 0.7 s), and each would admit
        what is meant for a few.
        """
        return bool(own.spent) and not self.has_listened(now)

    def possible_readers(self, now: float) -> list[str]:
        """Return the nodes that may read the list next: in a large cluster the serving ones."""
        if not self.is_large(now):
            return self.addresses.known(now)
        return [each.peer for each in self.members.alive(now) if each.serving]

    def change_targets(self, own: NodeState, now: float) -> list[str]:
        """Return the nodes that get a change from its reader: all, or relays in a large cluster."""
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
        """Return the nodes to which a change is relayed that was received for the first time.

        In a small cluster the reader has sent it to all. In a large one each serving node relays
        it to its hall, and each node to the next ones in the ring and a few random ones, so that it
        reaches every node that is connected to any other.
        """
        if not self.is_large(now):
            return []
        hall = self._own_hall_peers(own, now) if self.serving else []
        return list({*hall, *self._ring_and_random_peers(now)})

    def _own_hall_peers(self, own: NodeState, now: float) -> list[str]:
        return [each.peer for each in self.members.alive(now) if each.hall == own.hall]

    def _ring_and_random_peers(self, now: float) -> list[str]:
        """Return the next addresses in the ring and a few random ones."""
        known = self.addresses.known(now)
        sampled = self._rng.sample(known, min(RANDOM_RELAYS, len(known)))
        return [*ring_successors(self.addresses.own, known, RING_SUCCESSORS), *sampled]

    def all_addresses(self, now: float) -> list[str]:
        """Return all known addresses, for messages that cannot wait for a gossip round."""
        return self.addresses.known(now)

    def random_addresses(self, now: float) -> list[str]:
        """Return a few random addresses."""
        known = self.addresses.known(now)
        return self._rng.sample(known, min(PLAN_ANNOUNCE_PEERS, len(known)))

    def hints(self, now: float) -> list[str]:
        """Return some addresses of live nodes that others may not know."""
        known = [state.peer for state in self.members.alive(now)]
        return self._rng.sample(known, MAX_HINTS) if len(known) > MAX_HINTS else known

    def serving_nodes(self, own: NodeState, now: float) -> list[NodeState]:
        """Return the nodes that callers should connect to, as far as this node knows them."""
        return serving_nodes([own, *self.members.alive(now)])

    def rank(self, own: NodeState, now: float, reserve_first: bool) -> int:
        """Return this node's rank, from 0, among the live nodes that may do a task for all.

        Nodes in reserve go first with `reserve_first`. In a large cluster they get no states of
        each other, so there they always rank after the serving nodes.
        """
        alive = self.members.alive(now)
        if self.is_large(now) and not self.serving:
            return sum(1 for each in alive if each.serving)
        order = [(each.serving == reserve_first, each.id) for each in (own, *alive)]
        return sorted(order).index((own.serving == reserve_first, own.id))

    def watchers(self, max_age_s: float, now: float) -> Watchers:
        """Return which other nodes the store answered within the last `max_age_s`.

        In a large cluster nodes in reserve get no states of each other, and those of serving nodes
        once a second. There one serving node that the store answers is enough, or else all of them
        would watch where few nodes serve.
        """
        own = (not self.serving, self.members.own_id)
        in_large_reserve = self.is_large(now) and not self.serving
        if in_large_reserve:
            max_age_s += SLOW_ROUND_S
        recent = self.members.answered_since(now - max_age_s, now)
        alive = self.members.alive(now)
        return Watchers(
            recent=len(recent),
            before=sum((not each.serving, each.id) < own for each in recent),
            wanted=1 if in_large_reserve else WATCHER_COUNT,
            rank=sum((not each.serving, each.id) < own for each in alive),
        )

    def check_targets(self, hall: str, now: float) -> list[str]:
        """Return the serving nodes of other halls, if so many serve that states go there seldom."""
        serving = [each for each in self.members.alive(now) if each.serving]
        if len(serving) <= MAX_MESH_PEERS:
            return []
        return [each.peer for each in serving if each.hall != hall]

    def backoff_scale(self, own: NodeState) -> float:
        """Return the factor by which this node lengthens the pauses between failed calls.

        It is 1.0 for nodes that serve or hold the lease, since they call on behalf of all others,
        and grows with the number of nodes for those in reserve.
        """
        if self.serving or own.lease is not None:
            return 1.0
        return max(1.0, len(self.addresses.expires_at) / MAX_MESH_PEERS)

    def can_direct_callers(self, own: NodeState, now: float) -> bool:
        """Return whether this node knows enough peers to direct callers to them."""
        if own.standing == Standing.READY and self.serving:
            return True
        return self.has_listened(now) or any(each.serving for each in self.members.alive(now))

    def has_listened(self, now: float) -> bool:
        """Return whether this node has listened long enough to know how many others there are."""
        wait_s = LISTEN_LARGE_S if self.is_large(now) else LISTEN_S
        return now - self._started_at >= wait_s

    def is_large(self, now: float) -> bool:
        """Return whether the cluster is too large for full-mesh gossip."""
        return len(self.addresses.expires_at) > MAX_MESH_PEERS
