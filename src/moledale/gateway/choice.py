"""A server chosen for a request before it is counted there, and what the choice goes by."""

from collections.abc import Iterable

import msgspec

from moledale.gateway.engine_costs import CachedPrefix, EngineCosts
from moledale.gateway.messages import PromptPart, RequestFacts
from moledale.gateway.plan import Engine
from moledale.gateway.server_view import ServerView

FAILURE_PENALTY_S = 0.4
"""Extra cost of a server for each part of its answers that failed lately."""

CROSS_HALL_RTT_S = 0.001
"""Round trip to another hall, at its least: it decides between equal servers only."""


class EngineChoice(msgspec.Struct, frozen=True):
    """What a choice among engines went by: costs, and the longest front of the prompt anywhere."""

    engine: Engine
    costs: EngineCosts
    prefix: CachedPrefix


class Choice(msgspec.Struct, frozen=True):
    """A server chosen for a request; `engine_choice` is None for a plain service."""

    view: ServerView
    facts: RequestFacts
    engine_choice: EngineChoice | None = None


def affinity_key(parts: tuple[PromptPart, ...]) -> str:
    """Return what requests that should meet on one server have in common."""
    if not parts:
        return ""
    return parts[-2].id if len(parts) > 1 else parts[0].id


def plain_cost_s(view: ServerView, hall: str) -> float:
    """Estimate the seconds until an answer of a plain service."""
    waiting = 1 + view.all_running / max(1, view.server.slots)
    away = CROSS_HALL_RTT_S if view.server.hall != hall else 0.0
    return view.answer_s * waiting + away + FAILURE_PENALTY_S * view.failed_share


def longest_cached_prefix(
    holders: Iterable[ServerView], facts: RequestFacts, now: float
) -> CachedPrefix:
    """Return the longest front of a prompt that a sound server has, leaving ones included."""
    best = CachedPrefix()
    for view in holders:
        backs_off = view.standing.retry_at > now
        if view.is_set_aside(now) or backs_off or view.standing.failures:
            continue
        tokens = view.covers(facts.parts)
        if tokens > best.tokens:
            best = CachedPrefix(tokens, view)
    return best
