"""Simulation of many nodes that keep the server list, on a virtual clock and network.

The code under test decides what is read, broadcast, relayed and adopted. Only the sockets, the
store and transfers between nodes are fakes.
"""

import heapq
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from itertools import count
from typing import Any

import msgspec
from result import Err, Ok, Result

from moledale.gateway.fleet_watch import FleetWatch
from moledale.gateway.gossip import StateNews
from moledale.gateway.messages import Server
from moledale.gateway.neighbours import GOSSIP_INTERVAL_S, Neighbours
from moledale.gateway.outside import Failure
from moledale.gateway.outside import ServerList as StoredList
from moledale.gateway.peers import Membership, NodeState
from moledale.gateway.server_list import ServerChange
from moledale.gateway.store_era import EraVersion
from moledale.gateway.usage import TrueTime
from tests.gateway_states import make_state

HALLS = 7
LINK_BYTES_PER_S = 10 * 125_000
"""The slowest link of the largest known site, 10 Mbit/s."""

LATENCY_RANGE_S = (0.001, 0.004)
FETCH_DURATION_S = 0.08
STORE_CLOCK_START_S = 5_000.0
"""Time of the store's clock when the simulation starts."""

SEED = 3


def run_to_completion(work: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine that never suspends; return its result."""
    try:
        work.send(None)
    except StopIteration as done:
        return done.value
    raise AssertionError("the coroutine suspended")


def make_server(number: int, halls: int = HALLS) -> Server:
    """Return a server with an id and address as the platform lists them."""
    hall = f"hall-{number % halls}"
    return Server(
        f"i-{number:08x}", "model-abcdef", f"10.{number % 250}.1.7:8000", hall, 64, spot=True
    )


@dataclass
class VirtualStore:
    """The store's server list."""

    servers: dict[str, Server] = field(default_factory=dict)
    version: int = 1
    era: int = 1
    is_down: bool = False
    reads: int = 0
    clock: Callable[[], float] = lambda: 0.0

    def mark_leaving(self, name: str, leaves_s: float | None = None) -> None:
        """Mark a server as leaving."""
        self.version += 1
        self.servers[name] = msgspec.structs.replace(
            self.servers[name], leaving=True, leaves_s=leaves_s
        )

    def restore(self, servers: dict[str, Server], version: int) -> None:
        """Replace the list by an older copy, in a new era."""
        self.era += 1
        self.servers, self.version = dict(servers), version

    def read_list(self) -> StoredList:
        """Return the current list; each read has a new version, as heartbeats change it."""
        self.reads += 1
        self.version += 1
        return StoredList(tuple(self.servers.values()), self.version, self.clock(), era=self.era)


@dataclass
class StoreClient:
    """One node's access to the store."""

    world: "ListWorld"
    node: str

    async def servers(
        self, _: float, before: StoredList | None = None
    ) -> Result[StoredList, Failure]:
        """Return the list, or an error while the store is unreachable for this node."""
        if self.world.store.is_down or self.node in self.world.nodes_without_store:
            return Err(Failure("away"))
        return Ok(self.world.store.read_list())


class VirtualFetch:
    """Fetches a list from the node that announced it, within the time of a small transfer."""

    def __init__(self, node: "ListNode") -> None:
        self.node = node
        self.pending_version = EraVersion()
        self.fetch_count = 0

    def add_source(self, control: str, version: EraVersion, _power: float, _now: float) -> None:
        """Start fetching a list that is newer than any pending one."""
        if version <= self.pending_version:
            return
        self.pending_version = version
        self.node.world.schedule(FETCH_DURATION_S, lambda: self._copy(control))

    def _copy(self, control: str) -> None:
        world = self.node.world
        source = world.by_control.get(control)
        self.pending_version = EraVersion()
        if source is None or not source.alive or world.is_partitioned(source.name, self.node.name):
            return
        self.fetch_count += 1
        self.node.watch._on_fetched(source.watch.list.era_version, source.watch.list.raw)

    def is_behind(self, _now: float) -> bool:
        """Return whether a newer list is being fetched."""
        return self.pending_version > EraVersion()


class ListNode:
    """One node's server list, membership and gossip.

    `deferred` are messages that arrive while the node is frozen.
    """

    def __init__(self, world: "ListWorld", number: int) -> None:
        self.world = world
        self.name = f"n{number}"
        self.hall = f"hall-{number % HALLS}"
        self.alive = True
        self.frozen = False
        self.deferred: list[StateNews | ServerChange] = []
        self.sent_bytes = 0
        self.link_free_at = 0.0
        self.members = Membership(self.name, 1)
        self.neighbours = Neighbours(self.members, f"{self.name}:2", -100.0)
        self.neighbours.serving = number < HALLS
        self.sequence = 0
        self.leaving_learned_at: dict[str, float] = {}
        true_time = TrueTime()
        true_time.record_store_clock(STORE_CLOCK_START_S, 0.0, 0.0)
        self.watch = FleetWatch(
            StoreClient(world, self.name),  # type: ignore[arg-type]
            true_time,
            lambda: self.neighbours.rank(self.state(), world.now, reserve_first=False),
            self._on_servers,
            self._broadcast,
            lambda change: self._send(change, self.neighbours.possible_readers(world.now)),
            lambda: self.neighbours.backoff_scale(self.state()),
            control=f"{self.name}:3",
            leave_s=4.0,
            now=lambda: world.now,
        )
        self.fetch = VirtualFetch(self)
        self.watch.fetch = self.fetch  # type: ignore[assignment]

    def state(self) -> NodeState:
        """Return the next state that this node broadcasts."""
        self.sequence += 1
        return make_state(
            self.name,
            sequence=self.sequence,
            hall=self.hall,
            serving=self.neighbours.serving,
            power=20.0,
            servers=self.watch.head(),
        )

    def _on_servers(self, servers: list[Server]) -> None:
        for server in servers:
            if server.leaving:
                self.leaving_learned_at.setdefault(server.id, self.world.now)

    def _broadcast(self, changes: list[ServerChange], read_here: bool) -> None:
        choose = self.neighbours.change_targets if read_here else self.neighbours.relay_targets
        targets = choose(self.state(), self.world.now)
        for change in changes:
            self._send(change, targets)

    def _send(self, message: StateNews | ServerChange, addresses: list[str]) -> None:
        size = len(msgspec.msgpack.encode(message)) + 28
        for address in addresses:
            self.sent_bytes += size
            begins = max(self.world.now, self.link_free_at)
            self.link_free_at = begins + size / LINK_BYTES_PER_S
            self.world.deliver(self, address, message, self.link_free_at - self.world.now)

    def gossip_round(self) -> None:
        """Broadcast this node's state, and schedule the next round."""
        if not self.alive:
            return
        if self.frozen:
            self.world.schedule(GOSSIP_INTERVAL_S, self.gossip_round)
            return
        now = self.world.now
        own = self.state()
        targets = self.neighbours.state_targets(own, now)
        self._send(StateNews(own, []), targets)
        self._send(
            StateNews(own.without_counts(), []), self.neighbours.brief_targets(own, targets, now)
        )
        self.world.schedule(GOSSIP_INTERVAL_S, self.gossip_round)

    def poll_store(self) -> None:
        """Read the list if a read is due at this node."""
        if not self.alive:
            return
        if not self.frozen and self.watch.due_at() <= self.world.now:
            run_to_completion(self.watch._read())
        self.world.schedule(0.05, self.poll_store)

    def on_message(self, message: StateNews | ServerChange) -> None:
        """Handle a message of another node; a frozen node defers it."""
        if not self.alive:
            return
        if self.frozen:
            self.deferred.append(message)
            return
        if isinstance(message, ServerChange):
            self.watch.on_change(message)
            return
        peer_state = message.state
        if self.members.merge(peer_state, self.world.now) is None:
            return
        self.neighbours.addresses.add(peer_state.peer, self.world.now)
        if peer_state.servers is not None:
            self.watch.on_head(peer_state.servers, peer_state.control, peer_state.power)


def unfreeze(node: ListNode) -> None:
    """Resume a frozen node, and handle the messages that arrived meanwhile."""
    node.frozen = False
    deferred, node.deferred = node.deferred, []
    for message in deferred:
        node.on_message(message)


class ListWorld:
    """All nodes, the store and the network between them, driven by an event queue.

    `duplicate_rate` and `loss_rate` are probabilities per datagram. `is_partitioned` returns
    whether the network drops everything from one node to another.
    """

    def __init__(self, nodes: int, servers: int, loss_rate: float = 0.0) -> None:
        self.now = 0.0
        self.rng = random.Random(SEED)
        self.loss_rate = loss_rate
        self.duplicate_rate = 0.0
        self.extra_latency_s = 0.0
        self.nodes_without_store: set[str] = set()
        self.is_partitioned: Callable[[str, str], bool] = lambda _a, _b: False
        self.store = VirtualStore({each.id: each for each in map(make_server, range(servers))})
        self.store.clock = lambda: self.now + STORE_CLOCK_START_S
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self.nodes = [ListNode(self, number) for number in range(nodes)]
        self.by_peer = {f"{node.name}:2": node for node in self.nodes}
        self.by_control = {f"{node.name}:3": node for node in self.nodes}
        self._bootstrap()
        for node in self.nodes:
            self.schedule(self.rng.uniform(0, GOSSIP_INTERVAL_S), node.gossip_round)
            self.schedule(self.rng.uniform(0, 0.05), node.poll_store)

    def _bootstrap(self) -> None:
        """Give all nodes the list and the states that gossip would have brought them."""
        run_to_completion(self.nodes[0].watch._read())
        raw, version = self.nodes[0].watch.list.raw, self.nodes[0].watch.list.era_version
        for node in self.nodes:
            node.watch._on_fetched(version, raw)
            node.watch._record_read(0.0, STORE_CLOCK_START_S)
            for other in self.nodes:
                node.neighbours.addresses.add(f"{other.name}:2", 0.0)
                if other.neighbours.serving or other.hall == node.hall:
                    node.members.merge(other.state(), 0.0)

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        heapq.heappush(self._events, (self.now + delay_s, next(self._order), action))

    def deliver(
        self, sender: ListNode, address: str, message: StateNews | ServerChange, delay_s: float
    ) -> None:
        """Deliver a datagram, unless it is lost or the nodes are partitioned."""
        target = self.by_peer[address]
        if self.is_partitioned(sender.name, target.name):
            return
        for _ in range(2 if self.rng.random() < self.duplicate_rate else 1):
            if self.rng.random() >= self.loss_rate:
                latency_s = self.extra_latency_s + self.rng.uniform(*LATENCY_RANGE_S)
                self.schedule(delay_s + latency_s, lambda: target.on_message(message))

    def run(self, until: float) -> None:
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until

    def last_learned_at(self, server: str, nodes: list[ListNode] | None = None) -> float:
        """Return when the last live node learned that a server is leaving.

        KeyError if any of them did not.
        """
        return max(node.leaving_learned_at[server] for node in nodes or self.nodes if node.alive)
