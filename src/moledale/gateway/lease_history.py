"""Recent holders of the lease, so that no node acts as the holder again soon after another one did.

A platform that does not check fences can't tell an order of a returning holder from a late one of
its earlier tenure. So a node that held the lease before another one acquires it again only a whole
time to live (TTL) after its own tenure ended. Tenures outlast a process, and nodes learn of them in
different ways: the lease's row and each broadcast renewal list the recent ones. Earlier builds list
none; a node then counts from its own last tenure, or from its start.
"""

import math


class LeaseHistory:
    """Knows for each recent holder until when it may have acted, on the monotonic clock.

    `is_complete` is set if no holder within the last TTL is missing. `first_start` is set if no
    earlier process of this node can have held the lease.
    """

    def __init__(self, node: str, ttl_s: float, started_at: float, first_start: bool) -> None:
        self.is_complete = False
        self._node = node
        self._ttl_s = ttl_s
        self._started_at = started_at
        self._first_start = first_start
        self._ended_at: dict[str, float] = {}

    def record_tenure(self, holder: str, ended_at: float) -> None:
        """Record the latest time at which a holder may act, or may have acted."""
        self._ended_at[holder] = ended_at

    def replace(self, ended_at: dict[str, float]) -> None:
        """Replace the known tenures by a complete list, but for the known end of this node's own.

        Each message makes an end seem later by the time that it took to arrive.
        """
        own = {node: at for node, at in self._ended_at.items() if node == self._node}
        self._ended_at = {**ended_at, **own}
        self.is_complete = True

    def recent(self, now: float) -> dict[str, float]:
        """Drop tenures that ended more than a TTL ago, and return the ends of the others."""
        self._ended_at = {node: at for node, at in self._ended_at.items() if at + self._ttl_s > now}
        return self._ended_at

    def may_acquire_at(self) -> float:
        """Return the time from which this node may acquire the lease if it is free."""
        own = self._own_end()
        if own == -math.inf:
            may_have_held = not (self.is_complete or self._first_start)
            return self._started_at + self._ttl_s if may_have_held else -math.inf
        if self.is_complete and max(self._ended_at.values()) <= own:
            return -math.inf
        return own + self._ttl_s

    def _own_end(self) -> float:
        return self._ended_at.get(self._node, -math.inf)
