"""Detects nodes of other builds by a digest of their message formats."""

import msgspec
import xxhash
from cachetools import LRUCache

from moledale.gateway.gossip import MESSAGES
from moledale.gateway.peers import NodeState
from moledale.log import Event, emit

MAX_LOGGED_NODES = 1_024
"""Nodes whose logged build is remembered: more than a large system has."""


def formats_digest() -> str:
    """Return a digest of the fields of all messages between nodes."""
    kinds: tuple[type[msgspec.Struct], ...] = (NodeState, *MESSAGES)
    fields = [(kind.__name__, kind.__struct_fields__) for kind in kinds]
    return xxhash.xxh3_64_hexdigest(repr(fields).encode())


FORMATS = formats_digest()
"""Digest of this build's formats; earlier builds send an empty one."""


class BuildWatch:
    """Logs once per node and build that its formats differ from those of this build."""

    def __init__(self) -> None:
        self._logged: LRUCache[str, str] = LRUCache(MAX_LOGGED_NODES)

    def check(self, state: NodeState) -> None:
        """Compare a node's formats with those of this build, and log a new difference."""
        if self._logged.get(state.id, FORMATS) == state.formats:
            return
        self._logged[state.id] = state.formats
        emit(Event.BUILDS_DIFFER, peer=state.id, formats=state.formats, own=FORMATS)

    def count_different(self, alive: list[NodeState]) -> int:
        """Return how many live nodes have other formats."""
        return sum(state.formats != FORMATS for state in alive)
