"""Which halls' leases a node stands for."""

from collections.abc import Iterable, Sequence

from moledale.core.addresses import NodeView
from moledale.core.hashing import ranked

CANDIDATES_PER_HALL = 4
"""Nodes of a hall that stand for its lease; more would only read its row more often."""

SUBSTITUTES_PER_HALL = 2
"""Nodes of other halls that stand for the lease of a hall without nodes."""


def halls_to_lease(
    node: str, own_hall: str, nodes: Sequence[NodeView], halls: Iterable[str]
) -> set[str]:
    """Return the halls whose lease this node should try to hold.

    The first nodes of a hall by rendezvous hash stand for it. For a hall whose nodes are all
    gone, some of the others stand in. If lists differ, more or other nodes may try than these,
    and the table decides; when all of these die, the list says so and the next ones stand.
    """
    staying = [view for view in nodes if not view.leaving]
    peopled = {view.hall for view in staying} | {own_hall}
    at_home = {view.id for view in staying if view.hall == own_hall} | {node}
    everywhere = {view.id for view in staying} | {node}
    mine = {own_hall} if node in ranked(own_hall, at_home)[:CANDIDATES_PER_HALL] else set()
    for hall in halls:
        if hall not in peopled and node in ranked(hall, everywhere)[:SUBSTITUTES_PER_HALL]:
            mine.add(hall)
    return mine
