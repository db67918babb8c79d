"""Decides which nodes watch the store for plans, so that a plan is in force everywhere in time.

A few nodes watch on behalf of all others and broadcast when the store last answered them. A node
trusts a watch only as long as that is recent, since a lost connection may be silent. When too few
watches are recent, the others begin to watch one after another. Every interval here is a share of
`apply_s`, the time within which a plan has to be in force, so that the last of them begins early
enough, however many nodes were partitioned from the store.
"""

import random
from collections.abc import Callable

import msgspec

from moledale.log import Event, emit

WATCHER_COUNT = 2
"""Nodes that watch the store at once: one may be lost without any delay of the next plan."""

WATCH_WAIT_SHARE = 0.3
"""Duration of one long poll of a watch."""

MAX_CHECK_AGE_SHARE = 0.5
"""Age of the store's last answer up to which a watch is trusted: a long poll and a gossip round,
with some time to spare."""

RANK_DELAY_SHARE = 0.05
"""Delay between nodes of successive ranks that begin to watch."""

MAX_DELAY_RANK = 4
"""Nodes of higher ranks wait as long as this one."""

RESERVE_JITTER_S = 0.5
"""Nodes in reserve wait longer by a random time up to this, for each `neighbours.MAX_MESH_PEERS`
nodes."""


def max_check_age_s(apply_s: float) -> float:
    """Return the age of the store's last answer up to which a watch is trusted."""
    return MAX_CHECK_AGE_SHARE * apply_s


class Watchers(msgspec.Struct, frozen=True):
    """The other nodes that watch the store, as one node sees them.

    `recent` counts those that the store answered recently, and `before` those of them that rank
    before this node. `wanted` is how many are enough. `rank` is this node's own rank among all
    live nodes.
    """

    recent: int
    before: int
    wanted: int
    rank: int


class WatchTurn:
    """Decides whether one node watches, from what it knows of the others at the time.

    `backoff_scale` returns more than 1.0 on a node in reserve in a large cluster (see
    `Neighbours.backoff_scale`).
    """

    def __init__(
        self, apply_s: float, backoff_scale: Callable[[], float], now: Callable[[], float]
    ) -> None:
        self._apply_s = apply_s
        self._backoff_scale = backoff_scale
        self._now = now
        self._draw = random.random()
        self._watching = False
        self._missing_since: float | None = None

    def begin(self) -> None:
        """Begin to watch at once, as a node does that has no plan yet."""
        self._missing_since = None
        self._watching = True

    def is_due(self, watchers: Watchers) -> bool:
        """Return whether this node should watch now.

        A node that watches goes on until enough nodes of lower rank do.
        """
        if self._watching:
            self._watching = watchers.before < watchers.wanted
            return self._watching
        if watchers.recent >= watchers.wanted:
            self._missing_since = None
            return False
        if self._missing_since is None:
            self._missing_since = self._now()
        if self._now() - self._missing_since < self._delay_s(watchers.rank):
            return False
        self.begin()
        emit(Event.WATCH_BEGUN, rank=watchers.rank, others=watchers.recent)
        return True

    def _delay_s(self, rank: int) -> float:
        jitter_s = RESERVE_JITTER_S * (self._backoff_scale() - 1.0) * self._draw
        return min(rank, MAX_DELAY_RANK) * RANK_DELAY_SHARE * self._apply_s + jitter_s
