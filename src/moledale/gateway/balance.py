"""Which server gets a request: views of servers, and a pure choice over them."""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from math import sqrt

from moledale.core.hashing import ranked
from moledale.gateway.messages import Placed, PromptPart, RequestFacts, Server
from moledale.gateway.peers import NodeState
from moledale.gateway.plan import Engine
from moledale.gateway.server_model import FirstEvent, Slowness, Speed, SpeedLearner

LONG_PROMPT_X = 9.3e-6
"""Work that a prompt adds by its square, in tokens: each token attends to all those before it.
Measured at the first customers' engines; a third one's have 8.6e-6."""

FETCH_SETUP_S = 0.005
"""Time until a fetch from another server begins, as the users' engines state it (5.0 to 5.3 ms)."""

FETCH_LOAD_S = 0.04
"""Wait that a request may have at the server with its front, rather than have it fetched elsewhere:
a fetch loads the links and the memory of two servers."""

FETCH_X = 2.0
"""A fetch has to be this many times as quick as reading, since fetches queue at their source."""

FAILED_WAIT_S = 0.4
"""Extra cost of a server for each part of its answers that failed lately."""

OTHER_HALL_S = 0.001
SMOOTHING = 0.2
SILENT_ENGINE_S = 0.8
SILENT_ALONE_S = 2.5
SILENT_PLAIN_S = 0.3
SILENT_X = 6.0
"""A plain server is silent after this many of its usual answer times."""

ENGINE_SLOTS = 16
"""Servers with as many slots run batches, whose tokens come all the time."""

FIRST_PAUSE_S = 0.5
LONGEST_PAUSE_S = 3.0


@dataclass(slots=True)
class ServerView:
    """A server as this node sees it."""

    server: Server
    running: int = 0
    prefill_tokens: int = 0
    others_running: int = 0
    others_prefill: int = 0
    failed_share: float = 0.0
    answer_s: float = 0.02
    failures: int = 0
    paused_until: float = 0.0
    heard_at: float = 0.0
    busy_since: float = 0.0
    cached: OrderedDict[str, int] = field(default_factory=OrderedDict)
    cached_tokens: int = 0
    slowness: Slowness = field(default_factory=Slowness)

    @property
    def all_running(self) -> int:
        """Return the requests that all nodes have there."""
        return self.running + self.others_running

    @property
    def all_prefill(self) -> int:
        """Return the prompt tokens that all nodes have waiting there."""
        return self.prefill_tokens + self.others_prefill

    def silent_s(self, now: float) -> float:
        """Return for how long nothing came while requests were waiting there."""
        return now - max(self.heard_at, self.busy_since) if self.running else 0.0

    def remember(self, parts: tuple[PromptPart, ...], capacity: int) -> None:
        """Note that a prompt's parts lie in the server's memory now."""
        for part in parts:
            if part.tokens <= 0:
                continue
            if part.id not in self.cached:
                self.cached_tokens += part.tokens
                self.cached[part.id] = part.tokens
            self.cached.move_to_end(part.id)
        while self.cached_tokens > capacity and self.cached:
            _, tokens = self.cached.popitem(last=False)
            self.cached_tokens -= tokens

    def covers(self, parts: tuple[PromptPart, ...]) -> int:
        """Return the tokens at the front of a prompt that lie in the server's memory."""
        tokens = 0
        for part in parts:
            if part.tokens <= 0:
                continue
            if part.id not in self.cached:
                break
            tokens += part.tokens
        return tokens


@dataclass(frozen=True, slots=True)
class Front:
    """The longest front of a prompt that lies in some server's memory, in tokens, and where."""

    tokens: int = 0
    view: ServerView | None = None


@dataclass(slots=True)
class Placement:
    """A request counted on a server until it ends.

    `work`, `uncached`, `ahead` (prompt tokens) and `beside` (requests) are what the choice
    believed. From
    `fetch_from`, the address of another server, it takes `fetched` tokens of the prompt's front.
    """

    view: ServerView
    prefill: int
    sent_at: float
    work: int = 0
    uncached: int = 0
    ahead: int = 0
    beside: int = 0
    fetch_from: str = ""
    fetched: int = 0
    first_at: float = 0.0
    ended: bool = False

    def first_token(self) -> None:
        """Note that the prompt was read."""
        self.view.prefill_tokens -= self.prefill
        self.prefill = 0

    def end(self) -> None:
        """Stop counting the request; a second call changes nothing."""
        if self.ended:
            return
        self.ended = True
        self.first_token()
        self.view.running -= 1


def affinity_key(parts: tuple[PromptPart, ...]) -> str:
    """Return what requests that should meet on one server have in common."""
    if not parts:
        return ""
    return parts[-2].id if len(parts) > 1 else parts[0].id


def prefill_work(prompt: int, cached: int) -> int:
    """Return what reading a prompt costs beyond its cached front, in tokens of a short prompt."""
    cached = min(cached, prompt)
    return prompt - cached + int(LONG_PROMPT_X * (prompt * prompt - cached * cached))


def fetch_s(tokens: int, engine: Engine) -> float:
    """Return the seconds that a server takes to get a prompt's front from another one."""
    return FETCH_SETUP_S + tokens * engine.token_bytes * 8e-6 / max(1.0, engine.link_mbps)


@dataclass(frozen=True, slots=True)
class EngineCosts:
    """Estimates for one prompt at the servers of a service, from what was learnt of them."""

    facts: RequestFacts
    front: Front
    engine: Engine
    speed: Speed

    def fetches(self, cached: int) -> bool:
        """Say whether getting the front from another server is quicker than reading it."""
        if not self.engine.moves or self.front.tokens <= cached:
            return False
        prompt = self.facts.prompt_tokens
        saved = prefill_work(prompt, cached) - prefill_work(prompt, self.front.tokens)
        took_s = fetch_s(self.front.tokens - cached, self.engine)
        return FETCH_X * took_s < self.speed.reading_s(saved)

    def reading_s(self, cached: int) -> float:
        """Return the seconds until a server that waits for nothing has the whole prompt."""
        prompt = self.facts.prompt_tokens
        if self.fetches(cached):
            read_s = self.speed.reading_s(prefill_work(prompt, self.front.tokens))
            return read_s + FETCH_LOAD_S + fetch_s(self.front.tokens - cached, self.engine)
        return self.speed.reading_s(prefill_work(prompt, cached))

    def first_event_s(self, view: ServerView, home: bool, now: float) -> float:
        """Return the seconds until the first event if the request went to a server.

        Where a prompt's home has nothing of it, it counts as having half, so that prompts which
        share a front meet there.
        """
        cached = view.covers(self.facts.parts)
        if home and not cached:
            cached = sum(part.tokens for part in self.facts.parts[:-1]) // 2
        took_s = self.speed.reading_s(view.all_prefill) + self.reading_s(cached)
        return took_s * view.slowness.times(now) + self.slot_s(view)

    def slot_s(self, view: ServerView) -> float:
        """Return the seconds until a slot is free, little by little as the batch fills."""
        slots = self.engine.slots
        each_s = self.speed.hold_s / slots
        if view.all_running >= slots:
            return each_s * (view.all_running + 1 - slots)
        return each_s * float((view.all_running / slots) ** (sqrt(2.0 * (slots + 1)) - 1.0))


def plain_cost(view: ServerView, hall: str) -> float:
    """Estimate the seconds until an answer of a plain service."""
    waiting = 1 + view.all_running / max(1, view.server.slots)
    away = OTHER_HALL_S if view.server.hall != hall else 0.0
    return view.answer_s * waiting + away + FAILED_WAIT_S * view.failed_share


def _nobody_asks() -> None:
    """Nobody wants to know of placements."""


class ServerBook:
    """The servers of all services, with what this node and its peers have running there."""

    def __init__(self, hall: str) -> None:
        self.views: dict[str, ServerView] = {}
        self.work: dict[str, int] = {}
        self.learners: dict[str, SpeedLearner] = {}
        self.on_placed: Callable[[], None] = _nobody_asks
        self._hall = hall
        self._placed: list[tuple[ServerView, tuple[PromptPart, ...]]] = []

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
    ) -> Placement | None:
        """Choose a server and count the request there in one step; None if there is none."""
        views = self.ready(service, now, excluded)
        if not views:
            return None
        if engine is None:
            best = min(views, key=lambda view: (plain_cost(view, self._hall), view.server.id))
            return self._count(best, 0, now)
        return self._place_on_engine(service, facts, engine, views, now)

    def _place_on_engine(
        self,
        service: str,
        facts: RequestFacts,
        engine: Engine,
        views: list[ServerView],
        now: float,
    ) -> Placement:
        home = ranked(affinity_key(facts.parts), (view.server.id for view in views))[0]
        front = self._longest_front(service, facts, now)
        learner = self.learner(service)
        costs = EngineCosts(facts, front, engine, learner.speed(now))
        best = min(
            views,
            key=lambda view: (
                costs.first_event_s(view, view.server.id == home, now)
                + FAILED_WAIT_S * view.failed_share,
                view.all_running,
            ),
        )
        cached = best.covers(facts.parts)
        fetched = 0
        if costs.fetches(cached):
            fetched = front.tokens - cached
            cached = front.tokens
        best.remember(facts.parts, engine.cache_tokens)
        work = prefill_work(facts.prompt_tokens, cached)
        self.work[service] = self.work.get(service, 0) + work
        learner.placed(work)
        placement = self._count(best, work, now)
        placement.uncached = max(0, facts.prompt_tokens - cached)
        if fetched and front.view is not None:
            placement.fetched = fetched
            placement.fetch_from = front.view.server.address
        self._placed.append((best, facts.parts))
        self.on_placed()
        return placement

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
        expected_s = speed.start_s + speed.reading_s(placement.work + placement.ahead)
        placement.view.slowness.note(took_s, expected_s, now)
        if not placement.fetched:
            learner.first_event(FirstEvent(placement.work, placement.ahead, took_s, now))

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
            Placed(view.server.id, view.running, view.prefill_tokens, parts)
            for view, parts in self._placed
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
        if engine is not None:
            view.remember(news.parts, engine.cache_tokens)

    def pause_silent(self, now: float) -> None:
        """Pause servers that say nothing though they should; a kept connection hides a dark one.

        One request alone may be a long prompt, so an engine with one is given more time.
        """
        for view in self.views.values():
            if view.server.slots >= ENGINE_SLOTS:
                limit = SILENT_ENGINE_S if view.running > 1 else SILENT_ALONE_S
            else:
                limit = max(SILENT_PLAIN_S, SILENT_X * view.answer_s)
            if view.silent_s(now) > limit:
                view.paused_until = max(view.paused_until, now + FIRST_PAUSE_S)

    def _count(self, view: ServerView, prefill: int, now: float) -> Placement:
        if not view.running:
            view.busy_since = now
        placement = Placement(
            view, prefill, now, prefill, prefill, view.all_prefill, view.all_running
        )
        view.running += 1
        view.prefill_tokens += prefill
        return placement


def note_answer(view: ServerView, failed: bool, took_s: float) -> None:
    """Learn from an answer."""
    view.failures = 0
    view.failed_share += SMOOTHING * (float(failed) - view.failed_share)
    view.answer_s += SMOOTHING * (min(took_s, 2.0) - view.answer_s)


def note_silence(view: ServerView, now: float) -> None:
    """Learn from a server that can't be reached or broke off: pause it, longer each time."""
    view.failures += 1
    view.failed_share += SMOOTHING * (1.0 - view.failed_share)
    pause = min(FIRST_PAUSE_S * 2 ** (view.failures - 1), LONGEST_PAUSE_S)
    view.paused_until = now + pause
