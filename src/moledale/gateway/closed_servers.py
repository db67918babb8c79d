"""Servers of a service that get no requests for now, and those that state a limit.

Both are updated as servers change, and closed servers are ordered by when they open again, so that
no request has to scan the servers to find that all are closed.
"""

import random

from moledale.gateway.server_order import ServerPriorityQueue, quantize
from moledale.gateway.server_view import ServerView

MIN_USUAL_PER_S = 1e-3
"""Minimum usual request rate of a server, since the lost capacity is divided by it. Servers that
get fewer requests lose nothing by a limit."""

NONE_EXCLUDED: frozenset[str] = frozenset()


class LimitedServers:
    """The servers that state a limit on the requests of all nodes together.

    `names` are their ids.
    """

    def __init__(self) -> None:
        self.names: set[str] = set()
        self._views: dict[str, ServerView] = {}
        self._first_hand: dict[str, ServerView] = {}
        self._counted_per_s: dict[str, float] = {}
        self._total_per_s = 0.0

    def update(self, view: ServerView) -> None:
        """Record the limit that a server states, or that it states none."""
        name, limit = view.server.id, view.limit_per_s
        if view.standing.limit.first_hand:
            self._first_hand[name] = view
        if limit is None:
            self._forget(name)
            return
        self.names.add(name)
        self._views[name] = view
        self._total_per_s += limit - self._counted_per_s.get(name, 0.0)
        self._counted_per_s[name] = limit

    def drop(self, name: str) -> None:
        """Forget a server that was removed."""
        self._forget(name)
        self._first_hand.pop(name, None)

    def _forget(self, name: str) -> None:
        self.names.discard(name)
        self._views.pop(name, None)
        self._total_per_s -= self._counted_per_s.pop(name, 0.0)

    def total_per_s(self) -> float:
        """Return the sum of the limits, in requests per second."""
        return max(0.0, self._total_per_s)

    def servers_to_broadcast(self, now: float) -> list[ServerView]:
        """Return the servers whose limit, or its removal, is to be sent to other nodes."""
        limits = {name: view.standing.limit for name, view in self._first_hand.items()}
        for name in [name for name, limit in limits.items() if limit.to_broadcast(now) is None]:
            del self._first_hand[name]
        return list(self._first_hand.values())

    def lost_servers(self, now: float, usual_per_s: float, longer_than_s: float) -> int:
        """Return the capacity lost to limits older than `longer_than_s`, in whole servers.

        `usual_per_s` is what a server without a limit gets; one that is limited to half of it
        counts as half a server lost.
        """
        usual_per_s = max(usual_per_s, MIN_USUAL_PER_S)
        lasting = [
            view
            for view in self._views.values()
            if not view.server.leaving and now - view.standing.limit.limited_since > longer_than_s
        ]
        usable_shares = ((view.limit_per_s or 0.0) / usual_per_s for view in lasting)
        return int(sum(max(0.0, 1.0 - share) for share in usable_shares))


class ClosedServers:
    """The servers that are leaving, backing off or on hold for lack of a permit."""

    def __init__(self, rng: random.Random) -> None:
        self._closed: set[str] = set()
        self._held = ServerPriorityQueue(rng)
        self._backing_off = ServerPriorityQueue(rng)

    def update(self, view: ServerView, allowed: bool, now: float) -> None:
        """Record a server's standing; `allowed` states whether its version gets requests."""
        if view.is_closed(now):
            self._closed.add(view.server.id)
        else:
            self._closed.discard(view.server.id)
        may_open = allowed and not view.server.leaving
        if may_open and view.standing.retry_at > now:
            self._backing_off.put(view, quantize(now + view.standing.opens_in_s(now)))
        else:
            self._backing_off.drop(view)
        if may_open and view.is_open(now) and view.standing.is_held(now):
            self._held.put(view, quantize(view.standing.held_until))
        else:
            self._held.drop(view)

    def drop(self, view: ServerView) -> None:
        """Forget a server that was removed."""
        self._closed.discard(view.server.id)
        self._held.drop(view)
        self._backing_off.drop(view)

    def all_closed(self, total: int) -> bool:
        """Return whether all of `total` servers are closed."""
        return len(self._closed) == total

    def next_reopened(self, now: float) -> ServerView | None:
        """Return a server that has opened by now but was not updated since, or None."""
        for view in self._earliest():
            if not view.is_closed(now):
                return view
        return None

    def first_permitted(self, excluded: frozenset[str]) -> ServerView | None:
        """Return the server on hold for which a permit may be granted first."""
        found = self._held.lowest(1, excluded)
        return found[0] if found else None

    def opens_in_s(self, now: float) -> float | None:
        """Return the seconds until the first server opens, or None if none is due to open."""
        return min((view.standing.opens_in_s(now) for view in self._earliest()), default=None)

    def _earliest(self) -> list[ServerView]:
        backing_off = self._backing_off.lowest(1, NONE_EXCLUDED)
        return self._held.lowest(1, NONE_EXCLUDED) + backing_off
