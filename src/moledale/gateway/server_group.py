"""The servers of one service, kept so that few of them have to be weighed for a request.

Weighing every server for every request takes time that grows with the servers. A request is weighed
against few candidates instead, found without a walk: servers that have the front of its prompt, the
one where prompts with that front meet, servers with a connection at rest, and the least loaded ones
of each hall. The last are kept in order as loads change, so what a change costs does not grow with
the servers either.
"""

import random
from collections.abc import Callable, Iterable

import msgspec

from moledale.core.hashing import ranked
from moledale.core.rollouts import VersionRule
from moledale.gateway.closed_servers import NONE_EXCLUDED, ClosedServers, LimitedServers
from moledale.gateway.messages import PromptPart, Server
from moledale.gateway.server_order import HashRing, ServerPriorityQueue, quantize
from moledale.gateway.server_view import ServerView

LOCAL_HALL_CANDIDATES = 4
OTHER_HALL_CANDIDATES = 2
"""Least loaded servers of the own and of each other hall that are weighed for a request: enough for
one that was tried, one that is slower than believed, and a choice between equal ones."""

MAX_PREFIX_HOLDERS = 12
"""Servers with the front of a prompt that are weighed for a request, drawn by chance if more."""

MAX_CONNECTED_CANDIDATES = 4
"""Servers with a connection at rest that are weighed for a request: a new one takes 1 ms, and is
paid for. One would do where it is not slower; the others are for when it is."""

UNORDERED_VERSION_DELAY_S = 30.0
"""A version that appears without an order gets work after this time: longer than the order that it
may belong to is on its way, so that servers which were replaced in another way are used at last."""

RECOVERED_RATIO = 0.01
"""A server that failed or was slow counts as sound again below this."""


class ServerGroup:
    """The servers of one service at one node.

    `load_delay_s` estimates the seconds that a request of usual size would wait at a server at some time.
    It is asked whenever a server's load changes.
    """

    def __init__(
        self, hall: str, load_delay_s: Callable[[ServerView, float], float], rng: random.Random
    ) -> None:
        self.views: dict[str, ServerView] = {}
        self.busy: set[str] = set()
        self.running = 0
        self.prefill_tokens = 0
        self._hall = hall
        self._load_delay_s = load_delay_s
        self._rng = rng
        self._queues: dict[str, ServerPriorityQueue] = {}
        self._ring = HashRing()
        self._part_holders: dict[str, list[ServerView]] = {}
        self._counted_load: dict[str, tuple[int, int]] = {}
        self._degraded: set[str] = set()
        self.limited = LimitedServers()
        self.closed = ClosedServers(rng)
        self._rule = VersionRule()
        self._accepted_versions: frozenset[str] = frozenset()
        self._present_since: dict[str, float] = {}
        self._trial: tuple[float, list[str]] | None = None
        self._now = 0.0

    # Servers that come and go

    def apply(self, servers: Iterable[Server]) -> list[ServerView]:
        """Take over the service's servers; return the views of those that are new."""
        listed = {server.id: server for server in servers}
        if not self._accepted_versions:
            self._accepted_versions = frozenset(server.version for server in listed.values())
        for name in [name for name in self.views if name not in listed]:
            self._remove(name)
        new = [ServerView(server) for name, server in listed.items() if name not in self.views]
        for view in new:
            self.views[view.server.id] = view
            view.on_change = self.update
        if new and len(new) * 2 > len(self.views):
            self._ring.add_all(view.server.id for view in new)
        else:
            for view in new:
                self._ring.add(view.server.id)
        for view in self.views.values():
            server = listed[view.server.id]
            if view.server != server:
                self._queue(view.server.hall).drop(view)
                view.server = server
                self.update(view)
        for view in new:
            self.update(view)
        self._update_versions()
        return new

    def _remove(self, name: str) -> None:
        view = self.views.pop(name)
        self._queue(view.server.hall).drop(view)
        self._ring.drop(name)
        for part in view.cached:
            self._drop_holder(part, view)
        running, prefill = self._counted_load.pop(name, (0, 0))
        self.running -= running
        self.prefill_tokens -= prefill
        self.busy.discard(name)
        self._degraded.discard(name)
        self.limited.drop(name)
        self.closed.drop(view)
        view.on_change = None

    def mark_leaving(self, name: str) -> None:
        """Take over that a server leaves before the list says so."""
        view = self.views[name]
        view.server = msgspec.structs.replace(view.server, leaving=True)
        self.update(view)
        self._update_versions()

    # Loads

    def update(self, view: ServerView) -> None:
        """Take over that a server's load, or what is known of it, changed."""
        name = view.server.id
        running, prefill = self._counted_load.get(name, (0, 0))
        self._counted_load[name] = counted = (view.all_running, view.all_prefill)
        self.running += counted[0] - running
        self.prefill_tokens += counted[1] - prefill
        if view.running:
            self.busy.add(name)
        else:
            self.busy.discard(name)
        self._update_degraded(view)
        self.limited.note(view)
        self.closed.note(view, self.allows(view.server.version), self._now)
        queue = self._queue(view.server.hall)
        if not self.is_eligible(view, NONE_EXCLUDED):
            queue.drop(view)
        else:
            queue.put(view, quantize(self._load_delay_s(view, self._now)))

    def _reopen_closed(self, now: float) -> None:
        """Weigh servers again once they may get requests, not a round later."""
        self._now = max(self._now, now)
        while view := self.closed.next_open(self._now):
            self.update(view)

    def _update_degraded(self, view: ServerView) -> None:
        """Remember a server whose estimate changes by time alone."""
        slow = view.slowness.factor(self._now) - 1.0 > RECOVERED_RATIO
        waits = view.standing.opens_in_s(self._now) > 0 or view.is_set_aside(self._now)
        if slow or view.failed_share > RECOVERED_RATIO or waits:
            self._degraded.add(view.server.id)
        else:
            self._degraded.discard(view.server.id)

    def tick(self, now: float) -> None:
        """Follow the time: pauses end and what was slow fades."""
        self._now = max(self._now, now)
        for name in list(self._degraded):
            self.update(self.views[name])
        self._accept_unordered_versions()

    def _queue(self, hall: str) -> ServerPriorityQueue:
        queue = self._queues.get(hall)
        if queue is None:
            queue = self._queues[hall] = ServerPriorityQueue(self._rng)
        return queue

    # Prompts

    def record_cached_parts(
        self, view: ServerView, parts: tuple[PromptPart, ...], capacity: int
    ) -> None:
        """Note that a prompt's parts lie in a server's memory now."""
        new = [part.id for part in parts if part.tokens > 0 and part.id not in view.cached]
        evicted = view.remember(parts, capacity)
        if self.views.get(view.server.id) is not view:
            return
        for part in dict.fromkeys(new):
            self._part_holders.setdefault(part, []).append(view)
        for part in evicted:
            self._drop_holder(part, view)

    def _drop_holder(self, part: str, view: ServerView) -> None:
        holders = self._part_holders.get(part)
        if holders is None:
            return
        if view in holders:
            holders.remove(view)
        if not holders:
            del self._part_holders[part]

    def holders(self, parts: tuple[PromptPart, ...]) -> list[ServerView]:
        """Return servers that have a front of a prompt, those with more of it first."""
        found: dict[str, ServerView] = {}
        for part in reversed(parts):
            room = MAX_PREFIX_HOLDERS - len(found)
            if room <= 0:
                break
            views = self._part_holders.get(part.id, [])
            if len(views) > room:
                views = self._rng.sample(views, room)
            found.update((view.server.id, view) for view in views)
        return list(found.values())

    def home(self, key: str) -> str | None:
        """Return the server where prompts with a key should meet."""
        return self._ring.home(key)

    # Versions

    def set_rule(self, rule: VersionRule) -> None:
        """Say which versions get work; servers of others keep what they have."""
        if rule == self._rule:
            return
        self._rule = rule
        self._trial = None
        if rule.only_target:
            self._accepted_versions |= {rule.target}
        for view in self.views.values():
            self.update(view)

    def _update_versions(self) -> None:
        """Remember which versions are there, and since when."""
        there = {view.server.version for view in self.views.values() if not view.server.leaving}
        self._present_since = {
            version: self._present_since.get(version, self._now) for version in there
        }
        self._trial = None

    def _accept_unordered_versions(self) -> None:
        """Give work to versions that have been there for long without any order."""
        unordered = {
            version
            for version, since in self._present_since.items()
            if self._now - since > UNORDERED_VERSION_DELAY_S and version != self._rule.target
        }
        if not unordered <= self._accepted_versions:
            self._accepted_versions |= unordered
            for view in self.views.values():
                self.update(view)

    def allows(self, version: str) -> bool:
        """Say whether servers of a version get work.

        One that appears without an order that this node knows gets none: the order may be on its
        way, and the version bad.
        """
        return version in self._accepted_versions and self._rule.allows(version)

    def allowed(self) -> list[ServerView]:
        """Return the servers whose version gets work, leaving ones included."""
        return [view for view in self.views.values() if self.allows(view.server.version)]

    def has_version(self, version: str) -> bool:
        """Say whether servers of a version are there that don't leave."""
        return version in self._present_since

    def trial_servers(self, share: float, excluded: frozenset[str]) -> list[ServerView]:
        """Return the servers of a new version that share its part of the requests.

        They are as many that each gets about as much as an old one does: a version that is bad
        under load only shows it. All nodes choose the same ones.
        """
        if self._trial is None or self._trial[0] != share:
            self._trial = (share, self._choose_trial_servers(share))
        chosen = (self.views[name] for name in self._trial[1] if name not in excluded)
        return [view for view in chosen if self._is_available(view)]

    def new_version_share(self) -> float:
        """Return the part of the load with which a new server has no more to do than an old one."""
        new, old = self._new_and_current()
        return len(new) / max(1, len(new) + old)

    def _choose_trial_servers(self, share: float) -> list[str]:
        new, old = self._new_and_current()
        return ranked(self._rule.target, new)[: max(1, round(share / (1.0 - share) * old))]

    def _new_and_current(self) -> tuple[list[str], int]:
        """Return the servers of the ordered version that stay, and the number of those in use."""
        staying = [view.server for view in self.views.values() if not view.server.leaving]
        new = [server.id for server in staying if server.version == self._rule.target]
        return new, sum(1 for server in staying if self.allows(server.version))

    # Candidates

    def is_eligible(self, view: ServerView, excluded: frozenset[str]) -> bool:
        """Say whether a server may get new work."""
        if view.server.id in excluded or not self._is_available(view):
            return False
        return self.allows(view.server.version)

    def _is_available(self, view: ServerView) -> bool:
        return not view.is_closed(self._now) and not view.is_set_aside(self._now)

    def candidates(
        self,
        now: float,
        excluded: frozenset[str],
        holders: Iterable[ServerView] = (),
        home: str | None = None,
        connected: Iterable[str] = (),
    ) -> list[ServerView]:
        """Return the servers to weigh for a request; set aside ones only if there are no others."""
        self._reopen_closed(now)
        found = {view.server.id: view for view in holders if self.is_eligible(view, excluded)}
        named = [home] if home is not None else []
        for name in (*named, *self._connected(connected)):
            view = self.views.get(name)
            if view is not None and self.is_eligible(view, excluded):
                found[name] = view
        for hall, queue in self._queues.items():
            number = LOCAL_HALL_CANDIDATES if hall == self._hall else OTHER_HALL_CANDIDATES
            for view in queue.lowest(number, excluded):
                if self.is_eligible(view, excluded):
                    found[view.server.id] = view
        return list(found.values()) or self._fallback_candidates(excluded)

    def _connected(self, names: Iterable[str]) -> list[str]:
        found: list[str] = []
        for name in names:
            if name in self.views:
                found.append(name)
                if len(found) == MAX_CONNECTED_CANDIDATES:
                    break
        return found

    def _fallback_candidates(self, excluded: frozenset[str]) -> list[ServerView]:
        """Return the servers that may get requests; those not set aside, if there are any."""
        if self.closed.are_all(len(self.views)):
            return []
        staying = [
            view
            for view in self.views.values()
            if not view.is_closed(self._now) and view.server.id not in excluded
        ]
        allowed = [view for view in staying if self.allows(view.server.version)]
        if not allowed and (self._rule.only_target or not self._rule.target):
            rejected = self._rule.rejected
            allowed = [view for view in staying if view.server.version not in rejected]
        return [view for view in allowed if not view.is_set_aside(self._now)] or allowed

    def retry_in_s(self, now: float) -> float | None:
        """Return when the first server may get a request again, None if there is none.

        It is 0 if one may get it now.
        """
        self._reopen_closed(now)
        if self.closed.are_all(len(self.views)):
            return self.closed.opens_in_s(now)
        first = None
        for view in self.views.values():
            if view.server.leaving or not self.allows(view.server.version):
                continue
            wait_s = view.standing.opens_in_s(now)
            if wait_s == 0.0:
                return 0.0
            first = wait_s if first is None else min(first, wait_s)
        return first

    def declined(self, now: float) -> list[ServerView]:
        """Return the servers that stay and turned requests of this node away."""
        views = (self.views[name] for name in self._degraded)
        return [
            view for view in views if view.standing.declined_until > now and not view.server.leaving
        ]

    def unavailable(self, now: float, longer_than_s: float) -> int:
        """Return how many servers that stay turn requests of any node away for longer than that."""
        views = (self.views[name] for name in self._degraded)
        standings = (view.standing for view in views if not view.server.leaving)
        away = (each for each in standings if each.declines_until() > now)
        return sum(each.declines_until() - each.declined_since > longer_than_s for each in away)

    def has_alternative(self, now: float, tried: frozenset[str]) -> bool:
        """Say whether a server may get work that was not tried and is not set aside.

        One that names a limit is none to count on: it may have no place when it is asked.
        """
        self._now = max(self._now, now)
        excluded = tried | self.limited.names
        return any(self.is_eligible(view, excluded) for view in self.views.values())
