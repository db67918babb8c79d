"""Compares methods by which nodes keep a server's rate limit together.

Run with `python -m bench.server_limits`. Requests arrive at random nodes. Each server states a
limit in requests per second for all nodes together. The methods are run on the same requests, and
nodes learn of each other's state every 0.2 s. The table shows the maximum that one server got in
any 4 s relative to what its limit grants in that time, the share of the limits that was used (there
is demand for all of it), and messages per second.
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
"""Time between two broadcasts of a node's state."""

GRANT_ROUND_TRIP_S = 0.002
"""Time from a node's request for a grant until the answer; it isn't simulated."""

MIN_NODE_SHARE_PER_S = 1.0
"""Minimum share of a limit, in requests per second, of each node that is selected for a server."""


@dataclass(frozen=True, slots=True)
class Scenario:
    """The simulated nodes, servers and demand.

    Each server states `limit_per_s`. Callers send `demand_factor` times the sum of the limits, all
    of it to `busy_share` of the nodes. If `partitioned`, the nodes are split from 20 to 40 s into
    two halves that don't reach each other.
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
    """What limiters may know: nodes, servers, and which nodes reach each other."""

    scenario: Scenario
    rng: random.Random
    messages: int = 0
    nodes: list[str] = field(default_factory=list)
    servers: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.nodes = [f"n{each}" for each in range(self.scenario.nodes)]
        self.servers = [f"s{each}" for each in range(self.scenario.servers)]

    def reachable_nodes(self, node: str, now: float) -> list[str]:
        """Return the nodes whose state reaches a node, including itself."""
        if not self.scenario.partitioned or not 20.0 <= now < 40.0:
            return self.nodes
        side = int(node[1:]) % 2
        return self.nodes[side::2]


class Limiter(Protocol):
    """Decides whether a node may send a request to a server."""

    def try_acquire(self, node: str, server: str, now: float) -> bool:
        """Return whether one more request may be sent, and count it if so."""
        ...


class EqualShares:
    """Gives each node an equal share of the limit, which it keeps by itself."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._pacers: dict[tuple[str, str], Pacer] = {}

    def try_acquire(self, node: str, server: str, now: float) -> bool:
        """Take a slot of the node's own share."""
        share = self._cluster.scenario.limit_per_s / len(self._cluster.reachable_nodes(node, now))
        pacer = self._pacers.setdefault((node, server), Pacer(share, now))
        pacer.per_s = share
        return pacer.take(now).granted


class HashedSubset:
    """Gives equal shares to a few nodes selected by a hash; the others send the server nothing."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._pacers: dict[tuple[str, str], Pacer] = {}

    def try_acquire(self, node: str, server: str, now: float) -> bool:
        """Take a slot if the node is one of the selected ones."""
        limit = self._cluster.scenario.limit_per_s
        reachable = self._cluster.reachable_nodes(node, now)
        number = max(1, min(len(reachable), int(limit / MIN_NODE_SHARE_PER_S)))
        if node not in ranked(server, reachable)[:number]:
            return False
        pacer = self._pacers.setdefault((node, server), Pacer.without_credit(limit / number, now))
        pacer.per_s = limit / number
        return pacer.take(now).granted


class GossipedCounts:
    """Lets each node add up its own requests of the last second and those that peers broadcast.

    With limits below one request per second the time of one request is used instead. No more than
    the last 64 requests of a node are counted.
    """

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._sent: dict[tuple[str, str], list[float]] = defaultdict(list)

    def try_acquire(self, node: str, server: str, now: float) -> bool:
        """Compare the known number of recent requests with the limit."""
        last_broadcast_at = now - now % GOSSIP_INTERVAL_S
        limit = self._cluster.scenario.limit_per_s
        span = max(1.0, 1.0 / limit)
        known = 0
        for peer in self._cluster.reachable_nodes(node, now):
            until = now if peer == node else last_broadcast_at
            sent = self._sent[peer, server]
            known += sum(1 for at in sent[-64:] if now - span < at <= until)
        if known >= limit * span:
            return False
        self._sent[node, server].append(now)
        return True


class SingleGrantor:
    """Lets one node, selected by a hash, grant all requests to a server.

    A rejected node asks again after the wait that it was given. In a partition each half has its
    own grantor, which grants only the share of the limit that the half has of the nodes.
    """

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._pacers: dict[tuple[str, str], Pacer] = {}
        self._retry_at: dict[tuple[str, str], float] = {}
        self._grantors: dict[tuple[str, bool, int], str] = {}

    def try_acquire(self, node: str, server: str, now: float) -> bool:
        """Ask the grantor, unless the wait after a rejection isn't over."""
        if now < self._retry_at.get((node, server), 0.0):
            return False
        reachable = self._cluster.reachable_nodes(node, now)
        share = len(reachable) / len(self._cluster.nodes)
        grantor = self._grantor(server, node, reachable)
        limit = self._cluster.scenario.limit_per_s * share
        pacer = self._pacers.setdefault((grantor, server), Pacer.without_credit(limit, now))
        pacer.set_rate(limit, now)
        if grantor != node:
            self._cluster.messages += 2
        reservation = pacer.take(now)
        if not reservation.granted:
            self._retry_at[node, server] = now + reservation.wait_s
        return reservation.granted

    def _grantor(self, server: str, node: str, reachable: list[str]) -> str:
        complete = len(reachable) == len(self._cluster.nodes)
        key = (server, complete, 0 if complete else int(node[1:]) % 2)
        if key not in self._grantors:
            self._grantors[key] = first_ranked(server, reachable) or node
        return self._grantors[key]


LIMITERS: dict[str, type] = {
    "share by number": EqualShares,
    "few nodes by hash": HashedSubset,
    "counts told": GossipedCounts,
    "one grants": SingleGrantor,
}


@dataclass(frozen=True, slots=True)
class RunResult:
    """Result of one run: the columns of the table that the module's docstring describes."""

    max_over_limit: float
    used_share: float
    messages_per_s: float


def run_scenario(scenario: Scenario, limiter_type: type, seed: int) -> RunResult:
    """Run a scenario once with a limiter."""
    cluster = Cluster(scenario, random.Random(seed))
    limiter: Limiter = limiter_type(cluster)
    rng = cluster.rng
    total_limit_per_s = scenario.limit_per_s * scenario.servers
    busy_nodes = cluster.nodes[: max(1, round(scenario.busy_share * scenario.nodes))]
    received_at: dict[str, list[float]] = {server: [] for server in cluster.servers}
    now = 0.0
    while (
        now := now + rng.expovariate(total_limit_per_s * scenario.demand_factor)
    ) < RUN_DURATION_S:
        node = rng.choice(busy_nodes)
        for server in rng.sample(cluster.servers, scenario.servers):
            if limiter.try_acquire(node, server, now):
                received_at[server].append(now)
                break
    max_count = max(max_in_window(times) for times in received_at.values())
    used_share = sum(len(times) for times in received_at.values()) / (
        total_limit_per_s * RUN_DURATION_S
    )
    granted = scenario.limit_per_s * WINDOW_S
    return RunResult(max_count / granted, used_share, cluster.messages / RUN_DURATION_S)


def max_in_window(times: list[float]) -> int:
    """Return the maximum number of requests within `WINDOW_S`; `times` must be sorted."""
    first = 0
    max_count = 0
    for number, at in enumerate(times):
        while times[first] <= at - WINDOW_S:
            first += 1
        max_count = max(max_count, number - first + 1)
    return max_count


def main() -> int:
    """Print a table of all scenarios and limiters."""
    parser = argparse.ArgumentParser(prog="python -m bench.server_limits")
    parser.add_argument("--seeds", type=int, default=5)
    seeds = range(parser.parse_args().seeds)
    print("| scene | way | most in 4 s, x limit (allowed) | used | messages a second |")
    print("|---|---|---|---|---|")
    for scenario in SCENARIOS:
        # Allowed are 1.5 times the limit, plus 5 requests.
        bound = 1.5 + 5.0 / (scenario.limit_per_s * WINDOW_S)
        for name, limiter_type in LIMITERS.items():
            results = [run_scenario(scenario, limiter_type, seed) for seed in seeds]
            max_over_limit = max(each.max_over_limit for each in results)
            used_share = mean(each.used_share for each in results)
            messages = mean(each.messages_per_s for each in results)
            cell = f"{max_over_limit:.2f} ({bound:.2f})"
            print(
                f"| {scenario.name} | {name} | {cell} | {used_share:.2f} | {messages:.1f} |",
                flush=True,
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
