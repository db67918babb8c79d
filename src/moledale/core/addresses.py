"""Chooses the node addresses that a caller uses for a session."""

from collections.abc import Sequence
from dataclasses import dataclass

from moledale.core.hashing import ranked

MAX_ADDRESSES = 3
"""Addresses returned to a caller, so that it has others to try when one fails."""

OVERLOAD_FACTOR = 1.25
"""A node with more than this times the mean load is overloaded, and others are preferred."""

MIN_OVERLOAD_REQUESTS = 32
"""A node with no more open requests than this is never overloaded: small loads change faster than
gossip reports them."""


@dataclass(frozen=True, slots=True)
class NodeView:
    """An entry instance as seen by another one; `load` is its number of open requests."""

    id: str
    hall: str
    address: str
    leaving: bool = False
    load: int = 0


def addresses_for(
    session: str, nodes: Sequence[NodeView], max_addresses: int = MAX_ADDRESSES
) -> list[NodeView]:
    """Return the nodes to use for a session, most preferred first.

    The order follows rendezvous hashing, so nodes whose lists differ by one entry still agree on
    nearly every session. Overloaded nodes move behind the others, and leaving ones are omitted. The
    second address is in another hall where possible.
    """
    active = [node for node in nodes if not node.leaving]
    by_id = {node.id: node for node in active}
    order = [by_id[name] for name in ranked(session, by_id)]
    if not order:
        return []
    mean = sum(node.load for node in order) / len(order)
    bound = max(MIN_OVERLOAD_REQUESTS, OVERLOAD_FACTOR * mean)
    order.sort(key=lambda node: node.load > bound)
    return _other_hall_second(order)[:max_addresses]


def _other_hall_second(order: list[NodeView]) -> list[NodeView]:
    other = next((node for node in order[1:] if node.hall != order[0].hall), None)
    if other is None:
        return order
    rest = [node for node in order[1:] if node is not other]
    return [order[0], other, *rest]
