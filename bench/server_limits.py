"""How nodes keep a server's limit together: `python -m bench.server_limits`.

Nodes get requests by chance; servers name a limit of so many requests a second from all nodes
together. Ways to keep the sum are played on the same requests. News of other nodes come each 0.2 s.
Told is the most that one server got in any 4 s against what its limit grants in that time, the
share of the limits that was used where there were requests for it, and messages a second.
"""

import argparse
import random
import sys
from collections import defaultdict
from dataclasses import dataclass, field
from statistics import mean
from typing import Protocol

from moledale.core.hashing import first_ranked, ranked
from moledale.core.pacing import Pacer

RUN_DURATION_S = 60.0
WINDOW_S = 4.0
GOSSIP_INTERVAL_S = 0.2
"""Time between two tellings of a node's state."""

GRANT_ROUND_TRIP_S = 0.002
"""Time from a question to a node that grants until its answer."""

MIN_NODE_SHARE_PER_S = 1.0
"""Nodes that are drawn for a server get at least so much of its limit each."""


@dataclass(frozen=True, slots=True)
class Scenario:
    """`demand_factor` is what callers ask of all limits together; `busy_share` nodes get all of it.

    From 20 to 40 s the nodes are `partitioned` into two halves that hear nothing of each other.
    """

    name: str
    nodes: int
    limit_per_s: float
    servers: int = 1
    demand_factor: float = 3.0
    busy_share: float = 1.0
    partitioned: bool = False


SCENARIOS = (
    Scenario("9 nodes, 1 a second", 9, 1.0),
    Scenario("9 nodes, 0.4 a second", 9, 0.4),
    Scenario("9 nodes, 50 a second", 9, 50.0),
    Scenario("9 nodes, two of them busy", 9, 4.0, busy_share=0.23),
    Scenario("9 nodes, 18 servers, demand as the limits", 9, 1.0, servers=18, demand_factor=1.0),
    Scenario("9 nodes, cut in half", 9, 4.0, partitioned=True),
    Scenario("45 nodes, 1 a second", 45, 1.0),
    Scenario("195 nodes, 10 a second", 195, 10.0),
    Scenario("390 nodes, 1 a second", 390, 1.0),
    Scenario("390 nodes, 50 a second", 390, 50.0),
    Scenario("390 nodes, cut in half", 390, 10.0, partitioned=True),
)


@dataclass(slots=True)
class Cluster:
    """What a way to decide may know: nodes, servers, and which nodes hear each other."""

    scenario: Scenario
    rng: random.Random
    messages: int = 0
    nodes: list[str] = field(default_factory=list)
    servers: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.nodes = [f"n{each}" for each in range(self.scenario.nodes)]
        self.servers = [f"s{each}" for each in range(self.scenario.servers)]

    def reachable_nodes(self, node: str, now: float) -> list[str]:
        """Return the nodes that one hears, with itself."""
        if not self.scenario.partitioned or not 20.0 <= now < 40.0:
            return self.nodes
        side = int(node[1:]) % 2
        return self.nodes[side::2]


class Limiter(Protocol):
    """Decides whether a node may send a request to a server."""

    def try_acquire(self, node: str, server: str, now: float) -> bool:
        """Say whether one more may be sent, and count it if so."""
        ...


class EqualShares:
    """Each node keeps its part of the limit by itself."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._pacers: dict[tuple[str, str], Pacer] = {}

    def try_acquire(self, node: str, server: str, now: float) -> bool:
        """Take a place of the node's own part."""
        part = self._cluster.scenario.limit_per_s / len(self._cluster.reachable_nodes(node, now))
        pacer = self._pacers.setdefault((node, server), Pacer(part, now))
        pacer.per_s = part
        return pacer.take(now).granted


class HashedSubset:
    """A few nodes, drawn by a hash, keep a part each; the others send nothing there."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._pacers: dict[tuple[str, str], Pacer] = {}

    def try_acquire(self, node: str, server: str, now: float) -> bool:
        """Take a place if the node is one of the few."""
        limit = self._cluster.scenario.limit_per_s
        heard = self._cluster.reachable_nodes(node, now)
        number = max(1, min(len(heard), int(limit / MIN_NODE_SHARE_PER_S)))
        if node not in ranked(server, heard)[:number]:
            return False
        pacer = self._pacers.setdefault((node, server), Pacer.without_credit(limit / number, now))
        pacer.per_s = limit / number
        return pacer.take(now).granted


class GossipedCounts:
    """Each node sums what all have told of the last second, and its own."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._sent: dict[tuple[str, str], list[float]] = defaultdict(list)

    def try_acquire(self, node: str, server: str, now: float) -> bool:
        """Compare what is known to have been sent with the limit."""
        told = now - now % GOSSIP_INTERVAL_S
        limit = self._cluster.scenario.limit_per_s
        span = max(1.0, 1.0 / limit)
        known = 0
        for other in self._cluster.reachable_nodes(node, now):
            until = now if other == node else told
            sent = self._sent[other, server]
            known += sum(1 for at in sent[-64:] if now - span < at <= until)
        if known >= limit * span:
            return False
        self._sent[node, server].append(now)
        return True


class SingleGrantor:
    """One node grants, drawn by a hash; those that are turned away ask again when told.

    A node that hears a part of the others only grants as much of the limit.
    """

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._pacers: dict[tuple[str, str], Pacer] = {}
        self._retry_at: dict[tuple[str, str], float] = {}
        self._grantors: dict[tuple[str, bool, int], str] = {}

    def try_acquire(self, node: str, server: str, now: float) -> bool:
        """Ask the node that grants, unless it is too early for that."""
        if now < self._retry_at.get((node, server), 0.0):
            return False
        heard = self._cluster.reachable_nodes(node, now)
        part = len(heard) / len(self._cluster.nodes)
        grantor = self._grantor(server, node, heard)
        limit = self._cluster.scenario.limit_per_s * part
        pacer = self._pacers.setdefault((grantor, server), Pacer.without_credit(limit, now))
        pacer.set_rate(limit, now)
        if grantor != node:
            self._cluster.messages += 2
        reservation = pacer.take(now)
        if not reservation.granted:
            self._retry_at[node, server] = now + reservation.wait_s
        return reservation.granted

    def _grantor(self, server: str, node: str, heard: list[str]) -> str:
        whole = len(heard) == len(self._cluster.nodes)
        key = (server, whole, 0 if whole else int(node[1:]) % 2)
        if key not in self._grantors:
            self._grantors[key] = first_ranked(server, heard) or node
        return self._grantors[key]


LIMITERS: dict[str, type] = {
    "share by number": EqualShares,
    "few nodes by hash": HashedSubset,
    "counts told": GossipedCounts,
    "one grants": SingleGrantor,
}


@dataclass(frozen=True, slots=True)
class RunResult:
    """What came of a scene: see the module's text."""

    max_over_limit: float
    used_share: float
    messages_per_s: float


def run_scenario(scenario: Scenario, way: type, seed: int) -> RunResult:
    """Play a scene once."""
    cluster = Cluster(scenario, random.Random(seed))
    decide: Limiter = way(cluster)
    rng = cluster.rng
    limits = scenario.limit_per_s * scenario.servers
    busy_share = cluster.nodes[: max(1, round(scenario.busy_share * scenario.nodes))]
    got: dict[str, list[float]] = {server: [] for server in cluster.servers}
    now = 0.0
    while (now := now + rng.expovariate(limits * scenario.demand_factor)) < RUN_DURATION_S:
        node = rng.choice(busy_share)
        for server in rng.sample(cluster.servers, scenario.servers):
            if decide.try_acquire(node, server, now):
                got[server].append(now)
                break
    most = max(max_in_window(times) for times in got.values())
    used_share = sum(len(times) for times in got.values()) / (limits * RUN_DURATION_S)
    granted = scenario.limit_per_s * WINDOW_S
    return RunResult(most / granted, used_share, cluster.messages / RUN_DURATION_S)


def max_in_window(times: list[float]) -> int:
    """Return the most requests in any window; `times` rise."""
    begins = 0
    most = 0
    for number, at in enumerate(times):
        while times[begins] <= at - WINDOW_S:
            begins += 1
        most = max(most, number - begins + 1)
    return most


def main() -> int:
    """Print a table."""
    parser = argparse.ArgumentParser(prog="python -m bench.server_limits")
    parser.add_argument("--seeds", type=int, default=5)
    seeds = range(parser.parse_args().seeds)
    print("| scene | way | most in 4 s, x limit (allowed) | used | messages a second |")
    print("|---|---|---|---|---|")
    for scenario in SCENARIOS:
        bound = 1.5 + 5.0 / (scenario.limit_per_s * WINDOW_S)
        for name, way in LIMITERS.items():
            figures = [run_scenario(scenario, way, seed) for seed in seeds]
            most = max(each.max_over_limit for each in figures)
            used_share = mean(each.used_share for each in figures)
            messages = mean(each.messages_per_s for each in figures)
            kept = f"{most:.2f} ({bound:.2f})"
            print(
                f"| {scenario.name} | {name} | {kept} | {used_share:.2f} | {messages:.1f} |",
                flush=True,
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
