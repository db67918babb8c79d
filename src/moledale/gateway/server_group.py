"""The servers of one service, indexed so that each request is weighed against a few of them.

Weighing every server for every request takes time that grows with the number of servers. Instead a
request is weighed against a few candidates that are found without a scan: servers that have its
prefix cached, the home server of that prefix, servers with an idle connection, and the least loaded
servers of each hall. The latter are kept in order as loads change, so the cost of a change does not
grow with the number of servers either.
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
"""Least loaded servers of the own hall and of each other hall that are weighed for a request:
enough for one that was tried, one that is slower than estimated, and a choice between equal
ones."""

MAX_PREFIX_HOLDERS = 12
"""Maximum servers with a cached prefix of the prompt that are weighed for a request, drawn at
random if there are more."""

MAX_CONNECTED_CANDIDATES = 4
"""Maximum servers with an idle connection that are weighed for a request: a new connection takes 1
ms and is charged for. One would do unless it is slower; the others cover that case."""

UNORDERED_VERSION_DELAY_S = 30.0
"""A version that appears without a roll-out order gets work after this time, which is longer than
an order takes to arrive. Servers replaced without an order would otherwise never be used."""

RECOVERED_RATIO = 0.01
"""A server counts as healthy again when its share of failures and its slowdown fall below this."""


class ServerGroup:
    """Tracks the servers of one service at one node and finds the candidates for a request.

    `load_delay_s` estimates the delay of a request of usual size at a server as of a given time. It
    is called whenever a server's load changes.
    """

    def __init__(
        self, hall: str, load_delay_s: Callable[[ServerView, float], float], rng: random.Random
    ) -> None:
        self.views: dict[str, ServerView] = {}
        self.busy: set[str] = set()
        self.running = 0
        self.prefill_tokens = 0
        self.has_engine = False
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

    def apply(self, servers: Iterable[Server]) -> list[ServerView]:
        """Replace the service's servers; return the views of those that are new."""
        listed = {server.id: server for server in servers}
        if not self._accepted_versions:
            self._accepted_versions = frozenset(server.version for server in listed.values())
        for name in [name for name in self.views if name not in listed]:
            self._remove(name)
        new = [
            ServerView(server, has_engine=self.has_engine)
            for name, server in listed.items()
            if name not in self.views
        ]
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

    def set_engine(self, has_engine: bool) -> None:
        """Set whether the plan gives the service an engine; servers listed later get it as well."""
        if has_engine == self.has_engine:
            return
        self.has_engine = has_engine
        for view in self.views.values():
            view.has_engine = has_engine
            self.update(view)

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
        """Mark a server as leaving before the list of servers does."""
        view = self.views[name]
        view.server = msgspec.structs.replace(view.server, leaving=True)
        self.update(view)
        self._update_versions()

    def update(self, view: ServerView) -> None:
        """Update the counts and indexes after a change of a server's load or standing."""
        name = view.server.id
        running, prefill = self._counted_load.get(name, (0, 0))
        self._counted_load[name] = counted = (view.total_running, view.total_prefill)
        self.running += counted[0] - running
        self.prefill_tokens += counted[1] - prefill
        if view.running:
            self.busy.add(name)
        else:
            self.busy.discard(name)
        self._update_degraded(view)
        self.limited.update(view)
        self.closed.update(view, self.allows(view.server.version), self._now)
        queue = self._queue(view.server.hall)
        if not self.is_eligible(view, NONE_EXCLUDED):
            queue.drop(view)
        else:
            queue.put(view, quantize(self._load_delay_s(view, self._now)))

    def _reopen_closed(self, now: float) -> None:
        """Update the servers that have opened by now, without waiting for the next tick."""
        self._now = max(self._now, now)
        while view := self.closed.next_reopened(self._now):
            self.update(view)

    def _update_degraded(self, view: ServerView) -> None:
        """Track a server if its estimate changes with time alone."""
        slow = view.slowness.factor(self._now) - 1.0 > RECOVERED_RATIO
        waits = view.standing.opens_in_s(self._now) > 0 or view.is_deprioritized(self._now)
        if slow or view.failed_share > RECOVERED_RATIO or waits:
            self._degraded.add(view.server.id)
        else:
            self._degraded.discard(view.server.id)

    def tick(self, now: float) -> None:
        """Update servers whose pause ends or whose slowness decays, and the accepted versions."""
        self._now = max(self._now, now)
        for name in list(self._degraded):
            self.update(self.views[name])
        self._accept_unordered_versions()

    def _queue(self, hall: str) -> ServerPriorityQueue:
        queue = self._queues.get(hall)
        if queue is None:
            queue = self._queues[hall] = ServerPriorityQueue(self._rng)
        return queue

    def record_cached_parts(
        self, view: ServerView, parts: tuple[PromptPart, ...], capacity: int
    ) -> None:
        """Record that a prompt's parts are now cached by a server."""
        new = [part.id for part in parts if part.tokens > 0 and part.id not in view.cached]
        evicted = view.record_cached(parts, capacity)
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
        """Return servers that have a prefix of a prompt cached, those with a longer one first."""
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
        """Return the home server of a key, or None if there are no servers."""
        return self._ring.home(key)

    def set_rule(self, rule: VersionRule) -> None:
        """Set which versions get work; servers of other versions keep their running requests."""
        if rule == self._rule:
            return
        self._rule = rule
        self._trial = None
        if rule.only_target:
            self._accepted_versions |= {rule.target}
        for view in self.views.values():
            self.update(view)

    def _update_versions(self) -> None:
        """Record which versions are present, and since when."""
        present = {view.server.version for view in self.views.values() if not view.server.leaving}
        self._present_since = {
            version: self._present_since.get(version, self._now) for version in present
        }
        self._trial = None

    def _accept_unordered_versions(self) -> None:
        """Accept versions present for longer than `UNORDERED_VERSION_DELAY_S` without an order."""
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
        """Return whether servers of a version get work.

        A version that appears without an order known to this node gets none: the order may still be
        on its way, and the version may be bad.
        """
        return version in self._accepted_versions and self._rule.allows(version)

    def allowed_servers(self) -> list[ServerView]:
        """Return the servers whose version gets work, including leaving ones."""
        return [view for view in self.views.values() if self.allows(view.server.version)]

    def has_version(self, version: str) -> bool:
        """Return whether there are servers of a version that are not leaving."""
        return version in self._present_since

    def has_only_other_versions(self, version: str) -> bool:
        """Return whether there are servers that are not leaving, and none of this version."""
        return bool(self._present_since) and not self.has_version(version)

    def other_versions(self, version: str) -> frozenset[str]:
        """Return the ids of the servers that run another version of the software."""
        return frozenset(
            name for name, view in self.views.items() if view.server.version != version
        )

    def trial_servers(self, share: float, excluded: frozenset[str]) -> list[ServerView]:
        """Return the servers of a new version that take its share of the requests.

        There are as many that each gets about as many requests as a server of the old version: some
        faults only show under load. All nodes choose the same servers.
        """
        if self._trial is None or self._trial[0] != share:
            self._trial = (share, self._choose_trial_servers(share))
        chosen = (self.views[name] for name in self._trial[1] if name not in excluded)
        return [view for view in chosen if self._is_available(view)]

    def new_version_share(self) -> float:
        """Return the share of the load at which a new server gets no more than an old one."""
        new, current = self._new_and_current()
        return len(new) / max(1, len(new) + current)

    def _choose_trial_servers(self, share: float) -> list[str]:
        new, current = self._new_and_current()
        return ranked(self._rule.target, new)[: max(1, round(share / (1.0 - share) * current))]

    def _new_and_current(self) -> tuple[list[str], int]:
        """Return the ids of the target version's servers, and how many servers are in use.

        Servers that are leaving are left out.
        """
        staying = [view.server for view in self.views.values() if not view.server.leaving]
        new = [server.id for server in staying if server.version == self._rule.target]
        return new, sum(1 for server in staying if self.allows(server.version))

    def is_eligible(self, view: ServerView, excluded: frozenset[str]) -> bool:
        """Return whether a server may get new work and is neither deprioritized nor excluded."""
        if view.server.id in excluded or not self._is_available(view):
            return False
        return self.allows(view.server.version)

    def _is_available(self, view: ServerView) -> bool:
        return not view.is_closed(self._now) and not view.is_deprioritized(self._now)

    def candidates(
        self,
        now: float,
        excluded: frozenset[str],
        holders: Iterable[ServerView] = (),
        home: str | None = None,
        connected: Iterable[str] = (),
    ) -> list[ServerView]:
        """Return the servers to weigh for a request, deprioritized ones only if all are.

        `connected` are the servers of any service with an idle connection, by id.
        """
        self._reopen_closed(now)
        found = {view.server.id: view for view in holders if self.is_eligible(view, excluded)}
        homes = [home] if home is not None else []
        for name in (*homes, *self._connected(connected)):
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
        """Return the first few of `names` that are servers of this service."""
        found: list[str] = []
        for name in names:
            if name in self.views:
                found.append(name)
                if len(found) == MAX_CONNECTED_CANDIDATES:
                    break
        return found

    def _fallback_candidates(self, excluded: frozenset[str]) -> list[ServerView]:
        """Return the open servers of allowed versions, deprioritized ones only if all of them are.

        If none has an allowed version, any version that is not rejected counts, unless the rule
        keeps work from its target version.
        """
        if self.closed.all_closed(len(self.views)):
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
        return [view for view in allowed if not view.is_deprioritized(self._now)] or allowed

    def retry_in_s(self, now: float) -> float | None:
        """Return the time until a server may get a request, or None if there is no server.

        It is 0 if one may get a request now.
        """
        self._reopen_closed(now)
        if self.closed.all_closed(len(self.views)):
            return self.closed.opens_in_s(now)
        earliest_s = None
        for view in self.views.values():
            if view.server.leaving or not self.allows(view.server.version):
                continue
            wait_s = view.standing.opens_in_s(now)
            if wait_s == 0.0:
                return 0.0
            earliest_s = wait_s if earliest_s is None else min(earliest_s, wait_s)
        return earliest_s

    def declined(self, now: float) -> list[ServerView]:
        """Return the servers that are not leaving and rejected requests of this node."""
        views = (self.views[name] for name in self._degraded)
        return [
            view for view in views if view.standing.declined_until > now and not view.server.leaving
        ]

    def unavailable_count(self, now: float, longer_than_s: float) -> int:
        """Return the number of servers that have rejected requests for longer than `longer_than_s`.

        Requests of any node count. Servers that are leaving are left out.
        """
        views = (self.views[name] for name in self._degraded)
        standings = (view.standing for view in views if not view.server.leaving)
        rejecting = (each for each in standings if each.combined_declined_until() > now)
        return sum(
            each.combined_declined_until() - each.declined_since > longer_than_s
            for each in rejecting
        )

    @property
    def has_full_servers(self) -> bool:
        """Return whether any server has as many requests as it may get at a time."""
        return any(view.is_full for view in self.views.values())

    def has_alternative(self, now: float, tried: frozenset[str]) -> bool:
        """Return whether an untried server is eligible for work.

        Servers that state a limit are left out, since they may have no permit left.
        """
        self._now = max(self._now, now)
        excluded = tried | self.limited.names
        return any(self.is_eligible(view, excluded) for view in self.views.values())
