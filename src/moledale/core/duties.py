"""Chooses the halls whose leases a node competes for."""

from collections.abc import Iterable, Sequence

from moledale.core.addresses import NodeView
from moledale.core.hashing import ranked

CANDIDATES_PER_HALL = 4
"""Nodes of a hall that compete for its lease; more would only add reads of its row."""

SUBSTITUTES_PER_HALL = 2
"""Nodes of other halls that compete for the lease of a hall without nodes."""


def halls_to_lease(
    node: str, own_hall: str, nodes: Sequence[NodeView], halls: Iterable[str]
) -> set[str]:
    """Return the halls whose lease this node should try to hold.

    The first nodes of a hall by rendezvous hash are the candidates for its lease. A hall without
    nodes gets candidates from the other halls. If the node lists differ, more or other nodes may
    try, and the conditional write to the table decides between them. Candidates that die drop out
    of the list, and the next nodes by hash replace them.
    """
    active = [view for view in nodes if not view.leaving]
    halls_with_nodes = {view.hall for view in active} | {own_hall}
    local_nodes = {view.id for view in active if view.hall == own_hall} | {node}
    all_nodes = {view.id for view in active} | {node}
    chosen = {own_hall} if node in ranked(own_hall, local_nodes)[:CANDIDATES_PER_HALL] else set()
    for hall in halls:
        if hall not in halls_with_nodes and node in ranked(hall, all_nodes)[:SUBSTITUTES_PER_HALL]:
            chosen.add(hall)
    return chosen
