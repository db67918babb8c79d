"""Which nodes run another build, as far as the formats that they share tell it."""

import msgspec
import xxhash
from cachetools import LRUCache

from moledale.gateway.gossip import MESSAGES
from moledale.gateway.peers import NodeState
from moledale.log import Event, emit

MAX_LOGGED_NODES = 1_024
"""Nodes of which it is remembered that their build was told: more than a large system has."""


def formats_digest() -> str:
    """Return a digest of the fields of all that nodes tell each other."""
    kinds: tuple[type[msgspec.Struct], ...] = (NodeState, *MESSAGES)
    fields = [(kind.__name__, kind.__struct_fields__) for kind in kinds]
    return xxhash.xxh3_64_hexdigest(repr(fields).encode())


FORMATS = formats_digest()
"""That of this build; builds that tell none are older than it is."""


class BuildWatch:
    """Logs once for each node and build that it shares other formats than this one."""

    def __init__(self) -> None:
        self._logged: LRUCache[str, str] = LRUCache(MAX_LOGGED_NODES)

    def check(self, state: NodeState) -> None:
        """Compare a node's formats with those of this build."""
        if self._logged.get(state.id, FORMATS) == state.formats:
            return
        self._logged[state.id] = state.formats
        emit(Event.BUILDS_DIFFER, peer=state.id, formats=state.formats, own=FORMATS)

    def count_different(self, alive: list[NodeState]) -> int:
        """Return how many live nodes share other formats."""
        return sum(state.formats != FORMATS for state in alive)
