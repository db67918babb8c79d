"""Which nodes callers are told to use: a few in each hall, the others in reserve.

Few nodes see more of the traffic each, so their views of the servers are better and connections
to servers are used again more often. Each node decides for itself whether it serves, from what it
hears: it does unless enough nodes of its hall that rank before it say that they do. So no node has
to know all others, and a hall whose serving nodes fall silent has others in their place at once.
"""

from collections.abc import Iterable
from math import ceil
from statistics import fmean

from moledale.core.hashing import weight
from moledale.gateway.peers import NodeState, Standing

MIN_SERVING_PER_HALL = 1
"""Nodes that serve in a hall at least; more do as requests need them."""

CORE_S_PER_REQUEST = 0.0017
"""Processor time of a request with its events."""

MAX_LOAD_SHARE = 0.35
"""Part of its processor that a node's requests may take before the hall has another one serve."""

SCALE_DOWN_SHARE = 0.6
"""One fewer serves once the others would be this far below that, so that nodes don't take turns."""

HASH_KEY = "callers"

MAX_POWER = 20.0
"""Power (see `power_of`) beyond which more of it makes no difference."""

LINK_MBPS_PER_CORE = 50.0
"""Link that counts as much as one core."""


def power_of(cores: float, link_mbps: float) -> float:
    """Return what a node can carry, in tenths of a core; a thin link counts as few cores."""
    return min(10.0 * cores, 10.0 * link_mbps / LINK_MBPS_PER_CORE, MAX_POWER)


def rank_of(node: NodeState) -> tuple[bool, int, int]:
    """Return a node's place in its hall, the first to serve being the least.

    The holder of the duties comes last, since what strikes it should strike few callers.
    """
    return node.lease is not None, -int(node.power), -weight(HASH_KEY, node.id)


def wanted_nodes(own: NodeState, heard: Iterable[NodeState]) -> int:
    """Return how many nodes of its hall should serve, from what those that serve have to do."""
    there = [
        node
        for node in (own, *heard)
        if node.hall == own.hall and node.serving and node.standing == Standing.READY
    ]
    if not there:
        return MIN_SERVING_PER_HALL
    load = sum(node.requests_per_s for node in there) * CORE_S_PER_REQUEST
    room = fmean(max(1.0, node.power) for node in there) / 10 * MAX_LOAD_SHARE
    wanted = ceil(load / room)
    if wanted < len(there):
        wanted = min(len(there), ceil(load / (room * SCALE_DOWN_SHARE)))
    return max(MIN_SERVING_PER_HALL, wanted)


def should_serve(
    own: NodeState, heard: Iterable[NodeState], most: int = MIN_SERVING_PER_HALL
) -> bool:
    """Say whether a node serves, from the live nodes that it hears."""
    if own.standing != Standing.READY:
        return False
    place = rank_of(own)
    before = [
        node
        for node in heard
        if node.hall == own.hall
        and node.serving
        and node.standing == Standing.READY
        and rank_of(node) < place
    ]
    return len(before) < most


def serving_nodes(nodes: Iterable[NodeState]) -> list[NodeState]:
    """Return the nodes that callers should use; all that are ready where none says it serves."""
    ready = [node for node in nodes if node.standing == Standing.READY]
    return [node for node in ready if node.serving] or ready
