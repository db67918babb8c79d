"""Which server gets a request, and what all nodes have placed where."""

import random
from collections.abc import Callable, Iterable

from moledale.core.hashing import ranked
from moledale.gateway.engine_costs import EngineCosts, Front, prefill_work
from moledale.gateway.messages import Placed, PromptPart, RequestFacts, Server
from moledale.gateway.peers import NodeState
from moledale.gateway.plan import Engine
from moledale.gateway.server_model import FirstEvent, Speed, SpeedLearner
from moledale.gateway.server_view import FIRST_PAUSE_S, Placement, ServerView

FAILED_WAIT_S = 0.4
"""Extra cost of a server for each part of its answers that failed lately."""

OTHER_HALL_S = 0.001

NEAR_S = 0.002
"""Estimates that differ by less count as equal. Prompts of one front then go to the same servers,
others elsewhere: nodes that know nothing yet, as after the end of all of them, have equal estimates
of all servers and would send their first requests to the same ones. Plain requests go by chance,
both to a server with a connection at rest first, since a new one takes 1 ms of it."""


def affinity_key(parts: tuple[PromptPart, ...]) -> str:
    """Return what requests that should meet on one server have in common."""
    if not parts:
        return ""
    return parts[-2].id if len(parts) > 1 else parts[0].id


def plain_cost(view: ServerView, hall: str) -> float:
    """Estimate the seconds until an answer of a plain service."""
    waiting = 1 + view.all_running / max(1, view.server.slots)
    away = OTHER_HALL_S if view.server.hall != hall else 0.0
    return view.answer_s * waiting + away + FAILED_WAIT_S * view.failed_share


def _steps(cost_s: float) -> int:
    """Return an estimate as a number that is the same for those that differ by little."""
    return round(cost_s / NEAR_S)


def _not_known(_: str) -> bool:
    """Know of no connection."""
    return False


def _nobody_asks() -> None:
    """Nobody wants to know of placements."""


class ServerBook:
    """The servers of all services, with what this node and its peers have running there."""

    def __init__(self, hall: str) -> None:
        self.views: dict[str, ServerView] = {}
        self.work: dict[str, int] = {}
        self.learners: dict[str, SpeedLearner] = {}
        self.on_placed: Callable[[], None] = _nobody_asks
        self.has_connection: Callable[[str], bool] = _not_known
        self._hall = hall
        self._chance = random.Random()
        self._placed: list[tuple[ServerView, int, tuple[PromptPart, ...]]] = []

    def apply(self, servers: Iterable[Server]) -> list[Server]:
        """Take over the list of servers; return those that are there no more."""
        listed = {server.id: server for server in servers}
        gone = [view.server for name, view in self.views.items() if name not in listed]
        for server in gone:
            del self.views[server.id]
        for name, server in listed.items():
            known = self.views.get(name)
            if known is None:
                self.views[name] = ServerView(server)
            else:
                known.server = server
        return gone

    def others(self, states: Iterable[NodeState]) -> None:
        """Take over what live peers have running."""
        states = list(states)
        for service in {service for state in states for service in state.speeds}:
            told = (state.speeds.get(service) for state in states)
            self.learner(service).others(speed for speed in told if speed is not None)
        for view in self.views.values():
            view.others_running = 0
            view.others_prefill = 0
        for state in states:
            for name, (running, prefill) in state.loads.items():
                known = self.views.get(name)
                if known is not None:
                    known.others_running += running
                    known.others_prefill += prefill

    def loads(self) -> dict[str, tuple[int, int]]:
        """Return what this node has running, by server."""
        return {
            name: (view.running, view.prefill_tokens)
            for name, view in self.views.items()
            if view.running
        }

    def ready(self, service: str, now: float, excluded: frozenset[str]) -> list[ServerView]:
        """Return the servers that may get new work; paused ones only if there are no others."""
        staying = [
            view
            for view in self.views.values()
            if view.server.service == service
            and not view.server.leaving
            and view.server.id not in excluded
        ]
        return [view for view in staying if view.paused_until <= now] or staying

    def has_other(self, service: str, now: float, tried: frozenset[str]) -> bool:
        """Say whether a server is there that was not tried and is not paused."""
        ready = self.ready(service, now, tried)
        return any(view.paused_until <= now for view in ready)

    def place(
        self,
        service: str,
        facts: RequestFacts,
        engine: Engine | None,
        now: float,
        excluded: frozenset[str] = frozenset(),
        moved: bool = False,
    ) -> Placement | None:
        """Choose a server and count the request there in one step; None if there is none.

        A request that is `moved` brings its memory along, so it reads nothing there.
        """
        views = self.ready(service, now, excluded)
        if not views:
            return None
        if engine is None:
            best = min(
                views,
                key=lambda view: (
                    _steps(plain_cost(view, self._hall)),
                    not self.has_connection(view.server.id),
                    view.all_running,
                    self._chance.random(),
                ),
            )
            return self._count(best, 0, now)
        return self._place_on_engine(service, facts, engine, views, now, moved)

    def _place_on_engine(
        self,
        service: str,
        facts: RequestFacts,
        engine: Engine,
        views: list[ServerView],
        now: float,
        moved: bool,
    ) -> Placement:
        key = affinity_key(facts.parts) or facts.id
        order = ranked(key, (view.server.id for view in views))
        place = {server: number for number, server in enumerate(order)}
        front = self._longest_front(service, facts, now)
        learner = self.learner(service)
        costs = EngineCosts(facts, front, engine, learner.speed(now))
        best = min(
            views,
            key=lambda view: (
                _steps(
                    costs.first_event_s(view, not place[view.server.id], now)
                    + FAILED_WAIT_S * view.failed_share
                ),
                not self.has_connection(view.server.id),
                view.all_running,
                place[view.server.id],
            ),
        )
        if moved:
            placement = self._count(best, 0, now)
            self._tell(placement, facts, engine)
            return placement
        cached = best.covers(facts.parts)
        fetched = 0
        if costs.fetches(cached, best.all_running):
            fetched = front.tokens - cached
            cached = front.tokens
        work = prefill_work(facts.prompt_tokens, cached)
        self.work[service] = self.work.get(service, 0) + work
        learner.placed(work)
        placement = self._count(best, work, now)
        placement.uncached = max(0, facts.prompt_tokens - cached)
        if fetched and front.view is not None:
            placement.fetched = fetched
            placement.fetch_from = front.view.server.address
        self._tell(placement, facts, engine)
        return placement

    def _tell(self, placement: Placement, facts: RequestFacts, engine: Engine) -> None:
        """Note a placed prompt's parts, and that other nodes should hear of it."""
        view = placement.view
        view.remember(facts.parts, engine.cache_tokens)
        self._placed.append((view, placement.work, facts.parts))
        self.on_placed()

    def learner(self, service: str) -> SpeedLearner:
        """Return what is being learnt of a service's servers."""
        return self.learners.setdefault(service, SpeedLearner())

    def note_first(self, placement: Placement, now: float) -> None:
        """Learn from a stream's first event."""
        placement.first_token()
        placement.first_at = now
        took_s = now - placement.sent_at
        if not placement.work:
            return
        learner = self.learner(placement.view.server.service)
        speed = learner.speed(now)
        tokens = placement.work + speed.still_ahead(placement.ahead)
        expected_s = speed.start_s + speed.reading_s(tokens, placement.beside)
        placement.view.slowness.note(took_s, expected_s, now)
        waited_for_slot = placement.beside >= placement.view.server.slots
        if not placement.fetched and not waited_for_slot:
            alone = FirstEvent(placement.work, placement.ahead, took_s, now, placement.beside)
            reading = placement.view.reading
            seen = reading.first_event(placement.sent_at, placement.through, alone)
            if seen is not None:
                learner.first_event(seen)

    def note_end(self, placement: Placement, now: float) -> None:
        """Learn from a stream that ended whole."""
        if placement.work:
            self.learner(placement.view.server.service).ended(now - placement.sent_at)

    def speeds(self, now: float) -> dict[str, Speed]:
        """Return what this node has learnt by itself, by service."""
        return {service: learner.own(now) for service, learner in self.learners.items()}

    def running(self, service: str) -> int:
        """Return the requests that all nodes have at a service's servers."""
        return sum(
            view.all_running for view in self.views.values() if view.server.service == service
        )

    def waiting(self, service: str) -> int:
        """Return the prompt tokens that all nodes have waiting at a service's servers."""
        return sum(
            view.all_prefill for view in self.views.values() if view.server.service == service
        )

    def _longest_front(self, service: str, facts: RequestFacts, now: float) -> Front:
        """Return the longest front of a prompt that a sound server has, leaving ones included."""
        best = Front()
        for view in self.views.values():
            if view.server.service != service or view.paused_until > now or view.failures:
                continue
            tokens = view.covers(facts.parts)
            if tokens > best.tokens:
                best = Front(tokens, view)
        return best

    def take_placed(self) -> list[Placed]:
        """Return what was placed on engines since the last call, for other nodes."""
        placed = [
            Placed(view.server.id, view.running, view.prefill_tokens, parts, work)
            for view, work, parts in self._placed
        ]
        self._placed.clear()
        return placed

    def heard_placed(self, news: Placed, before: tuple[int, int], engine: Engine | None) -> None:
        """Count what another node placed, which had `before` there until now."""
        view = self.views.get(news.server)
        if view is None:
            return
        view.others_running += news.running - before[0]
        view.others_prefill += news.prefill - before[1]
        view.reading.place(news.work)
        if engine is not None:
            view.remember(news.parts, engine.cache_tokens)

    def pause_silent(self, now: float) -> None:
        """Pause servers that say nothing though they should; a kept connection hides a dark one."""
        for view in self.views.values():
            if view.is_silent(now):
                view.paused_until = max(view.paused_until, now + FIRST_PAUSE_S)

    def _count(self, view: ServerView, prefill: int, now: float) -> Placement:
        if not view.running:
            view.busy_since = now
        placement = Placement(
            view, prefill, now, prefill, prefill, view.all_prefill, view.all_running
        )
        placement.through = view.reading.place(prefill)
        view.running += 1
        view.prefill_tokens += prefill
        return placement
