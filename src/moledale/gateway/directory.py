"""Which nodes callers are told to use: one in each hall, others in reserve.

Few nodes see more of the traffic each, so their views of the servers are better and connections
to servers are used again more often. The node that holds the duties takes traffic last.
"""

from collections.abc import Iterable

from moledale.core.hashing import ranked
from moledale.gateway.peers import NodeState, Standing

FOR_EACH_HALL = 1
HASH_KEY = "callers"


def serving_nodes(
    nodes: Iterable[NodeState], duty_holder: str, for_each_hall: int = FOR_EACH_HALL
) -> list[NodeState]:
    """Return the nodes that callers should use, the same on each node that knows the same."""
    halls: dict[str, dict[str, NodeState]] = {}
    for node in nodes:
        if node.standing == Standing.READY:
            halls.setdefault(node.hall, {})[node.id] = node
    chosen: list[NodeState] = []
    for hall in sorted(halls):
        there = halls[hall]
        order = ranked(HASH_KEY, there)
        order.sort(key=lambda name: name == duty_holder)
        chosen.extend(there[name] for name in order[:for_each_hall])
    return chosen
