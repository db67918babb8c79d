"""Which addresses a caller uses for a session."""

from collections.abc import Sequence
from dataclasses import dataclass

from moledale.core.hashing import ranked

MAX_ADDRESSES = 3
"""A caller is told this many: it tries another when one fails."""

OVERLOAD_FACTOR = 1.25
"""A node with more than this times the mean load gives way to the next in order."""

MIN_OVERLOAD_REQUESTS = 32
"""Open requests that never make a node give way: small loads change faster than gossip."""


@dataclass(frozen=True, slots=True)
class NodeView:
    """An entry instance as another one sees it; `load` is its open requests."""

    id: str
    hall: str
    address: str
    leaving: bool = False
    load: int = 0


def addresses_for(
    session: str, nodes: Sequence[NodeView], most: int = MAX_ADDRESSES
) -> list[NodeView]:
    """Return the nodes to use for a session, in order.

    The order is by rendezvous hash, so that nodes whose lists differ by one entry still agree
    on nearly every session. A node over the load bound moves behind the others; a leaving one
    drops out. The second address is in another hall where there is one.
    """
    staying = [node for node in nodes if not node.leaving]
    by_id = {node.id: node for node in staying}
    order = [by_id[name] for name in ranked(session, by_id)]
    if not order:
        return []
    mean = sum(node.load for node in order) / len(order)
    bound = max(MIN_OVERLOAD_REQUESTS, OVERLOAD_FACTOR * mean)
    order.sort(key=lambda node: node.load > bound)
    return _other_hall_second(order)[:most]


def _other_hall_second(order: list[NodeView]) -> list[NodeView]:
    away = next((node for node in order[1:] if node.hall != order[0].hall), None)
    if away is None:
        return order
    rest = [node for node in order[1:] if node is not away]
    return [order[0], away, *rest]
