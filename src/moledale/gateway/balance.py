"""Chooses a server for each request and tracks the load that all nodes put on the servers."""

import random
from collections.abc import Callable, Iterable, Sequence

from moledale.core.hashing import weight
from moledale.gateway.brittle import OwnRooms, engine_room
from moledale.gateway.choice import (
    FAILURE_PENALTY_S,
    Choice,
    EngineChoice,
    affinity_key,
    longest_cached_prefix,
    plain_cost_s,
)
from moledale.gateway.engine_costs import EngineCosts, prefill_work
from moledale.gateway.messages import Placed, PromptPart, RequestFacts, Server
from moledale.gateway.peers import Loads, NodeState
from moledale.gateway.plan import Engine
from moledale.gateway.reachability import Reachability
from moledale.gateway.server_group import ServerGroup
from moledale.gateway.server_model import PrefillSample, Speed, SpeedEstimator
from moledale.gateway.server_notices import ServerNotices
from moledale.gateway.server_order import quantize
from moledale.gateway.server_standing import FAILURE_PAUSE_INITIAL_S
from moledale.gateway.server_view import Placement, ServerView
from moledale.gateway.stated_limit import LimitNews
from moledale.log import Event, emit
from moledale.scheduling.engine_memory import (
    Demand,
    EngineClaims,
    Fit,
    Needs,
    ServerRoom,
    fit,
    pack_placed,
    weighed_s,
)
from moledale.scheduling.engine_memory_metrics import EngineMemoryMetrics
from moledale.scheduling.expected_ends import load_delay_s
from moledale.scheduling.performance import ServerSpeeds
from moledale.scheduling.unheard_delay import UnheardDelays
from moledale.streams.version_history import VersionHistory

MIN_EXPECTED_S = 0.01
"""Minimum expected time to a first event: one step of an engine takes 6 ms."""


def _no_connection(_: str) -> bool:
    """Return False: no connection is idle."""
    return False


def _no_idle_servers() -> Iterable[str]:
    """Return no server with an idle connection."""
    return ()


def _never(_service: str) -> bool:
    """Return False: a feature applies to no service."""
    return False


def _ignore_placement() -> None:
    """Ignore a placement."""


def _ignore_silence(_: str) -> None:
    """Ignore a silent server."""


def _ignore_versions(_: str) -> None:
    """Ignore that a service has got another version."""


def _ignore_outcome(_: Placement, _series: str, _failed: bool, _took: float) -> None:
    """Ignore an outcome."""


OutcomeCallback = Callable[[Placement, str, bool, float], None]
"""Receives the outcome of a placement: the series that it belongs to (a route, or a route with
`PACE_SUFFIX`), whether it failed, and how long it took. That is relative to the expected time for
the first event of an engine, in seconds otherwise."""

PACE_SUFFIX = "/pace"
"""Suffix of the series that holds the mean time between the events of a route's streams."""


class LoadBalancer:
    """Tracks the servers of all services with their load, and chooses a server for each request.

    `has_connection` returns whether there is an idle connection to a server, and `idle_servers`
    returns all servers with one, the most recently used first. `on_placed` is called after a
    request was placed on an engine, and `on_outcome` with the outcomes of requests. `on_silent` is
    called with a server that should have sent something: existing connections to it may stay silent
    although new ones work.

    `placed_work` is all prefill work that this node placed so far, by service. Requests refused for
    lack of capacity are included: it is the demand from which servers are rented.
    `expects_unheard_load` returns whether delays due to load that is not heard count for a service.

    `versions` are the software versions that were listed lately, and `on_versions_mixed` is called
    with a service that has got one beside another.
    """

    def __init__(self, hall: str, versions: VersionHistory | None = None) -> None:
        self.views: dict[str, ServerView] = {}
        self.placed_work: dict[str, int] = {}
        self.estimators: dict[str, SpeedEstimator] = {}
        self.on_placed: Callable[[], None] = _ignore_placement
        self.has_connection: Callable[[str], bool] = _no_connection
        self.idle_servers: Callable[[], Iterable[str]] = _no_idle_servers
        self.on_outcome: OutcomeCallback = _ignore_outcome
        self.on_silent: Callable[[str], None] = _ignore_silence
        self.expects_unheard_load: Callable[[str], bool] = _never
        self._unheard_delays: dict[str, UnheardDelays] = {}
        self._hall = hall
        self._rng = random.Random()
        self._groups: dict[str, ServerGroup] = {}
        self._peer_loads: dict[str, Loads] = {}
        self._pending_placements: list[tuple[Placement, tuple[PromptPart, ...]]] = []
        self.notices = ServerNotices(self.views, self.group)
        self.reachability = Reachability()
        self.server_speeds = ServerSpeeds()
        self.versions = versions or VersionHistory()
        self.on_versions_mixed: Callable[[str], None] = _ignore_versions
        self._own_rooms = OwnRooms()
        self._bounded_services: set[str] = set()
        self.claims = EngineClaims()
        self.memory_metrics = EngineMemoryMetrics()

    def apply(self, servers: Iterable[Server]) -> list[Server]:
        """Replace the list of servers; return those that are no longer listed."""
        by_service: dict[str, dict[str, Server]] = {name: {} for name in self._groups}
        listed = set()
        for server in self.notices.applied_to(servers):
            by_service.setdefault(server.service, {})[server.id] = server
            listed.add(server.id)
        gone = [view.server for name, view in self.views.items() if name not in listed]
        for server in gone:
            self.notices.retain_statements(self.views.pop(server.id))
            self.claims.forget(server.id)
        for service, listed_servers in by_service.items():
            for view in self.group(service).apply(listed_servers.values()):
                self.views[view.server.id] = view
                self.notices.restore_statements(view)
                if service in self._bounded_services:
                    # It gets its share in the next round.
                    view.set_rooms(engine_room(view.server.slots), None if view.has_engine else 1)
                self._add_peer_loads(view)
        for service in self.versions.observe(
            (each.server.service, each.server.version) for each in self.views.values()
        ):
            self.on_versions_mixed(service)
        self.server_speeds.set_listed(
            {name: (each.server.service, each.server.address) for name, each in self.views.items()}
        )
        for view in self.views.values():
            self._set_relative_speed(view, self.server_speeds.relative(view.server.id))
        return gone

    def declined(self, now: float) -> dict[str, float]:
        """Return the servers that rejected this node's requests, to send to peers.

        The values are the seconds for which they stay deprioritized.
        """
        return self.notices.declines_to_broadcast(self._groups.values(), now)

    def limits(self, now: float) -> dict[str, LimitNews]:
        """Return the limits that servers stated to this node, to send to peers."""
        return self.notices.limits_to_broadcast(self._groups.values(), now)

    def limited_count(self) -> int:
        """Return the number of servers that state a limit."""
        return sum(len(group.limited.names) for group in self._groups.values())

    def refresh_rooms(self, own: str, serving: Sequence[str], now: float) -> None:
        """Bound the requests at brittle servers, given the ids of the serving nodes."""
        brittle = self.notices.brittle
        brittle.expire(now)
        brittle.nodes = max(1, len(serving))
        for service, group in self._groups.items():
            if brittle.is_brittle(service):
                self._bounded_services.add(service)
                self._bound_requests(service, group, own, serving)
            elif service in self._bounded_services:
                self._bounded_services.discard(service)
                for view in group.views.values():
                    view.set_rooms(None, None)

    def _bound_requests(
        self, service: str, group: ServerGroup, own: str, serving: Sequence[str]
    ) -> None:
        """Set how many requests each server of a brittle service may get at a time."""
        if group.has_engine:
            for view in group.views.values():
                view.set_rooms(engine_room(view.server.slots), None)
            return
        slots = {name: view.server.slots for name, view in group.views.items()}
        for name, room in self._own_rooms.of(service, own, serving, slots).items():
            group.views[name].set_rooms(None, room)

    def group(self, service: str) -> ServerGroup:
        """Return the group of a service's servers, which is created if there is none yet."""
        group = self._groups.get(service)
        if group is None:
            group = ServerGroup(self._hall, self._load_delay_s, self._rng)
            self._groups[service] = group
        return group

    def _load_delay_s(self, view: ServerView, now: float) -> float:
        """Estimate the delay of a request of usual size, by which servers are ordered."""
        if not view.has_engine:
            return plain_cost_s(view, self._hall)
        speed = self.estimator(view.server.service).last_speed
        return load_delay_s(view, speed, now) + FAILURE_PENALTY_S * view.failed_share

    def refresh_server_speeds(self, states: Iterable[NodeState], now: float) -> None:
        """Renew the relative speeds of servers with the reports of all live peers."""
        reports = ((state.id, state.performance) for state in states)
        for change in self.server_speeds.refresh(reports, now):
            self._set_relative_speed(self.views[change.server], change.relative)
            if change.found:
                emit(
                    Event.SERVER_SPEED,
                    server=change.server,
                    service=change.service,
                    relative=round(change.relative, 2),
                    observations=round(change.weight),
                )

    def _set_relative_speed(self, view: ServerView, relative: float) -> None:
        if view.relative_speed != relative:
            view.relative_speed = relative
            view.notify_change()

    def apply_peer_states(self, states: Iterable[NodeState]) -> None:
        """Replace the loads and speed estimates of peers by those that all live peers state."""
        states = list(states)
        for service in {service for state in states for service in state.speeds}:
            speeds = (state.speeds.get(service) for state in states)
            self.estimator(service).set_peer_speeds(speed for speed in speeds if speed is not None)
        alive = {state.id for state in states}
        for node in [node for node in self._peer_loads if node not in alive]:
            self.apply_peer_loads(node, {})
            self.claims.apply_peer(node, (), b"")
            del self._peer_loads[node]
        for state in states:
            self._apply_peer_claims(state.id, state.loads, state.claims)
            self.apply_peer_loads(state.id, state.loads)

    def apply_peer_loads(self, node: str, loads: Loads) -> None:
        """Replace the load that a peer has on each server by `loads`."""
        before = self._peer_loads.get(node, {})
        if before is loads:
            return
        self._peer_loads[node] = loads
        for name in before.keys() | loads.keys():
            view = self.views.get(name)
            old, new = before.get(name, (0, 0)), loads.get(name, (0, 0))
            if view is not None and old != new:
                view.add_peer_load(new[0] - old[0], new[1] - old[1])

    def _apply_peer_claims(self, node: str, loads: Loads, claims: bytes) -> None:
        """Replace what a peer's requests take of servers, once for each of its states.

        It comes before `apply_peer_loads`, while `loads` are those of the state.
        """
        if self._peer_loads.get(node) is not loads:
            self.claims.apply_peer(node, loads, claims)

    def _add_peer_loads(self, view: ServerView) -> None:
        """Count the known loads of peers on a server that is new to the list."""
        peer_loads = [
            loads[view.server.id] for loads in self._peer_loads.values() if view.server.id in loads
        ]
        if peer_loads:
            view.add_peer_load(
                sum(each[0] for each in peer_loads), sum(each[1] for each in peer_loads)
            )

    def claims_report(self, loads: Loads) -> bytes:
        """Return what this node's requests take at the servers in `loads`, to send to peers."""
        return self.claims.report(loads)

    def loads(self) -> Loads:
        """Return this node's running requests and prefill tokens by server."""
        busy = (group.views[name] for group in self._groups.values() for name in group.busy)
        return {view.server.id: (view.running, view.prefill_tokens) for view in busy}

    def has_alternative(self, service: str, now: float, tried: frozenset[str]) -> bool:
        """Return whether an untried server without a stated limit is eligible for work."""
        return self.group(service).has_alternative(now, tried)

    def other_versions(self, service: str, version: str | None) -> frozenset[str]:
        """Return the servers at which a stream that a version began may not go on.

        With None no version has begun it, so it may go to any server.
        """
        return frozenset() if version is None else self.group(service).other_versions(version)

    def servers_of_versions(self, service: str, versions: set[str]) -> frozenset[str]:
        """Return the servers of a service that run one of some versions of the software."""
        if not versions:
            return frozenset()
        views = self.group(service).views
        return frozenset(name for name, view in views.items() if view.server.version in versions)

    def choose(
        self,
        service: str,
        facts: RequestFacts,
        engine: Engine | None,
        now: float,
        excluded: frozenset[str] = frozenset(),
        trial_share: float = 0.0,
        only: ServerView | None = None,
        demand: Demand | None = None,
    ) -> Choice | None:
        """Choose a server without counting the request there; return None if there is none.

        `engine` is that of the service in the plan in force. The group learns from it whether its
        servers run an engine, so the plan and the list of servers may change in any order.
        With a `trial_share`, one of the servers that take this share of the load for a new version
        is preferred. With `only`, that server is used. With a `demand`, servers where another
        request would be preempted are used only if no other one is expected to answer in time.
        """
        group = self.group(service)
        group.set_engine(engine is not None)
        home = None
        holders: list[ServerView] = []
        if engine is not None:
            home = group.home(affinity_key(facts.parts) or facts.id)
            holders = group.holders(facts.parts)
        if only is not None:
            views = [only]
        else:
            views = group.trial_servers(trial_share, excluded) if trial_share else []
            views = views or group.candidates(now, excluded, holders, home, self.idle_servers())
        if not views:
            return None
        if engine is None:
            return Choice(self._best_plain(views), facts)
        prefix = longest_cached_prefix(holders, facts, now)
        costs = EngineCosts(facts, prefix, engine, self.estimator(service).speed(now))
        best = self._best_engine(views, home, facts, costs, now)
        chosen = EngineChoice(engine, costs, prefix)
        if demand is None:
            first_event_s = self._first_event_s(best, home, costs, now)
            return Choice(best, facts, chosen, first_event_s)
        needs = self.claims.needs(demand)
        how = self._fit(best, needs, costs)
        if how.harms:
            best = self._best_engine(views, home, facts, costs, now, needs)
            how = self._fit(best, needs, costs)
            self.memory_metrics.record_harm(avoided=not how.harms)
        first_event_s = self._first_event_s(best, home, costs, now) + how.wait_s
        return Choice(best, facts, chosen, first_event_s, demand, how)

    def reserve(self, choice: Choice, now: float, moved: bool = False) -> Placement:
        """Count a request on the server that was chosen for it.

        A `moved` request brings its KV cache along, so it needs no prefill there.
        """
        if moved or choice.engine_choice is None:
            placement = self._reserve(choice.view, 0, now)
        else:
            placement = self._reserve_prompt(choice.view, choice.facts, choice.engine_choice, now)
        if choice.demand is not None:
            server = choice.view.server
            placement.claim = self.claims.open(server.id, choice.demand)
            self.memory_metrics.record_placed(
                server.service, server.id, choice.demand, choice.fit, now
            )
        if choice.engine_choice is None:
            return placement
        self._publish(placement, choice.facts, choice.engine_choice.engine)
        return placement

    def place(
        self,
        service: str,
        facts: RequestFacts,
        engine: Engine | None,
        now: float,
        excluded: frozenset[str] = frozenset(),
        moved: bool = False,
        trial_share: float = 0.0,
    ) -> Placement | None:
        """Choose a server and count the request there in one step; return None if there is none."""
        choice = self.choose(service, facts, engine, now, excluded, trial_share)
        return None if choice is None else self.reserve(choice, now, moved)

    def _best_plain(self, views: list[ServerView]) -> ServerView:
        return min(
            views,
            key=lambda view: (
                quantize(plain_cost_s(view, self._hall)),
                not self.has_connection(view.server.id),
                view.total_running,
                self._rng.random(),
            ),
        )

    def _best_engine(
        self,
        views: list[ServerView],
        home: str | None,
        facts: RequestFacts,
        costs: EngineCosts,
        now: float,
        needs: Needs | None = None,
    ) -> ServerView:
        key = affinity_key(facts.parts) or facts.id
        return min(
            views,
            key=lambda view: (
                quantize(
                    self._weighed_s(view, home, costs, now, needs)
                    + FAILURE_PENALTY_S * view.failed_share
                ),
                not self.has_connection(view.server.id),
                view.total_running,
                view.server.id != home,
                -weight(key, view.server.id),
            ),
        )

    def _weighed_s(
        self,
        view: ServerView,
        home: str | None,
        costs: EngineCosts,
        now: float,
        needs: Needs | None,
    ) -> float:
        """Return the cost of a server: the first event, and what a preempted request would lose."""
        first_event_s = self._first_event_s(view, home, costs, now)
        if needs is None:
            return first_event_s
        how = self._fit(view, needs, costs)
        if how == Fit():
            return first_event_s
        tokens = round(self.claims.at(view.server.id).mean_tokens)
        restart_s = costs.restart_s(view, tokens, now)
        return weighed_s(first_event_s + how.wait_s, needs, how, restart_s)

    def _fit(self, view: ServerView, needs: Needs, costs: EngineCosts) -> Fit:
        """Return how a request fits on a server with what the requests of all nodes take there."""
        engine = costs.engine
        room = ServerRoom(view.total_running, engine.slots, engine.cache_tokens)
        return fit(needs, self.claims.at(view.server.id), room, costs.speed.hold_s)

    def _first_event_s(
        self, view: ServerView, home: str | None, costs: EngineCosts, now: float
    ) -> float:
        """Return the expected time to the first event at a server, with load that is not heard."""
        first_event_s = costs.first_event_s(view, view.server.id == home, now)
        return first_event_s + self.unheard_delay_s(view.server.service, view.server.hall, now)

    def _reserve_prompt(
        self, view: ServerView, facts: RequestFacts, chosen: EngineChoice, now: float
    ) -> Placement:
        """Count a prompt on a server, without the prefix that the server has cached or fetches."""
        service = view.server.service
        cached = view.cached_prefix_tokens(facts.parts)
        fetched, fetching_s = 0, 0.0
        if chosen.costs.should_fetch(view, cached):
            fetched, fetching_s = chosen.prefix.tokens - cached, chosen.costs.fetch_cost_s(cached)
            cached = chosen.prefix.tokens
        work = prefill_work(facts.prompt_tokens, cached)
        self.placed_work[service] = self.placed_work.get(service, 0) + work
        self.estimator(service).record_placed(work)
        placement = self._reserve(view, work, now)
        placement.uncached = max(0, facts.prompt_tokens - cached)
        if fetched and chosen.prefix.view is not None:
            placement.fetched = fetched
            placement.fetching_s = fetching_s
            placement.fetch_from = chosen.prefix.view.server.address
        return placement

    def record_refused(self, choice: Choice) -> None:
        """Count the work of a request that was refused for lack of capacity as demand."""
        service, facts = choice.view.server.service, choice.facts
        work = prefill_work(facts.prompt_tokens, choice.view.cached_prefix_tokens(facts.parts))
        self.placed_work[service] = self.placed_work.get(service, 0) + work

    def _publish(self, placement: Placement, facts: RequestFacts, engine: Engine) -> None:
        """Record the parts of a placed prompt as cached, and queue the placement for peers."""
        view = placement.view
        self.group(view.server.service).record_cached_parts(view, facts.parts, engine.cache_tokens)
        self._pending_placements.append((placement, facts.parts))
        self.on_placed()

    def estimator(self, service: str) -> SpeedEstimator:
        """Return the speed estimator of a service."""
        estimator = self.estimators.get(service)
        if estimator is None:
            estimator = self.estimators[service] = SpeedEstimator()
        return estimator

    def record_first_event(self, placement: Placement, now: float) -> None:
        """Update the speed estimates and the outcome with the first event of a stream.

        The outcome is relative to the time that the service takes: relative to the server's own
        time, a new version that is slow would look like any other.
        """
        placement.on_first_token()
        placement.first_at = now
        took_s = now - placement.sent_at
        if placement.on_first_event is not None:
            placement.on_first_event(took_s, now)
        if not placement.work:
            placement.outcome_recorded = True
            return
        estimator = self.estimator(placement.view.server.service)
        speed = estimator.speed(now)
        tokens = placement.work + speed.remaining_work(placement.queued_ahead)
        expected_s = speed.start_s + speed.prefill_s(tokens, placement.concurrent)
        relative = placement.view.relative_speed
        own_expected_s = speed.start_s + (expected_s - speed.start_s) / relative
        placement.view.slowness.observe(took_s, own_expected_s, now)
        expected_with_fetch_s = max(MIN_EXPECTED_S, expected_s + placement.fetching_s)
        self.record_outcome(placement, False, took_s / expected_with_fetch_s, now)
        waited_for_slot = placement.concurrent >= placement.view.server.slots
        own_with_fetch_s = max(MIN_EXPECTED_S, own_expected_s + placement.fetching_s)
        teaches = waited_for_slot or self._observe_delay(placement, took_s, own_with_fetch_s, now)
        if not placement.fetched and not waited_for_slot:
            unqueued = PrefillSample(
                placement.work, placement.queued_ahead, took_s, now, placement.concurrent
            )
            tracker = placement.view.prefill_times
            sample = tracker.on_first_event(placement.sent_at, placement.cumulative_work, unqueued)
            if sample is not None and teaches:
                estimator.add_sample(sample.normalised(relative))
            if sample is unqueued and sample.is_clean and teaches:
                self.server_speeds.observe(placement.view.server.id, tokens, took_s)

    def _observe_delay(
        self, placement: Placement, took_s: float, expected_s: float, now: float
    ) -> bool:
        """Record the delay of a first event; return whether it says how fast servers are."""
        service, hall = placement.view.server.service, placement.view.server.hall
        if not self.expects_unheard_load(service):
            return True
        delays = self._unheard_delays.setdefault(service, UnheardDelays())
        delays.observe(hall, took_s, expected_s, now)
        return delays.teaches_speed(hall, now)

    def unheard_delay_s(self, service: str, hall: str, now: float) -> float:
        """Return the delay of first events at a hall's servers due to load that is not heard."""
        delays = self._unheard_delays.get(service)
        if delays is None or not self.expects_unheard_load(service):
            return 0.0
        return delays.delay_s(hall, now)

    def unheard_metrics(self, now: float) -> dict[str, int]:
        """Return the metrics of the delays due to load that is not heard."""
        figures: dict[str, int] = {}
        for service, delays in self._unheard_delays.items():
            figures.update(delays.metrics(service, now))
        return figures

    def record_completion(self, placement: Placement, now: float) -> None:
        """Update the estimated hold time with a stream that completed."""
        if placement.work:
            self.estimator(placement.view.server.service).record_hold(now - placement.sent_at)
        if placement.claim is not None:
            placement.claim.complete()
            self.memory_metrics.record_length(placement.claim)

    def record_pace(self, placement: Placement, events: int, now: float) -> None:
        """Report the mean time between the events of a stream that completed."""
        if events > 1 and placement.first_at:
            pace_s = (now - placement.first_at) / (events - 1)
            self.on_outcome(placement, placement.route + PACE_SUFFIX, False, pace_s)

    def record_broken_answer(self, placement: Placement, now: float) -> None:
        """Report an answer that broke off as a failure of the server's version."""
        if placement.outcome_recorded:
            self.on_outcome(placement, placement.route + PACE_SUFFIX, True, 0.0)
        self.record_outcome(placement, True, now - placement.sent_at, now)

    def record_outcome(self, placement: Placement, failed: bool, took: float, now: float) -> None:
        """Report an answer or the lack of one, unless the placement was reported already.

        Of several that one stall of their server delayed, only the first is reported.

        `took` is as in `OutcomeCallback`.
        """
        if placement.outcome_recorded:
            return
        placement.outcome_recorded = True
        if not placement.view.is_stall_counted(placement.sent_at, now):
            self.on_outcome(placement, placement.route, failed, took)

    def speeds(self, now: float) -> dict[str, Speed]:
        """Return the estimates from this node's own samples by service, to send to peers."""
        return {
            service: estimator.local_speed(now) for service, estimator in self.estimators.items()
        }

    def mean_server_speed(self, service: str, now: float) -> Speed:
        """Return the speed of a server with the mean prefill rate of those that stay.

        As many of these as there are servers have the capacity of all of them together.
        """
        staying = [
            view.server.id
            for view in self.group(service).allowed_servers()
            if not view.server.leaving
        ]
        return self.estimator(service).speed(now).scaled(self.server_speeds.mean(staying))

    def running(self, service: str) -> int:
        """Return the requests that all nodes have running on a service's servers."""
        return self.group(service).running

    def queued_tokens(self, service: str) -> int:
        """Return the prompt tokens of all nodes that wait for prefill on a service's servers."""
        return self.group(service).prefill_tokens

    def drain_placements(self) -> list[Placed]:
        """Return the prompts placed on engines since the last call, to send to peers."""
        placed = [
            Placed(
                each.view.server.id,
                each.view.running,
                each.view.prefill_tokens,
                parts,
                each.work,
                pack_placed(each.claim) if each.claim is not None else 0,
            )
            for each, parts in self._pending_placements
        ]
        self._pending_placements.clear()
        return placed

    def apply_peer_placement(
        self,
        node: str,
        loads: Loads,
        placed: Placed,
        engine: Engine | None,
        claims: bytes = b"",
    ) -> None:
        """Count a prompt that a peer placed, and add it to the peer's `loads`.

        `claims` are those of the peer's last state, as the loads.
        """
        self._apply_peer_claims(node, loads, claims)
        self.apply_peer_loads(node, loads)
        before = loads.get(placed.server, (0, 0))
        loads[placed.server] = (placed.running, placed.prefill)
        view = self.views.get(placed.server)
        if view is None:
            return
        view.prefill_times.record_placed(placed.work)
        self.claims.add_peer_placed(node, placed.server, placed.claim)
        if engine is not None:
            self.group(view.server.service).record_cached_parts(
                view, placed.parts, engine.cache_tokens
            )
        view.add_peer_load(placed.running - before[0], placed.prefill - before[1])

    def tick(self, now: float) -> None:
        """Pause servers that are silent although they should have sent something.

        An open connection hides that a server is unreachable, so `on_silent` is called for each
        silent one.
        """
        for group in self._groups.values():
            for name in list(group.busy):
                if group.views[name].is_silent(now):
                    group.views[name].pause(now + FAILURE_PAUSE_INITIAL_S)
                    self.on_silent(name)
            group.tick(now)

    def _reserve(self, view: ServerView, prefill: int, now: float) -> Placement:
        if not view.running:
            view.busy_since = now
        placement = Placement(
            view, prefill, now, prefill, prefill, view.total_prefill, view.total_running
        )
        placement.cumulative_work = view.prefill_times.record_placed(prefill)
        view.running += 1
        view.prefill_tokens += prefill
        view.notify_change()
        return placement
