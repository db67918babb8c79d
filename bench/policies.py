"""Routing policies to compare.

There are simple baselines, the steps of the paper that `moledale.core.routing` names, and the
daemon's own policy ("ours"), as it is, without each of its parts, and with parts of the paper's.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from moledale.core import routing
from moledale.core.hashing import weight
from moledale.core.routing import Need, Pick, RoutingParams, ServerView

Chooser = Callable[[Sequence[ServerView], Need], Pick | None]
RESERVE_DELAY_S = 0.005
"""Delay of the reservation after the choice, in policies that don't do both in one step."""


@dataclass(frozen=True)
class Policy:
    """A way to choose servers, and how requests are treated around the choice.

    A request counts as load on its server `reserve_delay_s` after the choice. With `rejects_early`,
    requests that can't meet their deadline are refused on arrival, and waiting ones when it passes.
    With `plans_reclaims`, streams are moved off a leaving server by plan, and with
    `moves_idle_caches` idle caches as well; otherwise streams resume elsewhere once it is gone.
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
        candidates = sorted(_candidates(views, need), key=lambda view: view.id)
        if not candidates:
            return None
        number += 1
        return _as_pick(candidates[number % len(candidates)], need)

    return choose


def _fewest_requests(views: Sequence[ServerView], need: Need) -> Pick | None:
    candidates = _candidates(views, need)
    if not candidates:
        return None
    return _as_pick(min(candidates, key=lambda v: (v.running, weight(need.session, v.id))), need)


def _affinity(views: Sequence[ServerView], need: Need) -> Pick | None:
    """Use the server with the session's cache while it has a free slot."""
    candidates = _candidates(views, need)
    home = max(candidates, key=lambda view: view.cached_for(need), default=None)
    if home is not None and home.cached_for(need) > 0:
        return _as_pick(home, need)
    return _fewest_requests(views, need)


def _paper(overflow_factor: float, decode_weight: float, min_one_request: bool) -> Chooser:
    """Return the paper's policy.

    The server with the session's cache is used unless it has more than `overflow_factor` times the
    mean number of requests. Otherwise the server with the lowest product of work and requests is
    used; with `min_one_request` an idle server counts as having one request, so that its work
    matters.
    """

    def score(view: ServerView, need: Need) -> float:
        work = view.prefill_tokens + view.uncached(need) + decode_weight * view.decode_tokens
        return work * (max(view.running, 1) if min_one_request else view.running)

    def choose(views: Sequence[ServerView], need: Need) -> Pick | None:
        candidates = _candidates(views, need)
        if not candidates:
            return None
        mean = sum(view.running for view in candidates) / len(candidates)
        home = max(candidates, key=lambda view: view.cached_for(need))
        if home.cached_for(need) > 0 and home.running <= max(1.0, overflow_factor * mean):
            return _as_pick(home, need)
        best = min(candidates, key=lambda v: (score(v, need), weight(need.session, v.id)))
        return _as_pick(best, need)

    return choose


def _ours(params: RoutingParams) -> Chooser:
    return lambda views, need: routing.pick(views, need, params)


def _ours_without_affinity(params: RoutingParams) -> Chooser:
    """Choose the cheapest server; the session's cache counts only in the estimated time."""

    def choose(views: Sequence[ServerView], need: Need) -> Pick | None:
        candidates = routing.servers_for_priority(routing.eligible(views, need), need, params)
        if not candidates:
            return None
        return _as_pick(min(candidates, key=lambda v: routing.cost_s(v, need, params)), need)

    return choose


def _ours_impatient(params: RoutingParams) -> Chooser:
    """Use another server at once if the one with the session's cache has no free slot."""
    return lambda views, need: routing.pick(views, replace(need, wait_for_cache=False), params)


def _ours_with_overflow(params: RoutingParams, overflow_factor: float) -> Chooser:
    """Return the daemon's policy with a limit on affinity.

    The server with the session's cache is left if the used share of its slots is more than
    `overflow_factor` times the mean share.
    """

    def choose(views: Sequence[ServerView], need: Need) -> Pick | None:
        live = routing.eligible(views, need)
        home = routing.cache_holder(live, need)
        if home is not None:
            mean = sum(v.running / v.speeds.slots for v in live) / len(live)
            if home.running > 1 and home.running / home.speeds.slots > overflow_factor * mean:
                candidates = routing.servers_for_priority(live, need, params)
                best = min(candidates, key=lambda v: routing.cost_s(v, need, params), default=None)
                return _as_pick(best, need) if best is not None else None
        return routing.pick(views, need, params)

    return choose


def _ours_with_decode(params: RoutingParams) -> Chooser:
    """Return the daemon's policy with the paper's decode term in the cost.

    Each token of the contexts that a server decodes counts as 0.01 prefill tokens.
    """

    def score(view: ServerView, need: Need) -> float:
        decode = 0.01 * view.decode_tokens / view.speeds.prefill_tokens_per_s
        return routing.cost_s(view, need, params) + decode

    def choose(views: Sequence[ServerView], need: Need) -> Pick | None:
        live = routing.eligible(views, need)
        if routing.cache_holder(live, need) is not None:
            return routing.pick(views, need, params)
        candidates = routing.servers_for_priority(live, need, params)
        best = min(candidates, key=lambda v: score(v, need), default=None)
        return _as_pick(best, need) if best is not None else None

    return choose


def _baseline(name: str, choose: Chooser, delay_s: float = 0.0) -> Policy:
    """Return a policy that neither refuses requests early nor plans reclaims."""
    return Policy(name, choose, delay_s, rejects_early=False, plans_reclaims=False)


def all_policies() -> list[Policy]:
    """Return every policy."""
    base = RoutingParams()
    none_set_aside = RoutingParams(set_aside=0.0)
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
        Policy("ours, none set aside", _ours(none_set_aside)),
        Policy("ours, not atomic", _ours(base), RESERVE_DELAY_S),
        Policy("ours, no refusal", _ours(base), rejects_early=False),
        Policy("ours, no reclaim plan", _ours(base), plans_reclaims=False),
        Policy("ours, idle caches stay", _ours(base), moves_idle_caches=False),
        Policy("ours + overflow 1.3", _ours_with_overflow(base, 1.3)),
        Policy("ours + decode term", _ours_with_decode(base)),
    ]
