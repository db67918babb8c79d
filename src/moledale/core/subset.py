"""Which servers a node follows, so that neither control traffic nor herds grow with the fleet."""

from collections.abc import Sequence
from dataclasses import dataclass

from moledale.core.hashing import ranked


@dataclass(frozen=True, slots=True)
class Followable:
    """A server that a node could follow."""

    id: str
    hall: str


def select_followed(
    node: str, hall: str, servers: Sequence[Followable], most: int, away_share: float = 0.25
) -> set[str]:
    """Return the servers that `node` follows: at most `most`, mostly of its own hall.

    Servers are ranked by rendezvous hash of the node, so each server is followed by about the
    same number of nodes, and when one server or node comes or goes only the sets that hold it
    change, by one each.
    """
    if len(servers) <= most:
        return {server.id for server in servers}
    home = [server.id for server in servers if server.hall == hall]
    away = [server.id for server in servers if server.hall != hall]
    from_away = min(len(away), max(1, round(most * away_share)))
    from_home = min(len(home), most - from_away)
    from_away = min(len(away), most - from_home)
    return set(ranked(node, home)[:from_home]) | set(ranked(node, away)[:from_away])
