"""The choice of a server for a request before it is counted there, and its basis."""

from collections.abc import Iterable

import msgspec

from moledale.gateway.engine_costs import CachedPrefix, EngineCosts
from moledale.gateway.messages import PromptPart, RequestFacts
from moledale.gateway.plan import Engine
from moledale.gateway.server_view import ServerView
from moledale.scheduling.engine_memory import Demand, Fit

FAILURE_PENALTY_S = 0.4
"""Cost added to a server, multiplied by the share of its recent answers that failed."""

CROSS_HALL_RTT_S = 0.001
"""Minimum round trip time to another hall; it only decides between otherwise equal servers."""


class EngineChoice(msgspec.Struct, frozen=True):
    """Basis of a choice among engines: the costs, and the longest cached prefix of the prompt."""

    engine: Engine
    costs: EngineCosts
    prefix: CachedPrefix


class Choice(msgspec.Struct, frozen=True):
    """A server chosen for a request; `engine_choice` is None for a plain service.

    `first_event_s` is the expected time to the first event there, 0 for a plain service. With a
    `demand`, what requests take of engines counts; `fit` tells how this one fits on the server.
    """

    view: ServerView
    facts: RequestFacts
    engine_choice: EngineChoice | None = None
    first_event_s: float = 0.0
    demand: Demand | None = None
    fit: Fit = Fit()


class PlacementRefused(Exception):
    """A request is refused instead of being placed; its caller may come back after a time."""

    def __init__(self, reason: str, retry_after_s: float) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after_s = retry_after_s


def affinity_key(parts: tuple[PromptPart, ...]) -> str:
    """Return the key that requests have in common if they should go to the same server.

    The last of several parts usually differs between requests, so the part before it is the key. An
    empty string is returned without parts.
    """
    if not parts:
        return ""
    return parts[-2].id if len(parts) > 1 else parts[0].id


def plain_cost_s(view: ServerView, hall: str) -> float:
    """Return the expected time to a plain server's answer, with a penalty for recent failures."""
    queue_factor = 1 + view.total_running / max(1, view.server.slots)
    cross_hall_s = CROSS_HALL_RTT_S if view.server.hall != hall else 0.0
    return view.answer_s * queue_factor + cross_hall_s + FAILURE_PENALTY_S * view.failed_share


def longest_cached_prefix(
    holders: Iterable[ServerView], facts: RequestFacts, now: float
) -> CachedPrefix:
    """Return the longest prefix of a prompt that a healthy server has cached.

    Servers that are leaving are included.
    """
    best = CachedPrefix()
    for view in holders:
        is_backing_off = view.standing.retry_at > now
        if view.is_deprioritized(now) or is_backing_off or view.standing.failures:
            continue
        tokens = view.cached_prefix_tokens(facts.parts)
        if tokens > best.tokens:
            best = CachedPrefix(tokens, view)
    return best
