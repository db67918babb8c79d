"""Selects the nodes that callers are directed to: a few in each hall, the others in reserve.

With few serving nodes each one sees more of the traffic, so its view of the servers is better and
connections to servers are reused more often. Each node decides for itself whether it serves, from
the states that it gets: it serves unless enough nodes of its hall that rank before it serve. So no
node has to know all others, and serving nodes that fall silent are replaced at once. A node that
reaches no server of a service does not serve while other nodes reach them.
"""

from collections.abc import Iterable
from math import ceil
from statistics import fmean

from moledale.core.hashing import weight
from moledale.gateway.peers import NodeState, Standing

MIN_SERVING_PER_HALL = 1
"""Minimum number of serving nodes in a hall; the load may require more."""

CORE_S_PER_REQUEST = 0.0017
"""Processor time of a request including its streamed events."""

MAX_LOAD_SHARE = 0.35
"""Share of a node's capacity that requests may use before another node of the hall serves."""

SCALE_DOWN_SHARE = 0.6
"""One node fewer serves only if the rest would stay below this share of that limit. This hysteresis
keeps nodes from flapping."""

HASH_KEY = "callers"
"""Key of the rendezvous hash that orders nodes of equal power."""

MAX_POWER = 20.0
"""Cap of a node's power (see `power_of`): beyond it, more makes no difference."""

LINK_MBPS_PER_CORE = 50.0
"""Link bandwidth that counts as much as one core."""


def power_of(cores: float, link_mbps: float) -> float:
    """Return a node's capacity in tenths of a core, limited by its link and by `MAX_POWER`."""
    return min(10.0 * cores, 10.0 * link_mbps / LINK_MBPS_PER_CORE, MAX_POWER)


def rank_of(node: NodeState) -> tuple[bool, int, int]:
    """Return a sort key of the nodes of a hall; the smallest serves first.

    The lease holder comes last, so that a failure of it affects few callers.
    """
    return node.lease is not None, -int(node.power), -weight(HASH_KEY, node.id)


def wanted_nodes(own: NodeState, alive: Iterable[NodeState]) -> int:
    """Return how many nodes of the hall should serve, from the load of the serving ones."""
    serving = [
        node
        for node in (own, *alive)
        if node.hall == own.hall and node.serving and node.standing == Standing.READY
    ]
    if not serving:
        return MIN_SERVING_PER_HALL
    load = sum(node.requests_per_s for node in serving) * CORE_S_PER_REQUEST
    capacity = fmean(max(1.0, node.power) for node in serving) / 10 * MAX_LOAD_SHARE
    wanted = ceil(load / capacity)
    if wanted < len(serving):
        wanted = min(len(serving), ceil(load / (capacity * SCALE_DOWN_SHARE)))
    return max(MIN_SERVING_PER_HALL, wanted)


def should_serve(
    own: NodeState, alive: Iterable[NodeState], max_serving: int = MIN_SERVING_PER_HALL
) -> bool:
    """Return whether a node should serve, given the other live nodes that it knows."""
    if own.standing != Standing.READY:
        return False
    alive = list(alive)
    others_reach_servers = any(
        not node.cut_off and node.standing == Standing.READY for node in alive
    )
    if own.cut_off and others_reach_servers:
        return False
    rank = rank_of(own)
    before = [
        node
        for node in alive
        if node.hall == own.hall
        and node.serving
        and node.standing == Standing.READY
        and node.cut_off == own.cut_off
        and rank_of(node) < rank
    ]
    return len(before) < max_serving


def serving_nodes(nodes: Iterable[NodeState]) -> list[NodeState]:
    """Return the nodes that callers should connect to: all ready ones if none of them serves.

    Nodes that reach no server of a service are left out, unless that holds for all.
    """
    ready = [node for node in nodes if node.standing == Standing.READY]
    ready = [node for node in ready if not node.cut_off] or ready
    return [node for node in ready if node.serving] or ready
