"""Routing policies: baselines, the paper's steps, ours, and ours without each of its parts."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from moledale.core import routing
from moledale.core.hashing import weight
from moledale.core.routing import Need, Pick, RoutingParams, ServerView

Chooser = Callable[[Sequence[ServerView], Need], Pick | None]
RESERVE_DELAY_S = 0.005
"""Time between picking and reserving where the two are not one step."""


@dataclass(frozen=True)
class Policy:
    """A way to choose, and whether what it chose counts at once.

    `rejects_early` is whether requests that can't make their deadline are refused at once, `plans_reclaims`
    whether streams on a leaving server are moved by plan instead of when it is gone.
    """

    name: str
    choose: Chooser
    reserve_delay_s: float = 0.0
    rejects_early: bool = True
    plans_reclaims: bool = True
    moves_idle_caches: bool = True


def _candidates(views: Sequence[ServerView], need: Need) -> list[ServerView]:
    return routing.with_free_slot(routing.eligible(views, need))


def _as_pick(view: ServerView, need: Need) -> Pick:
    return Pick(view.id, view.cached_for(need) > 0, view.cached_for(need))


def _round_robin() -> Chooser:
    number = 0

    def choose(views: Sequence[ServerView], need: Need) -> Pick | None:
        nonlocal number
        room = sorted(_candidates(views, need), key=lambda view: view.id)
        if not room:
            return None
        number += 1
        return _as_pick(room[number % len(room)], need)

    return choose


def _fewest_requests(views: Sequence[ServerView], need: Need) -> Pick | None:
    room = _candidates(views, need)
    if not room:
        return None
    return _as_pick(min(room, key=lambda v: (v.running, weight(need.session, v.id))), need)


def _affinity(views: Sequence[ServerView], need: Need) -> Pick | None:
    """Stay with the session's server as long as it has room."""
    room = _candidates(views, need)
    home = max(room, key=lambda view: view.cached_for(need), default=None)
    if home is not None and home.cached_for(need) > 0:
        return _as_pick(home, need)
    return _fewest_requests(views, need)


def _paper(overflow: float, decode_weight: float, at_least_one: bool) -> Chooser:
    """Affinity up to a bound on requests, else the paper's product of work and requests."""

    def score(view: ServerView, need: Need) -> float:
        work = view.prefill_tokens + view.uncached(need) + decode_weight * view.decode_tokens
        return work * (max(view.running, 1) if at_least_one else view.running)

    def choose(views: Sequence[ServerView], need: Need) -> Pick | None:
        room = _candidates(views, need)
        if not room:
            return None
        mean = sum(view.running for view in room) / len(room)
        home = max(room, key=lambda view: view.cached_for(need))
        if home.cached_for(need) > 0 and home.running <= max(1.0, overflow * mean):
            return _as_pick(home, need)
        best = min(room, key=lambda v: (score(v, need), weight(need.session, v.id)))
        return _as_pick(best, need)

    return choose


def _ours(params: RoutingParams) -> Chooser:
    return lambda views, need: routing.pick(views, need, params)


def _ours_without_affinity(params: RoutingParams) -> Chooser:
    """Always the cheapest; a session's cache counts only in the wait."""

    def choose(views: Sequence[ServerView], need: Need) -> Pick | None:
        room = routing.servers_for_priority(routing.eligible(views, need), need, params)
        if not room:
            return None
        return _as_pick(min(room, key=lambda v: routing.cost_s(v, need, params)), need)

    return choose


def _ours_impatient(params: RoutingParams) -> Chooser:
    """Go elsewhere at once when the session's server has no free slot."""
    return lambda views, need: routing.pick(views, replace(need, wait_for_cache=False), params)


def _ours_with_overflow(params: RoutingParams, overflow: float) -> Chooser:
    """Leave the session's server when its share of slots is over a bound on the mean."""

    def choose(views: Sequence[ServerView], need: Need) -> Pick | None:
        live = routing.eligible(views, need)
        home = routing.cache_holder(live, need)
        if home is not None:
            mean = sum(v.running / v.speeds.slots for v in live) / len(live)
            if home.running > 1 and home.running / home.speeds.slots > overflow * mean:
                room = routing.servers_for_priority(live, need, params)
                best = min(room, key=lambda v: routing.cost_s(v, need, params), default=None)
                return _as_pick(best, need) if best is not None else None
        return routing.pick(views, need, params)

    return choose


def _ours_with_decode(params: RoutingParams) -> Chooser:
    """Count the contexts that are decoded as the paper does, at 0.01 prefill tokens each."""

    def score(view: ServerView, need: Need) -> float:
        decode = 0.01 * view.decode_tokens / view.speeds.prefill_tokens_per_s
        return routing.cost_s(view, need, params) + decode

    def choose(views: Sequence[ServerView], need: Need) -> Pick | None:
        live = routing.eligible(views, need)
        if routing.cache_holder(live, need) is not None:
            return routing.pick(views, need, params)
        room = routing.servers_for_priority(live, need, params)
        best = min(room, key=lambda v: score(v, need), default=None)
        return _as_pick(best, need) if best is not None else None

    return choose


def _baseline(name: str, choose: Chooser, delay_s: float = 0.0) -> Policy:
    """Return a baseline: it refuses nothing ahead and plans nothing on a notice."""
    return Policy(name, choose, delay_s, rejects_early=False, plans_reclaims=False)


def all_policies() -> list[Policy]:
    """Return every policy."""
    base = RoutingParams()
    mixed = RoutingParams(set_aside=0.0)
    return [
        _baseline("round robin", _round_robin()),
        _baseline("fewest requests", _fewest_requests),
        _baseline("affinity alone", _affinity),
        _baseline("paper: start (2.0)", _paper(2.0, 0.0, False), RESERVE_DELAY_S),
        _baseline("paper: overflow 1.3", _paper(1.3, 0.0, False), RESERVE_DELAY_S),
        _baseline("paper: decode term", _paper(1.3, 0.01, False), RESERVE_DELAY_S),
        _baseline("paper: max(n, 1)", _paper(1.3, 0.01, True), RESERVE_DELAY_S),
        _baseline("paper: atomic", _paper(1.3, 0.01, True)),
        Policy("ours", _ours(base)),
        Policy("ours, no affinity rule", _ours_without_affinity(base)),
        Policy("ours, impatient", _ours_impatient(base)),
        Policy("ours, none set aside", _ours(mixed)),
        Policy("ours, not atomic", _ours(base), RESERVE_DELAY_S),
        Policy("ours, no refusal", _ours(base), rejects_early=False),
        Policy("ours, no reclaim plan", _ours(base), plans_reclaims=False),
        Policy("ours, idle caches stay", _ours(base), moves_idle_caches=False),
        Policy("ours + overflow 1.3", _ours_with_overflow(base, 1.3)),
        Policy("ours + decode term", _ours_with_decode(base)),
    ]
