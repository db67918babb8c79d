"""Selects the servers a node follows, so that traffic and herding don't grow with the fleet."""

from collections.abc import Sequence
from dataclasses import dataclass

from moledale.core.hashing import ranked


@dataclass(frozen=True, slots=True)
class Followable:
    """A server that a node may follow."""

    id: str
    hall: str


def select_followed(
    node: str,
    hall: str,
    servers: Sequence[Followable],
    max_servers: int,
    remote_share: float = 0.25,
) -> set[str]:
    """Return the servers that `node` follows: at most `max_servers`, mostly in its own `hall`.

    About `remote_share` of them are in other halls, more if its own hall has too few servers.

    Servers are ranked by rendezvous hash of the node, so each server is followed by about the same
    number of nodes. When a server or node comes or goes, only the sets that contain it change, by
    one server each.
    """
    if len(servers) <= max_servers:
        return {server.id for server in servers}
    local = [server.id for server in servers if server.hall == hall]
    remote = [server.id for server in servers if server.hall != hall]
    remote_count = min(len(remote), max(1, round(max_servers * remote_share)))
    local_count = min(len(local), max_servers - remote_count)
    remote_count = min(len(remote), max_servers - local_count)
    return set(ranked(node, local)[:local_count]) | set(ranked(node, remote)[:remote_count])
