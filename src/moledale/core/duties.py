"""Which halls' leases a node stands for."""

from collections.abc import Iterable, Sequence

from moledale.core.addresses import NodeView
from moledale.core.hashing import ranked

STAND_INS = 2
"""Nodes of other halls that stand for the lease of a hall without nodes."""


def duty_halls(
    node: str, own_hall: str, nodes: Sequence[NodeView], halls: Iterable[str]
) -> set[str]:
    """Return the halls whose lease this node should try to hold.

    Every node stands for its own hall. For a hall whose nodes are all gone, the first nodes by
    rendezvous hash stand in; if lists differ, more than these may try, and the table decides.
    """
    peopled = {view.hall for view in nodes if not view.leaving} | {own_hall}
    mine = {own_hall}
    staying = {view.id for view in nodes if not view.leaving} | {node}
    for hall in halls:
        if hall not in peopled and node in ranked(hall, staying)[:STAND_INS]:
            mine.add(hall)
    return mine
